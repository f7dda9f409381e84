// Messages of etcd's v3 JSON gateway: encodes requests and decodes responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace martencove::etcd {

/// Returns the body of a range request for all keys that begin with `prefix`.
[[nodiscard]] std::string makeRangeRequest(const std::string& prefix);
/// Returns the body of a watch request for the same keys, beginning with the changes of `startRevision`.
[[nodiscard]] std::string makeWatchRequest(const std::string& prefix, std::int64_t startRevision);

/// A key and its value, both decoded from base64.
struct KeyValue {
    std::string key;
    std::string value;
    bool deleted = false;
};
/// The response to a range request, or one message of a watch.
struct Update {
    std::int64_t revision = 0;
    bool canceled = false;  ///< the watch has ended, for example because its revision was compacted
    std::vector<KeyValue> pairs;
};

/// Decodes the response to a range request. Throws limedrum::fields::FieldError, naming the field.
[[nodiscard]] Update decodeRange(const std::string& text);
/// Decodes one message of a watch. Throws limedrum::fields::FieldError, naming the field.
[[nodiscard]] Update decodeWatch(const std::string& text);

/// Base64 with padding (RFC 4648, section 4). fromBase64() returns nothing if the text is invalid.
[[nodiscard]] std::string toBase64(const std::string& bytes);
[[nodiscard]] std::optional<std::string> fromBase64(const std::string& text);

}  // namespace martencove::etcd
