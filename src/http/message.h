// A client's request on the platform's protocol, decoded once.
#pragma once

#include <event2/http.h>

#include <optional>
#include <string>

#include "core/values.h"
#include "http/node_connection.h"
#include "settings_json/settings_json.h"

namespace martencove {

/// What the core needs of it, and what passes on to a node.
struct DecodedRequest {
    Request request;
    NodeRequest nodeRequest;
};

/// Whether all agree where the request ends, and on each of its fields. evhttp takes what is ambiguous: a
/// length beside chunks, a body to a read, which it then reads as a request of its own, fields told twice.
[[nodiscard]] bool validateFraming(evhttp_request* from, std::string& wrong);

/// Nothing for what the protocol does not allow; `wrong` then says what.
[[nodiscard]] std::optional<DecodedRequest> decodeRequest(evhttp_request* from,
                                                          const limedrum::ProgramSettings& site, double nowMs,
                                                          std::string& wrong);

/// The fields of "units=2,shard=5,hosts=3".
struct IoInfo {
    double units = 1;
    int shard = -1;
    int hostsOfVolume = 1;
};
[[nodiscard]] std::optional<IoInfo> decodeIoInfo(std::string_view text);

}  // namespace martencove
