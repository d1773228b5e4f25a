// Common fixture for unit tests of single modules of the decision engine: the current time, settings,
// endpoints, and the context that the modules take.
#pragma once

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision_engine_driver.hpp"

namespace ivyreel::test {

inline constexpr Time kNow = std::chrono::seconds(1000);
inline constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();

// The engine state that the modules refer to.
struct DecisionFixture {
    Settings settings = defaultSettings();
    EndpointTable endpoints;
    SaturationThreshold saturationThreshold{settings};

    DecisionContext context(Time now = kNow) const { return {now, settings, endpoints, saturationThreshold}; }

    // Replaces the endpoint list.
    void list(std::vector<EndpointEntry> entries, WeightKind weightKind = WeightKind::None) {
        endpoints.apply({EndpointListKind::Full, std::move(entries)}, weightKind, kNow, Time{0});
    }
    Endpoint& endpoint(std::uint64_t id) { return *endpoints.find(EndpointId{id}); }

    // Sets the endpoint's last load report. Returns the endpoint.
    Endpoint& report(std::uint64_t id, double loadOverCapacity, Time at = kNow) {
        Endpoint& reporting = endpoint(id);
        reporting.reported = true;
        reporting.reportedAt = at;
        reporting.loadOverCapacity = loadOverCapacity;
        reporting.utilisation = static_cast<int>(loadOverCapacity * kFullUtilisation);
        return reporting;
    }
};

}  // namespace ivyreel::test
