// Selects the endpoint of a request at random, in proportion to weights: 100 minus the utilisation that the
// endpoint will have with the connection, times factors for success, capacity and locality.
//
// The selection is a race (weighted rendezvous hashing): the endpoint with the least -log(chance) / weight
// wins, which each does in proportion to its weight. The chance comes from the request or its affinity group
// and the endpoint, so that the same request comes to the same endpoint while the weights are the same.
#pragma once

#include <optional>

#include "decision/affinity_groups.hpp"
#include "decision/arrival_rate.hpp"
#include "decision/candidate.hpp"
#include "decision/decision_context.hpp"
#include "decision/fleet_snapshot.hpp"
#include "decision/request.hpp"
#include "decision/slow_start.hpp"
#include "decision/types.hpp"
#include "decision/utilisation_estimate.hpp"

namespace ivyreel {

struct Selection {
    EndpointId endpoint{};
    bool pollFirst = false;  // it leads at the highest weight it can have: its load is to be polled first
};

// A view of what it is made from, which must outlive it.
class WeightedSelection {
  public:
    WeightedSelection(const DecisionContext& context, const FleetSnapshot& fleet, const SlowStart& slowStart,
                      const AffinityGroups& groups, const ArrivalRate& arrivals);

    // None where no endpoint may be used, or none has spare capacity and the request may be rejected.
    std::optional<Selection> select(const Request& request) const;

  private:
    enum class Eligibility {
        Preferred,  // not tried before, and not silent when it was polled
        Any,
    };

    CandidateSet findCandidates(const Request& request) const;
    CandidateSet findCandidates(const Request& request, Eligibility eligibility) const;
    bool isEligible(const Endpoint& endpoint, const Request& request, Eligibility eligibility) const;
    void setWeights(CandidateSet& set, const Request& request) const;
    void retainGroupEndpoints(CandidateSet& set) const;
    bool hasSpareCapacity(const Candidate& candidate) const;
    bool shedOverloaded(CandidateSet& set, const Request& request) const;

    const DecisionContext& context_;
    const SlowStart& slowStart_;
    const AffinityGroups& groups_;
    const ArrivalRate& arrivals_;
    UtilisationEstimate utilisation_;
    bool fleetBusy_;
    double crossZoneWeight_;
};

}  // namespace ivyreel
