#include "nbd/node_connection.h"

namespace martencove::nbd {

void NbdNodeConnection::start(const Work& command, const AttemptTimeouts& timeouts, DoneCallback done) {
    command_ = command;
    commandFinished_ = false;
    beginRequest(timeouts, std::move(done));
    if (state_ == State::ready) sendCommand();
}

void NbdNodeConnection::onData(std::string_view& in) {
    DecodeResult result = DecodeResult::complete;
    while (result == DecodeResult::complete && !commandFinished_ && !in.empty()) result = handleMessage(in);
    if (result != DecodeResult::malformed) return;
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
    const DecodeResult result = decode(in, greeting);
    if (result != DecodeResult::complete) return result;
    state_ = State::structuredReply;
    write(encodeClientFlags(kFixedNewstyle | (greeting.flags & kNoZeroes)) +
          encode(OptionMessage{Option::structuredReply, ""}));
    return result;
}

DecodeResult NbdNodeConnection::handleOptionReply(std::string_view& in) {
    OptionReplyMessage reply;
    const DecodeResult result = decode(in, reply, limits_.maxNbdOptionBytes);
    if (result != DecodeResult::complete) return result;
    if (reply.option != (state_ == State::structuredReply ? Option::structuredReply : Option::go))
        return DecodeResult::malformed;
    if (reply.type == OptionReplyType::shutdown) {  // the node is shutting down: the command has not run
        finishCommand(AttemptStatus::rejected);
        return result;
    }
    if (state_ == State::structuredReply) {
        structuredReplies_ = reply.type == OptionReplyType::ack;
        state_ = State::go;
        write(encode(OptionMessage{Option::go, encode(InfoRequest{exportName_, {}})}));
        return result;
    }
    if (reply.type == OptionReplyType::info) {
        if (const auto info = decodeExportInfo(reply.data)) exportSize_ = info->size;
        return result;
    }
    if (reply.type != OptionReplyType::ack) return DecodeResult::malformed;
    if (command_.offset + command_.length > exportSize_) {
        finishCommand(AttemptStatus::notConnected);
        return result;
    }
    state_ = State::ready;
    sendCommand();
    return result;
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
    const bool isSimpleReply = command_.isWrite && in.substr(0, 1) == "\x67";
    return structuredReplies_ && !isSimpleReply ? handleReplyChunk(in) : handleSimpleReply(in);
}

DecodeResult NbdNodeConnection::handleSimpleReply(std::string_view& in) {
    std::string_view rest = in;
    SimpleReply reply;
    const DecodeResult result = decode(rest, reply);
    if (result != DecodeResult::complete) return result;
    if (reply.cookie != cookie_) return DecodeResult::malformed;
    if (reply.error == Error::none && !command_.isWrite) {
        if (rest.size() < command_.length) return DecodeResult::needMore;
        readAssembler_->data() = rest.substr(0, command_.length);
        rest.remove_prefix(command_.length);
    }
    in = rest;
    finishCommand(attemptStatus(reply.error));
    return result;
}

DecodeResult NbdNodeConnection::handleReplyChunk(std::string_view& in) {
    ChunkMessage chunk;
    const DecodeResult result =
        decode(in, chunk, limits_.maxRequestBodyBytes + 64);  // room for the fields beside the data
    if (result != DecodeResult::complete) return result;
    if (chunk.cookie != cookie_ || !readAssembler_->add(chunk)) return DecodeResult::malformed;
    if ((chunk.flags & kReplyFlagDone) == 0) return result;
    if (!readAssembler_->error() && !readAssembler_->isComplete()) return DecodeResult::malformed;
    finishCommand(attemptStatus(readAssembler_->error() ? readAssembler_->error()->error : Error::none));
    return result;
}

// A node that replies "shutdown" has not run the command. After "no memory" a write may have run, so only a
// read counts as rejected.
AttemptStatus NbdNodeConnection::attemptStatus(Error error) const {
    if (error == Error::none) return AttemptStatus::served;
    const bool rejected = error == Error::shutdown || (error == Error::noMemory && !command_.isWrite);
    return rejected ? AttemptStatus::rejected : AttemptStatus::error;
}

void NbdNodeConnection::finishCommand(AttemptStatus status) {
    commandFinished_ = true;
    NodeReply reply{status, {}, {}};
    if (status == AttemptStatus::served && !command_.isWrite) reply.body = std::move(readAssembler_->data());
    setReply(std::move(reply), state_ == State::ready);
}

}  // namespace martencove::nbd
