#include "io/scheduler.hpp"

#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <exception>
#include <span>
#include <system_error>
#include <utility>

namespace ivyreel {

namespace {

constexpr Micros kMaxWait{60'000'000};

}  // namespace

// The coroutine that spawn() wraps around a task. At its end it passes its frame to the scheduler, which
// destroys the frame once the coroutine is suspended.
struct Scheduler::Root {
    struct promise_type {
        Scheduler& scheduler;

        promise_type(Scheduler& owner, Task<void>&) : scheduler(owner) {}
        Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
        std::suspend_always initial_suspend() const noexcept { return {}; }
        struct PassFrameToScheduler {
            bool await_ready() const noexcept { return false; }
            void await_suspend(std::coroutine_handle<promise_type> frame) const noexcept {
                frame.promise().scheduler.ended_.push_back(frame.address());
            }
            void await_resume() const noexcept {}
        };
        PassFrameToScheduler final_suspend() const noexcept { return {}; }
        void return_void() const noexcept {}
        void unhandled_exception() const noexcept { std::terminate(); }
    };
    std::coroutine_handle<promise_type> frame;
};

Scheduler::Scheduler() : Scheduler(std::make_unique<SystemClock>()) {}

Scheduler::Scheduler(std::unique_ptr<Clock> clock)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), clock_(std::move(clock)) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Scheduler::~Scheduler() {
    destroyTasks();
    ::close(epoll_);
}

// The destructors of objects in a frame may call spawn() and post(): the loop destroys coroutines spawned
// this way too, and clear() discards the posted handles.
void Scheduler::destroyTasks() {
    while (!roots_.empty()) {
        void* const frame = *roots_.begin();
        roots_.erase(roots_.begin());
        std::coroutine_handle<>::from_address(frame).destroy();
    }
    ready_.clear();
}

Scheduler::Root Scheduler::start(Scheduler& /*scheduler*/, Task<void> task) {
    try {
        co_await task;
    } catch (const std::exception& error) {
        spdlog::error("uncaught exception in a coroutine: {}", error.what());
    }
}

void Scheduler::spawn(Task<void> task) {
    const Root root = start(*this, std::move(task));
    roots_.insert(root.frame.address());
    post(root.frame);
}

void Scheduler::watch(int descriptor, Signal& signal) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = &signal;
    if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    ++descriptors_;
}

// Closing the descriptor does not end the watch if another process has it open too: epoll would continue to
// report its events.
void Scheduler::unwatch(int descriptor) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
    --descriptors_;
}

void Scheduler::run(const std::function<Time()>& tick) {
    stopped_ = false;
    while (!stopped_) {
        const Time next = tick();
        runReady();
        if (stopped_) return;
        const Time timer = timers_.empty() ? kNever : timers_.begin()->first;
        waitForEvents(ready_.empty() ? std::min(next, timer) : Time{0});
        fireTimers();
    }
}

// Resumes the coroutines that are ready now. Those that become ready meanwhile are resumed after the next
// wait for events, so that no coroutine starves others.
void Scheduler::runReady() {
    const auto round = std::exchange(ready_, {});
    for (const std::coroutine_handle<> handle : round) {
        handle.resume();
        for (void* frame : std::exchange(ended_, {})) {
            roots_.erase(frame);
            std::coroutine_handle<>::from_address(frame).destroy();
        }
    }
}

void Scheduler::waitForEvents(Time deadline) {
    const Micros timeout = deadline == kNever ? kMaxWait : std::clamp(deadline - now(), Micros{0}, kMaxWait);
    const std::size_t count = clock_->wait(epoll_, events_, timeout);
    for (const epoll_event& event : std::span(events_).first(count)) {
        static_cast<Signal*>(event.data.ptr)->raise();
    }
}

void Scheduler::fireTimers() {
    const Time current = now();
    while (!timers_.empty() && timers_.begin()->first <= current) {
        timers_.begin()->second->wake();
    }
}

void Signal::raise() {
    raised_ = true;
    wake();
}

void Signal::wake() {
    clearTimer();
    if (waiting_) scheduler_.post(std::exchange(waiting_, {}));
}

void Signal::clearTimer() {
    if (!hasTimer_) return;
    hasTimer_ = false;
    scheduler_.timers_.erase(timer_);
}

void Signal::Wait::await_suspend(std::coroutine_handle<> waiting) {
    if (signal_.raised_) return signal_.scheduler_.post(waiting);  // after those that are already ready
    signal_.waiting_ = waiting;
    if (deadline_ == kNever) return;
    signal_.timer_ = signal_.scheduler_.timers_.emplace(deadline_, &signal_);
    signal_.hasTimer_ = true;
}

}  // namespace ivyreel
