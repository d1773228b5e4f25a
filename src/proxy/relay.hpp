// The relay of an established connection between a client and its endpoint.
#pragma once

#include <optional>
#include <string_view>

#include "admin/metrics.hpp"
#include "hot_restart/established_connection.hpp"
#include "io/scheduler.hpp"
#include "proxy/connection_pair.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Relays complete lines in both directions until one side ends, the client is migrated, or the connection is
// handed over to a successor. Reports to the tracker what the endpoint's lines say and how the connection
// ended. All that it is given must outlive run().
class Relay {
  public:
    // `state` holds what is buffered when the relay begins, and afterwards what is to be handed over.
    Relay(ConnectionPair& connections, TrackedRequest& trackedRequest, RequestTracker& tracker,
          Metrics& metrics, RelayState& state)
        : connections_(connections),
          trackedRequest_(trackedRequest),
          tracker_(tracker),
          metrics_(metrics),
          state_(state) {}

    // Relays to the end. Returns true if both sides are still open and are to be handed over.
    Task<bool> run();

  private:
    // What the endpoint said last about the end of the connection.
    enum class EndNotice { None, Completed, Migrate };

    bool step();
    bool prepareHandover();
    void scanClientLines();
    void scanUpstreamLines();
    void handleUpstreamLine(std::string_view line);
    void reportUpstreamEnd();
    Task<void> closeAfterUpstreamEnd();
    Task<void> closeAfterClientEnd();
    Task<void> migrate();
    Time now() const { return connections_.signal.scheduler().now(); }

    ConnectionPair& connections_;
    TrackedRequest& trackedRequest_;
    RequestTracker& tracker_;
    Metrics& metrics_;
    RelayState& state_;
    EndNotice endNotice_ = EndNotice::None;
    bool overlongLine_ = false;
    std::optional<LoadReport> finalLoad_;  // sent with the end notice
};

}  // namespace ivyreel
