#include "core/facade.h"

#include <limits>
#include <span>

namespace martencove {
namespace {

limedrum::ListEvent listEvent(limedrum::ListKind kind, const NodeList& list) {
    limedrum::ListEvent event{kind, {}};
    for (const NodeEntry& node : list.nodes) {
        const auto state = node.state == NodeState::ready      ? limedrum::NodeState::serving
                           : node.state == NodeState::draining ? limedrum::NodeState::draining
                                                               : limedrum::NodeState::gone;
        event.entries.push_back({node.id, node.zone, node.shard, state, node.bornMs, node.weight});
    }
    return event;
}

limedrum::Outcome outcomeOf(Ending ending) {
    switch (ending) {
        case Ending::served:
            return limedrum::Outcome::done;
        case Ending::error:
        case Ending::spoilt:
            return limedrum::Outcome::error;
        case Ending::turnedAway:
            return limedrum::Outcome::full;
        case Ending::timedOut:
            return limedrum::Outcome::timedOut;
        case Ending::notConnected:
            return limedrum::Outcome::connectFailed;
        case Ending::broken:
            return limedrum::Outcome::reset;
        case Ending::cancelled:
            return limedrum::Outcome::cancelled;
        case Ending::notSent:
            return limedrum::Outcome::moot;
    }
    return limedrum::Outcome::error;
}

}  // namespace

Facade::Facade(limedrum::Settings settings, std::uint64_t seed, double nowMs, const NodeList& known)
    : scheduler_(std::move(settings), seed, nowMs) {
    (void)run(nowMs, listEvent(limedrum::ListKind::restored, known));
}

Todo Facade::pick(double nowMs, const Request& r) {
    open_.emplace(r.id, 0);
    return run(nowMs, limedrum::RequestEvent{r.id, r.classNo, r.planNo, r.piece, r.volume, r.expiresMs,
                                             r.units, r.shard, r.hosts});
}

Todo Facade::report(double nowMs, const Outcome& o) {
    const bool first = o.ending == Ending::served && open_.erase(o.id) > 0;
    Todo todo = run(nowMs, limedrum::OutcomeEvent{.id = o.id,
                                                  .attempt = o.attempt,
                                                  .node = o.node,
                                                  .outcome = outcomeOf(o.ending),
                                                  .tookMs = o.tookMs,
                                                  .last = !open_.contains(o.id)});
    if (first) todo.answers.insert(todo.answers.begin(), {o.id, Verdict::served, 0});
    return todo;
}

Todo Facade::report(double nowMs, const RequestId& gone) {
    if (open_.erase(gone) == 0) return {};
    return run(nowMs, limedrum::AbandonedEvent{gone});
}

Todo Facade::report(double nowMs, const NodeList& list) {
    return run(nowMs, listEvent(list.whole ? limedrum::ListKind::full : limedrum::ListKind::update, list));
}

Todo Facade::report(double nowMs, const PeerMessage& message) {
    return run(nowMs, limedrum::PeerEvent{message.peer, message.text});
}

Todo Facade::report(double nowMs, const ShutdownSchedule& moments) {
    return run(nowMs, limedrum::ShutdownEvent{moments.firstAttemptUntilMs, moments.furtherAttemptUntilMs,
                                              moments.answerByMs});
}

Todo Facade::tick(double nowMs) {
    std::vector<limedrum::Event> due;
    while (!timers_.empty() && timers_.begin()->first <= nowMs) {
        due.push_back(limedrum::ReminderEvent{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
    return translate(nowMs, scheduler_.handle(nowMs, due));
}

double Facade::nextTickMs() const {
    return timers_.empty() ? std::numeric_limits<double>::infinity() : timers_.begin()->first;
}

std::vector<NodeView> Facade::view() const {
    std::vector<NodeView> out;
    for (const limedrum::NodeView& seen : scheduler_.view()) {
        NodeView view{{}, seen.chosen, seen.silent, seen.rate};
        view.node.id = seen.node;
        view.node.shard = seen.cell;
        view.node.state = seen.state == limedrum::NodeState::serving ? NodeState::ready : NodeState::draining;
        out.push_back(view);
    }
    return out;
}

Todo Facade::run(double nowMs, limedrum::Event event) {
    return translate(nowMs, scheduler_.handle(nowMs, std::span(&event, 1)));
}

Todo Facade::translate(double nowMs, const std::vector<limedrum::Action>& actions) {
    Todo todo;
    // A request that has its answer gets no second one, whatever the module says of it later.
    const auto end = [&](const RequestId& id, Verdict verdict, double retryAfterMs) {
        if (open_.erase(id) > 0) todo.answers.push_back({id, verdict, retryAfterMs});
    };
    for (const limedrum::Action& action : actions) {
        if (const auto* send = std::get_if<limedrum::Send>(&action)) {
            const auto at = open_.find(send->id);
            if (at != open_.end())
                todo.attempts.push_back(
                    {send->id, at->second++, send->node, {send->timeoutMs, send->startWithinMs}});
        } else if (const auto* cancel = std::get_if<limedrum::Cancel>(&action)) {
            todo.cancels.push_back({cancel->id, cancel->attempt});
        } else if (const auto* refuse = std::get_if<limedrum::Refuse>(&action)) {
            end(refuse->id, Verdict::refused, refuse->retryAfterMs);
        } else if (const auto* fail = std::get_if<limedrum::Fail>(&action)) {
            end(fail->id, Verdict::failed, 0);
        } else if (const auto* timer = std::get_if<limedrum::SetTimer>(&action)) {
            timers_.emplace(nowMs + timer->afterMs, timer->token);
        } else if (auto* tell = std::get_if<limedrum::TellPeer>(&action)) {
            todo.messages.push_back({tell->to, tell->text});
        } else if (const auto* log = std::get_if<limedrum::Log>(&action)) {
            todo.notes.push_back(log->text);
        }
    }
    return todo;
}

}  // namespace martencove
