// Health checks of endpoints. Each endpoint has its own connection, which stays open between checks.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "proxy/endpoint_connector.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Runs the health checks that the decision module requests and reports the results to the tracker. If there
// are more endpoints than connections allowed, further checks wait for others to end and each connection is
// closed after its check.
class HealthChecker {
  public:
    HealthChecker(Scheduler& scheduler, RequestTracker& tracker, const EndpointConnector& connector,
                  Metrics& metrics)
        : scheduler_(scheduler), tracker_(tracker), connector_(connector), metrics_(metrics) {}

    // Requests one check of the endpoint. Requests that arrive before the check has started share that check.
    void startHealthCheck(EndpointId endpoint);
    // Sets the maximum number of connections for health checks to one descriptor in four, but at least 1.
    // `limit` is the maximum number of descriptors that the node may have open.
    void setDescriptorLimit(std::size_t limit);
    // Closes the connections on which no check is in progress.
    void closeIdle();

  private:
    struct CheckedEndpoint {
        explicit CheckedEndpoint(Scheduler& scheduler) : signal(scheduler) {}
        Signal signal;
        Connection connection;
        Address address;
        bool checkRequested = false;
        bool checkInProgress = false;
    };
    struct Result {
        Outcome outcome = Outcome::ConnectFailed;
        std::optional<LoadReport> load;
    };

    Task<void> run(EndpointId id, CheckedEndpoint& endpoint);
    Task<void> runCheck(EndpointId id, CheckedEndpoint& endpoint);
    Task<Result> check(EndpointId id, CheckedEndpoint& endpoint);
    Task<bool> connect(EndpointId id, CheckedEndpoint& endpoint);
    Task<std::optional<Result>> exchange(CheckedEndpoint& endpoint, bool reused);
    static std::optional<Result> readAnswer(Connection& connection);
    static std::optional<Outcome> failureOf(const Connection& connection, bool deadlinePassed);
    static void closeIfUnusable(Connection& connection);

    Scheduler& scheduler_;
    RequestTracker& tracker_;
    const EndpointConnector& connector_;
    Metrics& metrics_;
    std::map<EndpointId, std::unique_ptr<CheckedEndpoint>> endpoints_;
    std::size_t maxConnections_ = 1;
    std::size_t checksInProgress_ = 0;
};

}  // namespace ivyreel
