// The admin API without its transport: its paths and their responses.
#pragma once

#include <string>
#include <string_view>

namespace ivyreel {

// The operations that the node provides for operators.
class AdminDelegate {
  public:
    AdminDelegate() = default;
    AdminDelegate(const AdminDelegate&) = delete;
    AdminDelegate& operator=(const AdminDelegate&) = delete;
    AdminDelegate(AdminDelegate&&) = delete;
    AdminDelegate& operator=(AdminDelegate&&) = delete;
    virtual ~AdminDelegate() = default;
    // Whether this process has started to serve clients.
    virtual bool ready() const = 0;
    // The metrics, one per line (Metrics::exposition).
    virtual std::string metricsText() const = 0;
    // Bans an endpoint from new connections, or lifts the ban. Returns false if the endpoint was never in the
    // endpoint list.
    virtual bool setEndpointDisabled(std::string_view endpoint, bool disabled) = 0;
};

struct AdminResponse {
    int status = 200;
    std::string body;
    std::string_view allowedMethod = {};  // the method that the path allows, for status 405
};

// Handles a request; `target` is the path with an optional query, which is ignored.
AdminResponse handleAdminRequest(AdminDelegate& node, std::string_view method, std::string_view target);

// Serializes the response for HTTP/1.1, with "Connection: close".
std::string serialize(const AdminResponse& response);

}  // namespace ivyreel
