// The common input of all decisions on one event: read-only references, valid while the event is handled.
#pragma once

#include "decision/endpoint_table.hpp"
#include "decision/saturation_threshold.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

struct DecisionContext {
    Time now;
    const Settings& settings;
    const EndpointTable& endpoints;
    const SaturationThreshold& saturationThreshold;
};

}  // namespace ivyreel
