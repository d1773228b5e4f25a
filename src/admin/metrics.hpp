// Counters of the connections, requests and messages of the node since the start of its process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "decision/types.hpp"

namespace ivyreel {

// Results of the requests of one request class.
struct RequestClassMetrics {
    std::uint64_t answered = 0;  // established
    std::uint64_t deferred = 0;  // rejected
    std::uint64_t errored = 0;   // failed
    std::uint64_t sends = 0;     // attempts sent completely to endpoints
};

struct Metrics {
    // By request class, including classes that only earlier settings had.
    std::map<std::string, RequestClassMetrics, std::less<>> classes;
    std::uint64_t confLoaded = 0;   // reloads of the configuration that were applied
    std::uint64_t confInvalid = 0;  // reloads that were rejected as invalid

    // Connections from clients and from the load balancers in front of the node.
    std::uint64_t accepted = 0;
    std::uint64_t pings = 0;       // health checks from load balancers that were answered
    std::uint64_t requests = 0;    // opening lines received
    std::uint64_t resumed = 0;     // reconnections to the endpoint that the opening line names
    std::uint64_t adopted = 0;     // connections received from a predecessor
    std::uint64_t handedOver = 0;  // connections sent to a successor

    // Connections ended because of their input.
    std::uint64_t badInput = 0;   // total of the causes below
    std::uint64_t badLine = 0;    // malformed line
    std::uint64_t badLength = 0;  // line over the maximum length
    std::uint64_t badClass = 0;   // unknown request class
    std::uint64_t badNumber = 0;  // malformed number, or out of range
    std::uint64_t badId = 0;      // id of a request that is open or has ended recently
    std::uint64_t badEarly = 0;   // data after the opening line, before the answer

    // Connections and requests that ended before the first decision.
    std::uint64_t incompleteOpenings = 0;  // connection ended within the opening line
    std::uint64_t openingTimeouts = 0;     // no opening line in time
    std::uint64_t evicted = 0;             // closed to make room for newer ones
    std::uint64_t outOfDescriptors = 0;    // requests rejected for lack of descriptors

    // Attempts.
    std::uint64_t attempts = 0;           // about to be sent on an established connection
    std::uint64_t notSent = 0;            // dropped before the first byte was sent
    std::uint64_t connectFailed = 0;      // failed or timed out before the opening line was sent
    std::uint64_t attemptsRejected = 0;   // BUSY
    std::uint64_t errors = 0;             // ERR, or a malformed response
    std::uint64_t timedOut = 0;           // no response to the opening line in time
    std::uint64_t attemptsReset = 0;      // the connection ended after the opening line was sent
    std::uint64_t attemptsCancelled = 0;  // a newer decision arrived during the attempt

    // Responses to clients.
    std::uint64_t established = 0;          // UP
    std::uint64_t rejected = 0;             // BUSY
    std::uint64_t failed = 0;               // ERR
    std::uint64_t clientsDisconnected = 0;  // before the response

    // How established connections ended.
    std::uint64_t completed = 0;             // BYE
    std::uint64_t closedByClient = 0;        // the client closed the connection
    std::uint64_t movedByEndpoint = 0;       // MOVE from the endpoint
    std::uint64_t migrated = 0;              // MOVE from this node, except after an overlong line (badLength)
    std::uint64_t migratedUnresponsive = 0;  // of these: the endpoint was unresponsive
    std::uint64_t resetByEndpoint = 0;       // the upstream connection ended without a notice

    // Relayed lines.
    std::uint64_t linesToEndpoints = 0;
    std::uint64_t linesToClients = 0;

    std::uint64_t healthChecks = 0;        // answered with PONG
    std::uint64_t healthChecksFailed = 0;  // another answer, such as BUSY, or none
    std::uint64_t healthCheckConnections = 0;

    // Discovery of the endpoint list.
    std::uint64_t listChanges = 0;          // messages with entries
    std::uint64_t listFailures = 0;         // calls that failed, and watches that ended
    std::uint64_t listCalls = 0;            // calls made
    std::uint64_t listAdditionalCalls = 0;  // of these: made while an earlier call had no response
    std::uint64_t listCallsRejected = 0;    // calls that were rejected or failed before a response
    std::uint64_t listCallsCancelled = 0;   // calls that this node closed without a response

    // Endpoints withheld from new connections because their responses indicate that they are draining.
    std::uint64_t withheld = 0;
    std::uint64_t withheldCleared = 0;  // no longer withheld

    // Values that other components of the node provide: gauges, and the counter listStaleMs.
    struct ExternalMetrics {
        std::size_t currentConnections = 0;
        std::size_t listedEndpoints = 0;
        std::size_t excludedEndpoints = 0;
        std::int64_t listAgeMs = 0;    // since the last message from discovery
        std::int64_t listStaleMs = 0;  // total time without an open watch
    };

    // Counts the result of an attempt that did not establish its connection.
    void count(Outcome attempt);
    // The "name=value" pairs of all logged counters, on one line.
    std::string logText() const;
    // The metrics of the admin API, one per line: "node.NAME:VALUE|c" for counters, "node.NAME:VALUE|g" for
    // gauges.
    std::string exposition(const ExternalMetrics& external) const;
};

}  // namespace ivyreel
