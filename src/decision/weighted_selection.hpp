// Selects the endpoint of a request at random, in proportion to weights. The weight of an endpoint is 100
// minus the utilisation in per cent that it will have with the connection, times factors for success,
// capacity and locality.
//
// The selection uses weighted rendezvous hashing: the endpoint with the lowest score, -log(random) / weight,
// is selected, which gives each endpoint a probability in proportion to its weight. The random number, 0 to
// 1, is a hash of the endpoint and of the affinity group, the flow key (in Passthrough mode) or the request's
// own random number. A request therefore selects the same endpoint as long as the weights are the same.
//
// Two rules precede the score: on a busy fleet, endpoints where this node has more connections of the
// request's affinity group come first, and an endpoint whose weight is not positive is selected only after
// all others, with all such endpoints weighted alike.
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
    bool pollFirst = false;  // selected at the highest possible weight: poll its load first
};

// Refers to the arguments of its constructor, which must outlive it.
class WeightedSelection {
  public:
    WeightedSelection(const DecisionContext& context, const FleetSnapshot& fleet, const SlowStart& slowStart,
                      const AffinityGroups& groups, const ArrivalRate& arrivals);

    // Returns nothing if no endpoint may be used, or if none has spare capacity and the request may be
    // rejected.
    std::optional<Selection> select(const Request& request) const;

  private:
    enum class Eligibility {
        Preferred,  // not tried for this request, and not unresponsive when it was polled
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
