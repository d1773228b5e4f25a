// Slow start: limits how many new connections an endpoint gets while it is warming up, and decides which node
// may send them.
//
// The connections are allocated to the nodes as slots, round-robin. A slot stands for one connection of the
// typical load. Without communicating, all nodes compute the same round-robin order from the endpoint's id
// and the index of the node. A node without an index takes a position that depends on its seed. The number
// of slots that are due follows the endpoint's start time and estimates that each node learns itself, so it
// is only approximately the same at all nodes.
//
// A slot becomes due at its time during the warm-up, is open from then until `maxOpen` later slots are due,
// and is used when its node starts an attempt at the endpoint. An attempt uses all open slots of the node.
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
    double perSecond = 0.0;       // slots that become due a second at present, of all nodes together
    double maxOpen = 0.0;         // most slots that are open at the same time, of all nodes together
    double openAtThisNode = 0.0;  // slots of this node that are open and not used
};

// Refers to the arguments of its constructor, which must outlive it.
class SlowStart {
  public:
    SlowStart(const DecisionContext& context, const FleetCapacityEstimate& capacity,
              const ConnectionLoadEstimate& loads, const KindCapacityEstimate& kinds);

    bool isWarmingUp(const Endpoint& endpoint) const;

    // The slots at an endpoint that is warming up.
    SlowStartSlots slots(const Endpoint& endpoint) const;

    // Whether this node may send the request to an endpoint that is warming up. A request whose load hint
    // exceeds the typical load needs load hint / typical load slots. If fewer are open at this node, the
    // request is admitted with the probability open slots / needed slots. A request that needs more than
    // maxOpen + 1 slots is not admitted.
    bool admits(const Request& request, const Endpoint& endpoint) const;

    // Raises the weights of endpoints that are warming up. Only nodes with an open slot can select such an
    // endpoint, and some slots stay unused; with the raised weights the endpoint's share of the connections
    // from all nodes together still follows its original weight.
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
