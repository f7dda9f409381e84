// Shutdown: limits the deadlines of open requests to the time that the host has left.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const ShutdownEvent& event) {
    shutdown_.firstAttemptUntilMs = std::min(shutdown_.firstAttemptUntilMs, event.firstAttemptUntilMs);
    shutdown_.furtherAttemptUntilMs = std::min(shutdown_.furtherAttemptUntilMs, event.furtherAttemptUntilMs);
    shutdown_.answerByMs = std::min(shutdown_.answerByMs, event.answerByMs);
    for (auto& [id, r] : requests_) applyShutdownLimits(r);
}

void Scheduler::Impl::applyShutdownLimits(Request& r) {
    r.spec.expiresMs = std::min(r.spec.expiresMs, shutdown_.answerByMs);
    if (r.dueMs > r.spec.expiresMs) {
        const bool queued = r.queued;
        if (queued) fleet_.dequeue(r);  // the queue is ordered by due time
        r.dueMs = r.spec.expiresMs;
        if (queued) fleet_.enqueue(r);
    }
    if (!r.streaming) scheduleCheck(r, std::min({r.nextCheckMs, r.spec.expiresMs, attemptUntilMs(r)}));
}

}  // namespace limedrum
