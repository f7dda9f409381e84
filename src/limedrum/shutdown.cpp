// Shutdown: limits the deadlines of open requests to the time that the host has left.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const ShutdownEvent& event) {
    shutdown_.firstAttemptUntilMs = std::min(shutdown_.firstAttemptUntilMs, event.firstAttemptUntilMs);
    shutdown_.furtherAttemptUntilMs = std::min(shutdown_.furtherAttemptUntilMs, event.furtherAttemptUntilMs);
    shutdown_.answerByMs = std::min(shutdown_.answerByMs, event.answerByMs);
    for (auto& [id, request] : requests_) applyShutdownLimits(request);
}

void Scheduler::Impl::applyShutdownLimits(Request& request) {
    request.spec.expiresMs = std::min(request.spec.expiresMs, shutdown_.answerByMs);
    if (request.dueMs > request.spec.expiresMs) {
        const bool wasQueued = request.queued;
        if (wasQueued) fleet_.dequeue(request);  // the queue is ordered by due time
        request.dueMs = request.spec.expiresMs;
        if (wasQueued) fleet_.enqueue(request);
    }
    if (!request.streaming)
        scheduleCheck(request,
                      std::min({request.nextCheckMs, request.spec.expiresMs, attemptUntilMs(request)}));
}

}  // namespace limedrum
