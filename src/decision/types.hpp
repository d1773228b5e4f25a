// The identifiers, units of time and small enumerations that settings, events and actions share.
#pragma once

#include <chrono>
#include <cstdint>

namespace ivyreel {

using Micros = std::chrono::microseconds;
// A point in time, as the duration since an arbitrary epoch. Times passed to the decision module never
// decrease.
using Time = std::chrono::microseconds;

enum class RequestId : std::uint64_t {};
enum class EndpointId : std::uint64_t {};
enum class GroupId : std::uint64_t {};  // identifies an affinity group; 0: the request belongs to none
enum class FlowKey : std::uint64_t {};  // the same for all packets of a connection; 0: not given
enum class RequestClassIndex : std::uint32_t {};
enum class TenantIndex : std::uint32_t {};
enum class ZoneIndex : std::uint32_t {};
enum class KindIndex : std::uint32_t {};
enum class CellId : std::uint32_t {};
enum class TimerToken : std::uint32_t {};
enum class AttemptIndex : std::uint8_t {};

// The state of an endpoint according to the endpoint list.
enum class Availability { Gone, Draining, Ready };

// The outcome of an attempt or a health check. The simulator protocol transmits the position of the value:
// the order must not change.
enum class Outcome {
    Ok,
    Error,          // the endpoint answered with an error
    Rejected,       // the endpoint refused the request because it accepts no more
    Timeout,        // no answer before the timeout
    ConnectFailed,  // the connection could not be established
    Reset,          // the connection broke
    Cancelled,      // cancelled by this node
    NotSent,        // abandoned before its first byte was sent
};

}  // namespace ivyreel
