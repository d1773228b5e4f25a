// The ranges of the load values that clients and endpoints send. A value outside its range is malformed: sums
// and products of larger values overflow.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "util/number_parsing.hpp"

namespace ivyreel {

// The maximum load hint, in microseconds of work per second: the wire format has 32 bits for it.
inline constexpr double kMaxLoadHint = std::numeric_limits<std::uint32_t>::max();
// The maximum absolute value that an endpoint reports: the wire format has single precision for it.
inline constexpr double kMaxReportedValue = std::numeric_limits<float>::max();

// None if the text is not a number, or the number is not from 0 to kMaxLoadHint.
inline std::optional<double> parseLoadHint(std::string_view text) {
    const auto value = parseFiniteNumber(text);
    return value && *value >= 0 && *value <= kMaxLoadHint ? value : std::nullopt;
}

// Whether an endpoint can have reported this value.
inline bool isReportedValue(double value) {
    return std::abs(value) <= kMaxReportedValue;
}

// None if the text is not a number, or its absolute value exceeds kMaxReportedValue.
inline std::optional<double> parseReportedValue(std::string_view text) {
    const auto value = parseFiniteNumber(text);
    return value && isReportedValue(*value) ? value : std::nullopt;
}

}  // namespace ivyreel
