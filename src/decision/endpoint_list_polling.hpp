// Decides when to poll the endpoint list again in DiscoveryMode::Poll: after a failure with exponential
// backoff and jitter, and after a poll without any response. The caller makes the first poll at the start.
#pragma once

#include "decision/types.hpp"
#include "util/random.hpp"

namespace ivyreel {

class EndpointListPolling {
  public:
    // `maxPollInterval` is the age from which the list counts as stale. A poll without a response is repeated
    // after half of it.
    void recordPoll(Time now, Micros maxPollInterval);
    void recordFailure(Time now, Micros maxPollInterval, SplitMix64& random);
    // Resets the backoff. Discovery sends the changes of the list from then on, so no poll is due until the
    // next failure.
    void recordSuccess();
    bool isDue(Time now) const { return now >= dueAt_; }

  private:
    Time dueAt_{Time::max()};
    Micros backoff_{0};
};

}  // namespace ivyreel
