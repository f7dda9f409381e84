// Guards against unintended changes of behaviour. Three hosts serve a fleet with one unweighted holder per
// shard, through surges, full queues, silent nodes, lost answers, crashes, drains and replacements, all drawn
// from a seed. The hash of all their actions must equal the recorded one, which is that of the module before
// weighted holders were added (commit da9bb6c). A commit that changes these decisions on purpose records the
// new hash and says so.
#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <random>

#include "driver.h"

using namespace limedrum;

namespace {

constexpr int kHosts = 3;
constexpr int kShards = 12;

class Hash {
public:
    void add(const std::string& text) {
        for (const char c : text) value_ = (value_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    void add(double value) {
        char text[40];
        std::snprintf(text, sizeof text, "%.9g;", value);
        add(std::string(text));
    }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

Settings settingsOf(int host) {
    Settings s = testing::plainSettings();
    s.classes.push_back({.aimMs = 400,
                         .deadlineMs = 2000,
                         .idempotency = Idempotency::deduplicated,
                         .repeatWindowMs = 900,
                         .worth = 1,
                         .lateWorth = 0.3});
    s.plans.push_back({.rate = 20, .reserve = 5, .weight = 3, .limit = 60, .limitDepth = 40});
    s.rules.coldShare = 0.25;
    s.rules.warmWithinMs = 3000;
    s.rules.fallMs = 1000;
    s.coldUnits = 22;
    s.hosts = kHosts;
    s.self = host;
    s.withinShare = 0.3;
    s.spareWorth = 0.05;
    s.maxRetryAfterMs = 1000;
    return s;
}

/// An event that is due at a host.
struct DueEvent {
    int host;
    Event event;
};

/// The hosts, their nodes and clients, and the events under way between them.
struct World {
    explicit World(std::uint64_t seed) : random(seed) {
        for (int host = 0; host < kHosts; ++host) start(host, 1'000'000);
    }
    double uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
    int uniformInt(int count) { return static_cast<int>(uniform() * count); }

    /// Starts or restarts a host. Events for its previous instance are discarded by their epoch.
    void start(int host, double nowMs) {
        hosts.erase(host);
        hosts.emplace(host, Scheduler(settingsOf(host), 77 + static_cast<std::uint64_t>(host), nowMs));
        ++epoch[host];
        NodeListEvent list{NodeListKind::restored, {}};
        for (int shard = 0; shard < kShards; ++shard)
            list.entries.push_back({.node = nodeOf(shard), .shard = shard, .bootMs = bootMsByShard[shard]});
        give(host, nowMs, list);
    }
    NodeId nodeOf(int shard) const { return NodeId(100 + shard + 100 * generation[shard]); }

    void give(int host, double nowMs, const Event& event) {
        for (const Action& action : hosts.at(host).handle(nowMs, std::span(&event, 1)))
            carryOut(host, nowMs, action);
    }
    /// Adds an action to the hash and carries it out.
    void carryOut(int host, double nowMs, const Action& action) {
        hash.add(static_cast<double>(host * 10 + static_cast<int>(action.index())));
        if (const auto* send = std::get_if<SendAttempt>(&action)) {
            hash.add(send->id);
            hash.add(static_cast<double>(send->node));
            hash.add(send->timeoutMs);
            ++sends;
            const int attempt = attempts[send->id]++;
            const int shard = static_cast<int>(send->node % 100);
            const bool nodeExists = nodeOf(shard) == send->node;
            busyMs[shard] =
                std::max(busyMs[shard], nowMs) + (4 + 8 * uniform()) * (slowShard == shard ? 6 : 1);
            OutcomeEvent outcomeEvent{.id = send->id, .attempt = attempt, .node = send->node};
            const double roll = uniform();
            double outcomeMs = busyMs[shard] + 1;
            outcomeEvent.outcome = Outcome::done;
            if (!nodeExists)
                outcomeEvent.outcome = Outcome::connectFailed, outcomeMs = nowMs + 1;
            else if (busyMs[shard] - nowMs > 250)
                outcomeEvent.outcome = Outcome::rejected, outcomeMs = nowMs + 1;
            else if (roll < 0.01)
                outcomeEvent.outcome = Outcome::error;
            else if (roll < 0.02)
                outcomeEvent.outcome = Outcome::reset;
            else if (roll < 0.04 || silentShard == shard)
                outcomeEvent.outcome = Outcome::timedOut, outcomeMs = nowMs + send->timeoutMs;
            outcomeEvent.durationMs = outcomeMs - nowMs;
            outcomeEvent.requestFinished = outcomeEvent.outcome == Outcome::done;
            dueEvents.emplace(outcomeMs, std::pair(epoch[host], DueEvent{host, outcomeEvent}));
            inFlight[{send->id, attempt}] = outcomeEvent;
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
            hash.add(cancel->id);
            OutcomeEvent outcomeEvent = inFlight[{cancel->id, cancel->attempt}];
            outcomeEvent.outcome = Outcome::cancelled;
            outcomeEvent.requestFinished = false;
            cancelled[{cancel->id, cancel->attempt}] = true;
            dueEvents.emplace(nowMs + 0.5, std::pair(epoch[host], DueEvent{host, outcomeEvent}));
        } else if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
            hash.add(refuse->id);
            hash.add(refuse->retryAfterMs);
            ++refusals;
        } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
            hash.add(fail->id);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            hash.add(timer->afterMs);
            dueEvents.emplace(nowMs + timer->afterMs,
                              std::pair(epoch[host], DueEvent{host, TimerFiredEvent{timer->token}}));
        } else if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
            hash.add(message->text);
            if (uniform() < 0.95)
                dueEvents.emplace(nowMs + 2 + 10 * uniform(),
                                  std::pair(epoch[message->peer],
                                            DueEvent{message->peer, PeerMessageEvent{host, message->text}}));
        } else if (const auto* log = std::get_if<LogMessage>(&action)) {
            hash.add(log->text);
        }
    }
    /// Reports a node's state to all hosts, to each up to 100 ms later.
    void reportNode(double nowMs, int shard, NodeId node, NodeState state) {
        for (int host = 0; host < kHosts; ++host)
            dueEvents.emplace(
                nowMs + 100 * uniform(),
                std::pair(epoch[host], DueEvent{host, NodeListEvent{NodeListKind::update,
                                                                    {{.node = node,
                                                                      .shard = shard,
                                                                      .state = state,
                                                                      .bootMs = bootMsByShard[shard]}}}}));
    }
    /// Replaces the node of a shard: drains it, starts a new one and removes the old one.
    void replace(int shard, double nowMs) {
        const NodeId old = nodeOf(shard);
        reportNode(nowMs, shard, old, NodeState::draining);
        ++generation[shard];
        bootMsByShard[shard] = nowMs;
        reportNode(nowMs + 200, shard, nodeOf(shard), NodeState::serving);
        reportNode(nowMs + 900, shard, old, NodeState::gone);
    }
    /// Sends one random request; during a surge to one of three volumes only.
    void request(double nowMs, bool surge) {
        const int volume = surge ? uniformInt(3) : uniformInt(24);
        const int host = (volume + uniformInt(2)) % kHosts;
        RequestEvent r;
        r.id = "q" + std::to_string(++requests);
        r.classNo = uniformInt(10) < 7 ? 0 : 1;
        r.planNo = volume % 2;
        r.key = "k" + std::to_string(uniformInt(400));
        r.volume = "v" + std::to_string(volume);
        const bool late = uniformInt(12) == 0;
        r.expiresMs = nowMs + (r.classNo == 0 ? 1000 : 2000) * (late ? 0.6 : 1);
        r.units = 1 + uniformInt(4);
        r.shard = r.classNo == 1 && uniformInt(2) == 0 ? -1 : uniformInt(kShards);
        r.hostsOfVolume = 2;
        give(host, nowMs, r);
        if (uniformInt(50) == 0)
            dueEvents.emplace(nowMs + 30,
                              std::pair(epoch[host], DueEvent{host, RequestAbandonedEvent{r.id}}));
    }
    void run(double fromMs, double untilMs) {
        double nextMs = fromMs;
        int step = 0;
        while (nextMs < untilMs) {
            while (!dueEvents.empty() && dueEvents.begin()->first <= nextMs) {
                const auto [dueMs, entry] = *dueEvents.begin();
                dueEvents.erase(dueEvents.begin());
                const auto& [hostEpoch, dueEvent] = entry;
                if (hostEpoch != epoch[dueEvent.host]) continue;
                if (const auto* outcome = std::get_if<OutcomeEvent>(&dueEvent.event)) {
                    const auto attempt = std::pair(outcome->id, outcome->attempt);
                    if (outcome->outcome != Outcome::cancelled && cancelled[attempt]) continue;
                    if (inFlight.erase(attempt) == 0) continue;
                }
                give(dueEvent.host, dueMs, dueEvent.event);
            }
            const bool surge = static_cast<long>(nextMs) / 3000 % 3 == 1;
            request(nextMs, surge && uniformInt(3) > 0);
            nextMs += (surge ? 0.7 : 2.2) * (0.5 + uniform());
            if (++step % 1500 == 0) slowShard = uniformInt(kShards);
            if (step % 2100 == 0) silentShard = silentShard < 0 ? uniformInt(kShards) : -1;
            if (step % 2600 == 0) replace(uniformInt(kShards), nextMs);
            if (step % 4100 == 0) start(uniformInt(kHosts), nextMs);
        }
    }

    std::mt19937_64 random;
    std::map<int, Scheduler> hosts;
    std::map<int, int> epoch;
    std::multimap<double, std::pair<int, DueEvent>> dueEvents;
    std::map<RequestId, int> attempts;
    std::map<std::pair<RequestId, int>, OutcomeEvent> inFlight;
    std::map<std::pair<RequestId, int>, bool> cancelled;
    int generation[kShards] = {};
    double bootMsByShard[kShards] = {};
    double busyMs[kShards] = {};
    int slowShard = -1, silentShard = -1, requests = 0, sends = 0, refusals = 0;
    Hash hash;
};

}  // namespace

// The recorded hashes, by seed, cover all actions.
TEST_CASE("with one unweighted holder per shard all actions are the recorded ones") {
    for (const auto& [seed, hash] :
         {std::pair(1ULL, 8325496100150768039ULL), std::pair(2ULL, 5095435467536585800ULL)}) {
        World world(seed);
        world.run(1'000'000, 1'040'000);
        MESSAGE("seed " << seed << ", " << world.requests << " requests, " << world.sends << " sends, "
                        << world.refusals << " refusals");
        CHECK(world.sends > 5000);
        CHECK(world.refusals > 500);
        CHECK(world.hash.value() == hash);
    }
}
