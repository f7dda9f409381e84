#include "files/text_format.h"

#include <google/protobuf/io/tokenizer.h>

namespace martencove::files {
namespace {

/// Keeps the first error: the others follow from it.
class FirstError final : public google::protobuf::io::ErrorCollector {
public:
    void AddError(int line, int column, const std::string& message) override {
        if (error.reason.empty()) error = {line + 1, column + 1, message};
    }
    TextParseError error;
};

}  // namespace

std::optional<TextParseError> parseTextFormat(std::string_view bytes, google::protobuf::Message& message,
                                              google::protobuf::TextFormat::ParseInfoTree* places) {
    FirstError first;
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&first);
    if (places != nullptr) parser.WriteLocationsTo(places);
    google::protobuf::io::ArrayInputStream stream(bytes.data(), static_cast<int>(bytes.size()));
    if (parser.Parse(&stream, &message)) return std::nullopt;
    if (first.error.reason.empty()) first.error.reason = "cannot be read";
    return first.error;
}

}  // namespace martencove::files
