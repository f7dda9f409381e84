// NBD's messages (fixed newstyle handshake, transmission with simple and structured replies) as values, both
// ways. Pure: no sockets. A take() leaves `in` as it was where more bytes are needed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martencove::nbd {

enum class DecodeResult { needMore, complete, malformed };

// ---- Handshake ----

inline constexpr std::uint16_t kFixedNewstyle = 1, kNoZeroes = 2;  // the server's, and the client's
inline constexpr std::uint16_t kExportHasFlags = 1, kExportReadOnly = 2,
                               kExportSendDf = 1 << 7;  // of an export

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
/// The data of INFO and GO.
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
[[nodiscard]] std::string encode(const OptionReplyMessage& answer);
[[nodiscard]] std::string encode(const InfoRequest& request);        ///< as data
[[nodiscard]] std::string encodeExportInfo(const ExportInfo& info);  ///< as data of an info reply
[[nodiscard]] std::string encodeBlockSizes(std::uint32_t most);      ///< as data of an info reply
[[nodiscard]] std::string encodeListEntry(const std::string& name);  ///< as data of a server reply
[[nodiscard]] std::string encodeExportNameReply(const ExportInfo& info,
                                                bool zeroes);  ///< the answer to EXPORT_NAME

[[nodiscard]] DecodeResult decode(std::string_view& in, Greeting& out);
[[nodiscard]] DecodeResult decodeClientFlags(std::string_view& in, std::uint32_t& out);
[[nodiscard]] DecodeResult decode(std::string_view& in, OptionMessage& out, std::size_t most);
[[nodiscard]] DecodeResult decode(std::string_view& in, OptionReplyMessage& out, std::size_t most);
[[nodiscard]] std::optional<InfoRequest> decodeInfoRequest(std::string_view data);
/// Nothing for an info of another kind.
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
    std::string data;  ///< of a write
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
[[nodiscard]] std::string encodeError(const ErrorChunk& error);                     ///< as payload
[[nodiscard]] std::string encodeData(std::uint64_t offset, std::string_view data);  ///< as payload
[[nodiscard]] std::string encodeHole(std::uint64_t offset, std::uint32_t length);   ///< as payload

/// A write longer than `most` comes without its data: the connection cannot go on after it.
[[nodiscard]] DecodeResult decode(std::string_view& in, CommandMessage& out, std::size_t most);
[[nodiscard]] DecodeResult decode(std::string_view& in, SimpleReply& out);
[[nodiscard]] DecodeResult decode(std::string_view& in, ChunkMessage& out, std::size_t most);
[[nodiscard]] std::optional<ErrorChunk> decodeError(std::string_view payload);

/// Puts the chunks of one read together. Each byte may come once.
class ReadAssembler {
public:
    ReadAssembler(std::uint64_t offset, std::uint32_t length, std::size_t mostChunks);
    /// False: the chunk is out of place, twice there, or one too many.
    [[nodiscard]] bool add(const ChunkMessage& chunk);
    [[nodiscard]] bool isComplete() const { return missingBytes_ == 0; }
    [[nodiscard]] std::string& data() { return data_; }
    [[nodiscard]] const std::optional<ErrorChunk>& error() const { return error_; }

private:
    [[nodiscard]] bool fillRange(std::uint64_t offset, std::uint64_t length, const char* from);

    std::uint64_t offset_;
    std::string data_;
    std::vector<bool> received_;
    std::size_t missingBytes_;
    std::size_t chunksLeft_;
    std::optional<ErrorChunk> error_;
};

}  // namespace martencove::nbd
