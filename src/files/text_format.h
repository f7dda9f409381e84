// Parses protobuf text format and reports the position of the first error.
#pragma once

#include <google/protobuf/text_format.h>

#include <optional>
#include <string>
#include <string_view>

namespace martencove::files {

/// A syntax error. Line and column are numbered from 1; 0 means unknown.
struct TextParseError {
    int line = 0;
    int column = 0;
    std::string reason;
};

/// Parses `bytes` into `message`. Returns the first error, or nothing on success. If `fieldPositions` is
/// given, it receives the position of every field. `bytes` must be shorter than 2 GiB.
[[nodiscard]] std::optional<TextParseError> parseTextFormat(
    std::string_view bytes, google::protobuf::Message& message,
    google::protobuf::TextFormat::ParseInfoTree* fieldPositions = nullptr);

}  // namespace martencove::files
