// The estimates that a node has learned of its endpoints and of the fleet, in a form that its successor can
// adopt.
#pragma once

#include <optional>
#include <vector>

#include "decision/types.hpp"

namespace ivyreel {

struct LearnedEndpointState {
    // From load reports.
    bool reported = false;
    Time reportedAt{0};
    int utilisation = 0;            // per cent, 0 to 100
    double loadOverCapacity = 0.0;  // as reported, not clamped to 1
    double activeRequests = 0.0;    // of all nodes, as reported by the endpoint
    double slowdown = 1.0;          // reported load over the load expected from the connections, damped
    // From connection set-ups.
    double setupSlowdown = 1.0;  // set-up time over twice the typical set-up time, damped
    // From health checks and attempts.
    double roundTripMicros = 0.0;  // mean of the health checks
    int healthCheckFailures = 0;   // consecutive
    double successRate = 1.0;      // of recent attempts
    // From message delays.
    Time lastLateMessageAt{Time::min() / 2};
    // Times that limit slow start and migration.
    Time slowStartSlotsUsedUntil{0};  // slow-start slots from before this time count as used
    Time nextMigrationAt{0};          // overload relief of this endpoint starts no earlier
};

struct LearnedFleetState {
    double saturationThreshold = 0.0;  // load over capacity at which messages start to be late
    // The next three members are sums of value times seconds, which decay exponentially with a time constant
    // of a minute.
    double workSeconds = 0.0;        // of the work of all nodes (microseconds per second)
    double loadSeconds = 0.0;        // of the load over capacity that the endpoints report
    double connectionSeconds = 0.0;  // of the number of this node's connections

    double arrivalRate = 0.0;               // of this node's requests, per second
    double meanSetupMicros = 0.0;           // mean time to set up a connection
    double typicalSetupMicros = 0.0;        // typical time to set up a connection, without the round trips
    double typicalLoad = 40'000;            // of one connection, microseconds of work per second
    std::vector<double> meanLoadByClass{};  // of one connection, microseconds of work per second
};

struct LearnedState {
    struct EndpointRecord {
        EndpointId id{};
        Time startedAt{0};  // start of the process that this state describes
        LearnedEndpointState state;
    };
    std::optional<LearnedFleetState> fleet;  // none if it is not known; the receiver keeps its own
    std::vector<EndpointRecord> endpoints;
};

// Whether no number is infinite or NaN. The text of a handover state cannot hold such numbers.
bool isFinite(const LearnedEndpointState& learned);
bool isFinite(const LearnedFleetState& learned);

}  // namespace ivyreel
