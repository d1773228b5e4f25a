// Converts durations for floating-point arithmetic.
#pragma once

#include <chrono>

#include "decision/types.hpp"

namespace ivyreel {

// The duration in seconds.
inline double seconds(Micros span) {
    return std::chrono::duration<double>(span).count();
}

// The duration times the factor, rounded towards zero.
inline Micros scaled(Micros span, double factor) {
    return Micros{static_cast<Micros::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace ivyreel
