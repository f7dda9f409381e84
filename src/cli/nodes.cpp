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

std::vector<ParsedNodeFile> readFiles(const std::vector<std::string>& paths) {
    return files::readNodeFiles(files::expandPaths(paths), Limits().maxNodeFileBytes, false);
}

/// Prints the problems of a version. Returns whether it was accepted or changes nothing.
bool checkAccepted(const membership::OfferResult& result) {
    for (const auto& problem : result.problems) std::fprintf(stderr, "%s\n", problem.text().c_str());
    return result.outcome == OfferOutcome::accepted || result.outcome == OfferOutcome::unchanged;
}

struct StatusQuery {
    event_base* base;
    int code = 0;
    std::string body;
};

void onStatusReply(evhttp_request* request, void* arg) {
    auto* query = static_cast<StatusQuery*>(arg);
    if (request != nullptr) {
        query->code = evhttp_request_get_response_code(request);
        evbuffer* in = evhttp_request_get_input_buffer(request);
        query->body.resize(evbuffer_get_length(in));
        evbuffer_copyout(in, query->body.data(), query->body.size());
    }
    event_base_loopbreak(query->base);
}

}  // namespace

int checkNodes(const std::vector<std::string>& paths) {
    membership::MembershipManager manager{membership::MembershipRules{}};
    const membership::OfferResult result = manager.offerVersion(readFiles(paths), Clock().nowMs());
    for (const std::string& note : result.notes) std::fprintf(stderr, "%s\n", note.c_str());
    if (!checkAccepted(result)) return kExitRejected;
    std::printf("version %llu: %zu nodes\n", static_cast<unsigned long long>(result.version),
                manager.current()->members.size());
    return kExitOk;
}

int diffNodes(const std::string& before, const std::string& after) {
    membership::MembershipManager manager{membership::MembershipRules{}};
    const double now = Clock().nowMs();
    if (!checkAccepted(manager.offerVersion(readFiles({before}), now))) return kExitRejected;
    const membership::MembershipPtr old = manager.current();
    const std::vector<ParsedNodeFile> newFiles = readFiles({after});
    const membership::OfferResult result = manager.offerVersion(newFiles, now);
    if (result.outcome != OfferOutcome::accepted) {
        // A version that the rules reject is still shown if it is valid on its own.
        membership::MembershipManager separateManager{membership::MembershipRules{}};
        if (separateManager.offerVersion(newFiles, now).outcome == OfferOutcome::accepted)
            for (const std::string& line : membership::describeChanges(old.get(), *separateManager.current()))
                std::printf("%s\n", line.c_str());
        return checkAccepted(result) ? kExitOk : kExitRejected;
    }
    for (const std::string& line : membership::describeChanges(old.get(), *manager.current()))
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
    StatusQuery query{base.get(), 0, {}};
    const LibeventPtr<evhttp_connection> connection(
        evhttp_connection_base_new(base.get(), nullptr, address->host.c_str(), address->port));
    evhttp_connection_set_timeout(connection.get(), 5);
    evhttp_request* request = evhttp_request_new(onStatusReply, &query);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", text.c_str());
    if (evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET, "/nodes") == 0)
        event_base_dispatch(base.get());
    if (query.code == 200) {
        std::fputs(query.body.c_str(), stdout);
        return kExitOk;
    }
    std::fprintf(stderr, query.code == 0 ? "%s: no answer\n" : "%s: does not use node files\n", text.c_str());
    return kExitFailed;
}

}  // namespace martencove::cli
