// Encodes and decodes NBD messages: the fixed newstyle handshake, and transmission with simple and structured
// replies. Does no I/O.
//
// The decode functions remove one message from the front of `in`. On DecodeResult::needMore, `in` is left
// unchanged, while `out` may be partly filled.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martencove::nbd {

enum class DecodeResult { needMore, complete, malformed };

// ---- Handshake ----

inline constexpr std::uint16_t kFixedNewstyle = 1, kNoZeroes = 2;  // handshake flags of both sides
inline constexpr std::uint16_t kExportHasFlags = 1, kExportReadOnly = 2,
                               kExportSendDf = 1 << 7;  // transmission flags

enum class Option : std::uint32_t {
    exportName = 1,
    abort = 2,
    list = 3,
    info = 6,
    go = 7,
    structuredReply = 8
};
enum class OptionReplyType : std::uint32_t {
    ack = 1,
    server = 2,
    info = 3,
    unsupported = 0x80000001,
    policy = 0x80000002,
    invalid = 0x80000003,
    unknown = 0x80000006,
    shutdown = 0x80000007,
    tooBig = 0x80000009
};

struct Greeting {
    std::uint16_t flags = 0;
};
struct OptionMessage {
    Option option{};
    std::string data;
};
struct OptionReplyMessage {
    Option option{};
    OptionReplyType type{};
    std::string data;
};
/// The data of the options INFO and GO.
struct InfoRequest {
    std::string name;
    std::vector<std::uint16_t> infoTypes;
};
struct ExportInfo {
    std::uint64_t size = 0;
    std::uint16_t flags = 0;
};

[[nodiscard]] std::string encode(const Greeting& greeting);
[[nodiscard]] std::string encodeClientFlags(std::uint32_t flags);
[[nodiscard]] std::string encode(const OptionMessage& message);
[[nodiscard]] std::string encode(const OptionReplyMessage& reply);
/// Returns the data of an INFO or GO option.
[[nodiscard]] std::string encode(const InfoRequest& request);
/// Returns the data of an option reply of type `info`.
[[nodiscard]] std::string encodeExportInfo(const ExportInfo& info);
/// Returns the data of an option reply of type `info`; `maxBlockBytes` is the largest block size.
[[nodiscard]] std::string encodeBlockSizes(std::uint32_t maxBlockBytes);
/// Returns the data of an option reply of type `server`.
[[nodiscard]] std::string encodeListEntry(const std::string& name);
/// Returns the reply to the option EXPORT_NAME. `zeroes`: whether the padding follows it.
[[nodiscard]] std::string encodeExportNameReply(const ExportInfo& info, bool zeroes);

[[nodiscard]] DecodeResult decode(std::string_view& in, Greeting& out);
[[nodiscard]] DecodeResult decodeClientFlags(std::string_view& in, std::uint32_t& out);
/// Messages with more than `maxBytes` of data are malformed.
[[nodiscard]] DecodeResult decode(std::string_view& in, OptionMessage& out, std::size_t maxBytes);
[[nodiscard]] DecodeResult decode(std::string_view& in, OptionReplyMessage& out, std::size_t maxBytes);
[[nodiscard]] std::optional<InfoRequest> decodeInfoRequest(std::string_view data);
/// Returns std::nullopt for info of another type than NBD_INFO_EXPORT, and for malformed data.
[[nodiscard]] std::optional<ExportInfo> decodeExportInfo(std::string_view data);

// ---- Transmission ----

enum class Command : std::uint16_t { read = 0, write = 1, disconnect = 2 };
inline constexpr std::uint16_t kCommandFlagDf = 1 << 2;
inline constexpr std::uint16_t kReplyFlagDone = 1;
enum class ChunkType : std::uint16_t { none = 0, data = 1, hole = 2, error = 0x8001, errorOffset = 0x8002 };
inline constexpr std::uint16_t kChunkErrorBit = 0x8000;
enum class Error : std::uint32_t {
    none = 0,
    io = 5,
    noMemory = 12,
    invalid = 22,
    noSpace = 28,
    shutdown = 108
};

struct CommandMessage {
    std::uint16_t flags = 0;
    Command command{};
    std::uint64_t cookie = 0;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    std::string data;  ///< the payload of a write
};
struct SimpleReply {
    Error error{};
    std::uint64_t cookie = 0;
};
struct ChunkMessage {
    std::uint16_t flags = 0;
    ChunkType type{};
    std::uint64_t cookie = 0;
    std::string payload;
};
struct ErrorChunk {
    Error error{};
    std::string text;
};

[[nodiscard]] std::string encode(const CommandMessage& message);
[[nodiscard]] std::string encode(const SimpleReply& reply);
[[nodiscard]] std::string encode(const ChunkMessage& chunk);
/// Returns the payload of an error chunk.
[[nodiscard]] std::string encodeError(const ErrorChunk& error);
/// Returns the payload of a data chunk.
[[nodiscard]] std::string encodeData(std::uint64_t offset, std::string_view data);
/// Returns the payload of a hole chunk.
[[nodiscard]] std::string encodeHole(std::uint64_t offset, std::uint32_t length);

/// Decodes a write longer than `maxBytes` without its data and leaves the data in `in`, so no further
/// command can be read from that connection.
[[nodiscard]] DecodeResult decode(std::string_view& in, CommandMessage& out, std::size_t maxBytes);
[[nodiscard]] DecodeResult decode(std::string_view& in, SimpleReply& out);
/// Chunks with a payload of more than `maxBytes` are malformed.
[[nodiscard]] DecodeResult decode(std::string_view& in, ChunkMessage& out, std::size_t maxBytes);
/// Returns std::nullopt if the payload is malformed or its error code is 0.
[[nodiscard]] std::optional<ErrorChunk> decodeError(std::string_view payload);

/// Assembles the chunks of a structured reply to one read, in any order. Each byte may be sent only once.
class ReadAssembler {
public:
    ReadAssembler(std::uint64_t offset, std::uint32_t length, std::size_t maxChunks);
    /// Returns false if the chunk is malformed, lies outside the read, overlaps another chunk, or exceeds
    /// `maxChunks`.
    [[nodiscard]] bool add(const ChunkMessage& chunk);
    [[nodiscard]] bool isComplete() const { return missingBytes_ == 0; }
    [[nodiscard]] std::string& data() { return data_; }
    /// The first error chunk.
    [[nodiscard]] const std::optional<ErrorChunk>& error() const { return error_; }

private:
    [[nodiscard]] bool fillRange(std::uint64_t offset, std::uint64_t length, const char* source);

    std::uint64_t offset_;
    std::string data_;
    std::vector<bool> received_;
    std::size_t missingBytes_;
    std::size_t chunksLeft_;
    std::optional<ErrorChunk> error_;
};

}  // namespace martencove::nbd
