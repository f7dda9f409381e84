// A node's answer over HTTP/1.1, out of bytes as they come. Pure: no sockets. evhttp's client takes answers
// that are spoilt and stumbles over 1xx ones; here a byte out of place makes the answer bad.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/limits.h"

namespace martencove {

class HttpResponseParser {
public:
    enum class ParseResult { needMore, complete, invalid };

    explicit HttpResponseParser(const Limits& limits) : limits_(limits) {}

    /// Takes what belongs to the answer off the front of `in`. 1xx answers before it are passed over.
    ParseResult parse(std::string_view& in);

    /// Its status and headers have come.
    [[nodiscard]] bool headersComplete() const { return state_ > State::headers; }
    /// Of a body whose length was told, what is still to come.
    [[nodiscard]] std::optional<std::uint64_t> remainingBodyBytes() const {
        return hasContentLength_ ? std::optional(remainingBytes_) : std::nullopt;
    }
    /// Neither a length nor chunks: it is whole once the node ends the connection. A reset is no end.
    [[nodiscard]] bool readsUntilClose() const { return state_ == State::untilClose; }

    // Of a whole answer, `body` but for what was taken from it meanwhile:
    int statusCode = 0;
    bool declined = false;  ///< the node says that it has not run the request
    bool keepAlive = true;  ///< the connection may be used again
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
    std::string line_;                  // what has come of the present one
    std::size_t headerBytes_ = 0;       // of all lines, those of 1xx answers and of trailers too
    std::uint64_t remainingBytes_ = 0;  // of the body, or of its present chunk
    bool hasContentLength_ = false;     // Content-Length was told
    bool chunked_ = false;
};

}  // namespace martencove
