// Every size, count and time that bounds the program. Filled at start, handed down.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/backoff.h"
#include "core/discovery_timing.h"

namespace martencove {

struct Limits {
    // Sizes, in bytes.
    std::size_t maxRequestBodyBytes = 64 * 1024;
    std::size_t maxBufferedAnswerBytes = 1024 * 1024;  // of one node's answer that is held whole
    std::size_t streamThresholdBytes = 64 * 1024;      // a longer answer is passed on as it comes
    std::size_t maxStreamBufferBytes =
        64 * 1024;  // of one that its client has not taken: then no more is read
    std::uint64_t maxStreamedAnswerBytes = 1ULL << 30;   // in all: beyond it no length is meant
    std::size_t maxAnswerMemoryBytes = 8 * 1024 * 1024;  // of all of them that are in memory
    std::size_t maxHeaderBytes = 8 * 1024;
    std::size_t maxReadAheadBytes = 8 * 1024;  // of a client's next requests, read while one is in work
    std::size_t maxLingerBytes = 1024 * 1024;  // dropped of one client between its last answer and the close
    std::size_t maxDatagramBytes = 256;
    std::size_t datagramBufferCostBytes =
        1280;  // what a received one takes of the socket's buffer, with the system's part
    std::size_t maxNbdOptionBytes = 4200;  // an option's data: two names at the most
    std::size_t maxNbdUnsentBytes =
        256 * 1024;  // replies that a client has not read: no more commands are taken
    std::size_t maxListBodyBytes = 1024 * 1024;       // of an answer of discovery
    std::size_t maxOpsBodyBytes = 4 * 1024;           // of a call at the second address: it means nothing
    std::size_t maxNodeFileBytes = 32 * 1024 * 1024;  // of all files of one version of the nodes
    std::size_t maxOperatorFileBytes = 1024 * 1024;   // of the operator's file

    // Counts.
    std::size_t maxDescriptors = 1024;
    std::size_t reservedDescriptors = 64;  // for what is neither a client's nor a node's connection
    std::size_t maxClientConnections = 480;
    std::size_t maxKeepAliveConnections = 240;  // of clients: beyond so many, an answer ends its connection
    std::size_t maxNodeConnections = 480;
    std::size_t maxOpenRequests = 4096;
    std::size_t maxNodes = 100'000;
    std::size_t maxQueuedDatagramsPerPeer = 2;  // of each peer that wait to be read: a bid and a sum
    std::size_t maxQueuedDatagrams = 8192;      // of all of them
    std::size_t nodeChangesPerBatch = 64;       // changes of nodes told at once, beyond a shard's own
    std::size_t maxXdsStreams = 16;
    std::size_t maxLingeringConnections = 64;  // connections between their last answer and the close
    std::size_t maxRequestsWhileClosing =
        64;  // answered on a connection that should end, if sent behind another
    std::size_t maxNbdClients = 32;
    std::size_t maxNbdCommandsInFlight = 16;  // in work for one client
    std::size_t maxNbdRefusalsAtShutdown =
        1024;                               // of one client, at a shutdown, that came behind those in work
    std::size_t maxNbdOptions = 64;         // in one handshake
    std::size_t maxNbdReplyChunks = 1024;   // of one reply
    std::size_t maxOpsConnections = 32;     // at the second address
    std::size_t maxLogLinesPerSecond = 20;  // of one kind

    // Times, in ms.
    double connectTimeoutMs = 250;
    double secondConnectDelayMs =
        100;  // a connection that is not up by then: a second one is dialled beside it
    double streamStallTimeoutMs = 10000;        // an answer that is passed on, and nothing more of it comes
    double nodeIdleTimeoutMs = 15000;           // a node closes a connection idle for this long
    double nodeReuseDelayMs = 3;                // after an answer, before the next request on its connection
    double idleRetireFraction = 0.6;            // of it: an idle connection is retired
    double clientIdleTimeoutMs = 2500;          // a client's connection without a request in work
    double firstRequestTimeoutMs = 2000;        // one that has not brought its first request
    double crowdedIdleTimeoutMs = 1000;         // at the bound: an idle one may make room
    double crowdedFirstRequestTimeoutMs = 100;  // and a silent one
    double crowdedCheckIntervalMs = 10;         // between looks whether there is room again
    // The list is pushed to an agent on this machine: what that holds counts as told, and calls cost nothing.
    bool listPushed = false;
    DrainGraceBudget drainGrace;  // where that is so: how it is divided
    double minAgentAnswerTimeoutMs =
        10;                            // between a call to an agent that has an answer and that answer's end
    double longPollMs = 5000;          // how long discovery may hold a call
    double longPollSlackMs = 2000;     // and how much later it counts as silent
    double maxLongPollSlackMs = 2000;  // and at most, for an answer that comes in pieces
    double listPropagationMs = 6000;  // the protocol's: by then a change counts as told, whatever call failed
    OnRequestListBudget
        onRequestList;  // where the list is one service for all hosts: how that time is divided
    // At a start, where it is pushed, clients wait for the first list for so long at most: an answer may come
    // that much after its time, and a request is lost half a second after it.
    double firstListTimeoutMs = 400;
    // Discovery has room for so many calls and no more: where all schedulers' calls failed together and came
    // back 100 ms later, hardly any was ever served.
    double discoveryCallSpacingMs = 50;       // between two schedulers' calls: their number times this is
    double minDiscoveryRetryMs = 100;         // the mean rest after a failed call, at least so long
    RetryDelays discoveryRetry{0, 100, 400};  // of calls to discovery
    RetryDelays etcdRetry{100, 100, 400};
    double fileQuietMs = 20;                // a file that is written to: read once it rests for so long
    double maxFileReadDelayMs = 200;        // or has been written to for so long
    double incompleteFileTimeoutMs = 1000;  // content that is not whole: told of after so long
    double nodeChangeTimeSliceMs = 0.5;     // of the loop's time for a swap of nodes, at once
    double longestDeadlineMs = 0;           // of the settings' classes: a shutdown counts by it
    double shutdownCheckIntervalMs = 20;    // between looks whether anything is still owed
    double shutdownFirstRequestTimeoutMs =
        300;  // at a shutdown: a new connection that has brought nothing is kept so long
    double lingerTimeoutMs = 1000;  // at most, between an answer that ends its connection and the close
    double etcdWatchIdleTimeoutMs = 30000;  // a watch that says nothing for so long is asked for anew
    double etcdMalformedRetryMs = 1000;     // rest after an answer that cannot be read
    double xdsUpdateIntervalMs = 500;       // between looks at what proxies should be told
    double overloadRetryAfterMs =
        0;  // what a request beyond the bounds is advised to wait; 0: no advice allowed
    double nbdHandshakeTimeoutMs = 5000;
    /// Takes over what follows from settings that may change while the program runs.
    void updateReloadable(const Limits& next) {
        maxOpenRequests = next.maxOpenRequests;
        connectTimeoutMs = next.connectTimeoutMs;
        secondConnectDelayMs = next.secondConnectDelayMs;
        nodeIdleTimeoutMs = next.nodeIdleTimeoutMs;
        overloadRetryAfterMs = next.overloadRetryAfterMs;
        drainGrace = next.drainGrace;
        longPollMs = next.longPollMs;
        longPollSlackMs = next.longPollSlackMs;
        onRequestList = next.onRequestList;
        discoveryRetry = next.discoveryRetry;
        longestDeadlineMs = next.longestDeadlineMs;
    }

    double handoverTimeoutMs = 1000;    // at a start: for sockets of a process that serves
    double opsRequestTimeoutMs = 5000;  // a caller at the second address that has not brought its call
    double evacuateCloseDelayMs =
        450;                       // after the call, as after SIGTERM: new connections have stopped coming
    double sweepIntervalMs = 250;  // between looks at idle connections
    double readAheadCheckIntervalMs = 20;  // and at a client that has sent more than is read before its turn
};

}  // namespace martencove
