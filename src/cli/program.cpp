#include "cli/program.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <map>
#include <utility>

#include "core/dispatcher.h"
#ifdef MARTENCOVE_ETCD
#include "etcd/source.h"
#endif
#include "handover/handover.h"
#include "http/front.h"
#include "nbd/front.h"
#include "net/discovery.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/peers.h"
#include "ops/front.h"
#include "settings_json/retune.h"
#include "shutdown/schedule.h"
#ifdef MARTENCOVE_XDS
#include "xds/server.h"
#endif

namespace martencove {

class Program::Impl {
public:
    Impl(Config config, [[maybe_unused]] Extras extras, LogForm form)
        : config_(std::move(config)),
          base_(makeBase()),
          log_(clock_, config_.limits, form),
          tick_(base_.get(), [this] { dispatcher_.tick(); }),
#ifdef MARTENCOVE_OPERATOR
          files_(openFiles(extras)),
#endif
          facade_(config_.site.module, config_.seed, clock_.nowMs(), config_.known),
          dispatcher_(facade_, clock_, config_.limits, counters_, ports(), config_.known),
          pool_(base_.get(), clock_, config_.limits, counters_),
          taken_(askForSockets()),
          front_(base_.get(), config_.listen, dispatcher_, pool_, config_.site, config_.limits, log_,
                 taken("http")),
          term_(base_.get(), SIGTERM, [this] { shutDown(); }),
          interrupt_(base_.get(), SIGINT, [this] { shutDown(); }),
          hangup_(base_.get(), SIGHUP, [this] { reload(); }),
          usr1_(base_.get(), SIGUSR1, [this] { printCounters(); }),
          end_(base_.get(), [this] { endWhenNothingIsOwed(); }),
          open_(base_.get(), [this] { open(); }) {
        if (config_.peerListen)
            peers_.emplace(
                base_.get(), *config_.peerListen, config_.peers, config_.limits, counters_, log_,
                [this](const PeerMessage& message) { dispatcher_.hear(message); }, taken("peers"));
        const auto told = [this](const NodeList& list) { dispatcher_.learn(list); };
        bool watch = true;
#ifdef MARTENCOVE_OPERATOR
        if (files_) {
            watch = false;
            files_->start(told);
            front_.page("/nodes", [this] { return files_->statusText(); });
            front_.readyWhen([this] { return files_->ready(); });
        }
        if (extras.nbd) {
            nbdPool_.emplace(base_.get(), clock_, config_.limits, counters_);
            nbdFront_.emplace(base_.get(), std::move(*extras.nbd), dispatcher_, *nbdPool_, config_.limits,
                              log_, taken("nbd"));
        }
#endif
#ifdef MARTENCOVE_ETCD
        if (extras.etcd) {
            watch = false;
            etcd_.emplace(base_.get(), *extras.etcd, config_.seed, config_.limits, counters_, log_, told);
        }
#endif
        if (watch && !config_.discovery) throw ConfigError("discovery: missing");
        if (watch)
            discovery_.emplace(base_.get(), *config_.discovery, config_.known, config_.seed, config_.limits,
                               counters_, log_, told);
#ifdef MARTENCOVE_XDS
        if (extras.xds)
            xds_.emplace(base_.get(), *extras.xds, config_.limits, counters_,
                         [this] { return dispatcher_.view(); });
#endif
        if (config_.ops)
            ops_.emplace(base_.get(), *config_.ops,
                         ops::Ports{[this] { return takesClients(); }, [this] { front_.evacuate(true); },
                                    [this] { front_.evacuate(false); }},
                         clock_, config_.limits, counters_, log_);
        if (!sharedFolder().empty())
            giver_.emplace(
                base_.get(), handoverPath(), [this] { return sockets(); },
                [this] { return facade_.handOver(clock_.nowMs()); }, [this](bool on) { stepAside(on); },
                counters_, log_);
        if (discovery_ && config_.limits.listPushed) {
            front_.hold();
            if (nbdFront_) nbdFront_->hold();
            discovery_->onHeard([this] { open(); });
            open_.start(config_.limits.firstListMs);
        } else
            open();
        dispatcher_.tick();
        if (const Grace& grace = config_.limits.grace; grace.wholeMs > 0 && grace.mayFail() < 1)
            log_.warn("start", "the grace on leaving servers is too short for a call that fails",
                      {{"DrainGraceMs", static_cast<std::int64_t>(grace.wholeMs)}});
        log_.info("start", "listens",
                  {{"name", config_.name},
                   {"listen", config_.listen.text()},
                   {"nodes", config_.known.nodes.size()}});
    }

    void run() {
        event_base_dispatch(base_.get());
        dispatcher_.letGo();
        printCounters();
    }

private:
    DispatcherPorts ports() {
        return {[this](double ms) { tick_.start(ms); },
                [this](const PeerMessage& message) {
                    peers_ ? peers_->tell(message) : counters_.add("peer_unsent");
                },
                [this](const std::string& note) { log_.info("module", note); }};
    }

    // Requests go on meanwhile: what a running program can take over is put in its place, nothing else moves.
    void reload() {
        try {
            const Config next = readConfigAgain();
            limedrum::requireKeys(config_.source, next.source);
            limedrum::Site site = limedrum::retuned(config_.site, next.site);
            facade_.retune(site.module);  // the last that can throw: from here on all of it is taken
            config_.site = std::move(site);
            config_.limits.retune(next.limits);
            longestDeadline_.change(clock_.nowMs(), config_.limits.longestDeadlineMs);
            if (shutdown_) schedule();
            config_.source = next.source;
            counters_.add("config_read");
            log_.info("configuration", "read",
                      {{"discovery", next.discovery ? next.discovery->text() : std::string("none")}});
            for (const auto& [field, value] : config_.fixed) {
                const auto now = next.fixed.find(field);
                if (now == next.fixed.end() || now->second != value)
                    log_.warn("configuration", "differs, which waits for the next start", {{"field", field}});
            }
            if (discovery_ && next.discovery) discovery_->moveTo(*next.discovery);
            if (peers_) peers_->reach(next.peers);
        } catch (const std::exception& error) {
            counters_.add("config_bad");
            log_.warn("configuration", "not taken, the old one stands", {{"reason", error.what()}});
        }
    }

    [[nodiscard]] bool takesClients() const {
        return opened_ && !aside_ && !shutdown_ && !front_.evacuating();
    }

    // A process takes over from another where the platform runs both with one folder, as it does where there
    // is a second address.
    [[nodiscard]] std::string sharedFolder() const {
        const char* folder = std::getenv("TMPDIR");
        return config_.ops && folder != nullptr ? folder : "";
    }
    [[nodiscard]] std::string handoverPath() const { return sharedFolder() + "/martencove.handover"; }
    [[nodiscard]] std::optional<handover::Taken> askForSockets() {
        if (sharedFolder().empty()) return std::nullopt;
        auto taken = handover::ask(handoverPath(), config_.limits);
        if (taken) log_.info("handover", "takes over the sockets of another process");
        return taken;
    }
    [[nodiscard]] int taken(const char* name) { return taken_ ? taken_->take(name) : -1; }
    [[nodiscard]] std::map<std::string, int> sockets() const {
        std::map<std::string, int> out{{"http", front_.listener()}};
        if (peers_) out["peers"] = peers_->descriptor();
        if (nbdFront_) out["nbd"] = nbdFront_->listener();
        std::erase_if(out, [](const auto& s) { return s.second < 0; });
        return out;
    }
    void stepAside(bool on) {
        aside_ = on;
        front_.yield(on);
        if (nbdFront_) on ? nbdFront_->hold() : nbdFront_->open();
        if (peers_) peers_->yield(on);
    }

    // The list that a program starts with may be old, and what the agent on its machine holds counts as told:
    // clients wait in the listener's queue until that has come, but not for one that stays silent.
    void open() {
        if (std::exchange(opened_, true)) return;
        open_.stop();
        if (taken_) {
            // After the first list, which says of which nodes it is.
            const bool whole = facade_.takeOver(clock_.nowMs(), taken_->memory);
            counters_.add(whole ? "handover_learned" : "handover_fresh");
            log_.info("handover", whole ? "goes on with what the other process has learned" : "learns anew",
                      {{"bytes", taken_->memory.size()}});
            taken_->ready();
        }
        if (giver_) giver_->listen();
        if (!discovery_ || !config_.limits.listPushed) return;  // it never held
        if (!discovery_->heard()) {
            counters_.add("started_unheard");
            log_.warn("start", "no list has come, clients are taken with the one from the configuration");
        }
        front_.open();
        if (nbdFront_) nbdFront_->open();
    }

    // New connections still come for a while, and what was taken is finished.
    void shutDown() {
        if (shutdown_) return;
        shutdownSeenMs_ = clock_.nowMs();
        shutdown_.emplace();
        if (discovery_ && config_.limits.listPushed) open();
        front_.drain();
        schedule();
    }

    // Also where a new configuration brings the end nearer, while it is under way.
    void schedule() {
        const double now = clock_.nowMs();
        const auto steps = ShutdownSchedule::forLongestDeadline(longestDeadline_.at(now));
        shutdown_ = shutdown_->earlierOf(steps.startingAt(shutdownSeenMs_));
        const auto spanOf = [this](double ms) { return std::llround(ms - shutdownSeenMs_); };
        log_.info("end", "finishing what was taken",
                  {{"open", dispatcher_.open()},
                   {"first_attempts_ms", spanOf(shutdown_->firstAttemptUntilMs)},
                   {"answers_ms", spanOf(shutdown_->answerByMs)},
                   {"exit_ms", spanOf(shutdown_->exitByMs)},
                   {"sigkill_after_ms", spanOf(shutdown_->killMs)}});
        dispatcher_.shutDown(*shutdown_);
        // Where another process has the listener, nothing new can come here, and the sooner this one is gone
        // the sooner its clients turn to the other.
        end_.start(aside_ ? 0 : shutdown_->acceptUntilMs - now);
    }

    // Again and again from the listeners' close on.
    void endWhenNothingIsOwed() {
        const double now = clock_.nowMs();
        const bool late = now >= shutdown_->partialRequestUntilMs;
        const bool closed = front_.closeListener(late);
        front_.endConnections(late);
        if (nbdFront_) nbdFront_->close();
        const bool quiet =
            closed && dispatcher_.open() == 0 && front_.quiet() && (!nbdFront_ || nbdFront_->quiet());
        if (!quiet && now < shutdown_->exitByMs)
            return end_.start(std::min(config_.limits.shutdownLookMs, shutdown_->exitByMs - now));
        // After a hold-up beyond what the schedule allows for, what has come meanwhile is still to be read,
        // and answers are still to be written.
        if (!quiet && !std::exchange(lastTurn_, true)) return end_.start(ShutdownSchedule::kTurnMs);
        front_.writeOut();
        log_.info("end", "exits", {{"open", dispatcher_.open()}, {"connections", front_.connections()}});
        event_base_loopbreak(base_.get());
    }

    void printCounters() const {
        LogFields fields;
        for (const auto& [name, count] : counters_.all()) fields.emplace_back(name, count);
        log_.info("counters", "now", fields);
#ifdef MARTENCOVE_OPERATOR
        if (!files_) return;
        log_.info("nodes", "status", files_->statusFields());
#endif
    }

#ifdef MARTENCOVE_OPERATOR
    // What is in force there is what the program starts with: the platform's list does not count then.
    std::unique_ptr<files::Source> openFiles(const Extras& extras) {
        if (!extras.nodes) return nullptr;
        auto out = std::make_unique<files::Source>(base_.get(), *extras.nodes, clock_, config_.limits,
                                                   counters_, log_);
        config_.known = out->first();
        return out;
    }
#endif

    Config config_;
    Clock clock_;
    Counters counters_;
    Owned<event_base> base_;
    Log log_;
    std::optional<Peers> peers_;
    Timer tick_;
#ifdef MARTENCOVE_OPERATOR
    std::unique_ptr<files::Source> files_;  // in discovery's place
#endif
    Facade facade_;
    Dispatcher dispatcher_;
    NodePool pool_;
    std::optional<Discovery> discovery_;
#ifdef MARTENCOVE_ETCD
    std::optional<etcd::Source> etcd_;  // in discovery's place
#endif
    std::optional<handover::Taken> taken_;  // from the process before
    HttpFront front_;
    std::optional<handover::Giver> giver_;
    bool aside_ = false;
    std::optional<ops::Front> ops_;
    std::optional<nbd::Pool> nbdPool_;
    std::optional<nbd::Front> nbdFront_;
#ifdef MARTENCOVE_XDS
    std::optional<xds::Server> xds_;
#endif
    SignalWatch term_;
    SignalWatch interrupt_;
    SignalWatch hangup_;
    SignalWatch usr1_;
    Timer end_;
    Timer open_;
    bool opened_ = false;
    LongestDeadline longestDeadline_{config_.limits.longestDeadlineMs};
    std::optional<ShutdownSchedule> shutdown_;  // its moments, once it has begun
    double shutdownSeenMs_ = 0;
    bool lastTurn_ = false;  // the one after its last moment
};

Program::Program(Config config, Extras extras, LogForm form)
    : impl_(std::make_unique<Impl>(std::move(config), std::move(extras), form)) {}
Program::~Program() = default;
void Program::run() { impl_->run(); }

}  // namespace martencove
