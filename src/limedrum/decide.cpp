// The decisions of limedrum. The interface is include/limedrum/scheduler.h.
//
// Flow. handle() takes the events in order, then sweep() looks at what time alone changes: requests about to
// expire, the round's end, lost attempts, silent nodes, held work that can no longer be in time; pump() sends
// what may go, earliest due first. A request is refused at once or enters the queue of its cell (the shard of
// data that one node holds). Its attempts are Flights until their outcome, also past its final answer. Every
// guard of a rule sits in maySend(); nothing else sends.
#include <limedrum/scheduler.h>

#include <tuple>

#include "bids.h"
#include "fleet.h"
#include "memory.h"
#include "settings.h"
#include "state.h"

namespace limedrum {
namespace {

// Tuned constants. "Aim" is the tightest aim of any class, as the settings tell it.
constexpr double kRoundMs = 2000;    // ms: the design's default round
constexpr double kTargetLoad = 1.0;  // of the learned rate: the pool of a pressured node
constexpr double kDrainLoad = 0.9;   // the same while most answers are late everywhere: the queue must drain
constexpr double kRateProbe = 1.15;  // per round: rise of a rate that is asked for more and answers in time
constexpr double kFewRequests = 3;   // requests a round: the least slice of a pool
constexpr double kFewOut = 2;        // requests out at a node at least: one in work, one on its way
constexpr double kFewPressed = 1;    // the same at a pressured node: the other hosts' keep it busy
constexpr int kCeiling = 32;         // requests of one host out at a node, the design's ceiling
constexpr double kBoundAimPart = 0.5;   // of the aim: work out at a node, the rest is for pauses and travel
constexpr double kPressAimPart = 0.5;   // of the aim: answers this much over the usual mean pressure
constexpr double kHeldAimPart = 0.5;    // of the aim: a wait at the bound that means pressure
constexpr double kPressHoldMs = 250;    // ms: pressure outlasts its last sign by this, against flapping
constexpr double kDelayGain = 0.2;      // per answer: least weight in the smoothed delay
constexpr double kSeldomMs = 500;       // ms without an answer: what others feel counts
constexpr double kMeasureMs = 250;      // ms under pressure that make a measure of a host's own
constexpr double kDelayMs = 500;        // ms since the last answer that give a new one its full weight
constexpr double kUsualStep = 0.05;     // per answer: step of the quantile that tracks usual time a unit
constexpr double kUsualQuantile = 0.3;  // the usual is a fast answer: repeats of a key are cheaper still
constexpr double kRateGain = 0.4;       // per round: weight of a new measure of a pressured node's rate
constexpr double kPressedMost = 0.5;    // of the units served: under pressure, they measure the rate
constexpr int kBidRounds = 3;           // rounds that the last sum of bids stands when no newer one arrives
constexpr double kCollectMs = 60;       // ms after a round's start in which its bids are gathered
constexpr double kEarlyPart = 0.25;     // of a round: the offer seen so far counts as if over this at least
constexpr double kRefreshMs = 100;   // ms: age at which the chances of a node's volumes are worked out anew
constexpr double kComeBackMs = 100;  // ms: what a refusal advises; the chances are other ones by then
constexpr double kSilentAims = 4;    // aims without any answer: the node counts as silent
constexpr double kOwedAims = 2;      // the same: what is out there counts as pressed
constexpr int kSilentSends = 3;      // sends without any answer, at least: one or two may just have lost it
constexpr double kPatienceAims = 0.75;  // aims before an attempt may be held for lost, at least
constexpr double kPatienceUsual = 3;    // times the usual answer time and delay, at least
constexpr double kLongSilence = 3;   // times the silence limit: a restart, not a pause, is the likely cause
constexpr double kListLagMs = 5000;  // ms: the list tells a restart within this, mostly
constexpr double kHoldPart = 0.45;   // of its time: a request without an attempt by then is given up
constexpr double kShedHope = 1.6;    // times the own part: other hosts leave some of theirs unused
constexpr double kTrickleMs = 500;   // ms between attempts at a silent node
constexpr double kSweepMs = 10;      // ms between looks at held work
constexpr double kRetryAimPart = 0.25;  // of the aim: rest before a request's next attempt
constexpr double kAskAgainMs = 1000;    // ms before a failed subscription is asked for again
constexpr double kAskLostMs = 6000;     // ms without an answer to it: asked for again
constexpr double kOwnPart = 0.25;       // of a shared budget: split evenly for use without a word
constexpr int kKeepers = 2;             // hosts that deal the rest out, in equal parts
constexpr double kValidMs = 100;        // ms from asking: what was dealt is void after it
constexpr double kPriorUnits = 6;       // units that an even split of a volume weighs against what was seen
constexpr double kLateTryMs = 5;        // ms: a life shorter than the class's by more shows a client's repeat
constexpr std::size_t kLooks = 32;  // cells looked at for a new object; of more a quarter of so many, drawn
constexpr double kLinkedMs = 8000;  // ms since an answer: a connection is likely still there
constexpr double kNewLinkAimPart = 0.1;  // of the aim: what a new one costs a new object
constexpr double kSpillAimPart = 0.25;   // of the aim: a wait for a cold holder's budget
constexpr double kAbsurd = 1e6;          // units a round that no host can mean

constexpr double kNever = std::numeric_limits<double>::infinity();

double finiteOr(double value, double otherwise) { return std::isfinite(value) ? value : otherwise; }

}  // namespace

class Scheduler::Impl {
public:
    Impl(Settings settings, std::uint64_t seed, double nowMs) : random_(seed), now_(finiteOr(nowMs, 0)) {
        retune(std::move(settings));
        if (set_.listOnRequest) askMs_ = now_;
    }

    // Requests go on by the class and the attempts that they were taken with.
    void retune(Settings settings) {
        set_ = checked(std::move(settings));
        aimMs_ = kNever;
        for (const ClassSettings& c : set_.classes)
            if (!c.dropped) aimMs_ = std::min(aimMs_, c.aimMs > 0 ? c.aimMs : c.deadlineMs);
        longestMs_ = set_.rules.fallMs;
        for (std::size_t i = 0; i < set_.plans.size(); ++i)
            if (const auto b = limitBudget(static_cast<int>(i)))
                longestMs_ = std::max(longestMs_, b->windowMs);
    }

    std::vector<Action> handle(double nowMs, std::span<const Event> events) {
        now_ = std::max(now_, finiteOr(nowMs, now_));
        actions_.clear();
        for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
        sweep();
        arm();
        return std::move(actions_);
    }

    // What the next process on this machine goes on with.
    std::string handOver(double nowMs) { return writeMemory(nowMs, learned()); }
    bool takeOver(double nowMs, const std::string& text) {
        return readMemory(text, nowMs, roundStartMs_, learned());
    }

    std::vector<NodeView> view() const {
        std::vector<NodeView> out;
        for (const Node* n : fleet_.nodesInOrder()) {
            if (n->state == NodeState::gone) continue;
            const bool chosen = nodeOf(fleet_.cells.at(n->cell)) == n;
            out.push_back({n->id, n->shard, n->state, chosen, n->silentSinceMs > 0, n->rate});
        }
        return out;
    }

    std::size_t tableSize() const {
        return requests_.size() + flights_.size() + fleet_.nodes.size() + volumes_.size() + lanes_.size() +
               taken_.entries.size() + extras_.entries.size() + expiries_.size() + fleet_.cells.size() +
               gathered_.bids.size() + shares_.size() + tills_.size();
    }

private:
    using FlightId = std::pair<RequestId, int>;
    void on(const ReminderEvent&) {}
    void on(const ProbedEvent&) {}
    const ClassSettings& classOf(const Request& r) const { return set_.classes[r.told.classNo]; }
    bool ordered(const Request& r) const { return classOf(r).ordered && !r.told.key.empty(); }
    const PlanSettings& planOf(int plan) const { return set_.plans[plan]; }
    std::uint64_t roundAt(double ms) const {
        return static_cast<std::uint64_t>(std::max(ms, 0.0) / kRoundMs);
    }
    bool feltPressed(const Node& n) const { return now_ < n.pressedUntilMs; }
    // What the sum of bids tells counts where this host hears the node too seldom to feel it.
    bool hearsSeldom(const Node& n) const { return now_ - n.timedMs > kSeldomMs; }
    bool pressed(const Node& n) const {
        return feltPressed(n) || (now_ < n.toldPressedUntilMs && hearsSeldom(n));
    }
    double fewOut(const Node& n) const { return pressed(n) && n.rate > 0 ? kFewPressed : kFewOut; }
    void say(const std::string& text) { actions_.push_back(Log{text}); }

    // ---- The list ----

    void on(const ListEvent& event) {
        if (event.kind == ListKind::unavailable) {
            // Which call failed is not said: the subscription counts as lost. Once too often costs a call.
            if (set_.listOnRequest) askMs_ = now_ + kAskAgainMs * (1 + random_.draw());
            return;
        }
        if (set_.listOnRequest && event.kind != ListKind::restored) askMs_ = kNever;
        if (event.kind != ListKind::update) fleet_.allGone();
        for (const NodeEntry& entry : event.entries) {
            Node& n = fleet_.list(entry);
            const double boot = finiteOr(entry.bootMs, 0);
            if (boot > n.bootMs) n.bootMs = boot, n.doubtedMs = 0;
        }
    }

    Node* nodeOf(const Cell& c) const {
        Node* best = nullptr;
        const auto rank = [](const Node& x) { return std::tuple(x.silentSinceMs > 0, x.bootMs, x.id); };
        for (Node* n : c.holders) {
            if (n->state == NodeState::serving && (best == nullptr || rank(*n) < rank(*best))) best = n;
        }
        return best;
    }

    // A new object may go to any node: to the one that should answer first, of a few drawn if they are many.
    CellId chooseCell(double units) {
        std::vector<Cell*> looks;
        double usual = 0, known = 0;  // of a node not yet known
        const auto learn = [&](const Node& n) { usual += n.unitMs, known += n.unitMs > 0; };
        if (fleet_.open.size() <= kLooks) {
            looks = fleet_.inOrder();
            for (const Node* n : fleet_.nodesInOrder()) learn(*n);
        } else {
            for (std::size_t draws = 0; draws < kLooks && looks.size() < kLooks / 4; ++draws)
                if (Cell* c = fleet_.open[random_.below(static_cast<int>(fleet_.open.size()))]; nodeOf(*c))
                    looks.push_back(c), learn(*c->holders.front());
            if (looks.empty()) looks = fleet_.inOrder();
        }
        usual = known > 0 ? usual / known : 1;
        CellId best = -1;
        double bestMs = kNever;
        for (const Cell* c : looks) {
            Node* n = nodeOf(*c);
            if (n == nullptr) continue;
            const double work = (n->outUnits + c->queuedUnits + units) * (n->unitMs > 0 ? n->unitMs : usual);
            double ms = (n->delayMs + work) * (0.75 + 0.5 * random_.draw());
            if (n->outCount > 0) ms = std::max(ms, now_ - n->heardMs);  // an answer takes that long at least
            if (pressed(*n)) ms += aimMs_;
            if (now_ - n->timedMs > kLinkedMs) ms += kNewLinkAimPart * aimMs_;
            if (isCold(*n)) ms += 10 * aimMs_;
            if (n->silentSinceMs > 0) ms += 100 * aimMs_;
            if (ms < bestMs) bestMs = ms, best = c->id;
        }
        return best;
    }

    // Where a request goes next: its cell, or of weighted holders the one with the largest claim on its
    // piece, away from `avoid`, from those that answer nothing and, if `calm`, from pressed and cold ones.
    CellId route(const Request& r, const Node* avoid, bool calm) const {
        const auto spread = fleet_.spreads.find(r.told.cell);
        if (spread == fleet_.spreads.end()) return r.cell;
        const std::uint64_t piece = hashOf(r.told.key.empty() ? r.told.id : r.told.key);
        const Node* best = nullptr;
        std::pair<int, double> bestRank;
        for (const Node* n : spread->second) {
            const int rank = n->state != NodeState::serving                                         ? 0
                             : n == avoid || silentFor(*n) || (calm && (pressed(*n) || isCold(*n))) ? 1
                                                                                                    : 2;
            const std::pair own(rank, claimOf(piece, n->id, n->weight * warmth(*n)));
            if (best == nullptr || own > bestRank) best = n, bestRank = own;
        }
        return bestRank.first < 2 && avoid != nullptr ? r.cell : best->cell;
    }

    // What waits for a weighted holder that serves no more goes to another.
    void leave(const Cell& c) {
        for (const auto& [due, id] : std::set(c.queue)) {
            Request& r = requests_.at(id);
            const CellId to = r.told.cell < 0 ? chooseCell(r.told.units) : route(r, nullptr, false);
            if (to != -1 && to != r.cell) fleet_.move(r, to);
        }
    }

    // The part of its work that a node may take while it may be cold.
    double warmth(const Node& n) const {
        const double share = set_.rules.coldShare;
        const double part = (now_ - coldSince(n)) / std::max(set_.rules.warmWithinMs, 1.0);
        return isCold(n) ? std::clamp(share + (1 - share) * part, 0.01, 1.0) : 1;
    }
    bool isCold(const Node& n) const { return coldBudget(coldSince(n)).has_value(); }

    // What a holder not yet measured can do, by its weight against those that are.
    double believedRate(const Node& n) const {
        double rate = 0, weight = 0;
        const auto spread = fleet_.spreads.find(n.shard);
        if (n.weight <= 0 || spread == fleet_.spreads.end()) return 0;
        for (const Node* other : spread->second)
            if (other->rate > 0) rate += other->rate, weight += other->weight;
        return weight > 0 ? n.weight * rate / weight : 0;
    }

    // ---- Requests ----

    void on(const RequestEvent& event) {
        if (requests_.contains(event.id)) return;
        if (event.classNo < 0 || event.classNo >= static_cast<int>(set_.classes.size()) ||
            !std::isfinite(event.expiresMs) || event.expiresMs <= now_ ||
            now_ > shutdown_.firstAttemptUntilMs)
            return actions_.push_back(Refuse{event.id, std::min(kComeBackMs, set_.maxRetryAfterMs)});
        taken_.add(now_, 1);
        const ClassSettings& cls = set_.classes[event.classNo];
        Request& r = requests_[event.id];
        r.told = event;
        r.cap = set_.attemptCap;
        // No client waits longer than its class, nor is a volume met by more hosts than there are: one that
        // says so must not count in what is learned of the others.
        r.told.expiresMs = std::min({event.expiresMs, now_ + cls.deadlineMs, shutdown_.answerByMs});
        r.told.hostsOfVolume = std::clamp(event.hostsOfVolume, 1, set_.hosts);
        r.told.units = std::clamp(finiteOr(event.units, set_.maxUnits), 0.0, std::max(set_.maxUnits, 1e3));
        if (event.planNo < 0 || event.planNo >= static_cast<int>(set_.plans.size())) r.told.planNo = 0;
        r.takenMs = now_;
        lookAt(r, std::min(now_ + kHoldPart * (r.told.expiresMs - now_), shutdown_.firstAttemptUntilMs));
        // A client's repeat brings what is left of its first try's life: its aim counts from then.
        const double left = r.told.expiresMs - now_;
        const double life = lives_[event.classNo] = std::max(lives_[event.classNo], left);
        const double age = life - left > kLateTryMs ? life - left : 0;
        r.lateTry = age > cls.aimMs;
        r.dueMs = r.lateTry ? r.told.expiresMs : std::min(now_ + cls.aimMs - age, r.told.expiresMs);
        r.cell = event.cell;
        r.cell = event.cell >= 0 ? route(r, nullptr, false) : chooseCell(r.told.units);
        if (ordered(r)) lanes_.enter(event.key, event.id);

        Volume& v = volumes_[event.volume];
        v.plan = r.told.planNo;
        v.hosts = std::max(v.hosts, r.told.hostsOfVolume);
        v.seenMs = now_;
        if (!r.lateTry) v.now += r.told.units;  // repeats do not inflate what this host bids
        offer(r);
        Node* n = nodeOf(fleet_.touch(r.cell));
        // What its holder has no room for goes to another that is not pressed.
        bool over = n != nullptr && !silentFor(*n) && thinned(fleet_.touch(r.cell), *n, r);
        if (const CellId to = over ? route(r, n, true) : r.cell; to != r.cell) {
            r.cell = to;
            offer(r);
            n = nodeOf(fleet_.touch(to));
            over = false;
        }
        Cell& c = fleet_.touch(r.cell);
        Demand& d = c.volumes[event.volume];
        r.merit = cls.worth * planOf(v.plan).worthFactor * (r.lateTry ? cls.lateWorth : 1);
        if (n != nullptr && silentFor(*n)) return finish(event.id, silentNode);
        if (over) return finish(event.id, thin);
        if (n != nullptr && d.fair > 0) {
            const double asked = expectedRate(d.now, d.last);
            if (asked > d.fair)
                r.merit *= set_.withinShare * d.fair / asked + set_.spareWorth * (1 - d.fair / asked);
        }
        c.spent += r.told.units;
        fleet_.enqueue(r);
        pump(r.cell);
    }

    bool silentFor(const Node& n) const { return n.silentSinceMs > 0 && now_ - n.trickledMs < kTrickleMs; }

    void offer(const Request& r) {
        fleet_.touch(r.cell).offer(r.told.volume, classOf(r).worth, r.lateTry ? 0 : r.told.units);
    }

    // Units a second to expect in the rest of the round: as in the last round, or as this round shows a
    // surge.
    double expectedRate(double seen, double last) const {
        const double passed = std::max(now_ - roundStartMs_, kEarlyPart * kRoundMs);
        return std::max(last / kRoundMs, seen / passed) * 1000;
    }

    // The part of a node's pool that this host's demand has in the bids' sum: of units inside reserves first,
    // of the rest by weight, since at size a host has too few volumes to weigh them alone. Without a sum or
    // demand an even slice. The few requests at least give way to an even part where all bidders' do not fit.
    double slice(const Cell& c, const Node& n) const {
        const double pool =
            (c.crowded && hearsSeldom(n) ? kDrainLoad : kTargetLoad) * n.rate * kRoundMs / 1000;
        const double few = kFewRequests * set_.meanUnits;
        const bool told = now_ - c.sumMs <= kBidRounds * kRoundMs;
        const double least = told ? std::min(few, pool / std::max(c.sum.hosts, 1.0)) : few;
        if (!told || c.own.reserved + c.own.weighed <= 0) return std::max(pool / set_.hosts, least);
        const auto part = [](double own, double all) { return all > 0 ? std::min(1.0, own / all) : 0.0; };
        const double units = std::min(pool, c.sum.reserved) * part(c.own.reserved, c.sum.reserved) +
                             std::max(0.0, pool - c.sum.reserved) * part(c.own.weighed, c.sum.weighed);
        return std::max(units, least);
    }

    double bound(const Cell& c, const Node& n) const {
        const double units = slice(c, n) * kBoundAimPart * aimMs_ / kRoundMs;
        return std::max(units, fewOut(n) * set_.meanUnits);
    }

    // Until an answer in good time, a round at most: at size a host hears a node once in seconds.
    void press(Node& n) {
        n.signMs = now_;
        n.pressedUntilMs = now_ + kRoundMs;
    }

    // Of units asked at one node, those in this host's part of the volume's reserve, by what was served
    // through it.
    double reservedOf(const Volume& v, double asked, double everywhere, double seconds) const {
        const double ownPart = (v.own + kPriorUnits / v.hosts) / (v.own + v.others + kPriorUnits);
        return std::min(asked,
                        planOf(v.plan).reserve * seconds * ownPart * asked / std::max(everywhere, asked));
    }

    // Percent thinning by volume: tokens left over units expected, dealt out to reserves first, then by
    // weight: a hot volume is thinned before its neighbours, and within a volume what earns least a unit
    // before the rest.
    void workOutChances(Cell& c, const Node& n) {
        if (now_ - c.chancesMs < kRefreshMs) return;
        c.chancesMs = now_;
        const double restS = std::max(roundStartMs_ + kRoundMs - now_, kRefreshMs) / 1000;
        double budget = std::max(slice(c, n) - c.spent, 0.0) / restS;
        std::vector<Claim> claims;
        double reserved = 0;
        for (auto& [name, d] : c.volumes) {
            const double asked = expectedRate(d.now, d.last);
            const auto v = volumes_.find(name);
            if (asked <= 0 || v == volumes_.end()) continue;
            d.fair = reservedOf(v->second, asked, expectedRate(v->second.now, v->second.last), 1);
            reserved += d.fair;
            claims.push_back({&d, asked, planOf(v->second.plan).weight});
        }
        dealByWeight(claims, budget, reserved);
        for (const Claim& k : claims) {
            double left = k.demand->fair;
            for (auto& [worth, offer] : k.demand->byWorth) {
                const double asked = expectedRate(offer.now, offer.last);
                offer.chance = asked > 0 ? std::min(1.0, left / asked) : 1;
                left -= std::min(left, asked);
            }
        }
    }

    bool thinned(Cell& c, Node& n, const Request& r) {
        workOutChances(c, n);
        if (pressed(n) && n.rate <= 0) n.rate = believedRate(n);
        if (!pressed(n) || n.rate <= 0) return false;
        // A repeat past its aim earns least of all: it goes only where all else is expected to fit.
        const double rest = expectedRate(c.offered, c.lastOffered) * (roundStartMs_ + kRoundMs - now_) / 1000;
        if (r.lateTry) return slice(c, n) - c.spent < rest;
        return random_.draw() >= c.volumes[r.told.volume].byWorth[classOf(r).worth].chance;
    }

    // ---- The rules' guards ----

    // Since when a node may be cold; 0: it is not. Back from a long silence it is taken for cold until the
    // list could tell a restart, as it falls for good if so. After a mere hang that costs part of its work.
    double coldSince(const Node& n) const {
        return n.doubtedMs > 0 && now_ - n.doubtedMs < kListLagMs ? n.doubtedMs : n.bootMs;
    }

    // What all hosts together may send a cold node within the rule's window: what any bears, growing as
    // slowly as one may warm; that of the window's middle.
    std::optional<Budget> coldBudget(double since) const {
        const RuleSettings& rules = set_.rules;
        const double age = now_ - since;
        if (since <= 0 || age >= rules.warmWithinMs + rules.fallMs / 2 || rules.fallMs <= 0)
            return std::nullopt;
        const double steep = 1 / std::clamp(rules.coldShare, 0.01, 1.0) - 1;
        const double grown = std::max(0.0, age - rules.fallMs / 2) / std::max(rules.warmWithinMs, 1.0);
        const double units = set_.coldUnits * (1 + steep * grown);
        return Budget{units, rules.fallMs, false};
    }

    // A plan's limit: a store so deep that fills in so long.
    std::optional<Budget> limitBudget(int plan) const {
        const PlanSettings& p = planOf(plan);
        if (p.limit <= 0) return std::nullopt;
        return Budget{p.limitDepth, std::max(p.limitDepth / p.limit * 1000, set_.tickMs), true};
    }

    // ---- Budgets that all hosts share: cold nodes and limits ----
    //
    // A quarter of a budget is split evenly; a host uses its part without a word. The rest lies with two
    // keepers, half each, known to all from the budget's number; they deal it on asking, and what they deal
    // is void soon after. What both deny is given up at once. The total is safe whoever crashes, restarts or
    // loses messages: one host alone counts each part. A store's part is empty at its host's start; a
    // window's part is void for a window from then, unless the node started later still. Only budget is lost.
    bool covered(Request& r, BudgetId id, const std::optional<Budget>& b, int hosts, double figure) {
        if (!b) return true;
        Share& s = shares_[id];
        const double part = evenPart(id) / std::max(hosts, 1);
        s.dealt.trim(now_ - kValidMs);
        const auto enough = [&] { return room(s.own, *b, part, startMs_) + s.dealt.units >= r.told.units; };
        if (enough()) return true;
        if (r.shortOf != id) r.asks = 0;
        r.shortOf = id;
        const bool waits =
            r.asks > 0 && now_ - r.askedMs < kValidMs && s.deniedMs[r.asks % kKeepers] < r.askedMs;
        r.denied = !waits && r.asks >= kKeepers;
        if (!set_.mayTellPeers || waits || r.denied) return false;
        r.askedMs = now_;
        const int half = ++r.asks % kKeepers;
        pass(keeper(id, half), {BudgetMessage::ask, id, half, figure, r.told.units, now_});
        return enough();  // it may be this host that keeps it
    }

    // Nothing of a cold node's budget where a host's part is under one request: the keepers have all.
    double evenPart(BudgetId id) const {
        if (!set_.mayTellPeers) return 1;
        return id.first == 'n' && kOwnPart * set_.coldUnits < set_.meanUnits * set_.hosts ? 0 : kOwnPart;
    }

    double room(Ledger& ledger, const Budget& b, double part, double bornMs) const {
        const double freshUntilMs = bornMs < startMs_ ? 0 : startMs_ + b.windowMs + kValidMs + set_.tickMs;
        if (!b.fills && now_ < freshUntilMs) return 0;
        return ledger.room(now_, b, part, fillMs_, kValidMs + set_.tickMs);
    }

    void draw(BudgetId id, const std::optional<Budget>& b, double units) {
        if (!b) return;
        Share& s = shares_[id];
        s.own.take(now_, units - s.dealt.take(units));
    }

    int keeper(BudgetId id, int part) const {
        return Random(id.second * 0x10001 + static_cast<std::uint64_t>(part) * 2 + (id.first == 'v'))
            .below(set_.hosts);
    }

    void pass(int to, const BudgetMessage& m) {
        if (to == set_.self) return on(to, m);
        actions_.push_back(TellPeer{to, writeBudget(m)});
    }

    void on(int sender, const BudgetMessage& m) {
        const bool cold = m.id.first == 'n';
        if (m.units > kAbsurd || m.part < 0 || m.part >= kKeepers) return;
        const auto n = fleet_.nodes.find(static_cast<NodeId>(m.id.second));
        if (cold ? n == fleet_.nodes.end() || m.figure > now_ + kRoundMs
                 : m.figure >= static_cast<double>(set_.plans.size()))
            return;
        // Of two starts the later has the smaller budget.
        const auto b = cold ? coldBudget(std::max(m.figure, coldSince(n->second)))
                            : limitBudget(static_cast<int>(m.figure));
        if (!b) return;
        if (m.kind == BudgetMessage::grant) {
            const auto s = shares_.find(m.id);
            if (s == shares_.end() || m.stampMs > now_ || keeper(m.id, m.part) != sender) return;
            s->second.dealt.add(m.stampMs, m.units);
            if (m.units <= 0) s->second.deniedMs[m.part] = now_;
        } else if (keeper(m.id, m.part) == set_.self) {
            Ledger& ledger = tills_[m.id].parts[m.part];
            const double bornMs = cold && n->second.bootMs > startMs_ ? -kNever : startMs_;
            const bool fits = room(ledger, *b, (1 - evenPart(m.id)) / kKeepers, bornMs) >= m.units;
            if (fits) ledger.take(now_, m.units);
            pass(sender, {BudgetMessage::grant, m.id, m.part, m.figure, fits ? m.units : 0, m.stampMs});
        }
    }

    // `ranMs`: when the first attempt that may have run was sent.
    bool mayRepeat(const Request& r, double ranMs) const {
        return r.attempts == 0 || (r.attempts < r.cap && now_ < repeatByMs(r, ranMs));
    }
    // By when a repeat's last byte has to be out, whatever it waits for on its way.
    double repeatByMs(const Request& r, double ranMs) const {
        const ClassSettings& cls = classOf(r);
        if (ranMs == kNever || cls.repeat == Repeat::safe) return kNever;
        return cls.repeat == Repeat::keyed ? ranMs + cls.repeatWindowMs - 2 * set_.tickMs : -kNever;
    }

    bool budgetAllows() {
        const double window = set_.rules.budgetWindowMs;
        if (window <= 0) return true;
        taken_.trim(now_ - window + set_.tickMs);
        extras_.trim(now_ - window - set_.tickMs);
        return extras_.units + 1 <= set_.rules.budgetFree + set_.rules.budgetRatio * taken_.units;
    }

    // The shutdown's last moment at which an attempt of the request may begin.
    double attemptUntilMs(const Request& r) const {
        return r.attempts == 0 ? shutdown_.firstAttemptUntilMs : shutdown_.furtherAttemptUntilMs;
    }

    bool maySend(Request& r, Node& n) {
        if (now_ > attemptUntilMs(r)) return false;
        if (r.out > 0 || now_ < r.notBeforeMs || now_ >= r.told.expiresMs - set_.tickMs ||
            (ordered(r) && !lanes_.open(r.told.key, r.told.id, r.attempts == 0, now_)))
            return false;
        if (r.attempts > 0 && (!mayRepeat(r, r.ranMs) || !budgetAllows())) return false;
        const bool drawn = r.drawn || covered(r, {'v', hashOf(r.told.volume)}, limitBudget(r.told.planNo),
                                              r.told.hostsOfVolume, r.told.planNo);
        if (!drawn || !covered(r, {'n', n.id}, coldBudget(coldSince(n)), set_.hosts, coldSince(n)))
            return false;
        r.shortOf.reset();
        return true;
    }

    void send(Request& r, Node& n) {
        fleet_.dequeue(r);
        if (!r.drawn) draw({'v', hashOf(r.told.volume)}, limitBudget(r.told.planNo), r.told.units);
        r.drawn = true;
        draw({'n', n.id}, coldBudget(coldSince(n)), r.told.units);
        if (r.attempts > 0) extras_.add(now_, 1);
        const std::string key = ordered(r) ? r.told.key : "";
        flights_[{r.told.id, r.attempts}] = {n.id, r.cell, now_, r.told.units, false, key, r.told.volume};
        if (!key.empty()) lanes_.sent(key, r.told.id);
        if (n.outCount == 0) n.heardMs = now_;
        ++n.outCount;
        ++n.unheard;
        watched_.emplace(now_ + patience(n, r.told.units), FlightId(r.told.id, r.attempts));
        n.outUnits += r.told.units;
        fleet_.active.insert(r.cell);
        ++r.attempts;
        ++r.out;
        const double startByMs = std::min(repeatByMs(r, r.ranMs), shutdown_.furtherAttemptUntilMs);
        actions_.push_back(Send{r.told.id, n.id, r.told.expiresMs - now_, startByMs - now_});
    }

    void pump(CellId cell) {
        Cell& c = fleet_.touch(cell);
        Node* n = nodeOf(c);
        if (n == nullptr || c.queue.empty()) return;
        const double most = bound(c, *n);
        for (auto it = c.queue.begin(); it != c.queue.end();) {
            Request& r = requests_.at(it->second);
            ++it;
            if (n->silentSinceMs > 0) {
                if (now_ - n->trickledMs < kTrickleMs || n->outCount >= kCeiling) return;
            } else if (n->outCount >= kCeiling ||
                       (n->outCount >= fewOut(*n) && n->outUnits + r.told.units > most)) {
                if (!isCold(*n) && now_ - r.takenMs > kHeldAimPart * aimMs_)
                    press(*n);  // else its budget held it
                return;
            }
            if (!maySend(r, *n)) continue;
            if (n->silentSinceMs > 0) n->trickledMs = now_;
            send(r, *n);
        }
    }

    // Held work under pressure: where not all can be in time, what earns least for its size is refused, so
    // that earliest-due-first does not answer all just too late. And what a shared budget does not cover by
    // its aim.
    void shed(Cell& c, Node& n) {
        std::vector<std::pair<RequestId, Cause>> dropped;
        std::vector<std::pair<RequestId, CellId>> moved;
        const bool waits = n.silentSinceMs > 0;
        const bool tight = waits || (pressed(n) && n.rate > 0);
        const double rate = slice(c, n) / kRoundMs * 1000 * kShedHope;  // units a second
        double ahead = n.outUnits;
        std::set<std::pair<double, RequestId>> kept;  // by merit
        for (const auto& [due, id] : c.queue) {
            const Request& r = requests_.at(id);
            if (r.out > 0) continue;
            // The other holders take what one that is silent, or cold beyond its budget, cannot.
            const bool away = waits || (r.shortOf && r.shortOf->first == 'n' &&
                                        (r.denied || now_ - r.takenMs > kSpillAimPart * aimMs_));
            if (const CellId to = away ? route(r, &n, !waits) : r.cell; to != r.cell) {
                moved.emplace_back(id, to);
                continue;
            }
            if (r.shortOf && (r.denied || now_ >= due)) {
                dropped.emplace_back(id, r.shortOf->first == 'v' ? overLimit : coldNode);
                continue;
            }
            if (!tight) continue;
            ahead += r.told.units;
            kept.emplace(r.merit, id);
            const bool late = waits || rate <= 0 ? now_ >= due : now_ + ahead / rate * 1000 > due;
            if (!late) continue;
            const RequestId worst = waits ? id : kept.begin()->second;
            const Request& w = requests_.at(worst);
            ahead -= w.told.units;
            kept.erase({w.merit, worst});
            dropped.emplace_back(worst, waits ? silentNode : tooLate);
        }
        for (const auto& [id, to] : moved) fleet_.move(requests_.at(id), to);
        for (const auto& [id, cause] : dropped) finish(id, cause);
    }

    // ---- Answers ----

    void on(const OutcomeEvent& event) {
        const auto at = flights_.find({event.id, event.attempt});
        if (at == flights_.end()) return;
        const Flight flight = at->second;
        flights_.erase(at);
        const bool unsure = event.outcome == Outcome::timedOut || event.outcome == Outcome::reset ||
                            event.outcome == Outcome::cancelled;
        if (!flight.key.empty())
            lanes_.ended(flight.key, event.id, unsure ? now_ + set_.rules.orderPauseMs : 0);
        const bool answered = event.outcome == Outcome::done || event.outcome == Outcome::error ||
                              event.outcome == Outcome::full;
        if (const auto nodeAt = fleet_.nodes.find(flight.node); nodeAt != fleet_.nodes.end()) {
            Node& n = nodeAt->second;
            if (!flight.lost) n.leave(flight.units);
            if (answered) {
                if (n.silentSinceMs > 0) {
                    say("node " + std::to_string(flight.node) + " answers again");
                    if (now_ - n.silentSinceMs > kLongSilence * kSilentAims * aimMs_) n.doubtedMs = now_;
                    n.silentSinceMs = 0;
                }
                n.heardMs = now_;
                n.unheard = 0;
                n.answeredSentMs = std::max(n.answeredSentMs, flight.sentMs);
            } else if (((event.outcome == Outcome::timedOut && n.unheard >= kSilentSends) ||
                        event.outcome == Outcome::connectFailed) &&
                       n.state == NodeState::serving && n.heardMs <= flight.sentMs && n.silentSinceMs <= 0) {
                n.silentSinceMs = flight.sentMs;
            }
            if (event.outcome == Outcome::full) press(n);
            // The node did the work of an answer that was lost: it has answered what was sent later.
            if (unsure && n.answeredSentMs > flight.sentMs)
                fleet_.touch(flight.cell).now.served += flight.units;
            if (event.outcome == Outcome::done && flight.units > 0) {
                const double took = finiteOr(event.tookMs, 0);
                if (n.unitMs <= 0) n.unitMs = took / flight.units;
                const double over = took - flight.units * n.unitMs;
                const double gain = std::clamp((now_ - n.timedMs) / kDelayMs, kDelayGain, 1.0);
                n.timedMs = now_;
                n.delayMs += gain * (std::max(0.0, over) - n.delayMs);
                if (n.delayMs > kPressAimPart * aimMs_)
                    press(n);
                else
                    n.pressedUntilMs = std::min(n.pressedUntilMs, n.signMs + kPressHoldMs);
                if (!pressed(n))
                    n.unitMs *= 1 + kUsualStep * (over > 0 ? kUsualQuantile : kUsualQuantile - 1);
                fleet_.touch(flight.cell).now.served += flight.units;
                if (feltPressed(n)) fleet_.touch(flight.cell).now.pressed += flight.units;
            }
        }
        if (const auto v = volumes_.find(flight.volume); v != volumes_.end()) {
            if (event.outcome == Outcome::done) v->second.own += flight.units;
            v->second.others += std::clamp(finiteOr(event.unitsElsewhere, 0), 0.0, kAbsurd);
        }
        const auto held = requests_.find(event.id);
        if (held == requests_.end()) return pump(flight.cell);
        Request& r = held->second;
        --r.out;
        if (unsure || event.outcome == Outcome::error) r.ranMs = std::min(r.ranMs, flight.sentMs);
        if (event.last || event.outcome == Outcome::done) {
            forget(event.id);
        } else if (r.out == 0) {
            r.notBeforeMs = now_ + (r.givenUp ? 0 : kRetryAimPart * aimMs_);
            r.givenUp = false;
            const bool pointless = event.outcome == Outcome::moot || event.outcome == Outcome::timedOut ||
                                   r.streaming || r.notBeforeMs >= r.told.expiresMs - set_.tickMs ||
                                   r.notBeforeMs > shutdown_.furtherAttemptUntilMs;
            const bool over = pointless || !mayRepeat(r, r.ranMs) || !budgetAllows();
            if (over) return finish(event.id, retrySpent), pump(flight.cell);
            if (const auto at = fleet_.nodes.find(flight.node); at != fleet_.nodes.end())
                r.cell = route(r, &at->second, false);
            fleet_.enqueue(r);
            if (r.cell != flight.cell) pump(r.cell);
        }
        pump(flight.cell);
    }

    void on(const StreamStartedEvent& event) {
        const auto at = requests_.find(event.id);
        if (at == requests_.end()) return;
        at->second.streaming = true;  // from here on it has no deadline
        expiries_.erase({at->second.lookMs, event.id});
    }

    void on(const AbandonedEvent& event) { forget(event.id); }

    // ---- Shutdown ----

    void on(const ShutdownEvent& event) {
        shutdown_.firstAttemptUntilMs = std::min(shutdown_.firstAttemptUntilMs, event.firstAttemptUntilMs);
        shutdown_.furtherAttemptUntilMs =
            std::min(shutdown_.furtherAttemptUntilMs, event.furtherAttemptUntilMs);
        shutdown_.answerByMs = std::min(shutdown_.answerByMs, event.answerByMs);
        for (auto& [id, r] : requests_) endWithin(r);
    }

    // Cuts an open request's time to what the shutdown leaves of it.
    void endWithin(Request& r) {
        r.told.expiresMs = std::min(r.told.expiresMs, shutdown_.answerByMs);
        if (r.dueMs > r.told.expiresMs) {
            const bool queued = r.queued;
            if (queued) fleet_.dequeue(r);  // the queue is in the order of due times
            r.dueMs = r.told.expiresMs;
            if (queued) fleet_.enqueue(r);
        }
        if (!r.streaming) lookAt(r, std::min({r.lookMs, r.told.expiresMs, attemptUntilMs(r)}));
    }

    // The final answer: refused where a repeat is harmless, else failed.
    void finish(const RequestId& id, Cause cause) {
        const auto at = requests_.find(id);
        if (at == requests_.end()) return;
        const Request& r = at->second;
        turnedAway_.units[cause] += r.told.units;
        const ClassSettings& cls = classOf(r);
        const bool harmless = cls.repeat == Repeat::safe || (r.out == 0 && r.ranMs == kNever) ||
                              (cls.repeat == Repeat::keyed && cls.group == RepeatGroup::all);
        // Soon enough to be in time still; where nobody answers, as late as a client will come.
        const Node* n = nodeOf(fleet_.touch(r.cell));
        const double backMs = n == nullptr || n->silentSinceMs > 0 ? set_.maxRetryAfterMs : kComeBackMs;
        if (harmless)
            actions_.push_back(Refuse{id, std::min(backMs, set_.maxRetryAfterMs)});
        else
            actions_.push_back(Fail{id});
        forget(id);
    }

    // Lets go of a request that has its final answer, and calls off what is still out for it.
    void forget(const RequestId& id) {
        const auto at = requests_.find(id);
        if (at == requests_.end()) return;
        Request& r = at->second;
        fleet_.dequeue(r);
        if (set_.mayCancel && r.out > 0 && !r.streaming) {
            for (auto f = flights_.lower_bound({id, 0}); f != flights_.end() && f->first.first == id; ++f)
                actions_.push_back(Cancel{id, f->first.second});
        }
        expiries_.erase({r.lookMs, id});
        if (ordered(r)) lanes_.finished(r.told.key, id);
        requests_.erase(at);
    }

    // ---- Time ----

    // A node that takes work and answers nothing, whatever the cause: refused at once but for a trickle that
    // shows its return. A pause longer than the limit looks the same and costs the requests of its rest.
    void judgeSilence(Node& n) {
        if (n.silentSinceMs > 0 || n.outCount == 0 || n.unheard < kSilentSends ||
            now_ - n.heardMs < kSilentAims * aimMs_)
            return;
        n.silentSinceMs = std::max(n.heardMs, 1.0);
        n.trickledMs = now_;
        say("node " + std::to_string(n.id) + " answers nothing");
        if (n.weight <= 0) return;
        for (const auto& [id, f] : flights_)  // another holder may answer
            if (f.node == n.id) callOff(id, f, n, aimMs_);
    }

    // When a request that goes on is looked at again: one without an attempt out also when none may begin.
    double nextLookMs(const Request& r) const {
        const double untilMs = attemptUntilMs(r);
        return r.lookMs < untilMs ? std::min(r.told.expiresMs, untilMs) : r.told.expiresMs;
    }
    void lookAt(Request& r, double ms) {
        expiries_.erase({r.lookMs, r.told.id});
        expiries_.emplace(r.lookMs = ms, r.told.id);
    }

    double patience(const Node& n, double units) const {
        return std::max(kPatienceAims * aimMs_, kPatienceUsual * (n.unitMs * units + n.delayMs));
    }

    // An attempt out much longer than usual, overtaken by what was sent well later, is held for lost: it
    // takes no place any more and may be called off and repeated. Time alone is no proof: repeats feed a jam.
    void giveUpLost() {
        while (!watched_.empty() && watched_.begin()->first <= now_) {
            const FlightId id = watched_.begin()->second;
            watched_.erase(watched_.begin());
            const auto at = flights_.find(id);
            if (at == flights_.end()) continue;
            Flight& f = at->second;
            const auto node = fleet_.nodes.find(f.node);
            if (node == fleet_.nodes.end()) continue;
            Node& n = node->second;
            const double wait = patience(n, f.units);
            if (n.answeredSentMs <= f.sentMs + wait / 2) {  // not overtaken
                watched_.emplace(now_ + wait / 2, id);
                continue;
            }
            if (!f.lost) n.leave(f.units);
            f.lost = true;
            callOff(id, f, n, wait / 2);
        }
    }

    // Calls an attempt off to repeat it, as class, cap and budget allow and its time may still serve.
    void callOff(const FlightId& id, const Flight& f, const Node& n, double neededMs) {
        const auto held = requests_.find(id.first);
        if (!set_.mayCancel || held == requests_.end()) return;
        Request& r = held->second;
        const bool worth = !r.streaming && now_ + neededMs < r.told.expiresMs &&
                           now_ <= shutdown_.furtherAttemptUntilMs && nodeOf(fleet_.touch(r.cell)) == &n &&
                           !r.givenUp;
        if (!worth || !mayRepeat(r, std::min(r.ranMs, f.sentMs)) || !budgetAllows()) return;
        r.givenUp = true;
        actions_.push_back(Cancel{id.first, id.second});
    }

    void sweep() {
        while (!expiries_.empty() && expiries_.begin()->first - set_.tickMs <= now_) {
            Request& r = requests_.at(expiries_.begin()->second);
            // One that waits for its key's turn may still get it, but for a shutdown.
            const bool mayWait = r.attempts > 0 || ordered(r);
            const bool mayBegin = r.out > 0 || r.lookMs < attemptUntilMs(r);
            const bool over = !mayWait || !mayBegin || r.lookMs >= r.told.expiresMs;
            over ? finish(RequestId(r.told.id), expired) : lookAt(r, nextLookMs(r));
        }
        if (set_.listOnRequest && now_ >= askMs_) {
            actions_.push_back(Subscribe{});
            askMs_ = now_ + kAskLostMs;
        }
        if (now_ >= roundStartMs_ + kRoundMs) endRound();
        if (now_ >= tellSumsMs_) tellSums();
        if (now_ - sweptMs_ < kSweepMs) return;
        giveUpLost();
        sweptMs_ = now_;
        pumpAll();
    }

    void pumpAll() {
        for (const CellId cell : std::vector<CellId>(fleet_.active.begin(), fleet_.active.end())) {
            Cell& c = fleet_.touch(cell);
            Node* n = nodeOf(c);
            if (n != nullptr) {
                if (feltPressed(*n)) n->pressedMs += std::min(now_ - n->sweptMs, 2 * kSweepMs);
                n->sweptMs = now_;
                judgeSilence(*n);
                shed(c, *n);
                pump(cell);
            } else {
                if (cell < 0) leave(c);
                while (!c.queue.empty() && c.queue.begin()->first <= now_)
                    finish(RequestId(c.queue.begin()->second), silentNode);
            }
            if (c.queue.empty() && (n == nullptr || n->outCount == 0)) fleet_.active.erase(cell);
        }
    }

    void arm() {
        double next = roundStartMs_ + kRoundMs;
        if (!expiries_.empty()) next = std::min(next, expiries_.begin()->first - set_.tickMs);
        if (!requests_.empty() || !flights_.empty()) next = std::min(next, sweptMs_ + kSweepMs);
        next = std::max(std::min({next, askMs_, tellSumsMs_}), now_ + set_.tickMs / 2);
        if (armedMs_ > now_ && armedMs_ <= next) return;
        armedMs_ = next;
        actions_.push_back(SetTimer{next - now_, 1});
    }

    // ---- Rounds ----

    void endRound() {
        if (const std::string line = turnedAway_.text(); !line.empty()) say("units turned away:" + line);
        turnedAway_ = {};
        const double lengthMs = std::max(now_ - roundStartMs_, 1.0);
        roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
        for (const CellId cell : fleet_.live) {
            Cell& c = fleet_.cells.at(cell);
            c.felt = c.now.pressed;
            if (Node* n = nodeOf(c)) {
                n->lastPressedMs = std::exchange(n->pressedMs, 0);
                // What nobody answers is pressure too: a jammed node serves too little to show it.
                if (n->outCount > 0 && now_ - n->heardMs > kOwedAims * aimMs_) c.now.pressed += n->outUnits;
            }
            if (c.sumMs < roundStartMs_ - kRoundMs) learnRate(c, c.own);  // nobody told a sum
            c.endRound();
            for (auto it = c.volumes.begin(); it != c.volumes.end();) {
                Demand& d = it->second;
                d.last = std::exchange(d.now, 0);
                for (auto& [worth, offer] : d.byWorth) offer.last = std::exchange(offer.now, 0);
                const auto v = volumes_.find(it->first);
                if (d.last > 0 && v != volumes_.end()) {
                    const double reserved = reservedOf(v->second, d.last, v->second.now, lengthMs / 1000);
                    c.own.reserved += reserved;
                    c.own.weighed += planOf(v->second.plan).weight * (d.last - reserved);
                }
                it = d.last > 0 ? std::next(it) : c.volumes.erase(it);
            }
        }
        for (auto& [name, v] : volumes_) v.endRound();
        std::erase_if(volumes_, [this](const auto& e) { return now_ - e.second.seenMs > 30 * kRoundMs; });
        const double before = now_ - longestMs_ - kValidMs - set_.tickMs;
        eraseIdle(shares_, before);
        eraseIdle(tills_, before);
        fleet_.forgetGone();
        lanes_.tidy(now_);
        taken_.trim(now_ - set_.rules.budgetWindowMs);
        bid();
        fleet_.rest();
    }

    // The host that gathers a cell's bids in this round: another one each round, known to all without a word,
    // so that a dead one costs a round. (Bids from all to all grow with the square of the hosts.)
    int auctioneer(CellId cell) const {
        return Random(roundAt(now_) * 0x10001 + static_cast<std::uint64_t>(cell)).below(set_.hosts);
    }

    void bid() {
        gathered_.bids.clear();
        tellSumsMs_ = roundStartMs_ + kCollectMs;
        std::map<int, std::map<CellId, Bid>> bids;  // by auctioneer
        for (const CellId cell : fleet_.live) {
            const Cell& c = fleet_.cells.at(cell);
            if (c.own.reserved + c.own.weighed + c.own.served > 0) bids[auctioneer(cell)][cell] = c.own;
        }
        for (const auto& [host, own] : bids) tell(host, {false, roundAt(now_), own});
    }

    void tellSums() {
        tellSumsMs_ = kNever;
        const auto all = [this](const Bid& sum) { return crowdedBy(sum); };
        for (auto& [host, sum] : gathered_.takeSums(set_.hosts, all)) tell(host, {true, roundAt(now_), sum});
    }

    void tell(int to, const BidMessage& message) {
        if (to == set_.self) return take(to, message);
        if (!set_.mayTellPeers) return;
        for (std::string& text : writeBids(message)) actions_.push_back(TellPeer{to, std::move(text)});
    }

    void take(int sender, const BidMessage& message) {
        for (const auto& [cell, bid] : message.bids) {
            const auto at = fleet_.cells.find(cell);
            if (at == fleet_.cells.end() || auctioneer(cell) != (message.sums ? sender : set_.self)) continue;
            if (!message.sums) {
                gathered_.bids[cell][sender] = bid;
            } else if (bid.hosts <= set_.hosts) {
                at->second.sum = bid;
                at->second.sumMs = now_;
                learnRate(at->second, bid);
            }
        }
    }

    bool crowdedBy(const Bid& sum) const {
        return sum.pressed > std::max(sum.served * kPressedMost, kFewRequests * set_.meanUnits);
    }

    // A node that was pressed for most of what it served ran at its rate; else its rate is at least that.
    void learnRate(Cell& c, const Bid& sum) {
        Node* n = nodeOf(c);
        if (n == nullptr) return;
        const double seen = sum.served / kRoundMs * 1000;
        c.crowded = crowdedBy(sum);
        const double asked = sum.offered / kRoundMs * 1000;
        const bool own = n->lastPressedMs >= kMeasureMs && c.felt > kFewRequests * set_.meanUnits;
        const double others = std::min(sum.served / std::max(c.own.served, 1.0), 4.0 * set_.hosts);
        const double full = own ? c.felt / n->lastPressedMs * 1000 * others : seen;
        if (own || c.crowded) n->rate = n->rate <= 0 ? full : n->rate + kRateGain * (full - n->rate);
        if (!c.crowded) n->rate = std::max({n->rate, seen, std::min(n->rate * kRateProbe, asked)});
        const bool tooMuch = asked > n->rate && now_ - n->crowdedMs < 1.5 * kRoundMs;
        if (c.crowded) n->crowdedMs = now_;
        if (c.crowded || tooMuch) n->toldPressedUntilMs = now_ + kRoundMs;
    }

    // What cannot be read whole, is of another round, or claims what no host can mean, is passed over.
    void on(const PeerEvent& event) {
        if (event.sender < 0 || event.sender >= set_.hosts || event.sender == set_.self) return;
        if (const auto budget = readBudget(event.text)) {
            on(event.sender, *budget);
            if (budget->kind == BudgetMessage::grant) pumpAll();
            return;
        }
        const auto message = readBids(event.text);
        if (!message || message->round != roundAt(now_)) return;
        if (now_ >= roundStartMs_ + kRoundMs) endRound();  // it may come with the tick that ends the round
        const auto absurd = [](const auto& e) { return e.second.most() > kAbsurd; };
        if (std::any_of(message->bids.begin(), message->bids.end(), absurd)) return;
        take(event.sender, *message);
    }

    // ---- What this host knows ----

    Learned learned() { return {set_, fleet_, volumes_, shares_, tills_, taken_, extras_, fillMs_}; }

    Settings set_;
    Random random_;
    double now_;
    ShutdownEvent shutdown_{kNever, kNever, kNever};
    double startMs_ = now_, fillMs_ = now_;  // since the second, untouched parts of limits fill
    double aimMs_ = kNever;                  // the tightest
    double roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    double tellSumsMs_ = kNever;  // when this host tells the sums of the bids that it gathers
    double sweptMs_ = now_;
    double armedMs_ = -1;
    double askMs_ = kNever;        // when to ask for the subscription next
    double longestMs_ = 0;         // the longest window of any shared budget
    std::map<int, double> lives_;  // for each class: the longest time to expiry seen
    TurnedAway turnedAway_;        // units, this round
    std::vector<Action> actions_;
    std::unordered_map<RequestId, Request> requests_;
    std::set<std::pair<double, RequestId>> expiries_;
    std::map<FlightId, Flight> flights_;
    std::set<std::pair<double, FlightId>> watched_;  // when an attempt is next looked at
    Fleet fleet_;
    std::unordered_map<std::string, Volume> volumes_;  // as it is met: no decision looks at the order
    Lanes lanes_;
    std::map<BudgetId, Share> shares_;  // this host's use of budgets that all share
    std::map<BudgetId, Till> tills_;    // those that this host keeps
    Gathered gathered_;                 // this round's bids
    Window taken_;                      // requests, and attempts beyond their first, within the rule's window
    Window extras_;
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed, double nowMs)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, nowMs)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
std::vector<Action> Scheduler::handle(double nowMs, std::span<const Event> events) {
    return impl_->handle(nowMs, events);
}
void Scheduler::retune(Settings settings) { impl_->retune(std::move(settings)); }
std::vector<NodeView> Scheduler::view() const { return impl_->view(); }
std::string Scheduler::handOver(double nowMs) { return impl_->handOver(nowMs); }
bool Scheduler::takeOver(double nowMs, const std::string& text) { return impl_->takeOver(nowMs, text); }
std::size_t Scheduler::tableSize() const { return impl_->tableSize(); }

}  // namespace limedrum
