// The scheduler's source of time, which also waits for events with a timeout. Tests replace the system clock
// with a virtual one.
#pragma once

#include <sys/epoll.h>

#include <chrono>
#include <cstddef>
#include <span>

namespace ivyreel {

using Micros = std::chrono::microseconds;
using Time = std::chrono::microseconds;  // Unix time in microseconds, monotonic

// The interface that the scheduler needs.
class Clock {
  public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    Clock(Clock&&) = delete;
    Clock& operator=(Clock&&) = delete;
    virtual ~Clock() = default;

    virtual Time now() const = 0;

    // Waits for events of an epoll descriptor. Returns the number of events stored in `events`: 0 after the
    // timeout, or after a signal handler has interrupted the wait. Throws std::system_error.
    virtual std::size_t wait(int epoll, std::span<epoll_event> events, Micros timeout) = 0;
};

// A monotonic clock that starts at the Unix time of its construction.
class SystemClock final : public Clock {
  public:
    SystemClock();

    Time now() const override;
    std::size_t wait(int epoll, std::span<epoll_event> events, Micros timeout) override;

  private:
    std::chrono::steady_clock::time_point steadyStart_;
    Time unixStart_;
};

}  // namespace ivyreel
