#include "cli/program.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <map>
#include <utility>

#include "core/dispatcher.h"
#ifdef MARTENCOVE_ETCD
#include "etcd/node_source.h"
#endif
#include "handover/handover.h"
#include "http/front.h"
#include "nbd/front.h"
#include "net/discovery_client.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/peer_socket.h"
#include "ops/front.h"
#include "settings_json/merge_settings.h"
#include "shutdown/schedule.h"
#ifdef MARTENCOVE_XDS
#include "xds/server.h"
#endif

namespace martencove {

class Program::Impl {
public:
    Impl(Config config, [[maybe_unused]] OperatorSections extras, LogFormat form)
        : config_(std::move(config)),
          base_(makeEventBase()),
          log_(clock_, config_.limits, form),
          tickTimer_(base_.get(), [this] { dispatcher_.tick(); }),
#ifdef MARTENCOVE_OPERATOR
          nodeFiles_(openNodeFiles(extras)),
#endif
          scheduler_(config_.settings.scheduler, config_.seed, clock_.nowMs(), config_.knownNodes),
          dispatcher_(scheduler_, clock_, config_.limits, counters_, dispatcherCallbacks(),
                      config_.knownNodes),
          httpPool_(base_.get(), clock_, config_.limits, counters_),
          inherited_(requestHandover()),
          httpFront_(base_.get(), config_.listen, dispatcher_, httpPool_, config_.settings, config_.limits,
                     log_, inheritedSocket("http")),
          sigterm_(base_.get(), SIGTERM, [this] { shutDown(); }),
          sigint_(base_.get(), SIGINT, [this] { shutDown(); }),
          sighup_(base_.get(), SIGHUP, [this] { reload(); }),
          sigusr1_(base_.get(), SIGUSR1, [this] { logCounters(); }),
          exitTimer_(base_.get(), [this] { exitWhenDrained(); }),
          firstListTimer_(base_.get(), [this] { startAccepting(); }) {
        if (config_.peerListen)
            peers_.emplace(
                base_.get(), *config_.peerListen, config_.peers, config_.limits, counters_, log_,
                [this](const PeerMessage& message) { dispatcher_.receivePeerMessage(message); },
                inheritedSocket("peers"));
        const auto told = [this](const NodeList& list) { dispatcher_.updateNodes(list); };
        bool watch = true;
#ifdef MARTENCOVE_OPERATOR
        if (nodeFiles_) {
            watch = false;
            nodeFiles_->start(told);
            httpFront_.addTextPage("/nodes", [this] { return nodeFiles_->statusText(); });
            httpFront_.setReadinessCheck([this] { return nodeFiles_->ready(); });
        }
        if (extras.nbd) {
            nbdPool_.emplace(base_.get(), clock_, config_.limits, counters_);
            nbdFront_.emplace(base_.get(), std::move(*extras.nbd), dispatcher_, *nbdPool_, config_.limits,
                              log_, inheritedSocket("nbd"));
        }
#endif
#ifdef MARTENCOVE_ETCD
        if (extras.etcd) {
            watch = false;
            etcdSource_.emplace(base_.get(), *extras.etcd, config_.seed, config_.limits, counters_, log_,
                                told);
        }
#endif
        if (watch && !config_.discovery) throw ConfigError("discovery: missing");
        if (watch)
            discovery_.emplace(base_.get(), *config_.discovery, config_.knownNodes, config_.seed,
                               config_.limits, counters_, log_, told);
#ifdef MARTENCOVE_XDS
        if (extras.xdsListen)
            xdsServer_.emplace(base_.get(), *extras.xdsListen, config_.limits, counters_,
                               [this] { return dispatcher_.nodeStatuses(); });
#endif
        if (config_.ops)
            opsFront_.emplace(base_.get(), *config_.ops,
                              ops::Callbacks{[this] { return isAcceptingClients(); },
                                             [this] { httpFront_.setEvacuating(true); },
                                             [this] { httpFront_.setEvacuating(false); }},
                              clock_, config_.limits, counters_, log_);
        if (!handoverFolder().empty())
            handoverServer_.emplace(
                base_.get(), handoverSocketPath(), [this] { return socketsToHandOver(); },
                [this] { return scheduler_.exportState(clock_.nowMs()); },
                [this](bool on) { setYielding(on); }, counters_, log_);
        if (discovery_ && config_.limits.listPushed) {
            httpFront_.pauseAccepting();
            if (nbdFront_) nbdFront_->pauseAccepting();
            discovery_->onFirstList([this] { startAccepting(); });
            firstListTimer_.start(config_.limits.firstListTimeoutMs);
        } else
            startAccepting();
        dispatcher_.tick();
        if (const DrainGraceBudget& grace = config_.limits.drainGrace;
            grace.totalMs > 0 && grace.toleratedFailures() < 1)
            log_.warn("start", "the grace on leaving servers is too short for a call that fails",
                      {{"DrainGraceMs", static_cast<std::int64_t>(grace.totalMs)}});
        log_.info("start", "listens",
                  {{"name", config_.name},
                   {"listen", config_.listen.toString()},
                   {"nodes", config_.knownNodes.nodes.size()}});
    }

    void run() {
        event_base_dispatch(base_.get());
        dispatcher_.releaseRequests();
        logCounters();
    }

private:
    DispatcherCallbacks dispatcherCallbacks() {
        return {[this](double ms) { tickTimer_.start(ms); },
                [this](const PeerMessage& message) {
                    peers_ ? peers_->send(message) : counters_.add("peer_unsent");
                },
                [this](const std::string& note) { log_.info("module", note); }};
    }

    // Requests go on meanwhile: what a running program can take over is put in its place, nothing else moves.
    void reload() {
        try {
            const Config next = reloadConfig();
            limedrum::requireKeys(config_.sourceJson, next.sourceJson);
            limedrum::ProgramSettings site = limedrum::mergeSettings(config_.settings, next.settings);
            scheduler_.updateSettings(
                site.scheduler);  // the last that can throw: from here on all of it is taken
            config_.settings = std::move(site);
            config_.limits.updateReloadable(next.limits);
            longestDeadline_.update(clock_.nowMs(), config_.limits.longestDeadlineMs);
            if (shutdownSchedule_) updateShutdownSchedule();
            config_.sourceJson = next.sourceJson;
            counters_.add("config_read");
            log_.info("configuration", "read",
                      {{"discovery", next.discovery ? next.discovery->toString() : std::string("none")}});
            for (const auto& [field, value] : config_.startOnlyFields) {
                const auto now = next.startOnlyFields.find(field);
                if (now == next.startOnlyFields.end() || now->second != value)
                    log_.warn("configuration", "differs, which waits for the next start", {{"field", field}});
            }
            if (discovery_ && next.discovery) discovery_->switchAddress(*next.discovery);
            if (peers_) peers_->setPeers(next.peers);
        } catch (const std::exception& error) {
            counters_.add("config_bad");
            log_.warn("configuration", "not taken, the old one stands", {{"reason", error.what()}});
        }
    }

    [[nodiscard]] bool isAcceptingClients() const {
        return acceptingStarted_ && !yielding_ && !shutdownSchedule_ && !httpFront_.evacuating();
    }

    // A process takes over from another where the platform runs both with one folder, as it does where there
    // is a second address.
    [[nodiscard]] std::string handoverFolder() const {
        const char* folder = std::getenv("TMPDIR");
        return config_.ops && folder != nullptr ? folder : "";
    }
    [[nodiscard]] std::string handoverSocketPath() const { return handoverFolder() + "/martencove.handover"; }
    [[nodiscard]] std::optional<handover::ReceivedHandover> requestHandover() {
        if (handoverFolder().empty()) return std::nullopt;
        auto taken = handover::requestHandover(handoverSocketPath(), config_.limits);
        if (taken) log_.info("handover", "takes over the sockets of another process");
        return taken;
    }
    [[nodiscard]] int inheritedSocket(const char* name) {
        return inherited_ ? inherited_->takeSocket(name) : -1;
    }
    [[nodiscard]] std::map<std::string, int> socketsToHandOver() const {
        std::map<std::string, int> out{{"http", httpFront_.listenerFd()}};
        if (peers_) out["peers"] = peers_->descriptor();
        if (nbdFront_) out["nbd"] = nbdFront_->listenerFd();
        std::erase_if(out, [](const auto& s) { return s.second < 0; });
        return out;
    }
    void setYielding(bool on) {
        yielding_ = on;
        httpFront_.setListenerYielded(on);
        if (nbdFront_) on ? nbdFront_->pauseAccepting() : nbdFront_->resumeAccepting();
        if (peers_) peers_->setYielded(on);
    }

    // The list that a program starts with may be old, and what the agent on its machine holds counts as told:
    // clients wait in the listener's queue until that has come, but not for one that stays silent.
    void startAccepting() {
        if (std::exchange(acceptingStarted_, true)) return;
        firstListTimer_.stop();
        if (inherited_) {
            // After the first list, which says of which nodes it is.
            const bool whole = scheduler_.importState(clock_.nowMs(), inherited_->learnedState);
            counters_.add(whole ? "handover_learned" : "handover_fresh");
            log_.info("handover", whole ? "goes on with what the other process has learned" : "learns anew",
                      {{"bytes", inherited_->learnedState.size()}});
            inherited_->notifyReady();
        }
        if (handoverServer_) handoverServer_->listen();
        if (!discovery_ || !config_.limits.listPushed) return;  // it never held
        if (!discovery_->hasReceivedList()) {
            counters_.add("started_unheard");
            log_.warn("start", "no list has come, clients are taken with the one from the configuration");
        }
        httpFront_.resumeAccepting();
        if (nbdFront_) nbdFront_->resumeAccepting();
    }

    // New connections still come for a while, and what was taken is finished.
    void shutDown() {
        if (shutdownSchedule_) return;
        shutdownStartMs_ = clock_.nowMs();
        shutdownSchedule_.emplace();
        if (discovery_ && config_.limits.listPushed) startAccepting();
        httpFront_.startDraining();
        updateShutdownSchedule();
    }

    // Also where a new configuration brings the end nearer, while it is under way.
    void updateShutdownSchedule() {
        const double now = clock_.nowMs();
        const auto steps = ShutdownSchedule::forLongestDeadline(longestDeadline_.deadlineMsAt(now));
        shutdownSchedule_ = shutdownSchedule_->earlierOf(steps.startingAt(shutdownStartMs_));
        const auto spanOf = [this](double ms) { return std::llround(ms - shutdownStartMs_); };
        log_.info("end", "finishing what was taken",
                  {{"open", dispatcher_.openRequestCount()},
                   {"first_attempts_ms", spanOf(shutdownSchedule_->firstAttemptUntilMs)},
                   {"answers_ms", spanOf(shutdownSchedule_->answerByMs)},
                   {"exit_ms", spanOf(shutdownSchedule_->exitByMs)},
                   {"sigkill_after_ms", spanOf(shutdownSchedule_->earliestSigkillMs)}});
        dispatcher_.shutDown(*shutdownSchedule_);
        // Where another process has the listener, nothing new can come here, and the sooner this one is gone
        // the sooner its clients turn to the other.
        exitTimer_.start(yielding_ ? 0 : shutdownSchedule_->acceptUntilMs - now);
    }

    // Again and again from the listeners' close on.
    void exitWhenDrained() {
        const double now = clock_.nowMs();
        const bool late = now >= shutdownSchedule_->partialRequestUntilMs;
        const bool closed = httpFront_.closeListener(late);
        httpFront_.closeFinishedConnections(late);
        if (nbdFront_) nbdFront_->startShutdown();
        const bool quiet = closed && dispatcher_.openRequestCount() == 0 && httpFront_.isDrained() &&
                           (!nbdFront_ || nbdFront_->isDrained());
        if (!quiet && now < shutdownSchedule_->exitByMs)
            return exitTimer_.start(
                std::min(config_.limits.shutdownCheckIntervalMs, shutdownSchedule_->exitByMs - now));
        // After a hold-up beyond what the schedule allows for, what has come meanwhile is still to be read,
        // and answers are still to be written.
        if (!quiet && !std::exchange(finalTurnUsed_, true))
            return exitTimer_.start(ShutdownSchedule::kLoopTurnMs);
        httpFront_.flushOutput();
        log_.info("end", "exits",
                  {{"open", dispatcher_.openRequestCount()}, {"connections", httpFront_.connectionCount()}});
        event_base_loopbreak(base_.get());
    }

    void logCounters() const {
        LogFields fields;
        for (const auto& [name, count] : counters_.snapshot()) fields.emplace_back(name, count);
        log_.info("counters", "now", fields);
#ifdef MARTENCOVE_OPERATOR
        if (!nodeFiles_) return;
        log_.info("nodes", "status", nodeFiles_->statusFields());
#endif
    }

#ifdef MARTENCOVE_OPERATOR
    // What is in force there is what the program starts with: the platform's list does not count then.
    std::unique_ptr<files::NodeFileSource> openNodeFiles(const OperatorSections& extras) {
        if (!extras.nodeFiles) return nullptr;
        auto out = std::make_unique<files::NodeFileSource>(base_.get(), *extras.nodeFiles, clock_,
                                                           config_.limits, counters_, log_);
        config_.knownNodes = out->takeInitialNodes();
        return out;
    }
#endif

    Config config_;
    Clock clock_;
    Counters counters_;
    LibeventPtr<event_base> base_;
    Log log_;
    std::optional<PeerSocket> peers_;
    Timer tickTimer_;
#ifdef MARTENCOVE_OPERATOR
    std::unique_ptr<files::NodeFileSource> nodeFiles_;  // in discovery's place
#endif
    SchedulerFacade scheduler_;
    Dispatcher dispatcher_;
    HttpNodeConnectionPool httpPool_;
    std::optional<DiscoveryClient> discovery_;
#ifdef MARTENCOVE_ETCD
    std::optional<etcd::NodeSource> etcdSource_;  // in discovery's place
#endif
    std::optional<handover::ReceivedHandover> inherited_;  // from the process before
    HttpFront httpFront_;
    std::optional<handover::HandoverServer> handoverServer_;
    bool yielding_ = false;
    std::optional<ops::Front> opsFront_;
    std::optional<nbd::NbdNodeConnectionPool> nbdPool_;
    std::optional<nbd::Front> nbdFront_;
#ifdef MARTENCOVE_XDS
    std::optional<xds::Server> xdsServer_;
#endif
    SignalHandler sigterm_;
    SignalHandler sigint_;
    SignalHandler sighup_;
    SignalHandler sigusr1_;
    Timer exitTimer_;
    Timer firstListTimer_;
    bool acceptingStarted_ = false;
    LongestDeadline longestDeadline_{config_.limits.longestDeadlineMs};
    std::optional<ShutdownSchedule> shutdownSchedule_;  // its moments, once it has begun
    double shutdownStartMs_ = 0;
    bool finalTurnUsed_ = false;  // the one after its last moment
};

Program::Program(Config config, OperatorSections extras, LogFormat form)
    : impl_(std::make_unique<Impl>(std::move(config), std::move(extras), form)) {}
Program::~Program() = default;
void Program::run() { impl_->run(); }

}  // namespace martencove
