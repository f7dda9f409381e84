// Limits of the process: sizes, counts and times. Set at startup and passed to all components.
#pragma once

#include <cstddef>
#include <cstdint>

#include "arrival/request_arrival.h"
#include "core/backoff.h"
#include "core/discovery_timing.h"

namespace martencove {

/// All limits with their defaults. Some are derived from the configuration, see config/config.cpp.
struct Limits {
    // Sizes, in bytes.
    std::size_t maxRequestBodyBytes = 64 * 1024;
    std::size_t maxBufferedAnswerBytes = 1024 * 1024;  // one node answer held in memory as a whole
    std::size_t streamThresholdBytes = 64 * 1024;      // longer node answers are streamed to the client
    // Of a streamed answer, not yet read by the client: above this, reading from the node pauses.
    std::size_t maxStreamBufferBytes = 64 * 1024;
    std::uint64_t maxStreamedAnswerBytes = 1ULL << 30;   // a greater length is treated as invalid
    std::size_t maxAnswerMemoryBytes = 8 * 1024 * 1024;  // all node answers in memory
    std::size_t maxHeaderBytes = 8 * 1024;
    std::size_t maxRequestMemoryBytes = 4 * 1024 * 1024;  // all requests in memory, arriving and open ones
    // Of that, what a client's input holds is not counted up to this: the memory of its connection covers it.
    std::size_t uncountedInputBytes = 4 * 1024;
    std::size_t programBytes = 6 * 1024 * 1024;    // the program without load; "Files are counted as memory"
    std::size_t clientConnectionBytes = 8 * 1024;  // a client's connection with its uncounted input
    std::size_t maxReadAheadBytes = 8 * 1024;      // pipelined requests of a client, behind the current one
    // Input of a client that is discarded between its last answer and the close of the connection.
    std::size_t maxLingerBytes = 1024 * 1024;
    std::size_t maxDatagramBytes = 256;
    std::size_t datagramBufferCostBytes = 1280;       // of the socket buffer, with the kernel's overhead
    std::size_t maxNbdOptionBytes = 4200;             // data of one option, at most two names
    std::size_t maxNbdUnsentBytes = 256 * 1024;       // unread replies: above this, no more commands are read
    std::size_t maxListBodyBytes = 1024 * 1024;       // one answer of discovery
    std::size_t maxOpsBodyBytes = 4 * 1024;           // request body at the ops address, which is ignored
    std::size_t maxNodeFileBytes = 32 * 1024 * 1024;  // all files of one version of the nodes
    std::size_t maxOperatorFileBytes = 1024 * 1024;

    // Counts.
    std::size_t maxDescriptors = 1024;
    std::size_t reservedDescriptors = 64;  // not for client or node connections
    std::size_t maxClientConnections = 480;
    std::size_t maxKeepAliveConnections = 240;  // clients: above this, an answer closes its connection
    std::size_t maxNodeConnections = 480;
    std::size_t maxOpenRequests = 4096;
    std::size_t maxNodes = 100'000;
    std::size_t maxQueuedDatagramsPerPeer = 2;  // unread; one bid and one sum
    std::size_t maxQueuedDatagrams = 8192;      // unread, of all peers
    // Node changes passed on at once. A batch is extended to the end of a shard, to at most twice this.
    std::size_t nodeChangesPerBatch = 64;
    std::size_t maxXdsStreams = 16;
    std::size_t maxLingeringConnections = 64;  // between the last answer and the close
    std::size_t maxRequestsWhileClosing = 64;  // pipelined requests answered before the close
    std::size_t maxNbdClients = 32;
    std::size_t maxNbdCommandsInFlight = 16;  // per client
    // Commands of one client that are refused at a shutdown because they follow those in flight.
    std::size_t maxNbdRefusalsAtShutdown = 1024;
    std::size_t maxNbdOptions = 64;         // per handshake
    std::size_t maxNbdReplyChunks = 1024;   // per reply
    std::size_t maxOpsConnections = 32;     // at the ops address
    std::size_t maxLogLinesPerSecond = 20;  // per part of the program, without Log::info()

    // Times, in ms.
    double connectTimeoutMs = 250;
    double secondConnectDelayMs = 100;    // then a second connection attempt starts beside the pending one
    double streamStallTimeoutMs = 10000;  // without data of a streamed answer
    double nodeIdleTimeoutMs = 15000;     // nodes close connections idle for this long
    // From an answer to the reuse of its node connection. A node may send an HTTP answer, which does not name
    // its request, again "some milliseconds" later (days at full size, join): under 100 ms.
    double httpNodeReuseDelayMs = 100;
    double nbdNodeReuseDelayMs = 3;   // a reply names its command
    double idleRetireFraction = 0.6;  // of nodeIdleTimeoutMs: then an idle node connection is closed
    // Idle beside another connection to the same node, which holds only so many for all schedulers.
    double surplusNodeIdleTimeoutMs = 3000;
    double clientIdleTimeoutMs = 2500;    // client connection without an open request
    double clientIoTimeoutMs = 3500;      // of one read or write, longer than the times that are decided on
    double firstRequestTimeoutMs = 2000;  // client connection on which nothing arrives
    ArrivalPace arrivalPace;              // of clients' requests
    // How long a request waits for memory while it arrives; then it is refused.
    double requestMemoryWaitMs = 500;
    double requestMemoryCheckIntervalMs = 5;  // between checks while requests wait for memory
    // At the connection limit these shorter timeouts apply, so that connections become free.
    double crowdedIdleTimeoutMs = 1000;
    double crowdedFirstRequestTimeoutMs = 100;
    double crowdedCheckIntervalMs = 10;  // between checks whether connections are free again
    // Whether the list of nodes is pushed to an agent on this machine. Then a change counts as known to this
    // host once the agent has it, and calls to the agent cost nothing.
    bool listPushed = false;
    DrainGraceBudget drainGrace;          // if the list is pushed
    double minAgentAnswerTimeoutMs = 10;  // for an agent that has an answer, until its last byte
    double longPollMs = 5000;             // how long discovery may hold a call
    double longPollSlackMs = 2000;        // added to longPollMs before a call counts as unanswered
    // longPollSlackMs is doubled for each failed call whose answer had begun, up to this.
    double maxLongPollSlackMs = 2000;
    double listPropagationMs = 6000;    // of the protocol: then a change counts as known to this host
    OnRequestListBudget onRequestList;  // if one service serves the list to all hosts
    // How long clients wait for the first list at startup if the list is pushed. An answer may be late by
    // this much; a request counts as lost when its answer is half a second late.
    double firstListTimeoutMs = 400;
    // The service has a fixed capacity: when the calls of all schedulers failed together and were repeated
    // after 100 ms, hardly any call succeeded. Therefore retries are spread by the number of schedulers.
    double discoveryCallSpacingMs = 50;       // per scheduler
    double minDiscoveryRetryMs = 100;         // mean delay after a failed call
    RetryDelays discoveryRetry{0, 100, 400};  // calls to discovery
    RetryDelays etcdRetry{100, 100, 400};
    double fileQuietMs = 20;                     // a changed file is read after this long without writes
    double maxFileReadDelayMs = 200;             // or this long after the first write
    double incompleteFileTimeoutMs = 1000;       // then incomplete content is reported
    double nodeChangeTimeSliceMs = 0.5;          // event loop time for node changes per turn
    double longestDeadlineMs = 0;                // of the classes in the settings; a shutdown depends on it
    double shutdownCheckIntervalMs = 20;         // between checks for unfinished work at a shutdown
    double shutdownFirstRequestTimeoutMs = 300;  // new connection without any input at a shutdown
    double lingerTimeoutMs = 1000;               // between the last answer and the close
    double etcdWatchIdleTimeoutMs = 30000;       // a watch without messages is restarted
    double etcdMalformedRetryMs = 1000;          // delay after a malformed answer
    double xdsUpdateIntervalMs = 500;            // between checks for updates to send to proxies
    double overloadRetryAfterMs = 0;             // retry advice above the limits; 0: no advice allowed
    double nbdHandshakeTimeoutMs = 5000;

    /// Unprocessed input of one NBD client, in bytes: above this, no more is read.
    [[nodiscard]] std::size_t maxNbdInputBytes() const { return 2 * maxRequestBodyBytes; }

    /// Copies the limits that depend on settings which may change at run time.
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

    double handoverTimeoutMs = 1000;    // at startup, for the sockets of the predecessor process
    double opsRequestTimeoutMs = 5000;  // for a whole request at the ops address
    // From the evacuate call to the close of idle connections: by then, as after SIGTERM, no new ones arrive.
    double evacuateCloseDelayMs = 450;
    double sweepIntervalMs = 250;          // between checks for idle connections
    double readAheadCheckIntervalMs = 20;  // of clients at maxReadAheadBytes
};

}  // namespace martencove
