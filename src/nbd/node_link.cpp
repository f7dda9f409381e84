#include "nbd/node_link.h"

namespace martencove::nbd {

void NodeLink::start(const Work& work, const AttemptTimes& times, Over over) {
    work_ = work;
    ended_ = false;
    begin(times, std::move(over));
    if (state_ == State::ready) command();
}

void NodeLink::arrived(std::string_view& in) {
    Got got = Got::whole;
    while (got == Got::whole && !ended_ && !in.empty()) got = step(in);
    if (got != Got::bad) return;
    counters_.add("nbd_node_bad");
    spoil();
}

Got NodeLink::step(std::string_view& in) {
    switch (state_) {
        case State::greeting:
            return greeted(in);
        case State::structured:
        case State::go:
            return negotiated(in);
        case State::ready:
            return replied(in);
    }
    return Got::bad;
}

Got NodeLink::greeted(std::string_view& in) {
    Greeting greeting;
    const Got got = take(in, greeting);
    if (got != Got::whole) return got;
    state_ = State::structured;
    write(encodeClientFlags(kFixedNewstyle | (greeting.flags & kNoZeroes)) +
          encode(OptionMessage{Option::structuredReply, ""}));
    return got;
}

Got NodeLink::negotiated(std::string_view& in) {
    OptionAnswer answer;
    const Got got = take(in, answer, limits_.nbdOption);
    if (got != Got::whole) return got;
    if (answer.option != (state_ == State::structured ? Option::structuredReply : Option::go))
        return Got::bad;
    if (answer.reply == OptionReply::shutdown) {  // it drains: nothing ran here
        end(Ending::turnedAway);
        return got;
    }
    if (state_ == State::structured) {
        structured_ = answer.reply == OptionReply::ack;
        state_ = State::go;
        write(encode(OptionMessage{Option::go, encode(InfoRequest{export_, {}})}));
        return got;
    }
    if (answer.reply == OptionReply::info) {
        if (const auto info = decodeExport(answer.data)) size_ = info->size;
        return got;
    }
    if (answer.reply != OptionReply::ack) return Got::bad;
    if (work_.offset + work_.length > size_) {
        end(Ending::notConnected);
        return got;
    }
    state_ = State::ready;
    command();
    return got;
}

void NodeLink::command() {
    assembly_.emplace(work_.offset, work_.write ? 0 : work_.length, limits_.nbdChunks);
    writeLast(encode(CommandMessage{0, work_.write ? Command::write : Command::read, ++cookie_, work_.offset,
                                    work_.length, work_.data}));
}

// A write may be answered simply even where structured replies were agreed on.
Got NodeLink::replied(std::string_view& in) {
    const bool simpleComes = work_.write && in.substr(0, 1) == "\x67";
    return structured_ && !simpleComes ? chunked(in) : simple(in);
}

Got NodeLink::simple(std::string_view& in) {
    std::string_view rest = in;
    SimpleReply reply;
    const Got got = take(rest, reply);
    if (got != Got::whole) return got;
    if (reply.cookie != cookie_) return Got::bad;
    if (reply.error == Error::none && !work_.write) {
        if (rest.size() < work_.length) return Got::more;
        assembly_->data() = rest.substr(0, work_.length);
        rest.remove_prefix(work_.length);
    }
    in = rest;
    end(endingOf(reply.error));
    return got;
}

Got NodeLink::chunked(std::string_view& in) {
    ChunkMessage chunk;
    const Got got = take(in, chunk, limits_.body + 64);
    if (got != Got::whole) return got;
    if (chunk.cookie != cookie_ || !assembly_->add(chunk)) return Got::bad;
    if ((chunk.flags & kDone) == 0) return got;
    if (!assembly_->error() && !assembly_->whole()) return Got::bad;
    end(endingOf(assembly_->error() ? assembly_->error()->error : Error::none));
    return got;
}

// A node that shuts down has not run the command; of one that says it has no room that is sure for reads.
Ending NodeLink::endingOf(Error error) const {
    if (error == Error::none) return Ending::served;
    const bool declined = error == Error::shutdown || (error == Error::noMemory && !work_.write);
    return declined ? Ending::turnedAway : Ending::error;
}

void NodeLink::end(Ending ending) {
    ended_ = true;
    Reply reply{ending, {}, {}};
    if (ending == Ending::served && !work_.write) reply.body = std::move(assembly_->data());
    settle(std::move(reply), state_ == State::ready);
}

}  // namespace martencove::nbd
