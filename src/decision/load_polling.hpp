// Decides whether a request polls an endpoint's load by a health check, because the endpoint's last report is
// too old, and how long the request waits for the answer.
#pragma once

#include <algorithm>
#include <chrono>

#include "decision/endpoint.hpp"
#include "decision/request.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Whether a poll would not improve what is known of the endpoint's load: the last report is recent, or health
// checks cannot return a load.
inline bool isLoadKnown(const Endpoint& endpoint, const Settings& settings, Time now) {
    // Two of the report intervals of draft-rosenberg-dispatch-cloudsip.
    constexpr Micros kMaxReportAge = std::chrono::seconds(2);
    const bool pollable = settings.limits.healthChecks && settings.loadReportMode != LoadReportMode::None;
    return !pollable || (endpoint.reported && now - endpoint.reportedAt < kMaxReportAge);
}

// Whether the request has already polled the endpoint.
inline bool wasPolledFor(const Request& request, const Endpoint& endpoint) {
    const auto& polled = request.polledEndpoints;
    return std::find(polled.begin(), polled.end(), endpoint.entry.id) != polled.end();
}

// Whether the request may wait for a poll of the endpoint: a new poll, or an earlier one without an answer
// yet.
bool canBePolled(const Endpoint& endpoint, const Request& request, const Settings& settings, Time now);

// Records that the request waits for the endpoint's answer from now on. The health check may have been
// started for another reason.
void recordLoadPoll(Request& request, const Endpoint& endpoint, Time now);

}  // namespace ivyreel
