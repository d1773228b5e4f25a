// Retry policy: whether a request may be retried and at which endpoints, whether it may be rejected, and the
// timeout of an attempt.
//
// A request that may have executed is retried only if it is idempotent, or at endpoints that know its
// idempotency key.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/request.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Whether the request has used all its attempts. The limit is the lower one of the settings at the request's
// arrival and the present settings.
bool areAttemptsExhausted(const Request& request, const RequestLimits& limits);

// Whether any endpoint may get the request.
bool mayBeSent(const Request& request, const Settings& settings, Time now);
// Whether this endpoint may get the request.
bool maySendTo(const Request& request, const Endpoint& endpoint, const Settings& settings, Time now);

// Whether the final answer may be a rejection, after which the client may send the request again.
bool mayReject(const Request& request);

// Whether an attempt with this outcome may have executed the request.
bool isExecutionPossible(Outcome outcome);

// The time before which attempts may start, and at which the final answer is due.
Time finalAnswerDeadline(const Request& request, const Settings& settings);

// The timeout of an attempt that starts now and is already counted in the request's attempts: half of the
// time left until the latency objective, so that another attempt fits, or until the deadline once the
// objective has passed. It is no less than connection setup usually takes, and ends no later than the
// deadline. The last attempt, and one of a request that is not idempotent, has until the deadline.
Micros attemptTimeout(const Request& request, const RequestLimits& limits, double meanSetupMicros, Time now);

}  // namespace ivyreel
