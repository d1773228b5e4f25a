#include "decision/endpoint_list_polling.hpp"

#include <algorithm>

#include "decision/duration_arithmetic.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kFirstBackoff = 500ms;

}  // namespace

void EndpointListPolling::recordPoll(Time now, Micros maxPollInterval) {
    dueAt_ = now + maxPollInterval / 2;
}

void EndpointListPolling::recordFailure(Time now, Micros maxPollInterval, SplitMix64& random) {
    backoff_ = std::min(std::max(backoff_ * 2, kFirstBackoff), maxPollInterval / 4);
    dueAt_ = now + scaled(backoff_, 0.5 + random.next());
}

void EndpointListPolling::recordSuccess() {
    backoff_ = Micros{0};
    dueAt_ = Time::max();
}

}  // namespace ivyreel
