// Aggregates over the whole fleet, on which the estimates for single endpoints are based, and their
// recomputation.
#pragma once

#include "decision/arrival_rate.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoint.hpp"
#include "decision/fleet_capacity_estimate.hpp"
#include "decision/learned_state.hpp"
#include "decision/send_rate.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Per cent; the value of draft-rosenberg-dispatch-cloudsip for an unknown utilisation (9.1.2).
inline constexpr double kUnknownUtilisation = 50.0;

// Loads are in microseconds of work per second, utilisations in per cent.
struct FleetSnapshot {
    double meanUtilisation = kUnknownUtilisation;  // mean of the fresh reports
    // Sum over the usable endpoints. An endpoint with a fresh report counts times its effective capacity;
    // each other one counts as an endpoint with the mean utilisation.
    double totalSpareUtilisation = 0.0;
    double loadFromOtherNodes = 0.0;  // per endpoint, of clients that came from other nodes since its report
    double sendRate = 0.0;            // load that this node sends per second
    // This node's sends in the last 2 s that no report includes, without clients that came from other nodes.
    int recentSendCount = 0;
    double capacityPerLoad = 1.0 / kDefaultCapacity;  // share of a typical capacity per unit of load
};

class FleetSnapshotCache {
  public:
    // Returns the snapshot that was computed last.
    const FleetSnapshot& snapshot() const { return snapshot_; }
    // Returns the snapshot; recomputes it first if a report or a send followed the last computation, or time
    // has passed since.
    const FleetSnapshot& refresh(const DecisionContext& context, const ArrivalRate& arrivals);

    // Marks the snapshot as outdated: a report arrived, or learned state changed.
    void invalidate() { outdated_ = true; }
    void recordSend(const RecentSend& send);
    void removeSend(RequestId request) { sendRate_.removeSend(request); }

    const FleetCapacityEstimate& capacity() const { return capacity_; }
    void store(LearnedFleetState& learned) const { capacity_.store(learned); }
    void restore(const LearnedFleetState& learned);

  private:
    FleetSnapshot snapshot_;
    FleetCapacityEstimate capacity_;
    SendRate sendRate_;
    bool outdated_ = true;
    Time computedAt_{0};
};

}  // namespace ivyreel
