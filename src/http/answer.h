// A node's answer over HTTP/1.1, out of bytes as they come. Pure: no sockets. evhttp's client takes answers
// that are spoilt and stumbles over 1xx ones; here a byte out of place makes the answer bad.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/limits.h"

namespace martencove {

class AnswerReader {
public:
    enum class Got { more, whole, bad };

    explicit AnswerReader(const Limits& limits) : limits_(limits) {}

    /// Takes what belongs to the answer off the front of `in`. 1xx answers before it are passed over.
    Got take(std::string_view& in);

    /// Its status and headers have come.
    [[nodiscard]] bool headCame() const { return part_ > Part::headers; }
    /// Of a body whose length was told, what is still to come.
    [[nodiscard]] std::optional<std::uint64_t> left() const {
        return sized_ ? std::optional(left_) : std::nullopt;
    }
    /// Neither a length nor chunks: it is whole once the node ends the connection. A reset is no end.
    [[nodiscard]] bool untilEnd() const { return part_ == Part::untilEnd; }

    // Of a whole answer, `body` but for what was taken from it meanwhile:
    int code = 0;
    bool declined = false;  ///< the node says that it has not run the request
    bool keepAlive = true;  ///< the connection may be used again
    std::string contentType;
    std::string body;

private:
    enum class Part { status, headers, body, untilEnd, chunkSize, chunk, chunkEnd, trailers, done };

    Got step(std::string_view& in);
    Got takeLine(std::string_view& in);
    Got status();
    Got header();
    Got headEnds();
    Got chunkSize();
    Got bytes(std::string_view& in, Part next);

    const Limits& limits_;
    Part part_ = Part::status;
    std::string line_;           // what has come of the present one
    std::size_t headBytes_ = 0;  // of all lines, those of 1xx answers and of trailers too
    std::uint64_t left_ = 0;     // of the body, or of its present chunk
    bool sized_ = false;         // Content-Length was told
    bool chunked_ = false;
};

}  // namespace martencove
