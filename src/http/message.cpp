#include "http/message.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <utility>

#include "http/text.h"

namespace martencove {
namespace {

constexpr std::string_view kContentLength = "Content-Length", kTransferEncoding = "Transfer-Encoding";
/// The fields that a request may have once only.
constexpr std::array<std::string_view, 9> kUniqueFields{
    kContentLength,    kTransferEncoding, "Host",        "Req-Id", "Tier", "IO-Info",
    "Req-Deadline-Ms", "Idempotency-Key", "Content-Type"};
constexpr std::size_t kHexDigits = 16;
constexpr std::size_t kOpenRequestBytes = 2048;  // of an open request besides its own text
constexpr std::size_t kUriCopies = 5;            // two at evhttp, here, in an attempt and in its output
constexpr std::size_t kFieldCopies = 3;          // here, in an attempt and in its output

bool isHex16(std::string_view text) {
    return text.size() == kHexDigits && text.find_first_not_of("0123456789abcdefABCDEF") == text.npos;
}
template <typename Number>
bool readNumber(std::string_view text, Number& number) {
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && next == text.data() + text.size();
}
int indexOf(const std::vector<std::string>& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

bool isPrintable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

bool validateFraming(evhttp_request* request, std::string& error) {
    error = "";
    const char* uri = evhttp_request_get_uri(request);
    if (uri == nullptr || !isPrintable(uri)) error = uri == nullptr ? "URI missing" : "path";
    std::array<bool, kUniqueFields.size()> seen{};
    std::string_view contentLength, transferEncoding;
    for (const evkeyval* field = evhttp_request_get_input_headers(request)->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        const std::string_view name = field->key, value = field->value;
        if (!isToken(name) || std::any_of(value.begin(), value.end(), [](unsigned char c) {
                return (c < ' ' && c != '\t') || c == 0x7f;
            }))
            error = "invalid header field";
        for (std::size_t i = 0; i < kUniqueFields.size(); ++i)
            if (equalsIgnoreCase(name, kUniqueFields[i]) && std::exchange(seen[i], true))
                error = "duplicate header field";
        if (equalsIgnoreCase(name, kContentLength)) contentLength = value;
        if (equalsIgnoreCase(name, kTransferEncoding)) transferEncoding = value.empty() ? "none" : value;
    }
    const bool hasContentLength = contentLength.data() != nullptr;
    std::uint64_t bodyBytes = 0;
    if (hasContentLength && !parseDecimal(contentLength, bodyBytes)) error = "Content-Length";
    if (!transferEncoding.empty() && !equalsIgnoreCase(transferEncoding, "chunked"))
        error = "Transfer-Encoding";
    if (!transferEncoding.empty() && hasContentLength) error = "Content-Length with Transfer-Encoding";
    if (evhttp_request_get_command(request) != EVHTTP_REQ_PUT && (bodyBytes > 0 || !transferEncoding.empty()))
        error = "body not allowed";
    return error.empty();
}

std::size_t DecodedRequest::heldBytes() const {
    std::size_t fieldBytes = 0;
    for (const auto& [name, value] : nodeRequest.headers) fieldBytes += name.size() + value.size();
    return kOpenRequestBytes + kUriCopies * nodeRequest.uri.size() + kFieldCopies * fieldBytes +
           nodeRequest.bodyBytes();
}

std::optional<IoInfo> decodeIoInfo(std::string_view text) {
    IoInfo info;
    bool hasUnits = false;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == field.npos) return std::nullopt;
        const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
        bool valid = true;  // unknown fields are ignored
        if (name == "units") {
            valid = hasUnits = readNumber(value, info.units) && info.units > 0 && info.units < 1e6;
        } else if (name == "shard") {
            valid = readNumber(value, info.shard) && info.shard >= -1;
        } else if (name == "hosts") {
            valid = readNumber(value, info.hostsOfVolume) && info.hostsOfVolume >= 1;
        }
        if (!valid) return std::nullopt;
    }
    return hasUnits ? std::optional(info) : std::nullopt;
}

std::optional<DecodedRequest> decodeRequest(evhttp_request* httpRequest,
                                            const limedrum::ProgramSettings& settings, double nowMs,
                                            std::string& error) {
    evkeyvalq* headers = evhttp_request_get_input_headers(httpRequest);
    const auto header = [&](const char* name) -> std::string {
        const char* value = evhttp_find_header(headers, name);
        return value == nullptr ? "" : value;
    };
    const auto fail = [&](const char* reason) {
        error = reason;
        return std::nullopt;
    };
    DecodedRequest decoded;
    Request& request = decoded.request;
    const char* rawUri = evhttp_request_get_uri(httpRequest);
    if (rawUri == nullptr) return fail("path");
    decoded.nodeRequest.uri = rawUri;
    const std::string_view uri = decoded.nodeRequest.uri;
    const std::string_view path = uri.substr(0, uri.find('?'));
    const std::size_t secondSlash = path.find('/', 1);
    const std::size_t thirdSlash = secondSlash == path.npos ? path.npos : path.find('/', secondSlash + 1);
    if (thirdSlash == path.npos || path.front() != '/') return fail("path");
    request.classNo = indexOf(settings.classNames, path.substr(1, secondSlash - 1));
    request.volume = path.substr(secondSlash + 1, thirdSlash - secondSlash - 1);
    request.piece = path.substr(thirdSlash + 1);
    if (request.classNo < 0) return fail("class");
    if (!isHex16(request.volume)) return fail("volume");
    if (!isHex16(request.piece)) return fail("piece");
    request.id = header("Req-Id");
    if (request.id.empty() || request.id.size() > 64 || !isPrintable(request.id)) return fail("Req-Id");
    request.planNo = indexOf(settings.planNames, header("Tier"));
    if (request.planNo < 0) return fail("Tier");
    long long deadlineMs = 0;
    if (!readNumber(header("Req-Deadline-Ms"), deadlineMs) || deadlineMs < 0 || deadlineMs > 3'600'000)
        return fail("Req-Deadline-Ms");
    request.expiresMs = nowMs + static_cast<double>(deadlineMs);
    const auto info = decodeIoInfo(header("IO-Info"));
    if (!info) return fail("IO-Info");
    request.units = info->units;
    request.shard = info->shard;
    if (settings.shardCount > 0 && request.shard >= settings.shardCount) return fail("shard");
    request.hostsOfVolume = info->hostsOfVolume;

    decoded.nodeRequest.isWrite = evhttp_request_get_command(httpRequest) == EVHTTP_REQ_PUT;
    if (!decoded.nodeRequest.isWrite && evhttp_request_get_command(httpRequest) != EVHTTP_REQ_GET)
        return fail("method");
    for (const char* name : {"Req-Id", "Idempotency-Key", "Tier", "IO-Info", "Content-Type"}) {
        if (std::string value = header(name); !value.empty())
            decoded.nodeRequest.headers.emplace_back(name, std::move(value));
    }
    evbuffer* body = evhttp_request_get_input_buffer(httpRequest);
    if (const std::size_t bodyBytes = evbuffer_get_length(body); bodyBytes > 0) {
        std::string text(bodyBytes, '\0');
        evbuffer_copyout(body, text.data(), text.size());
        decoded.nodeRequest.body = std::make_shared<const std::string>(std::move(text));
    }
    return decoded;
}

}  // namespace martencove
