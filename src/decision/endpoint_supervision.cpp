#include "decision/endpoint_supervision.hpp"

#include <optional>

#include "decision/connection_accounting.hpp"
#include "decision/health_check_schedule.hpp"
#include "decision/load_report_handling.hpp"
#include "decision/migration.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/warm_up.hpp"

namespace ivyreel {
namespace {

void migrateLoad(DecisionState& state, const Endpoint& endpoint, double load, Step step) {
    for (const RequestId id : connectionsToMigrate(state.requests, endpoint.entry.id, load, state.random)) {
        step.actions.emplace_back(MigrateConnection{id});
        countConnectionOut(state, *state.requests.find(id));
        state.requests.erase(id);
    }
}

void relieveOverload(DecisionState& state, Endpoint& endpoint, Step step) {
    const std::optional<double> load =
        overloadRelief(endpoint, state.contextAt(step.now), state.fleet.snapshot());
    if (!load) return;
    migrateLoad(state, endpoint, *load, step);
    endpoint.nextMigrationAt = step.now + migrationPause(endpoint, state.settings);
}

}  // namespace

void startDueHealthChecks(DecisionState& state, Step step) {
    if (!state.settings.limits.healthChecks) return;
    const std::optional<Micros> interval = periodicHealthCheckInterval(
        state.endpoints.size(), state.arrivals.perSecond(step.now), state.settings.nodes);
    for (Endpoint& endpoint : state.endpoints)
        if (isHealthCheckDue(endpoint, interval, step.now)) startHealthCheck(state, endpoint, step);
}

void startHealthCheck(DecisionState& state, Endpoint& endpoint, Step step) {
    step.actions.emplace_back(StartHealthCheck{endpoint.entry.id});
    recordHealthCheckStart(endpoint, step.now, state.random);
}

void takeLoadReport(DecisionState& state, Endpoint& endpoint, const LoadReport& report, Step step) {
    if (!applyLoadReport(endpoint, report, step.now)) return;
    state.fleet.invalidate();
    const FleetSnapshot& fleet = state.fleet.refresh(state.contextAt(step.now), state.arrivals);
    state.saturationThreshold.learn(endpoint, step.now);
    const OperatingLimits& limits = state.settings.operatingLimits;
    learnSlowdown(endpoint, fleet.capacityPerLoad, warmUpShare(endpoint, limits, step.now),
                  state.settings.nodes);
    const bool reportsConnections = report.activeRequests && report.loadOverCapacity;
    if (reportsConnections && !isWarmingUp(endpoint, limits, step.now) &&
        !isSlow(endpoint, state.settings.groupAffinity))
        state.kinds.recordReport(endpoint, state.endpoints.relativeSize(endpoint));
    relieveOverload(state, endpoint, step);
}

void evacuateEndpoints(DecisionState& state, Step step) {
    const DecisionContext context = state.contextAt(step.now);
    const Evacuation evacuation(context, state.fleet.snapshot());
    for (const Endpoint& endpoint : state.endpoints) {
        const std::optional<double> load = evacuation.loadToMigrate(endpoint);
        if (load) migrateLoad(state, endpoint, *load, step);
    }
}

}  // namespace ivyreel
