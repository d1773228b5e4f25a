// The calls of operators, without their transport: which paths there are, and what they answer.
#pragma once

#include <string>
#include <string_view>

namespace ivyreel {

// What operators can ask of the node.
class AdminDelegate {
  public:
    AdminDelegate() = default;
    AdminDelegate(const AdminDelegate&) = delete;
    AdminDelegate& operator=(const AdminDelegate&) = delete;
    AdminDelegate(AdminDelegate&&) = delete;
    AdminDelegate& operator=(AdminDelegate&&) = delete;
    virtual ~AdminDelegate() = default;
    // Whether this process serves clients.
    virtual bool ready() const = 0;
    // The metrics, one a line.
    virtual std::string metricsText() const = 0;
    // Bans an endpoint from new connections, or lifts the ban; false for one that was never listed.
    virtual bool setEndpointDisabled(std::string_view endpoint, bool disabled) = 0;
};

struct AdminResponse {
    int status = 200;
    std::string body;
    std::string_view allowedMethod = {};  // of the path, with status 405
};

AdminResponse handleAdminRequest(AdminDelegate& node, std::string_view method, std::string_view target);

// The response as HTTP/1.1, for a connection that ends with it.
std::string serialize(const AdminResponse& response);

}  // namespace ivyreel
