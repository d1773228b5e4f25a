#include "decision/outlier_detection.hpp"

namespace ivyreel {
namespace {

constexpr double kAttemptWeight = 0.2;  // of one attempt in the success rate: about five attempts count
// Weight of one check in the success rate: about seven checks raise it from the minimum to one half, in about
// 7 s at the shortest interval.
constexpr double kHealthCheckWeight = 0.1;
constexpr double kMinSuccessRate = 0.05;  // keeps a few attempts going, so that recovery is detected
constexpr double kSlowdownWeight = 0.4;   // weight of one report or set-up: the last two or three dominate
constexpr double kMaxSlowdown = 10.0;     // a tenth of the typical capacity; less leaves the endpoint idle
constexpr double kNegligibleLoad = 0.15;  // load over capacity; lower loads do not indicate a slowdown
constexpr double kNegligibleSetupMicros = 5'000;
constexpr double kTypicalSetupMultiple = 2.0;  // of the typical time; bursts alone cause such times
constexpr double kSetupTimeWeight = 0.05;      // weight of one set-up in the means
constexpr double kRoundTripsPerSetup = 2.0;

}  // namespace

bool isEndpointFailure(Outcome outcome) {
    return outcome != Outcome::Ok && outcome != Outcome::Cancelled && outcome != Outcome::NotSent &&
           outcome != Outcome::Rejected;
}

void recordSuccess(Endpoint& endpoint) {
    endpoint.successRate += (1.0 - endpoint.successRate) * kAttemptWeight;
}

void recordFailure(Endpoint& endpoint) {
    endpoint.successRate = std::max(kMinSuccessRate, endpoint.successRate * (1.0 - kAttemptWeight));
}

void recordAnsweredHealthCheck(Endpoint& endpoint) {
    endpoint.successRate += (1.0 - endpoint.successRate) * kHealthCheckWeight;
}

void learnSlowdown(Endpoint& endpoint, double capacityPerLoad, double warmUpShare, std::uint32_t nodes) {
    const double reportedConnections =
        endpoint.connectionsFromThisNode - static_cast<double>(endpoint.recentSends.size());
    if (reportedConnections <= 0) return;
    const double own = reportedLoadFromThisNode(endpoint);
    // Without a reported number of requests, each other node is assumed to have as much load there as this
    // one.
    const double all =
        endpoint.activeRequests > 0 ? endpoint.activeRequests * own / reportedConnections : own * nodes;
    const double expected = all * capacityPerLoad / warmUpShare;
    const double ratio = (endpoint.loadOverCapacity + kNegligibleLoad) / (expected + kNegligibleLoad);
    endpoint.slowdown += (std::clamp(ratio, 1.0, kMaxSlowdown) - endpoint.slowdown) * kSlowdownWeight;
}

void SetupTimeEstimate::recordConnection(Micros elapsed) {
    meanMicros_ += (static_cast<double>(elapsed.count()) - meanMicros_) * kSetupTimeWeight;
}

void SetupTimeEstimate::learnSetupSlowdown(Endpoint& endpoint, Micros elapsed) {
    const double roundTrips = kRoundTripsPerSetup * endpoint.roundTripMicros;
    const double setup = std::max(0.0, static_cast<double>(elapsed.count()) - roundTrips);
    const double upperBound = kTypicalSetupMultiple * typicalMicros_ + kNegligibleSetupMicros;
    typicalMicros_ += (std::min(setup, upperBound) - typicalMicros_) * kSetupTimeWeight;
    const double ratio = (setup + kNegligibleSetupMicros) / upperBound;
    endpoint.setupSlowdown +=
        (std::clamp(ratio, 1.0, kMaxSlowdown) - endpoint.setupSlowdown) * kSlowdownWeight;
}

void SetupTimeEstimate::store(LearnedFleetState& learned) const {
    learned.meanSetupMicros = meanMicros_;
    learned.typicalSetupMicros = typicalMicros_;
}

void SetupTimeEstimate::restore(const LearnedFleetState& learned) {
    meanMicros_ = learned.meanSetupMicros;
    typicalMicros_ = learned.typicalSetupMicros;
}

}  // namespace ivyreel
