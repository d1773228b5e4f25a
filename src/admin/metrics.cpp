#include "admin/metrics.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace ivyreel {

namespace {

using CounterMember = std::uint64_t Metrics::*;

// The counters of the log line, in the order in which they are logged.
constexpr auto kLoggedCounters = std::to_array<std::pair<std::string_view, CounterMember>>({
    {"accepted", &Metrics::accepted},
    {"pings", &Metrics::pings},
    {"requests", &Metrics::requests},
    {"resumed", &Metrics::resumed},
    {"adopted", &Metrics::adopted},
    {"handed_over", &Metrics::handedOver},
    {"bad_input", &Metrics::badInput},
    {"bad_line", &Metrics::badLine},
    {"bad_length", &Metrics::badLength},
    {"bad_class", &Metrics::badClass},
    {"bad_number", &Metrics::badNumber},
    {"bad_id", &Metrics::badId},
    {"bad_early", &Metrics::badEarly},
    {"incomplete_openings", &Metrics::incompleteOpenings},
    {"opening_timeouts", &Metrics::openingTimeouts},
    {"evicted", &Metrics::evicted},
    {"out_of_descriptors", &Metrics::outOfDescriptors},
    {"attempts", &Metrics::attempts},
    {"not_sent", &Metrics::notSent},
    {"connect_failed", &Metrics::connectFailed},
    {"attempts_rejected", &Metrics::attemptsRejected},
    {"errors", &Metrics::errors},
    {"timed_out", &Metrics::timedOut},
    {"attempts_reset", &Metrics::attemptsReset},
    {"attempts_cancelled", &Metrics::attemptsCancelled},
    {"established", &Metrics::established},
    {"rejected", &Metrics::rejected},
    {"failed", &Metrics::failed},
    {"clients_disconnected", &Metrics::clientsDisconnected},
    {"completed", &Metrics::completed},
    {"closed_by_client", &Metrics::closedByClient},
    {"moved_by_endpoint", &Metrics::movedByEndpoint},
    {"migrated", &Metrics::migrated},
    {"migrated_unresponsive", &Metrics::migratedUnresponsive},
    {"reset_by_endpoint", &Metrics::resetByEndpoint},
    {"lines_to_endpoints", &Metrics::linesToEndpoints},
    {"lines_to_clients", &Metrics::linesToClients},
    {"health_checks", &Metrics::healthChecks},
    {"health_checks_failed", &Metrics::healthChecksFailed},
    {"health_check_connections", &Metrics::healthCheckConnections},
    {"list_changes", &Metrics::listChanges},
    {"list_failures", &Metrics::listFailures},
    {"list_calls", &Metrics::listCalls},
    {"list_additional_calls", &Metrics::listAdditionalCalls},
    {"list_calls_rejected", &Metrics::listCallsRejected},
    {"list_calls_cancelled", &Metrics::listCallsCancelled},
    {"withheld", &Metrics::withheld},
    {"withheld_cleared", &Metrics::withheldCleared},
});

enum class MetricType { Counter, Gauge };

void appendMetric(std::string& text, std::string_view name, std::uint64_t value, MetricType type) {
    text.append("node.").append(name).append(":");
    text.append(std::to_string(value));
    text.append(type == MetricType::Counter ? "|c\n" : "|g\n");
}

void appendClassMetrics(std::string& text, const std::string& name, const RequestClassMetrics& metrics) {
    const std::string prefix = "transactions." + name + ".";
    appendMetric(text, prefix + "answered", metrics.answered, MetricType::Counter);
    appendMetric(text, prefix + "deferred", metrics.deferred, MetricType::Counter);
    appendMetric(text, prefix + "errored", metrics.errored, MetricType::Counter);
    appendMetric(text, prefix + "sends", metrics.sends, MetricType::Counter);
}

}  // namespace

void Metrics::count(Outcome attempt) {
    switch (attempt) {
        case Outcome::ConnectFailed:
            ++connectFailed;
            return;
        case Outcome::Rejected:
            ++attemptsRejected;
            return;
        case Outcome::Error:
            ++errors;
            return;
        case Outcome::Timeout:
            ++timedOut;
            return;
        case Outcome::Reset:
            ++attemptsReset;
            return;
        case Outcome::Ok:
        case Outcome::Cancelled:
        case Outcome::NotSent:
            return;
    }
}

std::string Metrics::logText() const {
    std::string text;
    for (const auto& [name, counter] : kLoggedCounters) {
        if (!text.empty()) text += ' ';
        text.append(name).append("=").append(std::to_string(this->*counter));
    }
    return text;
}

std::string Metrics::exposition(const ExternalMetrics& external) const {
    std::string text;
    for (const auto& [name, metrics] : classes) {
        appendClassMetrics(text, name, metrics);
    }
    appendMetric(text, "conf_loaded", confLoaded, MetricType::Counter);
    appendMetric(text, "conf_invalid", confInvalid, MetricType::Counter);
    appendMetric(text, "current", external.currentConnections, MetricType::Gauge);
    appendMetric(text, "cluster_size", external.listedEndpoints, MetricType::Gauge);
    appendMetric(text, "cluster_unhealthy", external.excludedEndpoints, MetricType::Gauge);
    appendMetric(text, "list_calls", listCalls, MetricType::Counter);
    appendMetric(text, "list_calls_rejected", listCallsRejected, MetricType::Counter);
    appendMetric(text, "list_calls_cancelled", listCallsCancelled, MetricType::Counter);
    appendMetric(text, "list_age_ms", static_cast<std::uint64_t>(external.listAgeMs), MetricType::Gauge);
    appendMetric(text, "list_stale_ms", static_cast<std::uint64_t>(external.listStaleMs),
                 MetricType::Counter);
    return text;
}

}  // namespace ivyreel
