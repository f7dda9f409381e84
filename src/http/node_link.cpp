#include "http/node_link.h"

#include <utility>

namespace martencove {

std::string encode(const NodeRequest& request, const Address& node) {
    std::string out =
        (request.write ? "PUT " : "GET ") + request.uri + " HTTP/1.1\r\nHost: " + node.text() + "\r\n";
    for (const auto& [name, value] : request.headers)
        out.append(name).append(": ").append(value).append("\r\n");
    if (request.write) out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out.append("\r\n").append(request.body);
}

void NodeLink::start(const NodeRequest& request, double timeoutMs, Over over) {
    hold(0);
    reader_.emplace(limits_);
    begin(timeoutMs, std::move(over));
    writeLast(encode(request, node()));
}

void NodeLink::hold(std::size_t bytes) { counters_.answerBytes += bytes - std::exchange(held_, bytes); }

void NodeLink::arrived(std::string_view& in) {
    AnswerReader& answer = *reader_;
    const auto got = answer.take(in);
    hold(got == AnswerReader::Got::more ? answer.body.size() : 0);
    if (got == AnswerReader::Got::bad) return spoil();
    if (counters_.answerBytes > limits_.answersHeld) {
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
