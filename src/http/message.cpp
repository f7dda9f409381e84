#include "http/message.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

#include "http/text.h"

namespace martencove {
namespace {

constexpr std::size_t kHexDigits = 16;

bool isHex16(std::string_view text) {
    return text.size() == kHexDigits && text.find_first_not_of("0123456789abcdefABCDEF") == text.npos;
}
template <typename Number>
bool readNumber(std::string_view text, Number& out) {
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && next == text.data() + text.size();
}
int indexOf(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

bool printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

bool validateFraming(evhttp_request* from, std::string& wrong) {
    wrong = "";
    const char* uri = evhttp_request_get_uri(from);
    if (uri == nullptr || !printable(uri)) wrong = uri == nullptr ? "URI missing" : "path";
    std::set<std::string> seen;
    std::string length, coding;
    for (const evkeyval* field = evhttp_request_get_input_headers(from)->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        const std::string_view value = field->value;
        std::string name = field->key;
        if (!isToken(name) || std::any_of(value.begin(), value.end(), [](unsigned char c) {
                return (c < ' ' && c != '\t') || c == 0x7f;
            }))
            wrong = "invalid header field";
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        if (name == "content-length") length = value;
        if (name == "transfer-encoding") coding = value.empty() ? "none" : value;
        for (const char* once : {"content-length", "transfer-encoding", "host", "req-id", "tier", "io-info",
                                 "req-deadline-ms", "idempotency-key", "content-type"}) {
            if (name == once && !seen.insert(name).second) wrong = "duplicate header field";
        }
    }
    std::uint64_t bytes = 0;
    if (seen.contains("content-length") && !parseDecimal(length, bytes)) wrong = "Content-Length";
    if (!coding.empty() && !equalsIgnoreCase(coding, "chunked")) wrong = "Transfer-Encoding";
    if (!coding.empty() && seen.contains("content-length")) wrong = "Content-Length with Transfer-Encoding";
    if (evhttp_request_get_command(from) != EVHTTP_REQ_PUT && (bytes > 0 || !coding.empty()))
        wrong = "body not allowed";
    return wrong.empty();
}

std::optional<IoInfo> decodeIoInfo(std::string_view text) {
    IoInfo out;
    bool units = false;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == field.npos) return std::nullopt;
        const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
        bool good = true;  // unknown fields are ignored
        if (name == "units") {
            good = units = readNumber(value, out.units) && out.units > 0 && out.units < 1e6;
        } else if (name == "shard") {
            good = readNumber(value, out.shard) && out.shard >= -1;
        } else if (name == "hosts") {
            good = readNumber(value, out.hostsOfVolume) && out.hostsOfVolume >= 1;
        }
        if (!good) return std::nullopt;
    }
    return units ? std::optional(out) : std::nullopt;
}

std::optional<DecodedRequest> decodeRequest(evhttp_request* from, const limedrum::ProgramSettings& site,
                                            double nowMs, std::string& wrong) {
    evkeyvalq* headers = evhttp_request_get_input_headers(from);
    const auto header = [&](const char* name) -> std::string {
        const char* value = evhttp_find_header(headers, name);
        return value == nullptr ? "" : value;
    };
    const auto refuse = [&](const char* what) {
        wrong = what;
        return std::nullopt;
    };
    DecodedRequest out;
    Request& r = out.request;
    const char* rawUri = evhttp_request_get_uri(from);
    if (rawUri == nullptr) return refuse("path");
    out.nodeRequest.uri = rawUri;
    const std::string_view uri = out.nodeRequest.uri;
    const std::string_view path = uri.substr(0, uri.find('?'));
    const std::size_t second = path.find('/', 1);
    const std::size_t third = second == path.npos ? path.npos : path.find('/', second + 1);
    if (third == path.npos || path.front() != '/') return refuse("path");
    r.classNo = indexOf(site.classNames, path.substr(1, second - 1));
    r.volume = path.substr(second + 1, third - second - 1);
    r.piece = path.substr(third + 1);
    if (r.classNo < 0) return refuse("class");
    if (!isHex16(r.volume)) return refuse("volume");
    if (!isHex16(r.piece)) return refuse("piece");
    r.id = header("Req-Id");
    if (r.id.empty() || r.id.size() > 64 || !printable(r.id)) return refuse("Req-Id");
    r.planNo = indexOf(site.planNames, header("Tier"));
    if (r.planNo < 0) return refuse("Tier");
    long long deadlineMs = 0;
    if (!readNumber(header("Req-Deadline-Ms"), deadlineMs) || deadlineMs < 0 || deadlineMs > 3'600'000)
        return refuse("Req-Deadline-Ms");
    r.expiresMs = nowMs + static_cast<double>(deadlineMs);
    const auto info = decodeIoInfo(header("IO-Info"));
    if (!info) return refuse("IO-Info");
    r.units = info->units;
    r.shard = info->shard;
    if (site.shardCount > 0 && r.shard >= site.shardCount) return refuse("shard");
    r.hostsOfVolume = info->hostsOfVolume;

    out.nodeRequest.isWrite = evhttp_request_get_command(from) == EVHTTP_REQ_PUT;
    if (!out.nodeRequest.isWrite && evhttp_request_get_command(from) != EVHTTP_REQ_GET)
        return refuse("method");
    for (const char* name : {"Req-Id", "Idempotency-Key", "Tier", "IO-Info", "Content-Type"}) {
        if (std::string value = header(name); !value.empty())
            out.nodeRequest.headers.emplace_back(name, std::move(value));
    }
    evbuffer* body = evhttp_request_get_input_buffer(from);
    out.nodeRequest.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, out.nodeRequest.body.data(), out.nodeRequest.body.size());
    return out;
}

}  // namespace martencove
