#include "nbd/node_connection.h"

namespace martencove::nbd {

void NbdNodeConnection::start(const Work& work, const AttemptTimeouts& times, DoneCallback over) {
    command_ = work;
    commandFinished_ = false;
    beginRequest(times, std::move(over));
    if (state_ == State::ready) sendCommand();
}

void NbdNodeConnection::onData(std::string_view& in) {
    DecodeResult got = DecodeResult::complete;
    while (got == DecodeResult::complete && !commandFinished_ && !in.empty()) got = handleMessage(in);
    if (got != DecodeResult::malformed) return;
    counters_.add("nbd_node_bad");
    failInvalidReply();
}

DecodeResult NbdNodeConnection::handleMessage(std::string_view& in) {
    switch (state_) {
        case State::greeting:
            return handleGreeting(in);
        case State::structuredReply:
        case State::go:
            return handleOptionReply(in);
        case State::ready:
            return handleReply(in);
    }
    return DecodeResult::malformed;
}

DecodeResult NbdNodeConnection::handleGreeting(std::string_view& in) {
    Greeting greeting;
    const DecodeResult got = decode(in, greeting);
    if (got != DecodeResult::complete) return got;
    state_ = State::structuredReply;
    write(encodeClientFlags(kFixedNewstyle | (greeting.flags & kNoZeroes)) +
          encode(OptionMessage{Option::structuredReply, ""}));
    return got;
}

DecodeResult NbdNodeConnection::handleOptionReply(std::string_view& in) {
    OptionReplyMessage answer;
    const DecodeResult got = decode(in, answer, limits_.maxNbdOptionBytes);
    if (got != DecodeResult::complete) return got;
    if (answer.option != (state_ == State::structuredReply ? Option::structuredReply : Option::go))
        return DecodeResult::malformed;
    if (answer.type == OptionReplyType::shutdown) {  // the node is shutting down: the command has not run
        finishCommand(AttemptStatus::rejected);
        return got;
    }
    if (state_ == State::structuredReply) {
        structuredReplies_ = answer.type == OptionReplyType::ack;
        state_ = State::go;
        write(encode(OptionMessage{Option::go, encode(InfoRequest{exportName_, {}})}));
        return got;
    }
    if (answer.type == OptionReplyType::info) {
        if (const auto info = decodeExportInfo(answer.data)) exportSize_ = info->size;
        return got;
    }
    if (answer.type != OptionReplyType::ack) return DecodeResult::malformed;
    if (command_.offset + command_.length > exportSize_) {
        finishCommand(AttemptStatus::notConnected);
        return got;
    }
    state_ = State::ready;
    sendCommand();
    return got;
}

void NbdNodeConnection::sendCommand() {
    readAssembler_.emplace(command_.offset, command_.isWrite ? 0 : command_.length,
                           limits_.maxNbdReplyChunks);
    writeFinal(encode(CommandMessage{0, command_.isWrite ? Command::write : Command::read, ++cookie_,
                                     command_.offset, command_.length, command_.data}));
}

// A server may send a simple reply to a write even if structured replies were negotiated. 0x67 is the first
// byte of the simple reply's magic.
DecodeResult NbdNodeConnection::handleReply(std::string_view& in) {
    const bool simpleComes = command_.isWrite && in.substr(0, 1) == "\x67";
    return structuredReplies_ && !simpleComes ? handleReplyChunk(in) : handleSimpleReply(in);
}

DecodeResult NbdNodeConnection::handleSimpleReply(std::string_view& in) {
    std::string_view rest = in;
    SimpleReply reply;
    const DecodeResult got = decode(rest, reply);
    if (got != DecodeResult::complete) return got;
    if (reply.cookie != cookie_) return DecodeResult::malformed;
    if (reply.error == Error::none && !command_.isWrite) {
        if (rest.size() < command_.length) return DecodeResult::needMore;
        readAssembler_->data() = rest.substr(0, command_.length);
        rest.remove_prefix(command_.length);
    }
    in = rest;
    finishCommand(attemptStatus(reply.error));
    return got;
}

DecodeResult NbdNodeConnection::handleReplyChunk(std::string_view& in) {
    ChunkMessage chunk;
    const DecodeResult got =
        decode(in, chunk, limits_.maxRequestBodyBytes + 64);  // room for the fields beside the data
    if (got != DecodeResult::complete) return got;
    if (chunk.cookie != cookie_ || !readAssembler_->add(chunk)) return DecodeResult::malformed;
    if ((chunk.flags & kReplyFlagDone) == 0) return got;
    if (!readAssembler_->error() && !readAssembler_->isComplete()) return DecodeResult::malformed;
    finishCommand(attemptStatus(readAssembler_->error() ? readAssembler_->error()->error : Error::none));
    return got;
}

// A node that replies "shutdown" has not run the command. After "no memory" a write may have run, so only a
// read counts as rejected.
AttemptStatus NbdNodeConnection::attemptStatus(Error error) const {
    if (error == Error::none) return AttemptStatus::served;
    const bool declined = error == Error::shutdown || (error == Error::noMemory && !command_.isWrite);
    return declined ? AttemptStatus::rejected : AttemptStatus::error;
}

void NbdNodeConnection::finishCommand(AttemptStatus ending) {
    commandFinished_ = true;
    NodeReply reply{ending, {}, {}};
    if (ending == AttemptStatus::served && !command_.isWrite) reply.body = std::move(readAssembler_->data());
    setReply(std::move(reply), state_ == State::ready);
}

}  // namespace martencove::nbd
