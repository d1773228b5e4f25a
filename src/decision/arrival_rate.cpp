#include "decision/arrival_rate.hpp"

#include <cmath>

#include "decision/duration_arithmetic.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kAveragingTime = 10s;

}  // namespace

void ArrivalRate::recordArrival(Time now) {
    perSecond_ = perSecond(now) + 1.0 / seconds(kAveragingTime);
    updatedAt_ = now;
}

double ArrivalRate::perSecond(Time now) const {
    return perSecond_ * std::exp(-seconds(now - updatedAt_) / seconds(kAveragingTime));
}

void ArrivalRate::restore(const LearnedFleetState& learned, Time now) {
    perSecond_ = learned.arrivalRate;
    updatedAt_ = now;
}

}  // namespace ivyreel
