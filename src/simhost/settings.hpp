// Reads the settings text of a starting node. Unknown keys are ignored; docs/design.md lists the defaults.
#pragma once

#include <stdexcept>
#include <string_view>
#include <vector>

#include "rules.hpp"

namespace ivyreel::simhost {

class SettingsError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

enum class ReportField {
    Active,
    Waiting,
    Busy,
    LatencyMs,
    ServedPerS,
    ErrorsPerS,
    LoadOverCapacity,
    PileUp,
    Unknown
};

struct NodeSettings {
    Settings settings;
    std::vector<ReportField> reportFields;  // the order of the values in a load report
};

NodeSettings parseSettings(std::string_view text);

}  // namespace ivyreel::simhost
