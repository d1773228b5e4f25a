// The state of one endpoint as this node knows it: its entry in the endpoint list, the results of its load
// reports and health checks, and this node's attempts and connections to it.
//
// Utilisation is in per cent of capacity, 0 to 100. Loads are in microseconds of work per second, except
// LearnedEndpointState::loadOverCapacity, which is the reported load over capacity.
#pragma once

#include <chrono>
#include <vector>

#include "decision/events.hpp"
#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

inline constexpr double kFullUtilisation = 100.0;                     // per cent
inline constexpr Micros kReportLifetime = std::chrono::seconds(5);    // older reports are ignored
inline constexpr Micros kReportLag = std::chrono::milliseconds(700);  // usual age of the values in a report
inline constexpr int kUnhealthyAfterFailures = 2;  // consecutive health checks; one may fail by chance

// An attempt or connection that is too new for the endpoint's last load report, which probably does not
// include it.
struct RecentSend {
    RequestId request;
    Time sentAt;
    double load;
    // The client was connected through another node; the report of its previous endpoint may include its
    // load.
    bool fromAnotherNode;
};

struct HealthCheckState {
    Time extraCheckAt{Time::max()};  // start of an additional check; max: none
    Time startedAt{0};               // start of the last check
    // Time from the last check to the next periodic check, as a multiple of the interval; 0: no check yet.
    // It is random after the first check and 1 after later ones.
    double nextIntervalFactor = 0.0;
    bool outstanding = false;
    int consecutiveUnanswered = 0;  // consecutive checks without any response
};

// Invariants: loadFromThisNode is 0 while connectionsFromThisNode is 0; recentSends are ordered by sentAt.
struct Endpoint : LearnedEndpointState {
    EndpointEntry entry;
    bool listed = false;
    Time warmingUpSince{0};  // start of its process, or the arrival of the list entry if that is earlier
    HealthCheckState healthCheck;
    std::vector<RecentSend> recentSends;
    double loadFromThisNode = 0.0;    // load of this node's connections and attempts
    int connectionsFromThisNode = 0;  // number of this node's connections and attempts
};

// Adds an attempt or connection of this node to the endpoint's counters.
void addConnection(Endpoint& endpoint, double load);
// Removes an attempt or connection from the endpoint's counters and recent sends.
void removeConnection(Endpoint& endpoint, RequestId request, double load);

inline bool hasFreshReport(const Endpoint& endpoint, Time now) {
    return endpoint.reported && now - endpoint.reportedAt < kReportLifetime;
}

inline bool isUnhealthy(const Endpoint& endpoint) {
    return endpoint.healthCheckFailures >= kUnhealthyAfterFailures;
}

inline bool isDraining(const Endpoint& endpoint) {
    return endpoint.entry.availability == Availability::Draining;
}

// The load of all recent sends of this node.
inline double recentLoad(const Endpoint& endpoint) {
    double sum = 0.0;
    for (const RecentSend& send : endpoint.recentSends)
        sum += send.load;
    return sum;
}

// The load of the recent sends whose clients were not connected through another node before.
inline double recentNewLoad(const Endpoint& endpoint) {
    double sum = 0.0;
    for (const RecentSend& send : endpoint.recentSends)
        if (!send.fromAnotherNode) sum += send.load;
    return sum;
}

// The load of this node's connections and attempts without the recent sends, which the last report does not
// include.
inline double reportedLoadFromThisNode(const Endpoint& endpoint) {
    return endpoint.loadFromThisNode - recentLoad(endpoint);
}

}  // namespace ivyreel
