// Validates and decodes clients' HTTP requests.
#pragma once

#include <event2/http.h>

#include <optional>
#include <string>

#include "core/values.h"
#include "http/node_connection.h"
#include "settings_json/settings_json.h"

namespace martencove {

/// A client's request: the part that the dispatcher uses and the part that is forwarded to a storage node.
struct DecodedRequest {
    Request request;
    NodeRequest nodeRequest;

    /// About how much memory the request holds until it is answered, in bytes.
    [[nodiscard]] std::size_t heldBytes() const;
};

/// Returns whether the request's end and its fields are unambiguous; if not, `error` names the fault. evhttp
/// accepts ambiguous requests: Content-Length together with Transfer-Encoding, duplicate fields, and a body
/// after a GET, which it then reads as the next request.
[[nodiscard]] bool validateFraming(evhttp_request* request, std::string& error);

/// Decodes the request. Returns nothing for a request that violates the protocol; `error` then names the
/// invalid part. `nowMs`: the present time in milliseconds, to which the deadline is added.
[[nodiscard]] std::optional<DecodedRequest> decodeRequest(evhttp_request* request,
                                                          const limedrum::ProgramSettings& settings,
                                                          double nowMs, std::string& error);

/// The values of an IO-Info header such as "units=2,shard=5,hosts=3".
struct IoInfo {
    double units = 1;
    int shard = -1;  ///< -1: not given
    int hostsOfVolume = 1;
};
/// Parses an IO-Info header; unknown fields are ignored. Returns nothing if `units` is missing or a value is
/// invalid.
[[nodiscard]] std::optional<IoInfo> decodeIoInfo(std::string_view text);

}  // namespace martencove
