// Slow start: how many new connections an endpoint that warms up may get, and which node may send them.
//
// The account is in connections of the typical load. All nodes come to the same order of turns without a word
// to each other, from the endpoint's id and start and the settings.
#pragma once

#include <cstdint>

#include "decision/arrival_rate.hpp"
#include "decision/candidate.hpp"
#include "decision/connection_load.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoint.hpp"
#include "decision/fleet_capacity_estimate.hpp"
#include "decision/kind_capacity.hpp"
#include "decision/request.hpp"

namespace ivyreel {

struct SlowStartSlots {
    double perSecond = 0.0;  // connections that the endpoint may get from all nodes now
    double open = 0.0;       // turns that are open at once at all nodes
    double own = 0.0;        // and at this one
};

// A view of what it is made from, which must outlive it.
class SlowStart {
  public:
    SlowStart(const DecisionContext& context, const FleetCapacityEstimate& capacity,
              const ConnectionLoadEstimate& loads, const KindCapacityEstimate& kinds);

    bool isWarmingUp(const Endpoint& endpoint) const;

    // Of an endpoint that warms up.
    SlowStartSlots slots(const Endpoint& endpoint) const;

    // Whether this node has the turns that the request takes there. One above the typical load takes several,
    // or the one that is open by chance, unless it is too much.
    bool admits(const Request& request, const Endpoint& endpoint) const;

    // Raises the weights of endpoints that warm up, so that over all nodes they are selected as their weight
    // says though only the nodes whose turn it is select them; some turns pass unused.
    void adjustWeightsToSlots(CandidateSet& set, const ArrivalRate& arrivals) const;

  private:
    double connectionsAtCapacity(const Endpoint& endpoint) const;
    double selectionProbability(const Candidate& candidate, double totalWeight,
                                const ArrivalRate& arrivals) const;

    const DecisionContext& context_;
    const FleetCapacityEstimate& capacity_;
    const ConnectionLoadEstimate& loads_;
    const KindCapacityEstimate& kinds_;
    std::uint32_t nodeStride_;
};

}  // namespace ivyreel
