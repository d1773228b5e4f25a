// Whether and where a request may be sent again, whether it may be rejected, and how long an attempt may
// take.
//
// A request that may have executed is sent again only if it is idempotent, or where its idempotency key is
// known.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/request.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// New settings may allow fewer attempts than those that the request came with: then these hold.
bool areAttemptsExhausted(const Request& request, const RequestLimits& limits);

// Whether it may be sent to any endpoint at all.
bool mayRetry(const Request& request, const Settings& settings, Time now);
// Whether it may be sent to this one.
bool maySendTo(const Request& request, const Endpoint& endpoint, const Settings& settings, Time now);

// Whether its final answer may be a rejection, after which the client may send it again.
bool mayReject(const Request& request);

// Whether an attempt with this outcome may have executed the request.
bool mayHaveExecuted(Outcome outcome);

// The last time at which an attempt may begin or a final answer be given.
Time finalAnswerDeadline(const Request& request, const Settings& settings);

// For the attempt that begins now and is counted already: half of what is left of the latency objective, so
// that another attempt fits, but not less than setting a connection up usually takes.
Micros attemptTimeout(const Request& request, const RequestLimits& limits, double meanSetupMicros, Time now);

}  // namespace ivyreel
