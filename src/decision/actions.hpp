// Actions: the output of the decision module. Actions are plain values; the caller executes them in the given
// order.
#pragma once

#include <string>
#include <variant>

#include "decision/types.hpp"

namespace ivyreel {

struct StartAttempt {
    RequestId request{};
    EndpointId endpoint{};
    Micros timeout{0};
};

// Final answer to a request that was not executed or may be executed again; the client may retry it.
struct RejectRequest {
    RequestId request{};
    Micros retryAfter{0};  // when the client should retry; 0: not stated
};

// Final answer to a request that failed.
struct FailRequest {
    RequestId request{};
};

struct CancelAttempt {
    RequestId request{};
    AttemptIndex attempt{};
};

// Closes an open connection gracefully, so that its client reconnects.
struct MigrateConnection {
    RequestId request{};
};

struct StartHealthCheck {
    EndpointId endpoint{};
};

// Requests the endpoint list and subscribes to its changes.
struct WatchEndpoints {};

struct SetTimer {
    Micros after{0};
    TimerToken token{};
};

struct Log {
    std::string text;
};

using Action = std::variant<StartAttempt, RejectRequest, FailRequest, CancelAttempt, MigrateConnection,
                            StartHealthCheck, WatchEndpoints, SetTimer, Log>;

}  // namespace ivyreel
