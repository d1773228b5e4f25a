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

// Returns the interval of the periodic checks of all endpoints, so that a request causes only a few checks.
// Returns nothing if the fleet is large and the interval is too long to keep reports fresh.
std::optional<Micros> periodicHealthCheckInterval(std::size_t endpoints, double arrivalsPerSecond,
                                                  std::uint32_t nodes);

// Departure, health checks on demand: a node that handles a small part of the traffic of a large fleet (it
// has no periodic interval) periodically checks only the endpoints that it has connections to or that fail
// health checks. It checks other endpoints when a selection needs their load. This prevents health checks
// from outnumbering requests by hundreds and consuming the endpoints' capacity.
bool isHealthCheckDue(const Endpoint& endpoint, std::optional<Micros> periodicInterval, Time now);

// Records that a health check starts now, and draws the random offset of the first one.
void recordHealthCheckStart(Endpoint& endpoint, Time now, SplitMix64& random);

// Departure, confirmation: an endpoint that failed an attempt or a health check, or answered one late, is
// checked again after the health check interval of draft-rosenberg-dispatch-cloudsip, until a check succeeds
// or the endpoint is certainly unhealthy. This prevents connections from waiting on a broken link or on a
// dead or slow endpoint.
void scheduleConfirmation(Endpoint& endpoint, Time now);

// Departure, immediate check: an endpoint whose messages miss their latency objective is checked at once,
// unless a check started very recently. This prevents a growing backlog until the next periodic check of a
// large fleet, whose load report triggers the migration of connections.
void scheduleImmediateCheck(Endpoint& endpoint, Time now);

// Updates the endpoint's health from a completed check. load_report_handling processes the load report.
void recordHealthCheckResult(Endpoint& endpoint, const HealthCheckCompleted& result, const Settings& settings,
                             Time now);

}  // namespace ivyreel
