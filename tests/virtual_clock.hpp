// A clock that does not advance while there are events and skips idle time, so that a test of several minutes
// takes a fraction of a second and does not depend on the speed of the machine.
#pragma once

#include <sys/epoll.h>

#include <cerrno>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <span>
#include <system_error>

#include "io/clock.hpp"

namespace ivyreel {

class VirtualClock final : public Clock {
  public:
    Time now() const override { return now_; }

    std::size_t wait(int epoll, std::span<epoll_event> events, Micros timeout) override {
        std::size_t count = poll(epoll, events, Micros{0});
        if (count > 0 || timeout == Micros{0}) return count;
        count = poll(epoll, events, kLoopbackDeliveryTime);
        if (count == 0) now_ += timeout;
        return count;
    }

  private:
    // Real time that the kernel needs to deliver data between two sockets of this process.
    static constexpr Micros kLoopbackDeliveryTime{200};
    static constexpr Time kStart{1'700'000'000'000'000};  // an arbitrary Unix time

    static std::size_t poll(int epoll, std::span<epoll_event> events, Micros timeout) {
        timespec limit{};
        limit.tv_nsec = timeout.count() * 1'000;
        const int count =
            ::epoll_pwait2(epoll, events.data(), static_cast<int>(events.size()), &limit, nullptr);
        if (count >= 0) return static_cast<std::size_t>(count);
        if (errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_pwait2");
        return 0;
    }

    Time now_ = kStart;
};

}  // namespace ivyreel
