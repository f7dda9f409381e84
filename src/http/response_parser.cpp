#include "http/response_parser.h"

#include <algorithm>
#include <charconv>

#include "http/text.h"

namespace martencove {

HttpResponseParser::ParseResult HttpResponseParser::parse(std::string_view& in) {
    ParseResult result = ParseResult::complete;
    while (result == ParseResult::complete && state_ != State::done) result = parseNext(in);
    return result;
}

HttpResponseParser::ParseResult HttpResponseParser::parseNext(std::string_view& in) {
    if (state_ == State::untilClose) {
        body += in;
        in.remove_prefix(in.size());
        return ParseResult::needMore;
    }
    if (state_ == State::body) return readBody(in, State::done);
    if (state_ == State::chunkData) return readBody(in, State::chunkDataEnd);
    if (const ParseResult result = readLine(in); result != ParseResult::complete) return result;
    ParseResult result = ParseResult::complete;
    switch (state_) {
        case State::statusLine:
            result = parseStatusLine();
            break;
        case State::headers:
            result = line_.empty() ? finishHeaders() : parseHeader();
            break;
        case State::chunkSize:
            result = parseChunkSize();
            break;
        case State::chunkDataEnd:
            result = line_.empty() ? ParseResult::complete : ParseResult::invalid;
            state_ = State::chunkSize;
            break;
        case State::trailers:
            if (line_.empty()) state_ = State::done;
            break;
        default:
            break;
    }
    line_.clear();
    return result;
}

// Reads up to the end of a line. Lines end with CR LF and contain neither character elsewhere.
HttpResponseParser::ParseResult HttpResponseParser::readLine(std::string_view& in) {
    const std::size_t end = std::min(in.find('\n'), in.size());
    const std::size_t consumed = std::min(end + 1, in.size());
    headerBytes_ += consumed;
    line_ += in.substr(0, consumed);
    in.remove_prefix(consumed);
    if (headerBytes_ > limits_.maxHeaderBytes) return ParseResult::invalid;
    constexpr std::string_view kVersionPrefix = "HTTP/1.";
    const std::size_t prefixLength = std::min(line_.size(), kVersionPrefix.size());
    if (state_ == State::statusLine && line_.compare(0, prefixLength, kVersionPrefix, 0, prefixLength) != 0)
        return ParseResult::invalid;
    if (line_.empty() || line_.back() != '\n') return ParseResult::needMore;
    line_.pop_back();
    if (line_.empty() || line_.back() != '\r') return ParseResult::invalid;
    line_.pop_back();
    return line_.find('\r') == line_.npos ? ParseResult::complete : ParseResult::invalid;
}

// Accepts "HTTP/1.0" or "HTTP/1.1", a status code and optionally a reason phrase.
HttpResponseParser::ParseResult HttpResponseParser::parseStatusLine() {
    const std::string_view line = line_;
    if (line.size() < 12 || (line[7] != '0' && line[7] != '1') || line[8] != ' ' ||
        (line.size() > 12 && line[12] != ' ') || !parseDecimal(line.substr(9, 3), statusCode) ||
        statusCode < 100 || statusCode == 101)
        return ParseResult::invalid;
    keepAlive = line[7] == '1';
    state_ = State::headers;
    return ParseResult::complete;
}

HttpResponseParser::ParseResult HttpResponseParser::parseHeader() {
    const std::string_view line = line_;
    const std::size_t colon = line.find(':');
    if (colon == line.npos || !isToken(line.substr(0, colon))) return ParseResult::invalid;
    const std::string_view name = line.substr(0, colon), value = trimWhitespace(line.substr(colon + 1));
    if (equalsIgnoreCase(name, "Content-Length")) {
        if (hasContentLength_ || !parseDecimal(value, remainingBytes_)) return ParseResult::invalid;
        hasContentLength_ = true;
    } else if (equalsIgnoreCase(name, "Transfer-Encoding")) {
        if (chunked_ || !equalsIgnoreCase(value, "chunked")) return ParseResult::invalid;
        chunked_ = true;
    } else if (equalsIgnoreCase(name, "Connection")) {
        keepAlive = keepAlive && !equalsIgnoreCase(value, "close");
    } else if (equalsIgnoreCase(name, "Srv-Declined")) {
        declined = value == "1";
    } else if (equalsIgnoreCase(name, "Content-Type")) {
        contentType = value;
    }
    return ParseResult::complete;
}

HttpResponseParser::ParseResult HttpResponseParser::finishHeaders() {
    if (statusCode < 200) {  // 1xx: the final response follows
        if (hasContentLength_ || chunked_) return ParseResult::invalid;
        declined = false;
        state_ = State::statusLine;
        return ParseResult::complete;
    }
    const bool noBody = statusCode == 204 || statusCode == 304;
    if (hasContentLength_ && chunked_) return ParseResult::invalid;
    if (!noBody && !hasContentLength_ && !chunked_) {
        keepAlive = false;
        state_ = State::untilClose;
        return ParseResult::complete;
    }
    if (remainingBytes_ > limits_.maxStreamedAnswerBytes) return ParseResult::invalid;
    state_ = noBody ? State::done : chunked_ ? State::chunkSize : State::body;
    return ParseResult::complete;
}

HttpResponseParser::ParseResult HttpResponseParser::parseChunkSize() {
    const std::string_view digits = trimWhitespace(std::string_view(line_).substr(0, line_.find(';')));
    const auto [next, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), remainingBytes_, 16);
    if (digits.empty() || error != std::errc{} || next != digits.data() + digits.size() ||
        remainingBytes_ > limits_.maxStreamedAnswerBytes)
        return ParseResult::invalid;
    state_ = remainingBytes_ == 0 ? State::trailers : State::chunkData;
    return ParseResult::complete;
}

HttpResponseParser::ParseResult HttpResponseParser::readBody(std::string_view& in, State next) {
    const std::size_t consumed =
        static_cast<std::size_t>(std::min<std::uint64_t>(remainingBytes_, in.size()));
    body += in.substr(0, consumed);
    in.remove_prefix(consumed);
    remainingBytes_ -= consumed;
    if (remainingBytes_ > 0) return ParseResult::needMore;
    state_ = next;
    return ParseResult::complete;
}

}  // namespace martencove
