// One attempt of a client's request on its way, and what a client gets of it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/counters.h"
#include "core/limits.h"
#include "http/node_link.h"
#include "net/loop.h"

namespace martencove {

/// Puts an answer's body into a client's buffer. It counts as held until it is written.
void leave(evbuffer* by, std::string body, Counters& counters);

/// A long answer goes on to the client as it comes: then the request's owner has no more part in it, and it
/// is the client's connection that holds this.
class ResponseStream final : public AnswerSink {
public:
    /// Who has the request until goOn().
    struct Owner {
        std::function<bool()> passes;  ///< a long answer begins; whether it goes on
        std::function<void(Reply)> ended;
    };
    /// The answer has been passed on; where not whole, the client's connection has to end. May free this.
    using Passed = std::function<void(evhttp_connection*, bool whole)>;

    ResponseStream(NodePool& pool, const Limits& limits, Counters& counters, Owner owner)
        : pool_(pool), limits_(limits), counters_(counters), owner_(std::move(owner)) {}

    [[nodiscard]] bool start(const Address& node, const NodeRequest& request, const AttemptTimes& times);
    [[nodiscard]] bool begun() const { return exchange_->begun(); }

    /// The answer's head goes to the client; pieces follow.
    void goOn(evhttp_request* request, Passed passed);
    /// The last piece has gone: so has the request.
    void end();
    /// Since goOn(); its connection holds it.
    [[nodiscard]] evhttp_request* request() const { return request_; }

    bool begins(const std::string& contentType, std::optional<std::uint64_t> length) override;
    void piece(std::string bytes) override;

private:
    void ended(Reply reply);
    static void taken(evhttp_connection*, void* self);
    void limitSilence(bool reading);

    NodePool& pool_;
    const Limits& limits_;
    Counters& counters_;
    Owner owner_;
    Passed passed_;
    std::unique_ptr<Exchange<NodeLink>> exchange_;
    std::string contentType_;
    std::optional<std::uint64_t> length_;
    evhttp_request* request_ = nullptr;
    bool ahead_ = false;  // the client has enough before it
};

}  // namespace martencove
