// Figures of the whole fleet that the estimates of single endpoints build on, and when they are computed
// anew.
#pragma once

#include "decision/arrival_rate.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoint.hpp"
#include "decision/fleet_capacity_estimate.hpp"
#include "decision/learned_state.hpp"
#include "decision/send_rate.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Per cent: the draft's value where nothing is known (9.1.2).
inline constexpr double kUnknownUtilisation = 50.0;

// Loads are microseconds of work a second, utilisations per cent.
struct FleetSnapshot {
    double meanUtilisation = kUnknownUtilisation;  // of the fresh reports
    double spareUtilisation = 0.0;  // of all usable endpoints, weighted by their effective capacity
    double departedLoad = 0.0;      // at each endpoint: what has come here from other nodes since its report
    double sendRate = 0.0;          // load that this node sends a second
    int recentSendCount = 0;        // its sends of the last moments
    double capacityPerLoad =
        1.0 / kDefaultCapacity;  // part of an endpoint's capacity that one unit of load takes
};

class FleetMonitor {
  public:
    // The snapshot as it was computed last.
    const FleetSnapshot& snapshot() const { return snapshot_; }
    // The same, first computed anew if anything was reported or sent, or time has passed, since the last
    // time.
    const FleetSnapshot& refresh(const DecisionContext& context, const ArrivalRate& arrivals);

    // A report arrived, or learned state changed.
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
