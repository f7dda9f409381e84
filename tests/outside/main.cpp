// A separate project that links the installed library and runs one request from its arrival to its outcome.
#include <limedrum/scheduler.h>

#include <cstdio>

int main() {
    limedrum::Settings settings;
    settings.classes.push_back({.aimMs = 100, .deadlineMs = 1000});
    limedrum::Scheduler scheduler(settings, 1, 0);
    const std::vector<limedrum::Event> start{
        limedrum::NodeListEvent{limedrum::NodeListKind::restored, {{.node = 9, .shard = 0}}},
        limedrum::RequestEvent{.id = "a", .volume = "v", .expiresMs = 1000, .shard = 0}};
    bool sent = false;
    for (const limedrum::Action& action : scheduler.handle(0, start)) {
        if (const auto* send = std::get_if<limedrum::SendAttempt>(&action))
            sent = send->id == "a" && send->node == 9;
    }
    const std::vector<limedrum::Event> answer{limedrum::OutcomeEvent{.id = "a",
                                                                     .attempt = 0,
                                                                     .node = 9,
                                                                     .outcome = limedrum::Outcome::done,
                                                                     .durationMs = 5,
                                                                     .requestFinished = true}};
    (void)scheduler.handle(5, answer);
    std::puts(sent ? "served" : "not sent");
    return sent ? 0 : 1;
}
