#include "files/text_format.h"

#include <google/protobuf/io/tokenizer.h>

namespace martencove::files {
namespace {

/// Keeps only the first error, since later ones are often consequences of it. Converts the parser's line and
/// column, which start at 0, to start at 1.
class FirstErrorCollector final : public google::protobuf::io::ErrorCollector {
public:
    void AddError(int line, int column, const std::string& message) override {
        if (error.reason.empty()) error = {line + 1, column + 1, message};
    }
    TextParseError error;
};

}  // namespace

std::optional<TextParseError> parseTextFormat(std::string_view bytes, google::protobuf::Message& message,
                                              google::protobuf::TextFormat::ParseInfoTree* fieldPositions) {
    FirstErrorCollector collector;
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&collector);
    if (fieldPositions != nullptr) parser.WriteLocationsTo(fieldPositions);
    google::protobuf::io::ArrayInputStream stream(bytes.data(), static_cast<int>(bytes.size()));
    if (parser.Parse(&stream, &message)) return std::nullopt;
    if (collector.error.reason.empty()) collector.error.reason = "cannot be parsed";
    return collector.error;
}

}  // namespace martencove::files
