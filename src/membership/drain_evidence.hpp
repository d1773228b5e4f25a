// Detects draining endpoints by their own responses while the endpoint list is not live.
//
// According to the protocol, a draining endpoint ends its open connections with MOVE and rejects new
// connections with BUSY. While the node's endpoint list is not live, these responses are the only evidence of
// a drain. DrainEvidence collects the evidence and decides which endpoints are withheld from new connections.
// The class has no clock, shares no state and does no input or output; the request tracker passes events to
// it and applies the result.
//
// A live list is authoritative: no evidence is collected and no endpoint is withheld. The evidence against an
// endpoint is dropped when
//   - the list becomes live again,
//   - the list shows that the endpoint has restarted or is gone,
//   - the endpoint has accepted a connection whose attempt started when the evidence was last confirmed or
//     later, or
//   - kEvidenceLifetime has passed since the evidence was last confirmed.
//
// An endpoint that is listed as draining, or that an operator has banned, is not withheld; the evidence
// against it is kept. An endpoint is usable if it is ready in the list and not banned by an operator, whether
// or not it is withheld.
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

// Evidence expires even if discovery stays unavailable, so that an endpoint that was withheld by mistake is
// used again. An endpoint that still drains gets a few attempts, which provide new evidence.
inline constexpr Micros kEvidenceLifetime = std::chrono::seconds(30);

// The number of BUSY responses that are sufficient evidence. A single BUSY may have a transient cause, such
// as a burst of connections. One MOVE is sufficient, because only a draining endpoint sends it.
inline constexpr int kRejectionsNeeded = 2;

// The load over capacity above which an endpoint may be full. The decision engine fills endpoints to about
// 0.75, so that lack of capacity is an unlikely cause of a BUSY at or below this threshold.
inline constexpr double kFullUtilisationThreshold = 0.7;

// An older load report is ignored. Health checks provide a report at least every 5 s; one of them may fail.
inline constexpr Micros kUtilisationLifetime = std::chrono::seconds(10);

// A BUSY after this share of the attempt's timeout or later is not evidence. An endpoint sends BUSY if it
// drains, if it is full, or, as the protocol's third reason, if the client's timeout has expired, which may
// be the cause of a late BUSY. A draining endpoint responds immediately.
inline constexpr double kPromptRejectionShare = 0.5;

// At most one usable endpoint in this many is withheld, rounded up, so that eligible endpoints remain if a
// fault makes many endpoints send MOVE.
inline constexpr std::size_t kUsablePerWithheld = 3;

// The number of usable endpoints that may be withheld at the same time. If only one endpoint is usable, it is
// not withheld.
std::size_t withholdingLimit(std::size_t usableEndpoints);

// ---- events ----

// An endpoint ended a client's connection with MOVE. A MOVE that the node itself sent is not such an event.
struct EndpointSentMove {
    EndpointId endpoint{};
};

// An endpoint rejected a new connection with BUSY.
struct EndpointRejectedConnection {
    EndpointId endpoint{};
    std::optional<LoadReport> report;  // received with the response
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
    Time startedAt{0};  // 0: unknown, counts as long ago
};

// Entries of the endpoint list were received: the complete list, or those that changed.
struct ListEntriesReceived {
    bool full = false;  // whether `entries` is the complete list
    std::vector<ListedEndpoint> entries;
};

// An operator has banned an endpoint or lifted the ban. A banned endpoint does not count as usable.
struct OperatorBanChanged {
    EndpointId endpoint{};
    bool banned = true;
};

using DrainEvent =
    std::variant<EndpointSentMove, EndpointRejectedConnection, EndpointAcceptedConnection,
                 EndpointReportedLoad, ListFreshnessChanged, ListEntriesReceived, OperatorBanChanged>;

// ---- the result ----

// The endpoints that are withheld as a result of an event, and the endpoints that are released.
struct WithholdingChange {
    std::vector<EndpointId> withheld;
    std::vector<EndpointId> released;

    bool empty() const { return withheld.empty() && released.empty(); }
};

class DrainEvidence {
  public:
    // Handles an event at the time `now` and returns the change in withheld endpoints.
    WithholdingChange handle(Time now, const DrainEvent& event);

    // Removes expired evidence and returns the change in withheld endpoints.
    WithholdingChange expire(Time now);

    // The time at which expire() must be called next; Time::max() if there is no evidence.
    Time nextExpiry() const;

    bool withholds(EndpointId endpoint) const { return withheld_.contains(endpoint); }

  private:
    // In order of precedence, which applies if the limit does not allow withholding all candidates.
    enum class Kind { Move, Rejections };

    struct Evidence {
        Kind kind = Kind::Rejections;
        int rejections = 0;
        Time sufficientSince{0};
        Time lastConfirmedAt{0};

        bool isSufficient() const { return kind == Kind::Move || rejections >= kRejectionsNeeded; }
    };

    struct Utilisation {
        double share = 0.0;  // load over capacity, or CPU utilisation if the report has no load
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
    std::map<EndpointId, EndpointState> endpoints_;  // all endpoints that were listed or banned at any time
    std::map<EndpointId, Evidence> evidence_;        // against listed endpoints; empty while the list is live
    std::set<EndpointId> withheld_;
};

}  // namespace ivyreel
