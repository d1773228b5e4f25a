// Events: the input of the decision module. Events are plain values; the time of an event is passed
// separately.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "decision/learned_state.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// The simulator protocol transmits the position of the value: the order must not change.
enum class EndpointListKind {
    Delta,   // the entries that changed
    Full,    // all entries
    Cached,  // all entries, as stored before the start of this node
    Failed,  // a poll or watch failed; there are no entries
};

// One entry of the endpoint list.
struct EndpointEntry {
    EndpointId id{};
    ZoneIndex zone{};
    KindIndex kind{};
    CellId cell{};
    double listedCapacity = 1.0;  // Settings::weightKind states what it means
    Availability availability = Availability::Ready;
    Time startedAt{0};  // start of its process; 0: unknown, long ago
};

// The load values that an endpoint reports; unreported values are empty.
struct LoadReport {
    std::optional<double> loadOverCapacity;
    std::optional<double> backlogSeconds;
    std::optional<double> cpuUtilisation;  // 0 to 1
    std::optional<double> activeRequests;
    std::optional<double> queuedRequests;
    std::optional<double> latencyMs;
    std::optional<double> requestsPerSecond;
    std::optional<double> errorsPerSecond;
};

// The first event; delivered once, when the node starts.
struct Started {};

struct EndpointListChanged {
    EndpointListKind kind = EndpointListKind::Full;
    std::vector<EndpointEntry> endpoints;
};

struct RequestArrived {
    RequestId request{};
    RequestClassIndex requestClass{};
    TenantIndex tenant{};
    GroupId group{};
    FlowKey flowKey{};
    std::optional<double> loadHint;  // microseconds of work per second
    Micros clientTimeout{0};
    bool continuesFlow = false;  // packets of a connection that another node handled before
    bool reconnecting = false;   // an earlier connection of the client was migrated or lost
};

// A connection that was already open when this node started.
struct ConnectionResumed {
    RequestArrived request;
    EndpointId endpoint{};
};

struct ConnectionEstablished {
    RequestId request{};
    AttemptIndex attempt{};
    EndpointId endpoint{};
    Micros elapsed{0};  // since the start of the attempt
};

struct ConnectionLoadMeasured {
    RequestId request{};
    EndpointId endpoint{};
    double load = 0.0;  // microseconds of work per second
};

struct MessageDelayMeasured {
    RequestId request{};
    EndpointId endpoint{};
    double delayMs = 0.0;  // delay of a message, milliseconds
};

// An attempt failed, or an established connection ended.
struct AttemptEnded {
    RequestId request{};
    AttemptIndex attempt{};
    EndpointId endpoint{};
    Outcome outcome = Outcome::Ok;
    Micros elapsed{0};
    bool requestEnded = false;  // the request needs no further attempt and no answer
    std::optional<LoadReport> report;
};

struct ClientDisconnected {
    RequestId request{};
};

struct TimerExpired {
    TimerToken token{};
};

struct HealthCheckCompleted {
    EndpointId endpoint{};
    Outcome outcome = Outcome::Ok;
    Micros elapsed{0};
    std::optional<LoadReport> report;
};

// An operator bans an endpoint from new connections, whatever the endpoint list says, or lifts the ban.
struct EndpointBanChanged {
    EndpointId endpoint{};
    bool banned = true;
};

// This node takes over the learned state of its predecessor.
struct LearnedStateInherited {
    LearnedState learnedState;
};

// Existing classes and tenants keep their indices; new ones may follow them.
struct SettingsChanged {
    Settings settings;
};

using Event =
    std::variant<Started, EndpointListChanged, RequestArrived, ConnectionResumed, ConnectionEstablished,
                 ConnectionLoadMeasured, MessageDelayMeasured, AttemptEnded, ClientDisconnected, TimerExpired,
                 HealthCheckCompleted, EndpointBanChanged, SettingsChanged, LearnedStateInherited>;

}  // namespace ivyreel
