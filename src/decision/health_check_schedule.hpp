// Decides when endpoints are health-checked, periodically with a random offset per endpoint and sooner where
// the health of an endpoint is uncertain, and updates an endpoint from the result of a health check.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "decision/endpoint.hpp"
#include "decision/events.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"
#include "util/random.hpp"

namespace ivyreel {

// Whether the fleet has so few nodes that an endpoint gets at most one periodic check per second from all
// nodes together.
bool isSmallFleet(std::uint32_t nodes);

// Returns the interval at which each endpoint is checked, so that there are only a few times as many periodic
// checks as requests.
// Returns nothing if the fleet is large and the interval is too long to keep reports fresh.
std::optional<Micros> periodicHealthCheckInterval(std::size_t endpoints, double arrivalsPerSecond,
                                                  std::uint32_t nodes);

// Departure, health checks on demand: a node that handles a small part of the traffic of a large fleet (it
// has no periodic interval) periodically checks only the endpoints that it has connections to or that fail
// health checks. It checks other endpoints when a selection needs their load. This prevents health checks
// from outnumbering requests by hundreds and consuming the endpoints' capacity.
bool isHealthCheckDue(const Endpoint& endpoint, std::optional<Micros> periodicInterval, Time now);

// Records that a health check starts now. At the first check, which is due at once, draws the random interval
// until the second one, so that the periodic checks of different endpoints are not synchronised.
void recordHealthCheckStart(Endpoint& endpoint, Time now, SplitMix64& random);

// Departure, confirmation: after a failed attempt, a failed health check or, in a small fleet, a late answer
// to a health check, the endpoint is checked again after the health check interval of
// draft-rosenberg-dispatch-cloudsip, unless one more check has failed than makes the endpoint unhealthy.
// This prevents connections from waiting on a broken link or on a dead or slow endpoint.
void scheduleConfirmation(Endpoint& endpoint, Time now);

// Departure, immediate check: an endpoint whose messages miss their latency objective is checked at once,
// unless a check started very recently. The load report of the check can trigger the migration of
// connections. This prevents a backlog from growing until the next periodic check, which can be seconds later
// in a large fleet.
void scheduleImmediateCheck(Endpoint& endpoint, Time now);

// Updates the endpoint's health from a completed check. load_report_handling processes the load report.
void recordHealthCheckResult(Endpoint& endpoint, const HealthCheckCompleted& result, const Settings& settings,
                             Time now);

}  // namespace ivyreel
