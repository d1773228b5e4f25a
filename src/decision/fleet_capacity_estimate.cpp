#include "decision/fleet_capacity_estimate.hpp"

#include <algorithm>
#include <cmath>

#include "decision/duration_arithmetic.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kPoolingTime = 60s;  // endpoint sizes are constant, but the set of listed endpoints changes
constexpr double kPriorConnectionSeconds = 200;  // weight of the default: twenty connections over ten seconds
constexpr double kCore = 1e6;                    // microseconds of work per second; listed sizes are in cores
constexpr double kMaxCapacity = 64e6;  // microseconds of work per second; a new node has few samples

}  // namespace

void FleetCapacityEstimate::add(const FleetLoadSample& sample, double spanSeconds) {
    const double decay = std::exp(-spanSeconds / seconds(kPoolingTime));
    workSeconds_ = workSeconds_ * decay + sample.work * spanSeconds;
    loadSeconds_ = loadSeconds_ * decay + sample.loadOverCapacity * spanSeconds;
    connectionSeconds_ =
        connectionSeconds_ * decay + std::max(sample.connectionsFromThisNode, 0) * spanSeconds;
}

double FleetCapacityEstimate::typicalCapacity(double defaultCapacity, double meanListedSize) const {
    const double listed = meanListedSize > 0.0 ? meanListedSize * kCore : defaultCapacity;
    const double confidence = connectionSeconds_ / (connectionSeconds_ + kPriorConnectionSeconds);
    const double learned = loadSeconds_ > 0.0 ? workSeconds_ / loadSeconds_ : listed;
    const double capacity = learned * confidence + listed * (1.0 - confidence);
    return std::clamp(capacity, kMinCapacity, kMaxCapacity);
}

void FleetCapacityEstimate::store(LearnedFleetState& learned) const {
    learned.workSeconds = workSeconds_;
    learned.loadSeconds = loadSeconds_;
    learned.connectionSeconds = connectionSeconds_;
}

void FleetCapacityEstimate::restore(const LearnedFleetState& learned) {
    workSeconds_ = learned.workSeconds;
    loadSeconds_ = learned.loadSeconds;
    connectionSeconds_ = learned.connectionSeconds;
}

}  // namespace ivyreel
