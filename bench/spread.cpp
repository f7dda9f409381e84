// Measures how the weighted holders of a shard share its pieces: the share of each weight against the
// expected one, the number of pieces that move when one of 100 holders leaves against the minimum possible,
// and the time per request by the number of holders. The baseline is the hash of the piece modulo the number
// of holders.
#include <limedrum/scheduler.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace limedrum;

namespace {

Settings makeSettings() {
    Settings settings;
    settings.classes.push_back({.aimMs = 300, .deadlineMs = 2000});
    settings.plans.push_back({.rate = 10});
    settings.attemptCap = 3;
    return settings;
}

class Fleet {
public:
    explicit Fleet(int holders) : scheduler_(makeSettings(), 1, 1'000'000) {
        NodeListEvent list{NodeListKind::restored, {}};
        for (int i = 0; i < holders; ++i) list.entries.push_back(makeEntry(i, NodeState::serving));
        handle(list);
    }
    static double weightOf(int holder) { return 1 + holder % 4; }
    static NodeEntry makeEntry(int holder, NodeState state) {
        NodeEntry entry;
        entry.node = 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(holder + 1);
        entry.state = state;
        entry.weight = weightOf(holder);
        return entry;
    }
    std::vector<Action> handle(const Event& event) {
        return scheduler_.handle(nowMs_ += 0.01, std::span(&event, 1));
    }
    /// Sends a request for a piece, reports its outcome at once and returns the holder that got it; 0 if none
    /// did.
    NodeId request(int piece) {
        RequestEvent arrival;
        arrival.id = std::to_string(++requestCount_);
        arrival.key = "piece-" + std::to_string(piece);
        arrival.volume = "v";
        arrival.expiresMs = nowMs_ + 2000;
        arrival.shard = 0;
        for (const Action& action : handle(arrival)) {
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            const NodeId node = send->node;
            handle(OutcomeEvent{.id = arrival.id,
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
    int requestCount_ = 0;
};

}  // namespace

int main() {
    constexpr int kHolders = 100;
    constexpr int kPieces = 100'000;
    Fleet fleet(kHolders);
    std::vector<NodeId> before(kPieces);
    std::map<NodeId, int> piecesByNode;
    for (int i = 0; i < kPieces; ++i) ++piecesByNode[before[i] = fleet.request(i)];
    double weightSum = 0;
    for (int i = 0; i < kHolders; ++i) weightSum += Fleet::weightOf(i);
    std::map<double, std::pair<double, double>> byWeight;  // actual and expected pieces
    double maxDeviation = 0;
    for (int i = 0; i < kHolders; ++i) {
        const double expected = kPieces * Fleet::weightOf(i) / weightSum;
        const double actual = piecesByNode[Fleet::makeEntry(i, NodeState::serving).node];
        byWeight[Fleet::weightOf(i)].first += actual;
        byWeight[Fleet::weightOf(i)].second += expected;
        maxDeviation = std::max(maxDeviation, std::abs(actual - expected) / std::sqrt(expected));
    }
    std::printf("%d pieces over %d holders of weights 1 to 4\n", kPieces, kHolders);
    for (const auto& [weight, pieces] : byWeight)
        std::printf("  weight %g: %+.2f%% from the expected number of pieces\n", weight,
                    (pieces.first / pieces.second - 1) * 100);
    std::printf("  largest deviation of a single holder: %.1f standard deviations\n", maxDeviation);

    const NodeEntry leaving = Fleet::makeEntry(17, NodeState::draining);
    fleet.handle(NodeListEvent{NodeListKind::update, {leaving}});
    int moved = 0, minimum = 0, movedByModulo = 0;
    for (int i = 0; i < kPieces; ++i) {
        moved += fleet.request(i) != before[i];
        minimum += before[i] == leaving.node;
        const std::size_t hash = std::hash<std::string>()("piece-" + std::to_string(i));
        movedByModulo += hash % kHolders != hash % (kHolders - 1);
    }
    std::printf(
        "one of %d holders leaves: %d pieces moved, %d at least, %d with the hash modulo the number of "
        "holders\n",
        kHolders, moved, minimum, movedByModulo);

    for (const int holders : {1, 3, 10, 100, 1000}) {
        Fleet timedFleet(holders);
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 20'000; ++i) (void)timedFleet.request(i);
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        std::printf("%5d holders of a shard: %.2f us per request, including its outcome\n", holders,
                    elapsed.count() / 20'000);
    }
    return 0;
}
