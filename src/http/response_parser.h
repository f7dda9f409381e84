// Incremental parser for HTTP/1.1 responses from storage nodes; does no I/O. It is strict: any malformed byte
// makes the response invalid. evhttp's client is not used since it accepts malformed responses and mishandles
// 1xx ones.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/limits.h"

namespace martencove {

/// Parses one response. Feed it with parse() until that returns `complete` or `invalid`.
class HttpResponseParser {
public:
    enum class ParseResult { needMore, complete, invalid };

    explicit HttpResponseParser(const Limits& limits) : limits_(limits) {}

    /// Consumes the bytes at the front of `in` that belong to the response. Preceding 1xx responses are
    /// skipped, except for 101, which is invalid.
    ParseResult parse(std::string_view& in);

    /// Returns whether the status line and all headers have been parsed.
    [[nodiscard]] bool headersComplete() const { return state_ > State::headers; }
    /// Returns the number of body bytes still to come, or nothing if there was no Content-Length.
    [[nodiscard]] std::optional<std::uint64_t> remainingBodyBytes() const {
        return hasContentLength_ ? std::optional(remainingBytes_) : std::nullopt;
    }
    /// Returns whether the response has neither Content-Length nor chunks: it is complete when the node
    /// closes the connection in order; a reset is an error.
    [[nodiscard]] bool readsUntilClose() const { return state_ == State::untilClose; }

    // Valid once the response is complete. `body` lacks the bytes that the caller has removed from it
    // meanwhile.
    int statusCode = 0;
    bool declined = false;  ///< Srv-Declined: 1; the node has not run the request
    bool keepAlive = true;  ///< the connection may be reused
    std::string contentType;
    std::string body;

private:
    enum class State {
        statusLine,
        headers,
        body,
        untilClose,
        chunkSize,
        chunkData,
        chunkDataEnd,
        trailers,
        done
    };

    ParseResult parseNext(std::string_view& in);
    ParseResult readLine(std::string_view& in);
    ParseResult parseStatusLine();
    ParseResult parseHeader();
    ParseResult finishHeaders();
    ParseResult parseChunkSize();
    ParseResult readBody(std::string_view& in, State next);

    const Limits& limits_;
    State state_ = State::statusLine;
    std::string line_;                  // the current line, as far as received
    std::size_t headerBytes_ = 0;       // of all lines, including 1xx responses and trailers
    std::uint64_t remainingBytes_ = 0;  // of the body or of the current chunk
    bool hasContentLength_ = false;
    bool chunked_ = false;
};

}  // namespace martencove
