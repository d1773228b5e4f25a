#include "decision/connection_load.hpp"

#include <algorithm>

namespace ivyreel {
namespace {

constexpr double kInitialLoad = 40'000;    // microseconds of work per second: 25 connections per core
constexpr double kSmoothingFactor = 0.05;  // weight of one load in a mean; low, because loads differ widely
constexpr double kPriorArrivals = 4.0;     // weight of the initial typical load, in arrivals
constexpr double kOutlierMultiple = 10.0;  // of the mean; a higher load is clamped to it

}  // namespace

void ConnectionLoadEstimate::setClassCount(std::size_t classes) {
    meanByClass_.resize(std::max(meanByClass_.size(), classes), 0.0);
}

double ConnectionLoadEstimate::expected(const RequestArrived& request) const {
    if (request.loadHint && *request.loadHint > 0) return *request.loadHint;
    const auto requestClass = static_cast<std::size_t>(request.requestClass);
    return requestClass < meanByClass_.size() && meanByClass_[requestClass] > 0 ? meanByClass_[requestClass]
                                                                                : kInitialLoad;
}

void ConnectionLoadEstimate::recordArrival(double load) {
    ++arrivals_;
    const double weight = std::max(kSmoothingFactor, 1.0 / (arrivals_ + kPriorArrivals));
    typical_ += (std::min(load, kOutlierMultiple * typical_) - typical_) * weight;
}

void ConnectionLoadEstimate::recordMeasurement(RequestClassIndex requestClass, double load) {
    const auto index = static_cast<std::size_t>(requestClass);
    if (index >= meanByClass_.size()) return;
    double& mean = meanByClass_[index];
    if (mean <= 0.0) mean = kInitialLoad;  // a single measurement is not representative
    mean += (std::min(load, kOutlierMultiple * mean) - mean) * kSmoothingFactor;
}

void ConnectionLoadEstimate::store(LearnedFleetState& learned) const {
    learned.typicalLoad = typical_;
    learned.meanLoadByClass = meanByClass_;
}

void ConnectionLoadEstimate::restore(const LearnedFleetState& learned) {
    typical_ = learned.typicalLoad;
    meanByClass_ = learned.meanLoadByClass;
    arrivals_ = 1.0 / kSmoothingFactor;
}

}  // namespace ivyreel
