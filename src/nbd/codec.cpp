#include "nbd/codec.h"

#include <algorithm>
#include <concepts>

namespace martencove::nbd {
namespace {

constexpr std::uint64_t kInitMagic = 0x4e42444d41474943;    // "NBDMAGIC"
constexpr std::uint64_t kOptionMagic = 0x49484156454f5054;  // "IHAVEOPT"
constexpr std::uint64_t kOptionReplyMagic = 0x3e889045565a9;
constexpr std::uint32_t kCommandMagic = 0x25609513;
constexpr std::uint32_t kSimpleReplyMagic = 0x67446698;
constexpr std::uint32_t kChunkMagic = 0x668e33ef;
constexpr std::uint16_t kInfoExport = 0, kInfoBlockSizes = 3;
constexpr std::size_t kExportNamePaddingBytes = 124;  // zeroes after the reply to EXPORT_NAME

template <std::unsigned_integral Number>
void put(std::string& out, Number value) {
    for (int shift = 8 * (static_cast<int>(sizeof value) - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift);
}
template <typename Enum>
requires std::is_enum_v<Enum>
void put(std::string& out, Enum value) { put(out, static_cast<std::underlying_type_t<Enum>>(value)); }
template <typename... Values>
std::string join(Values... values) {
    std::string out;
    (put(out, values), ...);
    return out;
}

template <std::unsigned_integral Number>
bool get(std::string_view& in, Number& value) {
    if (in.size() < sizeof value) return false;
    value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = static_cast<Number>(value << 8 | static_cast<unsigned char>(in[i]));
    in.remove_prefix(sizeof value);
    return true;
}
template <typename Enum>
requires std::is_enum_v<Enum>
bool get(std::string_view& in, Enum& value) {
    std::underlying_type_t<Enum> number{};
    if (!get(in, number)) return false;
    value = static_cast<Enum>(number);
    return true;
}
template <typename... Values>
bool getAll(std::string_view& in, Values&... values) {
    return (get(in, values) && ...);
}
bool getBytes(std::string_view& in, std::size_t size, std::string& out) {
    if (in.size() < size) return false;
    out = in.substr(0, size);
    in.remove_prefix(size);
    return true;
}

/// Compares as much of `magic` as has arrived, so that other input is rejected before a whole header is
/// there.
bool mayBegin(std::string_view in, const std::string& magic) {
    return in.substr(0, magic.size()) == std::string_view(magic).substr(0, in.size());
}

}  // namespace

std::string encode(const Greeting& greeting) { return join(kInitMagic, kOptionMagic, greeting.flags); }
std::string encodeClientFlags(std::uint32_t flags) { return join(flags); }
std::string encode(const OptionMessage& message) {
    return join(kOptionMagic, message.option, static_cast<std::uint32_t>(message.data.size())) + message.data;
}
std::string encode(const OptionReplyMessage& reply) {
    return join(kOptionReplyMagic, reply.option, reply.type, static_cast<std::uint32_t>(reply.data.size())) +
           reply.data;
}
std::string encode(const InfoRequest& request) {
    std::string out = join(static_cast<std::uint32_t>(request.name.size())) + request.name;
    put(out, static_cast<std::uint16_t>(request.infoTypes.size()));
    for (const std::uint16_t type : request.infoTypes) put(out, type);
    return out;
}
std::string encodeExportInfo(const ExportInfo& info) { return join(kInfoExport, info.size, info.flags); }
std::string encodeBlockSizes(std::uint32_t maxBlockBytes) {
    return join(kInfoBlockSizes, std::uint32_t{1}, std::min<std::uint32_t>(4096, maxBlockBytes),
                maxBlockBytes);
}
std::string encodeListEntry(const std::string& name) {
    return join(static_cast<std::uint32_t>(name.size())) + name;
}
std::string encodeExportNameReply(const ExportInfo& info, bool zeroes) {
    return join(info.size, info.flags) + std::string(zeroes ? kExportNamePaddingBytes : 0, '\0');
}

DecodeResult decode(std::string_view& in, Greeting& out) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kInitMagic, kOptionMagic))) return DecodeResult::malformed;
    std::uint64_t initMagic = 0, magic = 0;
    if (!getAll(rest, initMagic, magic, out.flags)) return DecodeResult::needMore;
    in = rest;
    return (out.flags & kFixedNewstyle) != 0 ? DecodeResult::complete : DecodeResult::malformed;
}
DecodeResult decodeClientFlags(std::string_view& in, std::uint32_t& out) {
    return get(in, out) ? DecodeResult::complete : DecodeResult::needMore;
}
DecodeResult decode(std::string_view& in, OptionMessage& out, std::size_t maxBytes) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kOptionMagic))) return DecodeResult::malformed;
    std::uint64_t magic = 0;
    std::uint32_t size = 0;
    if (!getAll(rest, magic, out.option, size)) return DecodeResult::needMore;
    if (size > maxBytes) return DecodeResult::malformed;
    if (!getBytes(rest, size, out.data)) return DecodeResult::needMore;
    in = rest;
    return DecodeResult::complete;
}
DecodeResult decode(std::string_view& in, OptionReplyMessage& out, std::size_t maxBytes) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kOptionReplyMagic))) return DecodeResult::malformed;
    std::uint64_t magic = 0;
    std::uint32_t size = 0;
    if (!getAll(rest, magic, out.option, out.type, size)) return DecodeResult::needMore;
    if (size > maxBytes) return DecodeResult::malformed;
    if (!getBytes(rest, size, out.data)) return DecodeResult::needMore;
    in = rest;
    return DecodeResult::complete;
}
std::optional<InfoRequest> decodeInfoRequest(std::string_view data) {
    InfoRequest out;
    std::uint32_t size = 0;
    std::uint16_t count = 0;
    if (!get(data, size) || !getBytes(data, size, out.name) || !get(data, count) ||
        data.size() != sizeof(std::uint16_t) * count)
        return std::nullopt;
    out.infoTypes.resize(count);
    for (std::uint16_t& type : out.infoTypes) (void)get(data, type);
    return out;
}
std::optional<ExportInfo> decodeExportInfo(std::string_view data) {
    std::uint16_t type = 0;
    ExportInfo out;
    if (!getAll(data, type, out.size, out.flags) || type != kInfoExport || !data.empty()) return std::nullopt;
    return out;
}

std::string encode(const CommandMessage& message) {
    return join(kCommandMagic, message.flags, message.command, message.cookie, message.offset,
                message.length) +
           message.data;
}
std::string encode(const SimpleReply& reply) { return join(kSimpleReplyMagic, reply.error, reply.cookie); }
std::string encode(const ChunkMessage& chunk) {
    return join(kChunkMagic, chunk.flags, chunk.type, chunk.cookie,
                static_cast<std::uint32_t>(chunk.payload.size())) +
           chunk.payload;
}
std::string encodeError(const ErrorChunk& error) {
    return join(error.error, static_cast<std::uint16_t>(error.text.size())) + error.text;
}
std::string encodeData(std::uint64_t offset, std::string_view data) { return join(offset).append(data); }
std::string encodeHole(std::uint64_t offset, std::uint32_t length) { return join(offset, length); }

DecodeResult decode(std::string_view& in, CommandMessage& out, std::size_t maxBytes) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kCommandMagic))) return DecodeResult::malformed;
    std::uint32_t magic = 0;
    if (!getAll(rest, magic, out.flags, out.command, out.cookie, out.offset, out.length))
        return DecodeResult::needMore;
    out.data.clear();
    const bool hasData = out.command == Command::write && out.length <= maxBytes;
    if (hasData && !getBytes(rest, out.length, out.data)) return DecodeResult::needMore;
    in = rest;
    return DecodeResult::complete;
}
DecodeResult decode(std::string_view& in, SimpleReply& out) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kSimpleReplyMagic))) return DecodeResult::malformed;
    std::uint32_t magic = 0;
    if (!getAll(rest, magic, out.error, out.cookie)) return DecodeResult::needMore;
    in = rest;
    return DecodeResult::complete;
}
DecodeResult decode(std::string_view& in, ChunkMessage& out, std::size_t maxBytes) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kChunkMagic))) return DecodeResult::malformed;
    std::uint32_t magic = 0, size = 0;
    if (!getAll(rest, magic, out.flags, out.type, out.cookie, size)) return DecodeResult::needMore;
    if (size > maxBytes) return DecodeResult::malformed;
    if (!getBytes(rest, size, out.payload)) return DecodeResult::needMore;
    in = rest;
    return DecodeResult::complete;
}
std::optional<ErrorChunk> decodeError(std::string_view payload) {
    ErrorChunk out;
    std::uint16_t size = 0;
    if (!getAll(payload, out.error, size) || !getBytes(payload, size, out.text) || out.error == Error::none)
        return std::nullopt;
    return out;
}

ReadAssembler::ReadAssembler(std::uint64_t offset, std::uint32_t length, std::size_t maxChunks)
    : offset_(offset),
      data_(length, '\0'),
      received_(length),
      missingBytes_(length),
      chunksLeft_(maxChunks) {}

bool ReadAssembler::add(const ChunkMessage& chunk) {
    if (chunksLeft_ == 0) return false;
    --chunksLeft_;
    std::string_view in = chunk.payload;
    std::uint64_t offset = 0;
    switch (chunk.type) {
        case ChunkType::none:
            return in.empty() && (chunk.flags & kReplyFlagDone) != 0;
        case ChunkType::data:
            return get(in, offset) && !in.empty() && fillRange(offset, in.size(), in.data());
        case ChunkType::hole: {
            std::uint32_t length = 0;
            return getAll(in, offset, length) && in.empty() && length > 0 &&
                   fillRange(offset, length, nullptr);
        }
        default:
            break;
    }
    if ((static_cast<std::uint16_t>(chunk.type) & kChunkErrorBit) == 0) return false;
    const auto error = decodeError(in);
    if (error && !error_) error_ = error;
    return error.has_value();
}

bool ReadAssembler::fillRange(std::uint64_t offset, std::uint64_t length, const char* source) {
    if (offset < offset_ || offset - offset_ > data_.size() || length > data_.size() - (offset - offset_))
        return false;
    const auto start = static_cast<std::ptrdiff_t>(offset - offset_);
    const auto first = received_.begin() + start, last = first + static_cast<std::ptrdiff_t>(length);
    if (std::find(first, last, true) != last) return false;
    std::fill(first, last, true);
    if (source != nullptr) std::copy_n(source, length, data_.begin() + start);
    missingBytes_ -= length;
    return true;
}

}  // namespace martencove::nbd
