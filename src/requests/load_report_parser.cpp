#include "requests/load_report_parser.hpp"

#include <algorithm>
#include <cstddef>

#include "config/report_field.hpp"
#include "protocol/load_values.hpp"

namespace ivyreel {

namespace {

// Parses one "name=value" item into the report. Returns false if the value is
// malformed.
bool parseItem(std::string_view item, LoadReport& report) {
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) return false;
    const auto value = parseReportedValue(item.substr(equals + 1));
    if (!value) return false;
    setReportedValue(report, reportField(item.substr(0, equals)), *value);
    return true;
}

}  // namespace

std::optional<LoadReport> parseLoadReport(std::string_view text) {
    LoadReport report;
    bool hasValue = false;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        if (parseItem(item, report)) hasValue = true;
    }
    return hasValue ? std::optional(report) : std::nullopt;
}

}  // namespace ivyreel
