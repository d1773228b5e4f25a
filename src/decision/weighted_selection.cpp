#include "decision/weighted_selection.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "decision/admission_control.hpp"
#include "decision/effective_capacity.hpp"
#include "decision/load_polling.hpp"
#include "decision/locality_preference.hpp"
#include "decision/retry_policy.hpp"
#include "util/random.hpp"

namespace ivyreel {
namespace {

// Departure, selection by group: where each endpoint that serves any member of a group does extra work for
// the group, the random number is derived from the group and the endpoint instead of the request, so that the
// members select the same endpoint. This prevents each group from being spread over the fleet. In Passthrough
// mode the random number of any other request is derived from its flow key, if it has one.
std::uint64_t selectionKey(const Request& request, const Settings& settings) {
    if (hasAffinity(request, settings)) return static_cast<std::uint64_t>(request.arrival.group);
    const bool flowMayReachAnyNode = settings.forwardingMode == ForwardingMode::Passthrough;
    if (flowMayReachAnyNode && request.arrival.flowKey != FlowKey{0})
        return static_cast<std::uint64_t>(request.arrival.flowKey);
    return request.randomNumber;
}

double rendezvousScore(const Candidate& candidate) {
    return candidate.exponentialSample / (candidate.weight > 0.0 ? candidate.weight : 1.0);
}

// Candidates with more connections of the request's group come first, then those with a positive weight, then
// those with a lower score.
const Candidate& bestCandidate(const std::vector<Candidate>& candidates) {
    const auto rank = [](const Candidate& candidate) {
        return std::tuple(-candidate.groupConnections, candidate.weight > 0.0 ? 0 : 1,
                          rendezvousScore(candidate));
    };
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&rank](const Candidate& left, const Candidate& right) { return rank(left) < rank(right); });
}

// The score with the locality factor as the only weight.
double localityScore(const Candidate& candidate) {
    return candidate.exponentialSample / candidate.locality;
}

}  // namespace

WeightedSelection::WeightedSelection(const DecisionContext& context, const FleetSnapshot& fleet,
                                     const SlowStart& slowStart, const AffinityGroups& groups,
                                     const ArrivalRate& arrivals)
    : context_(context),
      slowStart_(slowStart),
      groups_(groups),
      arrivals_(arrivals),
      utilisation_(context, fleet),
      fleetBusy_(isFleetBusy(fleet, context.saturationThreshold)),
      crossZoneWeight_(crossZoneWeight(context, utilisation_)) {}

std::optional<Selection> WeightedSelection::select(const Request& request) const {
    CandidateSet set = findCandidates(request);
    if (set.candidates.empty()) return std::nullopt;
    if (shedOverloaded(set, request)) return std::nullopt;
    slowStart_.adjustWeightsToSlots(set, arrivals_);
    // A candidate that can be polled is weighted as if all 100 per cent were spare. If it is the best at that
    // weight, its load is polled, so that the selection is the same as with all loads known.
    const Candidate& best = bestCandidate(set.candidates);
    return Selection{best.endpoint->entry.id, best.canBePolled};
}

CandidateSet WeightedSelection::findCandidates(const Request& request) const {
    CandidateSet preferred = findCandidates(request, Eligibility::Preferred);
    if (!preferred.candidates.empty()) return preferred;
    return findCandidates(request, Eligibility::Any);
}

CandidateSet WeightedSelection::findCandidates(const Request& request, Eligibility eligibility) const {
    const bool concentratesGroup = fleetBusy_ && hasAffinity(request, context_.settings);
    const std::uint64_t key = hash64(selectionKey(request, context_.settings));
    AffinityGroups::ConnectionCountCursor counts = groups_.connectionCountsOf(request.arrival.group);
    CandidateSet result;
    result.candidates.reserve(context_.endpoints.size());
    for (const Endpoint& endpoint : context_.endpoints) {
        if (!isEligible(endpoint, request, eligibility)) continue;
        const EndpointId id = endpoint.entry.id;
        const int groupConnections = concentratesGroup ? counts.countAt(id) : 0;
        const double uniformSample = unitInterval(hash64(key ^ hash64(static_cast<std::uint64_t>(id) + 1)));
        result.candidates.push_back({&endpoint, groupConnections, -std::log(uniformSample)});
    }
    setWeights(result, request);
    if (concentratesGroup && eligibility == Eligibility::Preferred) retainGroupEndpoints(result);
    return result;
}

bool WeightedSelection::isEligible(const Endpoint& endpoint, const Request& request,
                                   Eligibility eligibility) const {
    const Settings& settings = context_.settings;
    if (!context_.endpoints.isUsable(endpoint)) return false;
    if (!maySendTo(request, endpoint, settings, context_.now)) return false;
    if (slowStart_.isWarmingUp(endpoint) && !slowStart_.admits(request, endpoint)) return false;
    if (eligibility == Eligibility::Any) return true;
    const auto& tried = request.triedEndpoints;
    if (std::find(tried.begin(), tried.end(), endpoint.entry.id) != tried.end()) return false;
    const bool unresponsive = wasPolledFor(request, endpoint) &&
                              !isLoadKnown(endpoint, settings, context_.now) &&
                              !canBePolled(endpoint, request, settings, context_.now);
    return !unresponsive;
}

void WeightedSelection::setWeights(CandidateSet& set, const Request& request) const {
    const Settings& settings = context_.settings;
    for (Candidate& candidate : set.candidates) {
        const Endpoint& endpoint = *candidate.endpoint;
        // Departure, discount by success: the weight is multiplied by the recent success rate and by the
        // effective capacity. This prevents an endpoint that fails attempts at once, or is warming up, from
        // getting a full share because its utilisation is low.
        const double capacity = effectiveCapacity(endpoint, settings, context_.now);
        const double factor = endpoint.successRate * capacity;
        candidate.locality = endpoint.entry.zone == settings.zone ? 1.0 : crossZoneWeight_;
        candidate.utilisation = utilisation_.current(endpoint, capacity);
        candidate.canBePolled = canBePolled(endpoint, request, settings, context_.now);
        const double unused = kFullUtilisation - candidate.utilisation;
        // Departure, utilisation with the connection: the weight already includes the utilisation that the
        // connection adds. This prevents a connection of high load from being sent to an endpoint without
        // enough spare capacity for it.
        const double spare = candidate.canBePolled
                                 ? kFullUtilisation
                                 : unused - utilisation_.added(endpoint, request.load, capacity);
        candidate.weight = candidate.locality * factor * spare;
        // A warmed-up endpoint that can be polled counts in the total with its estimated utilisation,
        // without the load of this connection.
        const bool usesEstimatedUtilisation = candidate.canBePolled && !slowStart_.isWarmingUp(endpoint);
        set.totalWeight +=
            usesEstimatedUtilisation ? candidate.locality * factor * unused : std::max(0.0, candidate.weight);
    }
}

// Departure, few endpoints for a group: on a busy fleet a group uses only the endpoints with the lowest
// scores by locality alone, those where this node has connections of the group, and those that are warming
// up. The number of endpoints by score is the same for all groups; it rises with the probability that two
// arrivals at this node belong to the same group. This prevents nodes with different load reports from
// scattering the groups over the fleet, where each endpoint does extra work for each group, so that a busy
// fleet adds to its own load. A fleet with spare capacity gains more from an even distribution.
void WeightedSelection::retainGroupEndpoints(CandidateSet& set) const {
    const std::ptrdiff_t kept = groups_.endpointsPerGroup(context_.endpoints.size());
    if (std::ssize(set.candidates) <= kept) return;
    std::vector<double> scores;
    scores.reserve(set.candidates.size());
    for (const Candidate& candidate : set.candidates)
        scores.push_back(localityScore(candidate));
    std::nth_element(scores.begin(), scores.begin() + kept - 1, scores.end());
    const double highestRetained = scores[static_cast<std::size_t>(kept) - 1];
    std::erase_if(set.candidates, [&](const Candidate& candidate) {
        return candidate.groupConnections == 0 && !slowStart_.isWarmingUp(*candidate.endpoint) &&
               localityScore(candidate) > highestRetained;
    });
}

bool WeightedSelection::hasSpareCapacity(const Candidate& candidate) const {
    if (candidate.canBePolled) return true;
    const SaturationThreshold& threshold = context_.saturationThreshold;
    const double limit = candidate.groupConnections > 0 ? threshold.withTolerance() : threshold.value();
    return candidate.utilisation < kFullUtilisation * limit;
}

// Departure, load shedding: if no endpoint has spare capacity, a request that may be rejected is shed. On a
// busy fleet, and for affinity groups, endpoints without spare capacity are removed from its candidates;
// on a busy fleet, endpoints with connections of the group are filled up to a slightly higher limit. An
// endpoint that can be polled counts as one with spare capacity. This prevents an overloaded fleet from
// admitting all requests and serving none within the message latency objective. Returns whether the request
// is to be shed.
bool WeightedSelection::shedOverloaded(CandidateSet& set, const Request& request) const {
    if (!mayReject(request)) return false;
    const auto spare = [this](const Candidate& candidate) { return hasSpareCapacity(candidate); };
    if (std::none_of(set.candidates.begin(), set.candidates.end(), spare)) return true;
    if (fleetBusy_ || hasAffinity(request, context_.settings))
        std::erase_if(set.candidates, [&](const Candidate& candidate) { return !spare(candidate); });
    return false;
}

}  // namespace ivyreel
