#include "http/request_scanner.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "http/text.h"

namespace martencove {
namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr std::size_t kMaxChunkLineBytes = 128;  // a chunk's size with its extensions
// What a body in one chunk has beside its data: the size's line, the line ends and the last chunk.
constexpr std::size_t kChunkFramingBytes = 32;
constexpr std::string_view kLastChunk = "\r\n0\r\n";

std::string_view withoutLineEnd(std::string_view line) {
    if (line.ends_with('\n')) line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
}

/// Parses a chunk's size and skips its extensions. Returns false if there is no size.
bool parseChunkSize(std::string_view line, std::uint64_t& size) {
    const std::string_view digits = trimWhitespace(line.substr(0, line.find(';')));
    const auto [next, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return !digits.empty() && digits.front() != '-' && error == std::errc{} &&
           next == digits.data() + digits.size();
}

}  // namespace

std::size_t RequestScanner::scan(std::string_view in, std::string& kept) {
    const std::size_t size = in.size();
    const bool inHead = state_ == State::head;
    while (!in.empty() && state_ != State::complete && state_ != State::malformed) {
        switch (state_) {
            case State::head:
                scanHeadLine(in, kept);
                break;
            case State::body:
                takeBody(in, kept, State::complete);
                break;
            case State::chunkSize:
                scanChunkSize(in);
                break;
            case State::chunkData:
                takeBody(in, kept, State::chunkDataEnd);
                break;
            case State::chunkDataEnd:
                scanChunkDataEnd(in);
                break;
            case State::trailers:
                scanTrailers(in, kept);
                break;
            case State::complete:
            case State::malformed:
                break;
        }
        if (inHead && state_ != State::head) break;
    }
    return size - in.size();
}

std::size_t RequestScanner::maxRemainingBytes() const {
    if (state_ == State::body) return static_cast<std::size_t>(remainingBytes_);
    if (!chunked_ || state_ == State::complete) return 0;
    return bounds_.maxBodyBytes - bodyBytes_ + kChunkFramingBytes + bounds_.maxHeadBytes;
}

void RequestScanner::fail(int status) {
    state_ = State::malformed;
    errorStatus_ = status;
}

bool RequestScanner::takeLine(std::string_view& in, std::string& text, std::size_t maxBytes,
                              int errorStatus) {
    const std::size_t end = in.find('\n');
    const std::string_view part = in.substr(0, end == in.npos ? in.size() : end + 1);
    // The line end does not count.
    if (lineBytes_ + withoutLineEnd(part).size() > maxBytes) {
        fail(errorStatus);
        return false;
    }
    text += part;
    lineBytes_ += part.size();
    in.remove_prefix(part.size());
    return end != in.npos;
}

void RequestScanner::scanHeadLine(std::string_view& in, std::string& kept) {
    if (!takeLine(in, kept, bounds_.maxHeadBytes - headBytes_, kHeadTooLarge)) return;
    const std::size_t lineBytes = std::exchange(lineBytes_, 0);
    const std::string_view line = withoutLineEnd(std::string_view(kept).substr(kept.size() - lineBytes));
    headBytes_ += line.size();
    if (!std::exchange(requestLineSeen_, true)) return parseRequestLine(line);
    if (!line.empty()) return parseField(line);
    endHead();
    bodyBegin_ = kept.size();
}

void RequestScanner::parseRequestLine(std::string_view line) {
    const std::size_t firstBlank = line.find(' ');
    const std::size_t lastBlank = line.rfind(' ');
    if (firstBlank == lastBlank) return fail(kBadRequest);
    isHttp10_ = line.substr(lastBlank + 1) == "HTTP/1.0";
}

void RequestScanner::parseField(std::string_view line) {
    if (line.front() == ' ' || line.front() == '\t') {  // continues the last field
        if (lastField_ != Field::other) fail(kBadRequest);
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == line.npos) return fail(kBadRequest);
    const std::string_view name = line.substr(0, colon), value = trimWhitespace(line.substr(colon + 1));
    lastField_ = Field::other;
    if (equalsIgnoreCase(name, "content-length")) {
        lastField_ = Field::contentLength;
        // Of several lengths evhttp uses the first; the request is rejected once it is whole.
        if (std::exchange(hasContentLength_, true)) return;
        if (!parseDecimal(value, contentLength_)) fail(kBadRequest);
    } else if (equalsIgnoreCase(name, "transfer-encoding")) {
        lastField_ = Field::transferEncoding;
        if (std::exchange(hasTransferEncoding_, true)) return;
        chunked_ = equalsIgnoreCase(value, "chunked");
    } else if (equalsIgnoreCase(name, "expect")) {
        lastField_ = Field::expect;
        expectsContinue_ = !isHttp10_ && equalsIgnoreCase(value, "100-continue");
        expectsOther_ = !isHttp10_ && !expectsContinue_;
    }
}

void RequestScanner::endHead() {
    if (hasContentLength_ && hasTransferEncoding_) return fail(kBadRequest);
    if (expectsOther_) {  // evhttp refuses what it does not know how to expect
        state_ = State::complete;
    } else if (chunked_) {
        state_ = State::chunkSize;
    } else if (contentLength_ > bounds_.maxBodyBytes) {
        fail(kContentTooLarge);
    } else {
        remainingBytes_ = contentLength_;
        state_ = remainingBytes_ > 0 ? State::body : State::complete;
    }
}

void RequestScanner::takeBody(std::string_view& in, std::string& kept, State next) {
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(in.size(), remainingBytes_));
    kept.append(in.substr(0, size));
    in.remove_prefix(size);
    bodyBytes_ += size;
    remainingBytes_ -= size;
    if (remainingBytes_ == 0) state_ = next;
}

void RequestScanner::scanChunkSize(std::string_view& in) {
    if (!takeLine(in, line_, kMaxChunkLineBytes, kBadRequest)) return;
    lineBytes_ = 0;
    const bool valid = parseChunkSize(withoutLineEnd(line_), remainingBytes_);
    line_.clear();
    if (!valid) return fail(kBadRequest);
    if (remainingBytes_ > bounds_.maxBodyBytes - bodyBytes_) return fail(kContentTooLarge);
    state_ = remainingBytes_ > 0 ? State::chunkData : State::trailers;
}

void RequestScanner::scanChunkDataEnd(std::string_view& in) {
    const char next = in.front();
    in.remove_prefix(1);
    if (next == '\n') {
        line_.clear();
        state_ = State::chunkSize;
    } else if (next == '\r' && line_.empty()) {
        line_ = next;
    } else {
        fail(kBadRequest);
    }
}

void RequestScanner::scanTrailers(std::string_view& in, std::string& kept) {
    const std::size_t usedBytes = std::min(bounds_.maxHeadBytes, headBytes_ + trailers_.size() - lineBytes_);
    if (!takeLine(in, trailers_, bounds_.maxHeadBytes - usedBytes, kHeadTooLarge)) return;
    const std::size_t lineBytes = std::exchange(lineBytes_, 0);
    if (!withoutLineEnd(std::string_view(trailers_).substr(trailers_.size() - lineBytes)).empty()) return;
    reframeChunks(kept);
    state_ = State::complete;
}

void RequestScanner::reframeChunks(std::string& kept) const {
    if (bodyBytes_ == 0) {
        kept += kLastChunk.substr(2);
    } else {
        std::array<char, kChunkFramingBytes> size{};
        char* const end = std::to_chars(size.data(), size.data() + size.size(), bodyBytes_, 16).ptr;
        kept.insert(bodyBegin_, std::string(size.data(), end) + "\r\n");
        kept += kLastChunk;
    }
    kept += trailers_;
}

}  // namespace martencove
