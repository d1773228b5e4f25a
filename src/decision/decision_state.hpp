// All state of one decision engine. The header of each member's type documents it.
#pragma once

#include <utility>
#include <vector>

#include "decision/actions.hpp"
#include "decision/admission_control.hpp"
#include "decision/affinity_groups.hpp"
#include "decision/arrival_rate.hpp"
#include "decision/connection_load.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoint_list_polling.hpp"
#include "decision/endpoint_table.hpp"
#include "decision/fleet_snapshot.hpp"
#include "decision/kind_capacity.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/request_table.hpp"
#include "decision/saturation_threshold.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"
#include "util/random.hpp"

namespace ivyreel {

// The time of the event that is being handled, and the list to which its actions are appended.
struct EventContext {
    Time now;
    std::vector<Action>& actions;
};

struct DecisionState {
    explicit DecisionState(Settings initial)
        : settings(std::move(initial)), random(settings.seed), saturationThreshold(settings) {}

    DecisionContext contextAt(Time now) const { return {now, settings, endpoints, saturationThreshold}; }

    Settings settings;
    SplitMix64 random;
    Time startedAt{0};
    // Until then, reconnecting clients count as clients of other nodes. Set at the start in a small fleet;
    // the first resumed connection ends the period.
    Time reconnectsAreExistingLoadUntil{0};
    bool requestTimerSet = false;

    EndpointTable endpoints;
    EndpointListPolling listPolling;
    RequestTable requests;
    ArrivalRate arrivals;
    ConnectionLoadEstimate loads;
    SaturationThreshold saturationThreshold;
    SetupTimeEstimate setupTimes;
    FleetSnapshotCache fleet;
    KindCapacityEstimate kinds;
    AffinityGroups groups;
    AdmissionControl admission;
};

}  // namespace ivyreel
