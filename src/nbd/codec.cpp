#include "nbd/codec.h"

#include <algorithm>
#include <concepts>

namespace martencove::nbd {
namespace {

constexpr std::uint64_t kHello = 0x4e42444d41474943;        // "NBDMAGIC"
constexpr std::uint64_t kOptionMagic = 0x49484156454f5054;  // "IHAVEOPT"
constexpr std::uint64_t kAnswerMagic = 0x3e889045565a9;
constexpr std::uint32_t kCommandMagic = 0x25609513;
constexpr std::uint32_t kSimpleMagic = 0x67446698;
constexpr std::uint32_t kChunkMagic = 0x668e33ef;
constexpr std::uint16_t kInfoExport = 0, kInfoBlockSizes = 3;
constexpr std::size_t kOldZeroes = 124;

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
bool getText(std::string_view& in, std::size_t size, std::string& out) {
    if (in.size() < size) return false;
    out = in.substr(0, size);
    in.remove_prefix(size);
    return true;
}

/// What a message begins with shows at once whether it can be one.
bool mayBegin(std::string_view in, const std::string& magic) {
    return in.substr(0, magic.size()) == std::string_view(magic).substr(0, in.size());
}

}  // namespace

std::string encode(const Greeting& g) { return join(kHello, kOptionMagic, g.flags); }
std::string encodeClientFlags(std::uint32_t flags) { return join(flags); }
std::string encode(const OptionMessage& m) {
    return join(kOptionMagic, m.option, static_cast<std::uint32_t>(m.data.size())) + m.data;
}
std::string encode(const OptionAnswer& a) {
    return join(kAnswerMagic, a.option, a.reply, static_cast<std::uint32_t>(a.data.size())) + a.data;
}
std::string encode(const InfoRequest& r) {
    std::string out = join(static_cast<std::uint32_t>(r.name.size())) + r.name;
    put(out, static_cast<std::uint16_t>(r.wanted.size()));
    for (const std::uint16_t kind : r.wanted) put(out, kind);
    return out;
}
std::string encodeExport(const ExportInfo& i) { return join(kInfoExport, i.size, i.flags); }
std::string encodeBlockSizes(std::uint32_t most) {
    return join(kInfoBlockSizes, std::uint32_t{1}, std::min<std::uint32_t>(4096, most), most);
}
std::string encodeListed(const std::string& name) {
    return join(static_cast<std::uint32_t>(name.size())) + name;
}
std::string encodeOldExport(const ExportInfo& i, bool zeroes) {
    return join(i.size, i.flags) + std::string(zeroes ? kOldZeroes : 0, '\0');
}

Got take(std::string_view& in, Greeting& out) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kHello, kOptionMagic))) return Got::bad;
    std::uint64_t hello = 0, magic = 0;
    if (!getAll(rest, hello, magic, out.flags)) return Got::more;
    in = rest;
    return (out.flags & kFixedNewstyle) != 0 ? Got::whole : Got::bad;
}
Got takeClientFlags(std::string_view& in, std::uint32_t& out) {
    return get(in, out) ? Got::whole : Got::more;
}
Got take(std::string_view& in, OptionMessage& out, std::size_t most) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kOptionMagic))) return Got::bad;
    std::uint64_t magic = 0;
    std::uint32_t size = 0;
    if (!getAll(rest, magic, out.option, size)) return Got::more;
    if (size > most) return Got::bad;
    if (!getText(rest, size, out.data)) return Got::more;
    in = rest;
    return Got::whole;
}
Got take(std::string_view& in, OptionAnswer& out, std::size_t most) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kAnswerMagic))) return Got::bad;
    std::uint64_t magic = 0;
    std::uint32_t size = 0;
    if (!getAll(rest, magic, out.option, out.reply, size)) return Got::more;
    if (size > most) return Got::bad;
    if (!getText(rest, size, out.data)) return Got::more;
    in = rest;
    return Got::whole;
}
std::optional<InfoRequest> decodeInfoRequest(std::string_view data) {
    InfoRequest out;
    std::uint32_t size = 0;
    std::uint16_t count = 0;
    if (!get(data, size) || !getText(data, size, out.name) || !get(data, count) ||
        data.size() != sizeof(std::uint16_t) * count)
        return std::nullopt;
    out.wanted.resize(count);
    for (std::uint16_t& kind : out.wanted) (void)get(data, kind);
    return out;
}
std::optional<ExportInfo> decodeExport(std::string_view data) {
    std::uint16_t kind = 0;
    ExportInfo out;
    if (!getAll(data, kind, out.size, out.flags) || kind != kInfoExport || !data.empty()) return std::nullopt;
    return out;
}

std::string encode(const CommandMessage& m) {
    return join(kCommandMagic, m.flags, m.command, m.cookie, m.offset, m.length) + m.data;
}
std::string encode(const SimpleReply& r) { return join(kSimpleMagic, r.error, r.cookie); }
std::string encode(const ChunkMessage& c) {
    return join(kChunkMagic, c.flags, c.type, c.cookie, static_cast<std::uint32_t>(c.payload.size())) +
           c.payload;
}
std::string encodeError(const ErrorChunk& e) {
    return join(e.error, static_cast<std::uint16_t>(e.text.size())) + e.text;
}
std::string encodeData(std::uint64_t offset, std::string_view data) { return join(offset).append(data); }
std::string encodeHole(std::uint64_t offset, std::uint32_t length) { return join(offset, length); }

Got take(std::string_view& in, CommandMessage& out, std::size_t most) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kCommandMagic))) return Got::bad;
    std::uint32_t magic = 0;
    if (!getAll(rest, magic, out.flags, out.command, out.cookie, out.offset, out.length)) return Got::more;
    out.data.clear();
    const bool data = out.command == Command::write && out.length <= most;
    if (data && !getText(rest, out.length, out.data)) return Got::more;
    in = rest;
    return Got::whole;
}
Got take(std::string_view& in, SimpleReply& out) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kSimpleMagic))) return Got::bad;
    std::uint32_t magic = 0;
    if (!getAll(rest, magic, out.error, out.cookie)) return Got::more;
    in = rest;
    return Got::whole;
}
Got take(std::string_view& in, ChunkMessage& out, std::size_t most) {
    std::string_view rest = in;
    if (!mayBegin(in, join(kChunkMagic))) return Got::bad;
    std::uint32_t magic = 0, size = 0;
    if (!getAll(rest, magic, out.flags, out.type, out.cookie, size)) return Got::more;
    if (size > most) return Got::bad;
    if (!getText(rest, size, out.payload)) return Got::more;
    in = rest;
    return Got::whole;
}
std::optional<ErrorChunk> decodeError(std::string_view payload) {
    ErrorChunk out;
    std::uint16_t size = 0;
    if (!getAll(payload, out.error, size) || !getText(payload, size, out.text) || out.error == Error::none)
        return std::nullopt;
    return out;
}

Assembly::Assembly(std::uint64_t offset, std::uint32_t length, std::size_t mostChunks)
    : offset_(offset), data_(length, '\0'), there_(length), missing_(length), chunksLeft_(mostChunks) {}

bool Assembly::add(const ChunkMessage& chunk) {
    if (chunksLeft_ == 0) return false;
    --chunksLeft_;
    std::string_view in = chunk.payload;
    std::uint64_t offset = 0;
    switch (chunk.type) {
        case Chunk::none:
            return in.empty() && (chunk.flags & kDone) != 0;
        case Chunk::data:
            return get(in, offset) && !in.empty() && fill(offset, in.size(), in.data());
        case Chunk::hole: {
            std::uint32_t length = 0;
            return getAll(in, offset, length) && in.empty() && length > 0 && fill(offset, length, nullptr);
        }
        default:
            break;
    }
    if ((static_cast<std::uint16_t>(chunk.type) & kErrorBit) == 0) return false;
    const auto error = decodeError(in);
    if (error && !error_) error_ = error;  // the first one says what went wrong
    return error.has_value();
}

bool Assembly::fill(std::uint64_t offset, std::uint64_t length, const char* from) {
    if (offset < offset_ || offset - offset_ > data_.size() || length > data_.size() - (offset - offset_))
        return false;
    const auto at = static_cast<std::ptrdiff_t>(offset - offset_);
    const auto first = there_.begin() + at, last = first + static_cast<std::ptrdiff_t>(length);
    if (std::find(first, last, true) != last) return false;
    std::fill(first, last, true);
    if (from != nullptr) std::copy_n(from, length, data_.begin() + at);
    missing_ -= length;
    return true;
}

}  // namespace martencove::nbd
