// How weighted holders share a shard's pieces: parts against weights, pieces moved when one of 100 leaves
// against the least possible, and the cost of the choice by the number of holders. Plain baseline: a
// remainder of the piece's hash by the number of holders.
#include <limedrum/scheduler.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace limedrum;

namespace {

Settings settings() {
    Settings s;
    s.classes.push_back({.aimMs = 300, .deadlineMs = 2000});
    s.plans.push_back({.rate = 10});
    s.attemptCap = 3;
    return s;
}

class Fleet {
public:
    explicit Fleet(int holders) : scheduler_(settings(), 1, 1'000'000) {
        NodeListEvent list{NodeListKind::restored, {}};
        for (int i = 0; i < holders; ++i) list.entries.push_back(entry(i, NodeState::serving));
        give(list);
    }
    static double weightOf(int holder) { return 1 + holder % 4; }
    static NodeEntry entry(int holder, NodeState state) {
        NodeEntry out;
        out.node = 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(holder + 1);
        out.state = state;
        out.weight = weightOf(holder);
        return out;
    }
    std::vector<Action> give(const Event& event) {
        return scheduler_.handle(nowMs_ += 0.01, std::span(&event, 1));
    }
    /// The holder that a piece's request goes to; it answers at once.
    NodeId ask(int piece) {
        RequestEvent r;
        r.id = std::to_string(++asked_);
        r.key = "piece-" + std::to_string(piece);
        r.volume = "v";
        r.expiresMs = nowMs_ + 2000;
        r.shard = 0;
        for (const Action& action : give(r)) {
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            const NodeId node = send->node;
            give(OutcomeEvent{.id = r.id,
                              .node = node,
                              .outcome = Outcome::done,
                              .durationMs = 1,
                              .requestFinished = true});
            return node;
        }
        return 0;
    }

private:
    Scheduler scheduler_;
    double nowMs_ = 1'000'000;
    int asked_ = 0;
};

}  // namespace

int main() {
    constexpr int kHolders = 100;
    constexpr int kPieces = 100'000;
    Fleet fleet(kHolders);
    std::vector<NodeId> before(kPieces);
    std::map<NodeId, int> got;
    for (int i = 0; i < kPieces; ++i) ++got[before[i] = fleet.ask(i)];
    double weights = 0;
    for (int i = 0; i < kHolders; ++i) weights += Fleet::weightOf(i);
    std::map<double, std::pair<double, double>> byWeight;  // pieces, due
    double worst = 0;
    for (int i = 0; i < kHolders; ++i) {
        const double due = kPieces * Fleet::weightOf(i) / weights;
        const double has = got[Fleet::entry(i, NodeState::serving).node];
        byWeight[Fleet::weightOf(i)].first += has;
        byWeight[Fleet::weightOf(i)].second += due;
        worst = std::max(worst, std::abs(has - due) / std::sqrt(due));
    }
    std::printf("%d pieces over %d holders of weights 1 to 4\n", kPieces, kHolders);
    for (const auto& [weight, part] : byWeight)
        std::printf("  weight %g: %+.2f%% against its part\n", weight, (part.first / part.second - 1) * 100);
    std::printf("  the worst single holder is %.1f standard deviations of chance off\n", worst);

    const NodeEntry leaves = Fleet::entry(17, NodeState::draining);
    fleet.give(NodeListEvent{NodeListKind::update, {leaves}});
    int moved = 0, least = 0, plain = 0;
    for (int i = 0; i < kPieces; ++i) {
        moved += fleet.ask(i) != before[i];
        least += before[i] == leaves.node;
        const std::size_t hash = std::hash<std::string>()("piece-" + std::to_string(i));
        plain += hash % kHolders != hash % (kHolders - 1);
    }
    std::printf("one of %d leaves: %d pieces moved, %d at least, %d by a remainder\n", kHolders, moved, least,
                plain);

    for (const int holders : {1, 3, 10, 100, 1000}) {
        Fleet other(holders);
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 20'000; ++i) (void)other.ask(i);
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
        std::printf("%5d holders of a shard: %.2f us a request, all of it\n", holders, took.count() / 20'000);
    }
    return 0;
}
