// Reads the settings of a deployment from their JSON text, and maps their keys and string values to the terms
// of the code. Unknown keys are ignored; docs/design.md lists the defaults.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/report_field.hpp"
#include "config/settings_error.hpp"
#include "decision/settings.hpp"

namespace ivyreel {

// The settings of the decision module, and the other settings that the node needs.
struct NodeSettings {
    Settings settings;
    std::vector<ReportField> reportFields;  // the order of the values in a load report
    // Names, at the indices that the decision module uses in their place.
    std::vector<std::string> classNames;
    std::vector<std::string> tenantNames;
    std::vector<std::string> zoneNames;
    std::vector<std::string> kindNames;  // of endpoints
    // Endpoints also report message delays in milliseconds, in the same LOAD lines as the loads of
    // connections. RequestTracker::loadLineReceived distinguishes the two.
    bool reportsMessageDelay = false;
    Micros idleTimeout{15'000'000};  // after which an unused health check connection is closed
};

// Parses the settings. Throws SettingsError.
NodeSettings parseSettings(std::string_view text);

}  // namespace ivyreel
