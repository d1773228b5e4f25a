#include "config/report_field.hpp"

#include <array>
#include <utility>

namespace ivyreel {

namespace {

// Endpoints use two sets of names for the same fields.
constexpr auto kFieldNames = std::to_array<std::pair<std::string_view, ReportField>>({
    {"active", ReportField::ActiveRequests},
    {"inflight", ReportField::ActiveRequests},
    {"waiting", ReportField::QueuedRequests},
    {"queue", ReportField::QueuedRequests},
    {"cpu", ReportField::CpuUtilisation},
    {"util", ReportField::CpuUtilisation},
    {"avg_ms", ReportField::LatencyMs},
    {"latency_ms", ReportField::LatencyMs},
    {"rps", ReportField::RequestsPerSecond},
    {"qps", ReportField::RequestsPerSecond},
    {"err_rps", ReportField::ErrorsPerSecond},
    {"eps", ReportField::ErrorsPerSecond},
    {"x0", ReportField::LoadOverCapacity},
    {"x1", ReportField::Backlog},
});

// The member of LoadReport that holds a field; nullptr for ReportField::Unknown.
std::optional<double> LoadReport::*memberOf(ReportField field) {
    switch (field) {
        case ReportField::ActiveRequests:
            return &LoadReport::activeRequests;
        case ReportField::QueuedRequests:
            return &LoadReport::queuedRequests;
        case ReportField::CpuUtilisation:
            return &LoadReport::cpuUtilisation;
        case ReportField::LatencyMs:
            return &LoadReport::latencyMs;
        case ReportField::RequestsPerSecond:
            return &LoadReport::requestsPerSecond;
        case ReportField::ErrorsPerSecond:
            return &LoadReport::errorsPerSecond;
        case ReportField::LoadOverCapacity:
            return &LoadReport::loadOverCapacity;
        case ReportField::Backlog:
            return &LoadReport::backlogSeconds;
        case ReportField::Unknown:
            return nullptr;
    }
    return nullptr;
}

}  // namespace

ReportField reportField(std::string_view name) {
    for (const auto& [fieldName, field] : kFieldNames) {
        if (name == fieldName) return field;
    }
    return ReportField::Unknown;
}

void setReportedValue(LoadReport& report, ReportField field, double value) {
    const auto member = memberOf(field);
    if (member != nullptr) report.*member = value;
}

}  // namespace ivyreel
