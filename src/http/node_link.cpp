#include "http/node_link.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martencove {

std::string encode(const NodeRequest& request, const Address& node, double deadlineMs) {
    std::string out =
        (request.write ? "PUT " : "GET ") + request.uri + " HTTP/1.1\r\nHost: " + node.text() + "\r\n";
    for (const auto& [name, value] : request.headers)
        out.append(name).append(": ").append(value).append("\r\n");
    out += "Req-Deadline-Ms: " + std::to_string(std::max(1L, std::lround(std::floor(deadlineMs)))) + "\r\n";
    if (request.write) out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out.append("\r\n").append(request.body);
}

void NodeLink::start(const NodeRequest& request, const AttemptTimes& times, Over over) {
    hold(0);
    reader_.emplace(limits_);
    sink_ = request.sink;
    passing_ = false;
    begin(times, std::move(over));
    if (up()) return writeLast(encode(request, node(), timesLeft().timeoutMs));
    waiting_ = request;
}

// What it tells the node of its time is right only now.
void NodeLink::cameUp() {
    writeLast(encode(*waiting_, node(), timesLeft().timeoutMs));
    waiting_.reset();
}

void NodeLink::passTo(NodeLink& other) {
    const AttemptTimes left = timesLeft();
    Over over = leaveWork();
    const NodeRequest work = std::move(*waiting_);
    waiting_.reset();
    other.start(work, left, std::move(over));
}

void NodeLink::hold(std::size_t bytes) { counters_.answerBytes += bytes - std::exchange(held_, bytes); }

// A long one is not held: more of them may come at once than there is memory for. Its first bytes are what
// its client waits for; from then on there is no other attempt.
bool NodeLink::pass(bool whole) {
    AnswerReader& answer = *reader_;
    if (sink_ == nullptr || answer.code != 200 || !answer.headCame()) return true;
    if (!passing_) {
        const auto left = answer.left();
        const std::uint64_t length = answer.body.size() + left.value_or(0);
        if (length <= limits_.passFrom) return true;
        passing_ = true;
        wait(limits_.passStillMs);
        if (!sink_->begins(answer.contentType, left ? std::optional(length) : std::nullopt)) return false;
    }
    if (!whole) wait(limits_.passStillMs);
    if (!answer.body.empty()) sink_->piece(std::exchange(answer.body, {}));
    return true;
}

void NodeLink::closes() {
    AnswerReader& answer = *reader_;
    if (!answer.untilEnd()) return;
    if (!pass(true)) return;
    settle({answer.code == 200 ? Ending::served : Ending::error, std::move(answer.body),
            std::move(answer.contentType)},
           false);
}

void NodeLink::arrived(std::string_view& in) {
    AnswerReader& answer = *reader_;
    const auto got = answer.take(in);
    if (got == AnswerReader::Got::bad) return spoil();
    if (!pass(got == AnswerReader::Got::whole)) return;
    hold(got == AnswerReader::Got::more ? answer.body.size() : 0);
    if (answer.body.size() > limits_.answerBody) return spoil();
    if (counters_.answerBytes > limits_.answersHeld && !passing_) {
        counters_.add("answer_no_memory");
        return spoil();
    }
    if (got == AnswerReader::Got::more) return;
    const bool declined = (answer.code == 503 || answer.code == 504) && answer.declined;
    if (answer.code == 200)
        return settle({Ending::served, std::move(answer.body), std::move(answer.contentType)},
                      answer.keepAlive);
    settle({declined ? Ending::turnedAway : Ending::error, {}, {}}, answer.keepAlive);
}

}  // namespace martencove
