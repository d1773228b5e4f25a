// Polling of an endpoint's load by a health check on behalf of a request, where its last report is too old.
#pragma once

#include <algorithm>
#include <chrono>

#include "decision/endpoint.hpp"
#include "decision/request.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Whether the endpoint's load is known as well as a poll could tell it.
inline bool isLoadKnown(const Endpoint& endpoint, const Settings& settings, Time now) {
    constexpr Micros kMaxReportAge = std::chrono::seconds(2);  // two of the draft's report intervals
    const bool pollable = settings.limits.healthChecks && settings.loadReportMode != LoadReportMode::None;
    return !pollable || (endpoint.reported && now - endpoint.reportedAt < kMaxReportAge);
}

inline bool wasPolledFor(const Request& request, const Endpoint& endpoint) {
    const auto& polled = request.polledEndpoints;
    return std::find(polled.begin(), polled.end(), endpoint.entry.id) != polled.end();
}

// Whether this request may still poll the endpoint, or waits for the answer.
bool canBePolled(const Endpoint& endpoint, const Request& request, const Settings& settings, Time now);

// The request waits for the endpoint's answer from now on, whoever started the health check.
void recordPoll(Request& request, const Endpoint& endpoint, Time now);

}  // namespace ivyreel
