// The state of one endpoint as this node sees it: its entry in the endpoint list, what its reports and health
// checks showed, and what this node has there.
//
// Utilisation is in per cent of capacity, 0 to 100; load is microseconds of work a second.
#pragma once

#include <chrono>
#include <vector>

#include "decision/events.hpp"
#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

inline constexpr double kFullUtilisation = 100.0;                     // per cent
inline constexpr Micros kReportLifetime = std::chrono::seconds(5);    // older reports no longer count
inline constexpr Micros kReportLag = std::chrono::milliseconds(700);  // usual age of a report's values
inline constexpr int kUnhealthyAfterFailures = 2;  // health checks in a row: one may be lost by chance

// A send that the endpoint's last report cannot show yet.
struct RecentSend {
    RequestId request;
    Time sentAt;
    double load;
    bool fromAnotherNode;  // the client had its connection at another node: the reports show its load already
};

struct HealthCheckState {
    Time extraCheckAt{Time::max()};  // time of a further check, while the endpoint is in doubt
    Time startedAt{0};               // of the last one
    double intervalFactor = 0.0;     // part of the interval until the next steady check; 0 before the first
    bool outstanding = false;
    int consecutiveUnanswered = 0;  // in a row that brought nothing back at all
};

// Invariants: ownLoad is 0 while ownConnections is 0; recentSends are in the order of their times.
struct Endpoint : LearnedEndpointState {
    EndpointEntry entry;
    bool listed = false;
    Time warmingUpSince{0};  // start of its process, as far as this node counts it
    HealthCheckState healthCheck;
    std::vector<RecentSend> recentSends;
    double ownLoad = 0.0;    // of this node's connections
    int ownConnections = 0;  // likewise, attempts included
};

// Counts an attempt or connection of this node in.
void addConnection(Endpoint& endpoint, double load);
// Counts it out; then it is no longer on its way into the endpoint's reports.
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

// Load of all recent sends of this node.
inline double recentLoad(const Endpoint& endpoint) {
    double sum = 0.0;
    for (const RecentSend& send : endpoint.recentSends)
        sum += send.load;
    return sum;
}

// Load of the recent sends that are new to the fleet.
inline double recentNewLoad(const Endpoint& endpoint) {
    double sum = 0.0;
    for (const RecentSend& send : endpoint.recentSends)
        if (!send.fromAnotherNode) sum += send.load;
    return sum;
}

// Load of this node that the endpoint's last report shows.
inline double reportedOwnLoad(const Endpoint& endpoint) {
    return endpoint.ownLoad - recentLoad(endpoint);
}

}  // namespace ivyreel
