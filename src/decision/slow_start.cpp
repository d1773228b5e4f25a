#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "decision/duration_arithmetic.hpp"
#include "decision/warm_up.hpp"
#include "util/random.hpp"

namespace ivyreel {
namespace {

// Part of the configured budget (overloadMultiple) that is allocated: endpoints of one kind differ in size.
constexpr double kBudgetShare = 0.8;
// Used part of the capacity that loads and listed sizes suggest: the speeds of endpoints differ twofold.
constexpr double kCapacityEstimateShare = 0.5;
// Keeps the adjusted weight finite; one of the next two requests still takes the slot.
constexpr double kMaxSelectionProbability = 0.99;
constexpr double kOpenSlotDeviations = 2.0;  // standard deviations of a Poisson count of attempts

// The distance between the slot positions of nodes with adjacent indices, about a golden section of the
// round: such nodes may be in the same zone, which would otherwise get its slots all at once.
std::uint32_t nodeStride(std::uint32_t nodes) {
    std::uint32_t stride = std::max(1U, nodes * 5 / 8);
    while (std::gcd(stride, nodes) != 1)
        ++stride;
    return stride;
}

// The position of this node in the round-robin order of slots at the endpoint, 1 to the number of nodes.
double slotPosition(const Endpoint& endpoint, const Settings& settings, std::uint32_t stride) {
    const std::uint64_t offset = hash64(static_cast<std::uint64_t>(endpoint.entry.id)) >> 32U;
    const std::uint64_t index =
        settings.nodeIndex.value_or(static_cast<std::uint32_t>(hash64(settings.seed)));
    const std::uint64_t position = (index * stride + offset) % settings.nodes;
    return static_cast<double>(position) + 1.0;
}

}  // namespace

SlowStart::SlowStart(const DecisionContext& context, const FleetCapacityEstimate& capacity,
                     const ConnectionLoadEstimate& loads, const KindCapacityEstimate& kinds)
    : context_(context),
      capacity_(capacity),
      loads_(loads),
      kinds_(kinds),
      nodeStride_(nodeStride(context.settings.nodes)) {}

bool SlowStart::isWarmingUp(const Endpoint& endpoint) const {
    return ivyreel::isWarmingUp(endpoint, context_.settings.operatingLimits, context_.now);
}

double SlowStart::connectionsAtCapacity(const Endpoint& endpoint) const {
    const double capacity = capacity_.typicalCapacity(kMinCapacity, context_.endpoints.meanListedSize());
    const double estimatedConnections = kCapacityEstimateShare * capacity / loads_.typical();
    const double size = context_.endpoints.relativeSize(endpoint);
    return kinds_.connectionsAtCapacity(endpoint.entry.kind, size, estimatedConnections);
}

// Departure, slow start: the connections that an endpoint may get while it is warming up are allocated to the
// nodes as slots, round-robin, in an order that every node computes alike. This prevents the attempts of all
// nodes from coinciding at the endpoint, whatever share each node computes for itself and whatever causes an
// attempt. The number of slots that are open at the same time is at most two standard deviations of a Poisson
// count, whose mean is the number of slots per overload window, plus one. If the nodes estimate the same
// number of slots, no overload window has more attempts than its slots plus that number, whichever nodes
// send them.
SlowStartSlots SlowStart::slots(const Endpoint& endpoint) const {
    const Settings& settings = context_.settings;
    const OperatingLimits& limits = settings.operatingLimits;
    // Slots of the whole slow start, if the endpoint had its full capacity throughout.
    const double totalAtFullCapacity =
        kBudgetShare * limits.overloadMultiple * connectionsAtCapacity(endpoint);
    const auto dueUntil = [&](double progress) {
        return totalAtFullCapacity * progress *
               (limits.slowStartInitialShare + (1.0 - limits.slowStartInitialShare) * progress / 2.0);
    };
    const double position = slotPosition(endpoint, settings, nodeStride_);
    SlowStartSlots result;
    result.perSecond =
        totalAtFullCapacity * warmUpShare(endpoint, limits, context_.now) / seconds(limits.slowStartDuration);
    const double perWindow = result.perSecond * seconds(limits.overloadWindow);
    result.maxOpen = kOpenSlotDeviations * std::sqrt(perWindow) + 1.0;
    const double dueNow = dueUntil(warmUpProgress(endpoint, limits, context_.now));
    const double used = dueUntil(warmUpProgress(endpoint, limits, endpoint.slowStartSlotsUsedUntil));
    // Slots from the start of the warm-up that are used or no longer open.
    const double closedSlots = std::max(used, dueNow - result.maxOpen);
    result.openAtThisNode = std::floor((dueNow - position) / settings.nodes) -
                            std::floor((closedSlots - position) / settings.nodes);
    return result;
}

bool SlowStart::admits(const Request& request, const Endpoint& endpoint) const {
    const SlowStartSlots available = slots(endpoint);
    const double slotsNeeded = std::max(1.0, request.arrival.loadHint.value_or(0.0) / loads_.typical());
    const std::uint64_t hash = hash64(static_cast<std::uint64_t>(endpoint.entry.id));
    const double uniformSample = unitInterval(hash64(request.randomNumber + hash));
    return slotsNeeded <= available.maxOpen + 1.0 && slotsNeeded * uniformSample < available.openAtThisNode;
}

// The probability with which a request that arrives while this node has an open slot selects the candidate.
// It depends on how many requests arrive before the slot closes.
double SlowStart::selectionProbability(const Candidate& candidate, double totalWeight,
                                       const ArrivalRate& arrivals) const {
    const SlowStartSlots available = slots(*candidate.endpoint);
    const double nodes = context_.settings.nodes;
    const double targetProbability =
        candidate.weight / totalWeight * std::max(1.0, nodes / available.maxOpen);
    if (nodes <= available.maxOpen) return targetProbability;
    const double arrivalsPerSlot = arrivals.perSecond(context_.now) * available.maxOpen / available.perSecond;
    if (targetProbability * arrivalsPerSlot < 1.0)
        return -std::log1p(-targetProbability * arrivalsPerSlot) / arrivalsPerSlot;
    return 1.0;
}

void SlowStart::adjustWeightsToSlots(CandidateSet& set, const ArrivalRate& arrivals) const {
    double others = 0.0;
    for (const Candidate& candidate : set.candidates)
        others += isWarmingUp(*candidate.endpoint) ? 0.0 : std::max(0.0, candidate.weight);
    for (Candidate& candidate : set.candidates) {
        if (!isWarmingUp(*candidate.endpoint) || candidate.weight <= 0.0 || others <= 0.0) continue;
        const double probability = selectionProbability(candidate, set.totalWeight, arrivals);
        candidate.weight = others / (1.0 / std::min(probability, kMaxSelectionProbability) - 1.0);
    }
}

}  // namespace ivyreel
