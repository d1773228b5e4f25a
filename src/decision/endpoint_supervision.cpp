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

void migrateLoad(DecisionState& state, const Endpoint& endpoint, double load, EventContext eventContext) {
    for (const RequestId id : connectionsToMigrate(state.requests, endpoint.entry.id, load, state.random)) {
        eventContext.actions.emplace_back(MigrateConnection{id});
        removeFromConnectionCounts(state, *state.requests.find(id));
        state.requests.erase(id);
    }
}

void relieveOverload(DecisionState& state, Endpoint& endpoint, EventContext eventContext) {
    const std::optional<double> load =
        overloadRelief(endpoint, state.contextAt(eventContext.now), state.fleet.snapshot());
    if (!load) return;
    migrateLoad(state, endpoint, *load, eventContext);
    endpoint.nextMigrationAt = eventContext.now + migrationPause(endpoint, state.settings);
}

}  // namespace

void startDueHealthChecks(DecisionState& state, EventContext eventContext) {
    if (!state.settings.limits.healthChecks) return;
    const std::optional<Micros> interval = periodicHealthCheckInterval(
        state.endpoints.size(), state.arrivals.perSecond(eventContext.now), state.settings.nodes);
    for (Endpoint& endpoint : state.endpoints)
        if (isHealthCheckDue(endpoint, interval, eventContext.now))
            startHealthCheck(state, endpoint, eventContext);
}

void startHealthCheck(DecisionState& state, Endpoint& endpoint, EventContext eventContext) {
    eventContext.actions.emplace_back(StartHealthCheck{endpoint.entry.id});
    recordHealthCheckStart(endpoint, eventContext.now, state.random);
}

void processLoadReport(DecisionState& state, Endpoint& endpoint, const LoadReport& report,
                       EventContext eventContext) {
    if (!applyLoadReport(endpoint, report, eventContext.now)) return;
    state.fleet.invalidate();
    const FleetSnapshot& fleet = state.fleet.refresh(state.contextAt(eventContext.now), state.arrivals);
    state.saturationThreshold.learn(endpoint, eventContext.now);
    const OperatingLimits& limits = state.settings.operatingLimits;
    learnSlowdown(endpoint, fleet.capacityPerLoad, warmUpShare(endpoint, limits, eventContext.now),
                  state.settings.nodes);
    const bool reportsConnections = report.activeRequests && report.loadOverCapacity;
    if (reportsConnections && !isWarmingUp(endpoint, limits, eventContext.now) &&
        !isSlow(endpoint, state.settings.groupAffinity))
        state.kinds.recordReport(endpoint, state.endpoints.relativeSize(endpoint));
    relieveOverload(state, endpoint, eventContext);
}

void evacuateEndpoints(DecisionState& state, EventContext eventContext) {
    const DecisionContext context = state.contextAt(eventContext.now);
    const Evacuation evacuation(context, state.fleet.snapshot());
    for (const Endpoint& endpoint : state.endpoints) {
        const std::optional<double> load = evacuation.loadToMigrate(endpoint);
        if (load) migrateLoad(state, endpoint, *load, eventContext);
    }
}

}  // namespace ivyreel
