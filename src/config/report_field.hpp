// The fields of a load report, and the names that endpoints and settings use for them.
#pragma once

#include <string_view>

#include "decision/events.hpp"

namespace ivyreel {

enum class ReportField {
    ActiveRequests,
    QueuedRequests,
    CpuUtilisation,
    LatencyMs,
    RequestsPerSecond,
    ErrorsPerSecond,
    LoadOverCapacity,
    Backlog,
    Unknown
};

// The field that has this name in load reports; Unknown if there is none.
ReportField reportField(std::string_view name);

// Sets the value of one field of a load report; ReportField::Unknown is ignored.
void setReportedValue(LoadReport& report, ReportField field, double value);

}  // namespace ivyreel
