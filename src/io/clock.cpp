#include "io/clock.hpp"

#include <cerrno>
#include <ctime>
#include <system_error>

namespace ivyreel {

namespace {

timespec toTimespec(Micros duration) {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(duration);
    timespec result{};
    result.tv_sec = seconds.count();
    result.tv_nsec = std::chrono::nanoseconds(duration - seconds).count();
    return result;
}

}  // namespace

SystemClock::SystemClock()
    : steadyStart_(std::chrono::steady_clock::now()),
      unixStart_(std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch())) {}

Time SystemClock::now() const {
    return unixStart_ + std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - steadyStart_);
}

std::size_t SystemClock::wait(int epoll, std::span<epoll_event> events, Micros timeout) {
    const timespec limit = toTimespec(timeout);
    const int count = ::epoll_pwait2(epoll, events.data(), static_cast<int>(events.size()), &limit, nullptr);
    if (count >= 0) return static_cast<std::size_t>(count);
    if (errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_pwait2");
    return 0;
}

}  // namespace ivyreel
