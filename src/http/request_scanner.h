// Finds the end of a client's HTTP/1.1 request while it arrives; does no I/O. It bounds every part: evhttp
// bounds the head and the body but not the line with a chunk's size, and keeps what it has parsed of an
// unfinished request in many times the size of its text.
//
// Only the framing is checked. The fields' meaning, and framing that contradicts itself, are left to evhttp
// and validateFraming(), which get the whole request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace martencove {

/// Bounds of one request, in bytes.
struct RequestBounds {
    std::size_t maxHeadBytes;  ///< of the request line, the fields and the trailers together
    std::size_t maxBodyBytes;
};

/// Scans one request.
class RequestScanner {
public:
    enum class State { head, body, chunkSize, chunkData, chunkDataEnd, trailers, complete, malformed };

    explicit RequestScanner(const RequestBounds& bounds) : bounds_(bounds) {}

    /// Consumes bytes from the front of `in` and appends to `kept` what stands for them in a whole request:
    /// the bytes themselves, or of a body in chunks the data, as one chunk once it is complete. Stops at the
    /// end of the head, at the end of the request and when the request is malformed; to be called again
    /// while `in` is not empty. Returns the number of bytes consumed.
    std::size_t scan(std::string_view in, std::string& kept);

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] bool headComplete() const { return state_ != State::head; }
    /// How many more bytes may be kept until the request is complete. Known from the end of the head on.
    [[nodiscard]] std::size_t maxRemainingBytes() const;
    /// Bytes of the body that have arrived.
    [[nodiscard]] std::size_t bodyBytes() const { return bodyBytes_; }
    /// Whether the client waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expectsContinue() const { return expectsContinue_ && bodyBytes_ == 0; }
    /// The status of the answer to a malformed request: 400, 413 (body too long) or 431 (head too long).
    [[nodiscard]] int errorStatus() const { return errorStatus_; }

private:
    /// Moves the present line from the front of `in` to the end of `text`. Returns whether it is complete.
    bool takeLine(std::string_view& in, std::string& text, std::size_t maxBytes, int errorStatus);
    void scanHeadLine(std::string_view& in, std::string& kept);
    void parseRequestLine(std::string_view line);
    void parseField(std::string_view line);
    void endHead();
    void takeBody(std::string_view& in, std::string& kept, State next);
    void scanChunkSize(std::string_view& in);
    void scanChunkDataEnd(std::string_view& in);
    void scanTrailers(std::string_view& in, std::string& kept);
    void reframeChunks(std::string& kept) const;
    void fail(int status);

    enum class Field { other, contentLength, transferEncoding, expect };

    RequestBounds bounds_;
    State state_ = State::head;
    std::string line_;           // the present line of the chunks' framing
    std::string trailers_;       // as received
    std::size_t lineBytes_ = 0;  // of the present line
    std::size_t headBytes_ = 0;  // of the complete lines of the head, as evhttp counts: without line ends
    std::size_t bodyBegin_ = 0;  // in the kept bytes
    std::size_t bodyBytes_ = 0;
    std::uint64_t remainingBytes_ = 0;  // of the body or of the present chunk
    std::uint64_t contentLength_ = 0;
    Field lastField_ = Field::other;
    int errorStatus_ = 0;
    bool requestLineSeen_ = false;
    bool isHttp10_ = false;
    bool hasContentLength_ = false;
    bool hasTransferEncoding_ = false;
    bool chunked_ = false;
    bool expectsContinue_ = false;
    bool expectsOther_ = false;
};

}  // namespace martencove
