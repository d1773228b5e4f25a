// The settings of the decision module. config/settings_parser parses them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "decision/types.hpp"

namespace ivyreel {

// Whether a request may be retried after an attempt that may have been executed.
enum class Idempotency {
    Idempotent,     // may be retried at any endpoint, at any time
    WithKey,        // may be retried where its idempotency key is known, within the deduplication window
    NonIdempotent,  // must never be retried
};

// Which endpoints share the idempotency keys of executed requests.
enum class DeduplicationScope { All, Zone, Cell };

// Whether discovery sends the endpoint list unasked (Push), or this node requests the list and discovery then
// sends its changes (Poll).
enum class DiscoveryMode { Push, Poll };
enum class LoadReportMode { WithResponses, WithHealthChecks, None };

// Whether a connection ends at this node (Proxy), or its packets pass through any node (Passthrough).
enum class ForwardingMode { Proxy, Passthrough };

// What the listed capacity of an entry in the endpoint list means.
enum class WeightKind {
    None,     // nothing; it is ignored
    Nominal,  // the size of the endpoint, in cores
    Rough,    // the size of the endpoint, in cores; treated like Nominal
    Live,     // no size; it is ignored
};

// The settings of a class of requests.
struct RequestClassSettings {
    Micros latencyObjective{500'000};  // for the connection to be set up
    Micros requestTimeout{3'000'000};
    Idempotency idempotency = Idempotency::NonIdempotent;
    DeduplicationScope deduplicationScope = DeduplicationScope::Cell;
    Micros deduplicationWindow{0};
    double priorityWeight = 1.0;
    Micros messageLatencyObjective{0};  // 0: not stated
};

struct TenantSettings {
    double quotaShare = 1.0;
    double quotaConnections = 0.0;  // of all nodes together; 0: not stated
};

// What a node may do for a request.
struct RequestLimits {
    int maxAttempts = 1;
    bool canCancelAttempts = false;
    bool hedgedRequests = false;
    bool healthChecks = false;
    bool sendRetryAfter = false;
    Micros maxRetryAfter{0};
    Micros connectTimeout{250'000};
};

// The bounds that operators set for discovery, draining and slow start.
struct OperatingLimits {
    // An answer within this time after the client's deadline still counts; the decision module does not use
    // it.
    Micros responseSlack{0};
    // Time after the notice of a drain in which endpoints still allow new connections. The decision module
    // does not use it; for the node, it is the deadline for pushed list changes.
    Micros drainGracePeriod{0};
    double slowStartInitialShare = 1.0;  // minimum share of its capacity that a new endpoint has
    Micros slowStartDuration{0};         // time until a new endpoint has its full capacity
    // An endpoint that is warming up fails if it gets more load than this multiple of its present capacity
    // within the overload window.
    double overloadMultiple = 1.0;
    Micros overloadWindow{1'000'000};
    Micros maxPollInterval{10'000'000};  // without a poll or a watch for longer, the endpoint list is stale
};

struct Settings {
    std::uint64_t seed = 0;
    std::optional<std::uint32_t> nodeIndex;  // empty: unknown
    std::uint32_t nodes = 1;                 // number of nodes in the fleet
    ZoneIndex zone{0};                       // of this node
    Micros eventResolution{1'000};           // minimum time between two batches of events
    std::vector<RequestClassSettings> classes;
    std::vector<TenantSettings> tenants;
    double overQuotaPriorityWeight = 1.0;  // of requests whose tenant exceeds its quota
    double crossZoneCost = 0.02;  // cost of a connection to another zone, as a share of a connection's value
    // Weight of the number of nines of the availability among the operators' goals, 0 to 1. A higher weight
    // lowers the saturation threshold.
    double availabilityWeight = 0.0;
    RequestLimits limits;
    OperatingLimits operatingLimits;
    DiscoveryMode discoveryMode = DiscoveryMode::Push;
    LoadReportMode loadReportMode = LoadReportMode::None;
    WeightKind weightKind = WeightKind::None;
    ForwardingMode forwardingMode = ForwardingMode::Proxy;
    bool groupAffinity = false;  // members of a group share work if they are connected to the same endpoint
};

}  // namespace ivyreel
