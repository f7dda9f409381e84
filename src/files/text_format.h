// Protobuf text format with the place of the first error, for every file that is read in that form.
#pragma once

#include <google/protobuf/text_format.h>

#include <optional>
#include <string>
#include <string_view>

namespace martencove::files {

/// Line and column count from 1; 0: not known.
struct TextParseError {
    int line = 0;
    int column = 0;
    std::string reason;
};

/// Reads `bytes` into `message`; nothing where that went well. `places`, where it is wanted, gets where each
/// field stands. `bytes` must be shorter than 2 GiB.
[[nodiscard]] std::optional<TextParseError> parseTextFormat(
    std::string_view bytes, google::protobuf::Message& message,
    google::protobuf::TextFormat::ParseInfoTree* places = nullptr);

}  // namespace martencove::files
