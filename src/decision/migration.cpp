#include "decision/migration.hpp"

#include <algorithm>
#include <utility>

#include "decision/duration_arithmetic.hpp"
#include "decision/effective_capacity.hpp"
#include "decision/timers.hpp"
#include "decision/utilisation_estimate.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr double kReliefMargin = 0.05;    // load over capacity that the target is below the threshold
constexpr double kSlowTargetShare = 0.5;  // of the threshold; a slow endpoint may become slower
// Time until reports show a migration: reconnect gap, report interval and lag. It is also the time constant
// of the migration off a draining endpoint.
constexpr Micros kSettleTime = 2s;
constexpr int kMaxUnansweredHealthChecks = 2;  // consecutive; an endpoint with more is unresponsive
// Share of the load on an endpoint that migrates per pass; most of the load migrates within a third of a
// second.
constexpr double kEvacuatedShare = 0.5;
// Multiple of the draining load; at the start of a release, the list shows only the first draining endpoints.
constexpr double kDrainCapacityMultiple = 4.0;

// Returns the load over capacity, weighted by effective capacity, that the other usable endpoints can take.
// Endpoints without a fresh report count as the mean of the others.
double spareCapacityOfOthers(const Endpoint& endpoint, const DecisionContext& context) {
    const double target = context.saturationThreshold.value() - kReliefMargin;
    double spare = 0.0;
    int usable = 0;
    int fresh = 0;
    for (const Endpoint& other : context.endpoints) {
        if (&other == &endpoint || !context.endpoints.isUsable(other)) continue;
        ++usable;
        if (!hasFreshReport(other, context.now)) continue;
        ++fresh;
        spare += std::max(0.0, target - other.loadOverCapacity) *
                 effectiveCapacity(other, context.settings, context.now);
    }
    if (fresh > 0) spare *= static_cast<double>(usable) / fresh;
    return spare;
}

bool anyEndpointAcceptsConnections(const DecisionContext& context) {
    const double limit = kFullUtilisation * context.saturationThreshold.withTolerance();
    return std::any_of(context.endpoints.begin(), context.endpoints.end(), [&](const Endpoint& endpoint) {
        return context.endpoints.isUsable(endpoint) && endpoint.utilisation < limit;
    });
}

bool hasCapacityToDrain(const DecisionContext& context, const FleetSnapshot& fleet) {
    if (std::none_of(context.endpoints.begin(), context.endpoints.end(), isDraining)) return true;
    const UtilisationEstimate utilisation(context, fleet);
    const double full = kFullUtilisation * context.saturationThreshold.value();
    double draining = 0.0;
    double spare = 0.0;
    for (const Endpoint& endpoint : context.endpoints) {
        if (!endpoint.listed) continue;
        if (isDraining(endpoint))
            draining += utilisation.reported(endpoint);
        else if (context.endpoints.isUsable(endpoint) &&
                 !isWarmingUp(endpoint, context.settings.operatingLimits, context.now))
            spare += std::max(0.0, full - utilisation.reported(endpoint)) *
                     effectiveCapacity(endpoint, context.settings, context.now);
    }
    return spare >= kDrainCapacityMultiple * draining;
}

}  // namespace

std::optional<double> overloadRelief(const Endpoint& endpoint, const DecisionContext& context,
                                     const FleetSnapshot& fleet) {
    const SaturationThreshold& threshold = context.saturationThreshold;
    if (endpoint.loadOverCapacity <= threshold.withTolerance() || context.now < endpoint.nextMigrationAt)
        return {};
    if (endpoint.connectionsFromThisNode == 0) return {};
    const double spare = spareCapacityOfOthers(endpoint, context);
    const bool slow = isSlow(endpoint, context.settings.groupAffinity);
    const double target = slow ? threshold.value() * kSlowTargetShare : threshold.value() - kReliefMargin;
    const double desired =
        endpoint.loadFromThisNode * (endpoint.loadOverCapacity - target) / endpoint.loadOverCapacity;
    const double minimum = endpoint.loadFromThisNode * (endpoint.loadOverCapacity - threshold.value()) /
                           endpoint.loadOverCapacity;
    const double ownShareOfSpare =
        spare / fleet.capacityPerLoad / static_cast<double>(context.settings.nodes);
    return std::max(minimum, std::min(desired, ownShareOfSpare));
}

Micros migrationPause(const Endpoint& endpoint, const Settings& settings) {
    return isSlow(endpoint, settings.groupAffinity) ? kReportLag : kSettleTime;
}

Evacuation::Evacuation(const DecisionContext& context, const FleetSnapshot& fleet)
    : context_(context),
      canMigrate_(anyEndpointAcceptsConnections(context)),
      canDrain_(canMigrate_ && hasCapacityToDrain(context, fleet)) {}

std::optional<double> Evacuation::loadToMigrate(const Endpoint& endpoint) const {
    if (!canMigrate_ || !endpoint.listed || endpoint.connectionsFromThisNode == 0) return {};
    if (endpoint.healthCheck.consecutiveUnanswered > kMaxUnansweredHealthChecks)
        return endpoint.loadFromThisNode * kEvacuatedShare;
    if (!isDraining(endpoint) || !canDrain_) return {};
    return endpoint.loadFromThisNode * seconds(endpointTimerInterval(context_.settings)) /
           seconds(kSettleTime);
}

std::vector<RequestId> connectionsToMigrate(const RequestTable& requests, EndpointId endpoint, double load,
                                            SplitMix64& random) {
    std::vector<std::pair<GroupId, RequestId>> connections;
    for (const auto& [id, request] : requests)
        if (request.connected && request.target.id == endpoint)
            connections.emplace_back(request.arrival.group, id);
    std::sort(connections.begin(), connections.end());
    std::vector<RequestId> result;
    for (const auto& [group, id] : connections) {
        const double connectionLoad = requests.find(id)->load;
        // The last connection is included at random, in proportion to the remaining load, so that the sum
        // over many nodes matches the excess.
        if (load < connectionLoad * random.next()) break;
        load -= connectionLoad;
        result.push_back(id);
    }
    return result;
}

}  // namespace ivyreel
