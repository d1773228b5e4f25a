// Detects draining endpoints by their own responses while the endpoint list is not live.
//
// By the protocol a draining endpoint ends its open connections with MOVE and rejects new ones with BUSY.
// While the node's endpoint list is not live, this is the only evidence of a drain. DrainEvidence collects it
// and decides which endpoints are withheld from new connections. It has no clock, shares no state and does no
// input or output; the request tracker passes events to it and applies the result.
//
// While the list is live it is authoritative: nothing is collected and nothing is withheld. Evidence of an
// endpoint is dropped when
//   - the list becomes live again,
//   - the list shows that the endpoint has restarted or is gone,
//   - the endpoint has accepted a connection whose attempt began after the evidence, or
//   - kEvidenceLifetime has passed since the evidence was last confirmed.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "decision/decision_engine.hpp"
#include "membership/list_freshness.hpp"

namespace ivyreel {

// Evidence expires even if discovery never returns, so that an endpoint that was withheld by mistake is used
// again. One that still drains gets a few attempts and proves it again.
inline constexpr Micros kEvidenceLifetime = std::chrono::seconds(30);

// A single BUSY may have a transient cause, such as a burst of connections. One MOVE is enough: only a
// draining endpoint sends it.
inline constexpr int kRejectionsNeeded = 2;

// Load over capacity up to which an endpoint does not look full. The decision engine fills endpoints to about
// 0.75, so lack of capacity is an unlikely cause of BUSY below this.
inline constexpr double kFullUtilisationThreshold = 0.7;

// An older load report counts as none. Health checks bring one every 5 s at least; one of them may fail.
inline constexpr Micros kUtilisationLifetime = std::chrono::seconds(10);

// A BUSY that took this part of the attempt's timeout or more counts as "the client's time is up", the
// protocol's third reason for it. A draining endpoint responds at once.
inline constexpr double kPromptRejectionShare = 0.5;

// At most one ready endpoint in this many is withheld, rounded up: a fault that makes many endpoints send
// MOVE must not empty the pool.
inline constexpr std::size_t kReadyPerWithheld = 3;

// How many of the ready endpoints may be withheld at once; never the last one.
std::size_t withholdingLimit(std::size_t readyEndpoints);

// ---- events ----

// An endpoint ended a client's connection with MOVE. A MOVE that the node itself sent does not count.
struct EndpointSentMove {
    EndpointId endpoint{};
};

// An endpoint rejected a new connection with BUSY.
struct EndpointRejectedConnection {
    EndpointId endpoint{};
    std::optional<LoadReport> report;  // that came with the response
    Micros elapsed{0};                 // since the start of the attempt
    Micros timeout{0};                 // of the attempt
};

// An endpoint accepted a new connection with UP.
struct EndpointAcceptedConnection {
    EndpointId endpoint{};
    Time attemptStartedAt{0};
};

// An endpoint reported its load, with a health check or at the end of a connection.
struct EndpointReportedLoad {
    EndpointId endpoint{};
    LoadReport report;
};

// The list has become live, or is no longer live.
struct ListFreshnessChanged {
    ListFreshness freshness;
};

// An entry of the endpoint list.
struct ListedEndpoint {
    EndpointId id{};
    Availability availability = Availability::Ready;
    Time startedAt{0};  // 0: long ago
};

// Entries of the endpoint list were received: the complete list, or those that changed.
struct ListEntriesReceived {
    bool full = false;
    std::vector<ListedEndpoint> entries;
};

// Operators have banned an endpoint, or lifted the ban. A banned endpoint does not count as ready for the
// limit.
struct OperatorBanChanged {
    EndpointId endpoint{};
    bool banned = true;
};

using DrainEvent =
    std::variant<EndpointSentMove, EndpointRejectedConnection, EndpointAcceptedConnection,
                 EndpointReportedLoad, ListFreshnessChanged, ListEntriesReceived, OperatorBanChanged>;

// ---- the result ----

// The endpoints that are withheld from now on, and those that no longer are.
struct WithholdingChange {
    std::vector<EndpointId> withheld;
    std::vector<EndpointId> released;

    bool empty() const { return withheld.empty() && released.empty(); }
};

class DrainEvidence {
  public:
    // Handles an event at the time `now`, and returns what changed.
    WithholdingChange handle(Time now, const DrainEvent& event);

    // Drops expired evidence, and returns what changed.
    WithholdingChange expire(Time now);

    // When expire() is to be called next; Time::max() if there is no evidence.
    Time nextExpiry() const;

    bool withholds(EndpointId endpoint) const { return withheld_.contains(endpoint); }

  private:
    // In order of precedence where the limit does not allow all to be withheld.
    enum class Kind { Move, Rejections };

    struct Evidence {
        Kind kind = Kind::Rejections;
        int rejections = 0;
        Time sufficientSince{0};
        Time lastConfirmedAt{0};

        bool isSufficient() const { return kind == Kind::Move || rejections >= kRejectionsNeeded; }
    };

    struct Utilisation {
        double loadOverCapacity = 0.0;
        Time reportedAt{0};
    };

    struct EndpointState {
        Availability availability = Availability::Gone;
        Time startedAt{0};
        bool bannedByOperator = false;
        std::optional<Utilisation> utilisation;

        bool isUsable() const { return availability == Availability::Ready && !bannedByOperator; }
    };

    void on(Time now, const EndpointSentMove& event);
    void on(Time now, const EndpointRejectedConnection& event);
    void on(Time now, const EndpointAcceptedConnection& event);
    void on(Time now, const EndpointReportedLoad& event);
    void on(Time now, const ListFreshnessChanged& event);
    void on(Time now, const ListEntriesReceived& event);
    void on(Time now, const OperatorBanChanged& event);

    void recordUtilisation(Time now, EndpointId endpoint, const LoadReport& report);
    bool mayBeFull(Time now, EndpointId endpoint) const;
    bool isListed(EndpointId endpoint) const;
    void updateEndpoint(const ListedEndpoint& entry);
    void removeExpired(Time now);
    std::size_t usableEndpoints() const;
    std::set<EndpointId> chooseWithheld() const;
    WithholdingChange update();

    bool live_ = true;
    std::map<EndpointId, EndpointState> endpoints_;  // all that were ever listed or banned
    std::map<EndpointId, Evidence> evidence_;        // of listed endpoints, while the list is not live
    std::set<EndpointId> withheld_;
};

}  // namespace ivyreel
