// Parses the load reports that endpoints send, such as "inflight=7,util=0.61".
#pragma once

#include <optional>
#include <string_view>

#include "decision/events.hpp"

namespace ivyreel {

// Ignores unknown names and malformed values (protocol/load_values.hpp). Returns nullopt if no item has a
// valid value.
std::optional<LoadReport> parseLoadReport(std::string_view text);

}  // namespace ivyreel
