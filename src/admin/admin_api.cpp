#include "admin/admin_api.hpp"

#include <cstddef>
#include <optional>

#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

constexpr std::string_view kReadyPath = "/-/ready";
constexpr std::string_view kMetricsPath = "/-/metrics";
constexpr std::string_view kEndpointPrefix = "/-/hosts/";
constexpr std::size_t kPercentEscapeLength = 3;  // such as "%2F"

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;

std::string_view reasonPhrase(int status) {
    switch (status) {
        case kOk:
            return "OK";
        case kBadRequest:
            return "Bad Request";
        case kNotFound:
            return "Not Found";
        case kMethodNotAllowed:
            return "Method Not Allowed";
        default:
            return "Service Unavailable";
    }
}

// Decodes a path segment; none if a percent escape is malformed.
std::optional<std::string> percentDecoded(std::string_view text) {
    std::string result;
    while (!text.empty()) {
        if (text.front() != '%') {
            result.push_back(text.front());
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < kPercentEscapeLength) return std::nullopt;
        const auto byte = parseNumber<unsigned char>(text.substr(1, 2), 16);
        if (!byte) return std::nullopt;
        result.push_back(static_cast<char>(*byte));
        text.remove_prefix(kPercentEscapeLength);
    }
    return result;
}

// `path` is the part of the path after kEndpointPrefix: "ID/disable" or "ID/enable".
AdminResponse handleEndpointRequest(AdminDelegate& node, std::string_view method, std::string_view path) {
    const std::size_t slash = path.rfind('/');
    const std::string_view verb = slash == std::string_view::npos ? "" : path.substr(slash + 1);
    const bool disable = verb == "disable";
    if (!disable && verb != "enable") return {kNotFound, "no such path\n"};
    if (method != "POST") return {kMethodNotAllowed, "use POST\n", "POST"};
    const auto endpoint = percentDecoded(path.substr(0, slash));
    if (!endpoint || endpoint->empty()) return {kBadRequest, "malformed endpoint id\n"};
    if (!node.setEndpointDisabled(*endpoint, disable)) return {kNotFound, "unknown endpoint\n"};
    return {kOk, disable ? "disabled\n" : "enabled\n"};
}

}  // namespace

AdminResponse handleAdminRequest(AdminDelegate& node, std::string_view method, std::string_view target) {
    const std::string_view path = target.substr(0, target.find('?'));
    if (path.starts_with(kEndpointPrefix))
        return handleEndpointRequest(node, method, path.substr(kEndpointPrefix.size()));
    if (path != kReadyPath && path != kMetricsPath) return {kNotFound, "no such path\n"};
    if (method != "GET") return {kMethodNotAllowed, "use GET\n", "GET"};
    if (path == kMetricsPath) return {kOk, node.metricsText()};
    if (node.ready()) return {kOk, "ready\n"};
    return {kServiceUnavailable, "not ready\n"};
}

std::string serialize(const AdminResponse& response) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text.append(reasonPhrase(response.status));
    text.append("\r\nContent-Type: text/plain\r\nContent-Length: ");
    text.append(std::to_string(response.body.size()));
    if (!response.allowedMethod.empty()) text.append("\r\nAllow: ").append(response.allowedMethod);
    text.append("\r\nConnection: close\r\n\r\n").append(response.body);
    return text;
}

}  // namespace ivyreel
