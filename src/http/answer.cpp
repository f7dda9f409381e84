#include "http/answer.h"

#include <algorithm>
#include <charconv>

#include "http/text.h"

namespace martencove {

AnswerReader::Got AnswerReader::take(std::string_view& in) {
    Got got = Got::whole;
    while (got == Got::whole && part_ != Part::done) got = step(in);
    return got;
}

AnswerReader::Got AnswerReader::step(std::string_view& in) {
    if (part_ == Part::untilEnd) {
        body += in;
        in.remove_prefix(in.size());
        return Got::more;
    }
    if (part_ == Part::body) return bytes(in, Part::done);
    if (part_ == Part::chunk) return bytes(in, Part::chunkEnd);
    if (const Got got = takeLine(in); got != Got::whole) return got;
    Got got = Got::whole;
    switch (part_) {
        case Part::status:
            got = status();
            break;
        case Part::headers:
            got = line_.empty() ? headEnds() : header();
            break;
        case Part::chunkSize:
            got = chunkSize();
            break;
        case Part::chunkEnd:
            got = line_.empty() ? Got::whole : Got::bad;
            part_ = Part::chunkSize;
            break;
        case Part::trailers:
            if (line_.empty()) part_ = Part::done;
            break;
        default:
            break;
    }
    line_.clear();
    return got;
}

// Lines end with CR LF, and hold neither.
AnswerReader::Got AnswerReader::takeLine(std::string_view& in) {
    const std::size_t end = std::min(in.find('\n'), in.size());
    const std::size_t taken = std::min(end + 1, in.size());
    headBytes_ += taken;
    line_ += in.substr(0, taken);
    in.remove_prefix(taken);
    if (headBytes_ > limits_.headers) return Got::bad;
    constexpr std::string_view kVersion = "HTTP/1.";
    const std::size_t seen = std::min(line_.size(), kVersion.size());
    if (part_ == Part::status && line_.compare(0, seen, kVersion, 0, seen) != 0) return Got::bad;
    if (line_.empty() || line_.back() != '\n') return Got::more;
    line_.pop_back();
    if (line_.empty() || line_.back() != '\r') return Got::bad;
    line_.pop_back();
    return line_.find('\r') == line_.npos ? Got::whole : Got::bad;
}

// "HTTP/1.1 200" and perhaps a reason.
AnswerReader::Got AnswerReader::status() {
    const std::string_view line = line_;
    if (line.size() < 12 || (line[7] != '0' && line[7] != '1') || line[8] != ' ' ||
        (line.size() > 12 && line[12] != ' ') || !readDigits(line.substr(9, 3), code) || code < 100 ||
        code == 101)
        return Got::bad;
    keepAlive = line[7] == '1';
    part_ = Part::headers;
    return Got::whole;
}

AnswerReader::Got AnswerReader::header() {
    const std::string_view line = line_;
    const std::size_t colon = line.find(':');
    if (colon == line.npos || !isToken(line.substr(0, colon))) return Got::bad;
    const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (sameText(name, "Content-Length")) {
        if (sized_ || !readDigits(value, left_)) return Got::bad;
        sized_ = true;
    } else if (sameText(name, "Transfer-Encoding")) {
        if (chunked_ || !sameText(value, "chunked")) return Got::bad;
        chunked_ = true;
    } else if (sameText(name, "Connection")) {
        keepAlive = keepAlive && !sameText(value, "close");
    } else if (sameText(name, "Srv-Declined")) {
        declined = value == "1";
    } else if (sameText(name, "Content-Type")) {
        contentType = value;
    }
    return Got::whole;
}

AnswerReader::Got AnswerReader::headEnds() {
    if (code < 200) {  // for information only: the answer is still to come
        if (sized_ || chunked_) return Got::bad;
        declined = false;
        part_ = Part::status;
        return Got::whole;
    }
    const bool none = code == 204 || code == 304;
    if (sized_ && chunked_) return Got::bad;
    if (!none && !sized_ && !chunked_) {
        keepAlive = false;
        part_ = Part::untilEnd;
        return Got::whole;
    }
    if (left_ > limits_.passMost) return Got::bad;
    part_ = none ? Part::done : chunked_ ? Part::chunkSize : Part::body;
    return Got::whole;
}

AnswerReader::Got AnswerReader::chunkSize() {
    const std::string_view digits = trimmed(std::string_view(line_).substr(0, line_.find(';')));
    const auto [next, error] = std::from_chars(digits.data(), digits.data() + digits.size(), left_, 16);
    if (digits.empty() || error != std::errc{} || next != digits.data() + digits.size() ||
        left_ > limits_.passMost)
        return Got::bad;
    part_ = left_ == 0 ? Part::trailers : Part::chunk;
    return Got::whole;
}

AnswerReader::Got AnswerReader::bytes(std::string_view& in, Part next) {
    const std::size_t taken = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size()));
    body += in.substr(0, taken);
    in.remove_prefix(taken);
    left_ -= taken;
    if (left_ > 0) return Got::more;
    part_ = next;
    return Got::whole;
}

}  // namespace martencove
