#include "cli/program.h"

#include <malloc.h>

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
    Impl(Config config, [[maybe_unused]] OperatorSections sections, LogFormat logFormat)
        : config_(std::move(config)),
          base_(makeEventBase()),
          log_(clock_, config_.limits, logFormat),
          tickTimer_(base_.get(), [this] { dispatcher_.tick(); }),
#ifdef MARTENCOVE_OPERATOR
          nodeFiles_(openNodeFiles(sections)),
#endif
          scheduler_(config_.settings.scheduler, config_.seed, clock_.nowMs(), config_.knownNodes),
          dispatcher_(scheduler_, clock_, config_.limits, counters_, dispatcherCallbacks(),
                      config_.knownNodes),
          httpPool_(base_.get(), clock_, config_.limits, counters_),
          inherited_(requestHandover()),
          httpFront_(base_.get(), config_.listen, dispatcher_, httpPool_, requestMemory_, config_.settings,
                     config_.limits, log_, inheritedSocket("http")),
          sigterm_(base_.get(), SIGTERM, [this] { shutDown(); }),
          sigint_(base_.get(), SIGINT, [this] { shutDown(); }),
          sighup_(base_.get(), SIGHUP, [this] { reload(); }),
          sigusr1_(base_.get(), SIGUSR1, [this] { logCounters(); }),
          exitTimer_(base_.get(), [this] { exitWhenDrained(); }),
          memoryTrimTimer_(base_.get(), [this] { trimMemory(); }),
          firstListTimer_(base_.get(), [this] { startAccepting(); }) {
        if (config_.peerListen)
            peers_.emplace(
                base_.get(), *config_.peerListen, config_.peers, config_.limits, counters_, log_,
                [this](const PeerMessage& message) { dispatcher_.receivePeerMessage(message); },
                inheritedSocket("peers"));
        const auto onNodes = [this](const NodeList& list) { dispatcher_.updateNodes(list); };
        bool useDiscovery = true;
#ifdef MARTENCOVE_OPERATOR
        if (nodeFiles_) {
            useDiscovery = false;
            nodeFiles_->start(onNodes);
            httpFront_.addTextPage("/nodes", [this] { return nodeFiles_->statusText(); });
            httpFront_.setReadinessCheck([this] { return nodeFiles_->isReady(); });
        }
        if (sections.nbd) {
            nbdPool_.emplace(base_.get(), clock_, config_.limits, counters_);
            nbdFront_.emplace(base_.get(), std::move(*sections.nbd), dispatcher_, *nbdPool_, requestMemory_,
                              config_.limits, log_, inheritedSocket("nbd"));
        }
#endif
#ifdef MARTENCOVE_ETCD
        if (sections.etcd) {
            useDiscovery = false;
            etcdSource_.emplace(base_.get(), *sections.etcd, config_.seed, config_.limits, counters_, log_,
                                onNodes);
        }
#endif
        if (useDiscovery && !config_.discovery) throw ConfigError("discovery: missing");
        if (useDiscovery)
            discovery_.emplace(base_.get(), *config_.discovery, config_.knownNodes, config_.seed,
                               config_.limits, counters_, log_, onNodes);
#ifdef MARTENCOVE_XDS
        if (sections.xdsListen)
            xdsServer_.emplace(base_.get(), *sections.xdsListen, config_.limits, counters_,
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
                [this](bool present) {
                    successorPresent_ = present;
                    shareMemory();
                },
                [this](bool on) { setYielding(on); }, counters_, log_);
        if (inherited_) {
            predecessorWatch_.emplace(base_.get(), *inherited_, [this] {
                predecessorPresent_ = false;
                shareMemory();
            });
            predecessorPresent_ = true;
            shareMemory();
        }
        if (discovery_ && config_.limits.listPushed) {
            httpFront_.pauseAccepting();
            if (nbdFront_) nbdFront_->pauseAccepting();
            discovery_->setOnFirstList([this] { startAccepting(); });
            firstListTimer_.start(config_.limits.firstListTimeoutMs);
        } else
            startAccepting();
        dispatcher_.tick();
        if (const DrainGraceBudget& grace = config_.limits.drainGrace;
            grace.totalMs > 0 && grace.toleratedFailures() < 1)
            log_.warn("start", "the drain grace is too short to retry a failed discovery call",
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

    // Applies a changed configuration file. Open requests are not affected. An invalid file changes nothing.
    void reload() {
        try {
            const Config next = reloadConfig();
            limedrum::requireKeys(config_.sourceJson, next.sourceJson);
            limedrum::ProgramSettings settings = limedrum::mergeSettings(config_.settings, next.settings);
            // The last call that can throw: after it the whole configuration is applied.
            scheduler_.updateSettings(settings.scheduler);
            config_.settings = std::move(settings);
            config_.limits.updateReloadable(next.limits);
            longestDeadline_.update(clock_.nowMs(), config_.limits.longestDeadlineMs);
            if (shutdownSchedule_) updateShutdownSchedule();
            config_.sourceJson = next.sourceJson;
            counters_.add("config_read");
            log_.info("configuration", "read",
                      {{"discovery", next.discovery ? next.discovery->toString() : std::string("none")}});
            for (const auto& [field, value] : config_.startOnlyFields) {
                const auto newValue = next.startOnlyFields.find(field);
                if (newValue == next.startOnlyFields.end() || newValue->second != value)
                    log_.warn("configuration", "changed field takes effect at the next start",
                              {{"field", field}});
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

    // Handover needs a TMPDIR that the old and the new process share, which the platform provides where the
    // second address (`ops`) is set. Returns an empty string otherwise.
    [[nodiscard]] std::string handoverFolder() const {
        const char* folder = std::getenv("TMPDIR");
        return config_.ops && folder != nullptr ? folder : "";
    }
    [[nodiscard]] std::string handoverSocketPath() const { return handoverFolder() + "/martencove.handover"; }
    [[nodiscard]] std::optional<handover::ReceivedHandover> requestHandover() {
        if (handoverFolder().empty()) return std::nullopt;
        auto received = handover::requestHandover(handoverSocketPath(), config_.limits);
        if (received) log_.info("handover", "received the sockets of another process");
        return received;
    }
    [[nodiscard]] int inheritedSocket(const char* name) {
        return inherited_ ? inherited_->takeSocket(name) : -1;
    }
    [[nodiscard]] std::map<std::string, int> socketsToHandOver() const {
        std::map<std::string, int> out{{"http", httpFront_.listenerFd()}};
        if (peers_) out["peers"] = peers_->descriptor();
        if (nbdFront_) out["nbd"] = nbdFront_->listenerFd();
        std::erase_if(out, [](const auto& entry) { return entry.second < 0; });
        return out;
    }
    void setYielding(bool on) {
        yielding_ = on;
        httpFront_.setListenerYielded(on);
        if (nbdFront_) on ? nbdFront_->pauseAccepting() : nbdFront_->resumeAccepting();
        if (peers_) peers_->setYielded(on);
    }

    // In an upgrade the limit on memory is that of all processes together, so that each takes an equal part
    // of what requests may hold.
    void shareMemory() {
        const std::size_t processes = 1 + (predecessorPresent_ ? 1 : 0) + (successorPresent_ ? 1 : 0);
        config_.limits.maxRequestMemoryBytes = requestMemoryBytes_ / processes;
        log_.info("handover", "memory for requests",
                  {{"bytes", config_.limits.maxRequestMemoryBytes}, {"processes", processes}});
        httpFront_.onRequestMemoryChanged();
        if (successorPresent_) trimMemory();
    }
    // Returns freed memory to the system while a successor needs it.
    void trimMemory() {
#ifdef __GLIBC__
        malloc_trim(0);
#endif
        if (successorPresent_) memoryTrimTimer_.start(config_.limits.sweepIntervalMs);
    }

    // Starts accepting clients. With a pushed node list they wait in the listener's queue until the first
    // list or firstListTimeoutMs, because the configured list may be outdated and the list that the local
    // agent has counts as known to this program.
    void startAccepting() {
        if (std::exchange(acceptingStarted_, true)) return;
        firstListTimer_.stop();
        if (inherited_) {
            // Imported after the first list, which contains the nodes that the state is about.
            const bool imported = scheduler_.importState(clock_.nowMs(), inherited_->learnedState);
            counters_.add(imported ? "handover_learned" : "handover_fresh");
            log_.info("handover",
                      imported ? "imported the learned state of the other process"
                               : "learned state not imported, starting without it",
                      {{"bytes", inherited_->learnedState.size()}});
            inherited_->notifyReady();
        }
        if (handoverServer_) handoverServer_->listen();
        if (!discovery_ || !config_.limits.listPushed) return;  // was not paused
        if (!discovery_->hasReceivedList()) {
            counters_.add("started_unheard");
            log_.warn("start",
                      "no node list received, accepting clients with the list from the configuration");
        }
        httpFront_.resumeAccepting();
        if (nbdFront_) nbdFront_->resumeAccepting();
    }

    // Keeps accepting new connections for a while and finishes accepted requests.
    void shutDown() {
        if (shutdownSchedule_) return;
        shutdownStartMs_ = clock_.nowMs();
        shutdownSchedule_.emplace();
        if (discovery_ && config_.limits.listPushed) startAccepting();
        httpFront_.startDraining();
        updateShutdownSchedule();
    }

    // Called at the start of the shutdown, and on a reload during it, which can only make its steps earlier.
    void updateShutdownSchedule() {
        const double now = clock_.nowMs();
        const auto steps = ShutdownSchedule::forLongestDeadline(longestDeadline_.deadlineMsAt(now));
        shutdownSchedule_ = shutdownSchedule_->earlierOf(steps.startingAt(shutdownStartMs_));
        const auto msAfterStart = [this](double ms) { return std::llround(ms - shutdownStartMs_); };
        log_.info("end", "finishing what was taken",
                  {{"open", dispatcher_.openRequestCount()},
                   {"first_attempts_ms", msAfterStart(shutdownSchedule_->firstAttemptUntilMs)},
                   {"answers_ms", msAfterStart(shutdownSchedule_->answerByMs)},
                   {"exit_ms", msAfterStart(shutdownSchedule_->exitByMs)},
                   {"sigkill_after_ms", msAfterStart(shutdownSchedule_->earliestSigkillMs)}});
        dispatcher_.shutDown(*shutdownSchedule_);
        // If another process has the listener, no new connections arrive here, and an early exit moves the
        // clients to the other process sooner.
        exitTimer_.start(yielding_ ? 0 : shutdownSchedule_->acceptUntilMs - now);
    }

    // Repeats on exitTimer_ until the process exits. The first call closes the listeners.
    void exitWhenDrained() {
        const double now = clock_.nowMs();
        const bool late = now >= shutdownSchedule_->partialRequestUntilMs;
        const bool closed = httpFront_.closeListener(late);
        httpFront_.closeFinishedConnections(late);
        if (nbdFront_) nbdFront_->startShutdown();
        const bool drained = closed && dispatcher_.openRequestCount() == 0 && httpFront_.isDrained() &&
                             (!nbdFront_ || nbdFront_->isDrained());
        if (!drained && now < shutdownSchedule_->exitByMs)
            return exitTimer_.start(
                std::min(config_.limits.shutdownCheckIntervalMs, shutdownSchedule_->exitByMs - now));
        // After a stall longer than the schedule allows for, one more loop turn reads requests that arrived
        // meanwhile and writes the remaining answers.
        if (!drained && !std::exchange(finalTurnUsed_, true))
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
    // Replaces the configured node list with the active version of the node files.
    std::unique_ptr<files::NodeFileSource> openNodeFiles(const OperatorSections& sections) {
        if (!sections.nodeFiles) return nullptr;
        auto out = std::make_unique<files::NodeFileSource>(base_.get(), *sections.nodeFiles, clock_,
                                                           config_.limits, counters_, log_);
        config_.knownNodes = out->takeInitialNodes();
        return out;
    }
#endif

    // The order of members matters: later ones refer to earlier ones.
    Config config_;
    Clock clock_;
    Counters counters_;
    RequestMemory requestMemory_{config_.limits.maxRequestMemoryBytes, counters_.requestBytes};
    LibeventPtr<event_base> base_;
    Log log_;
    std::optional<PeerSocket> peers_;
    Timer tickTimer_;
#ifdef MARTENCOVE_OPERATOR
    std::unique_ptr<files::NodeFileSource> nodeFiles_;  // replaces discovery
#endif
    SchedulerFacade scheduler_;
    Dispatcher dispatcher_;
    HttpNodeConnectionPool httpPool_;
    std::optional<DiscoveryClient> discovery_;
#ifdef MARTENCOVE_ETCD
    std::optional<etcd::NodeSource> etcdSource_;  // replaces discovery
#endif
    std::optional<handover::ReceivedHandover> inherited_;  // from the previous process
    std::optional<handover::PredecessorWatch> predecessorWatch_;
    HttpFront httpFront_;
    std::optional<handover::HandoverServer> handoverServer_;
    bool yielding_ = false;
    const std::size_t requestMemoryBytes_ = config_.limits.maxRequestMemoryBytes;  // of one process alone
    bool predecessorPresent_ = false;
    bool successorPresent_ = false;
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
    Timer memoryTrimTimer_;
    Timer firstListTimer_;
    bool acceptingStarted_ = false;
    LongestDeadline longestDeadline_{config_.limits.longestDeadlineMs};
    std::optional<ShutdownSchedule> shutdownSchedule_;  // set once the shutdown has begun
    double shutdownStartMs_ = 0;
    bool finalTurnUsed_ = false;  // the loop turn after exitByMs
};

Program::Program(Config config, OperatorSections sections, LogFormat logFormat)
    : impl_(std::make_unique<Impl>(std::move(config), std::move(sections), logFormat)) {}
Program::~Program() = default;
void Program::run() { impl_->run(); }

}  // namespace martencove
