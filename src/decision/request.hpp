// The state of one request from its arrival until its final answer or the end of its connection.
#pragma once

#include <cstdint>
#include <vector>

#include "decision/events.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Invariants: at most one of attemptOutstanding and connected is true; target and sentAt belong to the latest
// attempt and are zero before the first. A resumed connection counts as the first attempt, but only the id of
// its target is known: the rest of target, sentAt and clientTimeoutAt are zero.
struct Request {
    RequestArrived arrival;
    RequestClassSettings requestClass;  // as of the arrival
    int maxAttempts = 0;                // as of the arrival
    Time arrivedAt{0};
    Time clientTimeoutAt{0};  // the client stops waiting for an answer
    double load = 0.0;        // microseconds of work a second: expected, later measured
    std::uint64_t randomNumber = 0;
    // Attempts.
    int attempts = 0;
    std::vector<EndpointId> triedEndpoints;
    bool attemptOutstanding = false;
    bool connected = false;
    EndpointEntry target{};  // list entry of the endpoint when the attempt started
    Time sentAt{0};
    // Idempotency.
    bool mayHaveExecuted = false;    // an attempt that has ended may have executed the request
    Time firstExecutionSentAt{0};    // start of the first such attempt
    EndpointEntry firstExecution{};  // list entry of its endpoint
    // Health checks that poll the load of an endpoint for this request.
    std::vector<EndpointId> polledEndpoints;
    Time polledAt{0};  // time of the latest poll
    bool waitsForReport = false;
};

// Whether the request belongs to an affinity group and the settings enable group affinity.
inline bool hasAffinity(const Request& request, const Settings& settings) {
    return settings.groupAffinity && request.arrival.group != GroupId{0};
}

}  // namespace ivyreel
