#include "cli/nodes.h"

#include <cstdio>
#include <stdexcept>

#include "core/clock.h"
#include "core/limits.h"
#include "files/node_file.h"
#include "files/read.h"
#include "files/watch.h"
#include "membership/gate.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove::cli {
namespace {

using membership::Draft;
using membership::Ruling;

std::vector<Draft> read(const std::vector<std::string>& paths) {
    return files::readNodeFiles(files::filesOf(paths), Limits().nodeFileBytes, false);
}

/// Prints why a version does not come into force; true: it does.
bool passes(const membership::Verdict& verdict) {
    for (const auto& problem : verdict.problems) std::fprintf(stderr, "%s\n", problem.text().c_str());
    return verdict.ruling == Ruling::accepted || verdict.ruling == Ruling::unchanged;
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
    membership::Gate gate{membership::Rules{}};
    const membership::Verdict verdict = gate.offer(read(paths), Clock().nowMs());
    for (const std::string& note : verdict.notes) std::fprintf(stderr, "%s\n", note.c_str());
    if (!passes(verdict)) return kRefused;
    std::printf("version %llu: %zu nodes\n", static_cast<unsigned long long>(verdict.version),
                gate.inForce()->members.size());
    return kGood;
}

int diffNodes(const std::string& before, const std::string& after) {
    membership::Gate gate{membership::Rules{}};
    const double now = Clock().nowMs();
    if (!passes(gate.offer(read({before}), now))) return kRefused;
    const membership::MembershipPtr old = gate.inForce();
    const std::vector<Draft> drafts = read({after});
    const membership::Verdict verdict = gate.offer(drafts, now);
    if (verdict.ruling != Ruling::accepted) {
        // Told all the same, where it is sound by itself.
        membership::Gate alone{membership::Rules{}};
        if (alone.offer(drafts, now).ruling == Ruling::accepted)
            for (const std::string& line : membership::describe(old.get(), *alone.inForce()))
                std::printf("%s\n", line.c_str());
        return passes(verdict) ? kGood : kRefused;
    }
    for (const std::string& line : membership::describe(old.get(), *gate.inForce()))
        std::printf("%s\n", line.c_str());
    return kGood;
}

int sealNodes(const std::string& path) {
    const files::Content content = files::readWhole(path, Limits().nodeFileBytes);
    if (!content.error.empty()) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), content.error.c_str());
        return kFailed;
    }
    try {
        const std::string error = files::replaceDurably(path, files::sealAgain(path, content.bytes));
        if (error.empty()) return checkNodes({path});
        std::fprintf(stderr, "%s\n", error.c_str());
        return kFailed;
    } catch (const std::invalid_argument& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return kRefused;
    }
}

int showNodes(const std::string& text) {
    const auto address = parseAddress(text);
    if (!address) {
        std::fprintf(stderr, "not an address: %s\n", text.c_str());
        return kFailed;
    }
    const Owned<event_base> base = makeBase();
    Asked asked{base.get(), 0, {}};
    const Owned<evhttp_connection> connection(
        evhttp_connection_base_new(base.get(), nullptr, address->host.c_str(), address->port));
    evhttp_connection_set_timeout(connection.get(), 5);
    evhttp_request* request = evhttp_request_new(answered, &asked);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", text.c_str());
    if (evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET, "/nodes") == 0)
        event_base_dispatch(base.get());
    if (asked.code == 200) {
        std::fputs(asked.body.c_str(), stdout);
        return kGood;
    }
    std::fprintf(stderr, asked.code == 0 ? "%s: no answer\n" : "%s: takes no nodes from files\n",
                 text.c_str());
    return kFailed;
}

}  // namespace martencove::cli
