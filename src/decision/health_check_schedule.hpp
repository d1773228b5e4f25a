// When endpoints are health-checked: steadily, in a phase of its own for each, and sooner while one is in
// doubt; and what a result says of the endpoint's health.
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

// So few nodes that an endpoint still gets no more than one steady check a second in all.
bool isSmallFleet(std::uint32_t nodes);

// The interval at which all endpoints can be checked for a few checks a request; none if that is too long.
std::optional<Micros> periodicHealthCheckInterval(std::size_t endpoints, double arrivalsPerSecond,
                                                  std::uint32_t nodes);

// Departure, health checks on demand: a node that sees a small part of the traffic of a large fleet (it has
// no steady interval) checks steadily where it has connections, and the others when a selection needs their
// load. Prevents that health checks outnumber requests by hundreds and take the endpoints' capacity.
bool isHealthCheckDue(const Endpoint& endpoint, std::optional<Micros> periodicInterval, Time now);

void recordHealthCheckStart(Endpoint& endpoint, Time now, SplitMix64& random);

// Departure, confirmation: an endpoint in doubt (it failed, or is late) is checked at the draft's own pace,
// until it answers well or is surely lost. Prevents that connections wait on a broken link, a dead endpoint
// or a slow one.
void scheduleConfirmation(Endpoint& endpoint, Time now);

// Departure, immediate check: an endpoint whose messages miss their objective is checked at once. Prevents
// that it piles up work until the steady check of a large fleet comes round, and relief with it.
void scheduleImmediateCheck(Endpoint& endpoint, Time now);

// The health check ended. Its load report is for load_report_handling.
void recordHealthCheckResult(Endpoint& endpoint, const HealthCheckCompleted& result, const Settings& settings,
                             Time now);

}  // namespace ivyreel
