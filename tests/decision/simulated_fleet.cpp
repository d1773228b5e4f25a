#include "simulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>

namespace ivyreel::test {

SimulatedFleet::SimulatedFleet(const SimulatedFleetSettings& settings, RandomSource& random)
    : random_(random) {
    for (std::uint32_t i = 0; i < settings.endpoints; ++i)
        addEndpoint(settings, i + 1);
}

void SimulatedFleet::addEndpoint(const SimulatedFleetSettings& settings, std::uint64_t id) {
    SimulatedEndpoint endpoint;
    endpoint.entry.id = EndpointId{id};
    endpoint.entry.zone = ZoneIndex{static_cast<std::uint32_t>(id % 3)};
    endpoint.entry.kind = KindIndex{static_cast<std::uint32_t>(id % 2)};
    endpoint.entry.cell = CellId{static_cast<std::uint32_t>(id % 4)};
    endpoint.entry.listedCapacity = settings.capacityUnits * (id % 2 == 0 ? 0.75 : 1.25);
    endpoint.loadOfOtherNodes =
        settings.targetLoad * (1.0 - 1.0 / settings.nodes) * random_.between(0.85, 1.15);
    if (id % 11 == 5) endpoint.errorShare = 0.95;
    if (id % 7 == 3) endpoint.slowness = random_.between(1.2, 4.0);
    endpoints_[endpoint.entry.id] = endpoint;
}

SimulatedEndpoint* SimulatedFleet::find(EndpointId id) {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
}

SimulatedEndpoint& SimulatedFleet::randomEndpoint() {
    auto at = endpoints_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random_.below(endpoints_.size())));
    return at->second;
}

std::vector<EndpointEntry> SimulatedFleet::entries() const {
    std::vector<EndpointEntry> result;
    for (const auto& [id, endpoint] : endpoints_)
        result.push_back(endpoint.entry);
    return result;
}

std::optional<LoadReport> SimulatedFleet::report(EndpointId id) {
    const SimulatedEndpoint* endpoint = find(id);
    if (endpoint == nullptr || random_.chance(0.05)) return std::nullopt;
    return randomReport(*endpoint);
}

// Each report contains some of the values, and a few reports contain invalid values.
LoadReport SimulatedFleet::randomReport(const SimulatedEndpoint& endpoint) {
    const double capacity = std::max(0.5, endpoint.entry.listedCapacity) * kMicrosPerSecond;
    const double noise = random_.between(-0.04, 0.04);
    const double load =
        endpoint.loadOfOtherNodes + endpoint.loadOfThisNode * endpoint.slowness / capacity + noise;
    LoadReport report;
    const double fieldSelector = random_.next();
    if (fieldSelector < 0.7) report.loadOverCapacity = load;
    if (fieldSelector >= 0.6 && fieldSelector < 0.9) report.cpuUtilisation = std::min(1.0, load * 0.9);
    if (fieldSelector > 0.98)
        report.loadOverCapacity = random_.chance(0.3) ? kNaN : random_.between(-1.0, 30.0);
    if (random_.chance(0.8))
        report.activeRequests = endpoint.connectionsOfThisNode +
                                std::floor(endpoint.loadOfOtherNodes * capacity / kMeanConnectionLoad);
    if (random_.chance(0.01)) report.activeRequests = random_.chance(0.5) ? kNaN : -3.0;
    if (random_.chance(0.2)) report.queuedRequests = 3.0;
    if (random_.chance(0.2)) report.latencyMs = random_.between(1.0, 90.0);
    return report;
}

void SimulatedFleet::addConnection(EndpointId id, double load) {
    SimulatedEndpoint* endpoint = find(id);
    if (endpoint == nullptr) return;
    endpoint->loadOfThisNode += load;
    ++endpoint->connectionsOfThisNode;
}

void SimulatedFleet::removeConnection(EndpointId id, double load) {
    SimulatedEndpoint* endpoint = find(id);
    if (endpoint == nullptr) return;
    endpoint->loadOfThisNode = std::max(0.0, endpoint->loadOfThisNode - load);
    --endpoint->connectionsOfThisNode;
}

}  // namespace ivyreel::test
