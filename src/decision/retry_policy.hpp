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

// Whether the request may be sent at all, for the first time or again: it cannot have executed, is
// idempotent, or has a deduplication window that stays open for more than one request timer interval. Checks
// neither the attempt limit nor the endpoints.
bool mayBeSent(const Request& request, const Settings& settings, Time now);
// Whether this endpoint may get the request.
bool maySendTo(const Request& request, const Endpoint& endpoint, const Settings& settings, Time now);

// Whether the final answer may be a rejection, after which the client may send the request again.
bool mayReject(const Request& request);

// Whether an attempt with this outcome may have executed the request.
bool isExecutionPossible(Outcome outcome);

// The time before which attempts may start, and at which the final answer is due. It is earlier than the
// client's timeout by one request timer interval and the event resolution.
Time finalAnswerDeadline(const Request& request, const Settings& settings);

// The timeout of an attempt that starts now and is already counted in the request's attempts: half of the
// time left until the latency objective, so that another attempt fits. Once the objective has passed, it is
// half of the time left until the client's timeout. It is no less than connectTimeout and three times the
// mean setup time, and ends no later than the client's timeout. The last attempt, and one of a request that
// is neither idempotent nor has a key, has until the client's timeout.
Micros attemptTimeout(const Request& request, const RequestLimits& limits, double meanSetupMicros, Time now);

}  // namespace ivyreel
