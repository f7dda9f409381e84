#include "cli/nodes.h"

#include <cstdio>
#include <stdexcept>

#include "core/clock.h"
#include "core/limits.h"
#include "files/file_io.h"
#include "files/file_watcher.h"
#include "files/node_file.h"
#include "membership/membership_manager.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove::cli {
namespace {

using membership::OfferOutcome;
using membership::ParsedNodeFile;

std::vector<ParsedNodeFile> read(const std::vector<std::string>& paths) {
    return files::readNodeFiles(files::expandPaths(paths), Limits().maxNodeFileBytes, false);
}

/// Prints why a version does not come into force; true: it does.
bool passes(const membership::OfferResult& verdict) {
    for (const auto& problem : verdict.problems) std::fprintf(stderr, "%s\n", problem.text().c_str());
    return verdict.outcome == OfferOutcome::accepted || verdict.outcome == OfferOutcome::unchanged;
}

struct Asked {
    event_base* base;
    int code = 0;
    std::string body;
};

void answered(evhttp_request* request, void* arg) {
    auto* asked = static_cast<Asked*>(arg);
    if (request != nullptr) {
        asked->code = evhttp_request_get_response_code(request);
        evbuffer* in = evhttp_request_get_input_buffer(request);
        asked->body.resize(evbuffer_get_length(in));
        evbuffer_copyout(in, asked->body.data(), asked->body.size());
    }
    event_base_loopbreak(asked->base);
}

}  // namespace

int checkNodes(const std::vector<std::string>& paths) {
    membership::MembershipManager gate{membership::MembershipRules{}};
    const membership::OfferResult verdict = gate.offerVersion(read(paths), Clock().nowMs());
    for (const std::string& note : verdict.notes) std::fprintf(stderr, "%s\n", note.c_str());
    if (!passes(verdict)) return kExitRejected;
    std::printf("version %llu: %zu nodes\n", static_cast<unsigned long long>(verdict.version),
                gate.current()->members.size());
    return kExitOk;
}

int diffNodes(const std::string& before, const std::string& after) {
    membership::MembershipManager gate{membership::MembershipRules{}};
    const double now = Clock().nowMs();
    if (!passes(gate.offerVersion(read({before}), now))) return kExitRejected;
    const membership::MembershipPtr old = gate.current();
    const std::vector<ParsedNodeFile> drafts = read({after});
    const membership::OfferResult verdict = gate.offerVersion(drafts, now);
    if (verdict.outcome != OfferOutcome::accepted) {
        // Told all the same, where it is sound by itself.
        membership::MembershipManager alone{membership::MembershipRules{}};
        if (alone.offerVersion(drafts, now).outcome == OfferOutcome::accepted)
            for (const std::string& line : membership::describeChanges(old.get(), *alone.current()))
                std::printf("%s\n", line.c_str());
        return passes(verdict) ? kExitOk : kExitRejected;
    }
    for (const std::string& line : membership::describeChanges(old.get(), *gate.current()))
        std::printf("%s\n", line.c_str());
    return kExitOk;
}

int sealNodes(const std::string& path) {
    const files::FileContent content = files::readRegularFile(path, Limits().maxNodeFileBytes);
    if (!content.error.empty()) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), content.error.c_str());
        return kExitFailed;
    }
    try {
        const std::string error =
            files::writeFileAtomically(path, files::updateCountAndTrailer(path, content.bytes));
        if (error.empty()) return checkNodes({path});
        std::fprintf(stderr, "%s\n", error.c_str());
        return kExitFailed;
    } catch (const std::invalid_argument& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return kExitRejected;
    }
}

int showNodes(const std::string& text) {
    const auto address = parseAddress(text);
    if (!address) {
        std::fprintf(stderr, "not an address: %s\n", text.c_str());
        return kExitFailed;
    }
    const LibeventPtr<event_base> base = makeEventBase();
    Asked asked{base.get(), 0, {}};
    const LibeventPtr<evhttp_connection> connection(
        evhttp_connection_base_new(base.get(), nullptr, address->host.c_str(), address->port));
    evhttp_connection_set_timeout(connection.get(), 5);
    evhttp_request* request = evhttp_request_new(answered, &asked);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", text.c_str());
    if (evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET, "/nodes") == 0)
        event_base_dispatch(base.get());
    if (asked.code == 200) {
        std::fputs(asked.body.c_str(), stdout);
        return kExitOk;
    }
    std::fprintf(stderr, asked.code == 0 ? "%s: no answer\n" : "%s: takes no nodes from files\n",
                 text.c_str());
    return kExitFailed;
}

}  // namespace martencove::cli
