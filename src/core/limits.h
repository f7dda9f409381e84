// Every size, count and time that bounds the program. Filled at start, handed down.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/backoff.h"
#include "core/grace.h"

namespace martencove {

struct Limits {
    // Sizes, in bytes.
    std::size_t body = 64 * 1024;
    std::size_t answerBody = 1024 * 1024;       // of one node's answer that is held whole
    std::size_t passFrom = 64 * 1024;           // a longer answer is passed on as it comes
    std::size_t passAhead = 64 * 1024;          // of one that its client has not taken: then no more is read
    std::uint64_t passMost = 1ULL << 30;        // in all: beyond it no length is meant
    std::size_t answersHeld = 8 * 1024 * 1024;  // of all of them that are in memory
    std::size_t headers = 8 * 1024;
    std::size_t earlyBytes = 8 * 1024;      // of a client's next requests, read while one is in work
    std::size_t lingerBytes = 1024 * 1024;  // dropped of one client between its last answer and the close
    std::size_t datagram = 256;
    std::size_t datagramCost =
        1280;                      // what a received one takes of the socket's buffer, with the system's part
    std::size_t nbdOption = 4200;  // an option's data: two names at the most
    std::size_t nbdUnsent = 256 * 1024;  // replies that a client has not read: no more commands are taken
    std::size_t listBody = 1024 * 1024;  // of an answer of discovery
    std::size_t opsBody = 4 * 1024;      // of a call at the second address: it means nothing
    std::size_t nodeFileBytes = 32 * 1024 * 1024;  // of all files of one version of the nodes
    std::size_t operatorBytes = 1024 * 1024;       // of the operator's file

    // Counts.
    std::size_t descriptors = 1024;
    std::size_t spareDescriptors = 64;  // for what is neither a client's nor a node's connection
    std::size_t clientConnections = 480;
    std::size_t keptConnections = 240;  // of clients: beyond so many, an answer ends its connection
    std::size_t nodeConnections = 480;
    std::size_t openRequests = 4096;
    std::size_t nodes = 100'000;
    std::size_t datagramsEach = 2;     // of each peer that wait to be read: a bid and a sum
    std::size_t datagramsHeld = 8192;  // of all of them
    std::size_t swapSlice = 64;        // changes of nodes told at once, beyond a shard's own
    std::size_t xdsStreams = 16;
    std::size_t lingering = 64;            // connections between their last answer and the close
    std::size_t requestsWhileEnding = 64;  // answered on a connection that should end, if sent behind another
    std::size_t nbdClients = 32;
    std::size_t nbdCommands = 16;        // in work for one client
    std::size_t nbdRefusedAtEnd = 1024;  // of one client, at a shutdown, that came behind those in work
    std::size_t nbdOptions = 64;         // in one handshake
    std::size_t nbdChunks = 1024;        // of one reply
    std::size_t opsConnections = 32;     // at the second address
    std::size_t logLinesPerSecond = 20;  // of one kind

    // Times, in ms.
    double dialMs = 250;
    double dialAgainMs = 100;      // a connection that is not up by then: a second one is dialled beside it
    double passStillMs = 10000;    // an answer that is passed on, and nothing more of it comes
    double nodeIdleMs = 15000;     // a node closes a connection idle for this long
    double nodeRestMs = 3;         // after an answer, before the next request on its connection
    double idlePart = 0.6;         // of it: an idle connection is retired
    double clientIdleMs = 2500;    // a client's connection without a request in work
    double clientSilentMs = 2000;  // one that has not brought its first request
    double crowdedIdleMs = 1000;   // at the bound: an idle one may make room
    double crowdedSilentMs = 100;  // and a silent one
    double crowdedLookMs = 10;     // between looks whether there is room again
    // The list is pushed to an agent on this machine: what that holds counts as told, and calls cost nothing.
    bool listPushed = false;
    Grace grace;                 // where that is so: how it is divided
    double agentLateMs = 10;     // between a call to an agent that has an answer and that answer's end
    double watchWaitMs = 5000;   // how long discovery may hold a call
    double watchGraceMs = 2000;  // and how much later it counts as silent
    double slowListMs = 2000;    // and at most, for an answer that comes in pieces
    double toldAfterMs = 6000;   // the protocol's: by then a change counts as told, whatever call failed
    AskedPath asked;             // where the list is one service for all hosts: how that time is divided
    // At a start, where it is pushed, clients wait for the first list for so long at most: an answer may come
    // that much after its time, and a request is lost half a second after it.
    double firstListMs = 400;
    // Discovery has room for so many calls and no more: where all schedulers' calls failed together and came
    // back 100 ms later, hardly any was ever served.
    double watchEachMs = 50;      // between two schedulers' calls: their number times this is
    double watchAgainMs = 100;    // the mean rest after a failed call, at least so long
    CallRests list{0, 100, 400};  // of calls to discovery
    CallRests etcd{100, 100, 400};
    double fileRestMs = 20;        // a file that is written to: read once it rests for so long
    double fileRestMostMs = 200;   // or has been written to for so long
    double fileSettleMs = 1000;    // content that is not whole: told of after so long
    double swapSliceMs = 0.5;      // of the loop's time for a swap of nodes, at once
    double longestDeadlineMs = 0;  // of the settings' classes: a shutdown counts by it
    double shutdownLookMs = 20;    // between looks whether anything is still owed
    double newSilentMs = 300;      // at a shutdown: a new connection that has brought nothing is kept so long
    double lingerMs = 1000;        // at most, between an answer that ends its connection and the close
    double etcdQuietMs = 30000;    // a watch that says nothing for so long is asked for anew
    double etcdBadMs = 1000;       // rest after an answer that cannot be read
    double xdsLookMs = 500;        // between looks at what proxies should be told
    double notTakenBackMs = 0;  // what a request beyond the bounds is advised to wait; 0: no advice allowed
    double nbdHandshakeMs = 5000;
    /// Takes over what follows from settings that may change while the program runs.
    void retune(const Limits& next) {
        openRequests = next.openRequests;
        dialMs = next.dialMs;
        dialAgainMs = next.dialAgainMs;
        nodeIdleMs = next.nodeIdleMs;
        notTakenBackMs = next.notTakenBackMs;
        grace = next.grace;
        watchWaitMs = next.watchWaitMs;
        watchGraceMs = next.watchGraceMs;
        asked = next.asked;
        list = next.list;
        longestDeadlineMs = next.longestDeadlineMs;
    }

    double handoverMs = 1000;      // at a start: for sockets of a process that serves
    double opsSilentMs = 5000;     // a caller at the second address that has not brought its call
    double evacuateCloseMs = 450;  // after the call, as after SIGTERM: new connections have stopped coming
    double sweepMs = 250;          // between looks at idle connections
    double earlyLookMs = 20;       // and at a client that has sent more than is read before its turn
};

}  // namespace martencove
