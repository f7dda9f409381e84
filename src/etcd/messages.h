// etcd's v3 API as its JSON gateway speaks it: what is asked, and the answers as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace martencove::etcd {

/// All keys that begin with a prefix.
[[nodiscard]] std::string makeRangeRequest(const std::string& prefix);
[[nodiscard]] std::string makeWatchRequest(const std::string& prefix, std::int64_t startRevision);

struct KeyValue {
    std::string key;
    std::string value;
    bool deleted = false;
};
/// An answer to a range, or one message of a watch.
struct Update {
    std::int64_t revision = 0;
    bool canceled = false;  ///< the watch is over: what it asked for was compacted, say
    std::vector<KeyValue> pairs;
};

/// Both throw limedrum::fields::FieldError, naming the field.
[[nodiscard]] Update decodeRange(const std::string& text);
[[nodiscard]] Update decodeWatch(const std::string& text);

[[nodiscard]] std::string toBase64(const std::string& bytes);
[[nodiscard]] std::optional<std::string> fromBase64(const std::string& text);

}  // namespace martencove::etcd
