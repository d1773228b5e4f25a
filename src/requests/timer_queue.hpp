// Timers of the decision engine, ordered by due time; timers with the same due time are in the order of their
// addition.
#pragma once

#include <map>
#include <optional>

#include "decision/types.hpp"

namespace ivyreel {

class TimerQueue {
  public:
    void add(Time due, TimerToken token) { timers_.emplace(due, token); }

    // Removes and returns the first timer that is due; nullopt if no timer is due.
    std::optional<TimerToken> takeDue(Time now) {
        if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
        const TimerToken token = timers_.begin()->second;
        timers_.erase(timers_.begin());
        return token;
    }

    // The due time of the first timer; Time::max() if there are no timers.
    Time nextDue() const { return timers_.empty() ? Time::max() : timers_.begin()->first; }

  private:
    std::multimap<Time, TimerToken> timers_;
};

}  // namespace ivyreel
