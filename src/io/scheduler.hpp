// A single-threaded scheduler of coroutines, with epoll and timers.
//
// A coroutine waits on a Signal for a socket to become ready, for another coroutine, or for a point in time.
// The dispatch of events only raises signals. The coroutines are resumed afterwards, one after another, so no
// coroutine is resumed twice or destroyed while events are dispatched.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <coroutine>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "io/clock.hpp"
#include "io/task.hpp"

namespace ivyreel {

// A deadline that is never reached.
constexpr Time kNever = Time::max();

class Signal;

// Owns the spawned coroutines and resumes those that are ready.
class Scheduler {
  public:
    // Uses the system clock. Both constructors throw std::system_error.
    Scheduler();
    explicit Scheduler(std::unique_ptr<Clock> clock);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    Scheduler(Scheduler&&) = delete;
    Scheduler& operator=(Scheduler&&) = delete;

    Time now() const { return clock_->now(); }

    // Starts a coroutine that no other coroutine awaits. Its frame is destroyed when the coroutine ends, by
    // destroyTasks(), or by the scheduler's destructor. A std::exception that the coroutine does not catch is
    // logged and ends that coroutine only; any other uncaught exception terminates the process.
    void spawn(Task<void> task);
    // Resumes a coroutine in the next round, or in the current round if `tick` calls this function.
    void post(std::coroutine_handle<> ready) { ready_.push_back(ready); }

    // Runs rounds until stop(). A round calls `tick`, resumes the coroutines that are ready, and then waits
    // for events and timers. The result of `tick` is the time by which the next call is due.
    void run(const std::function<Time()>& tick = [] { return kNever; });
    void stop() { stopped_ = true; }
    // Destroys the frames of all spawned coroutines. The owner of objects that the coroutines refer to calls
    // this before it destroys those objects.
    void destroyTasks();

    // Raises the signal for events of the descriptor, edge-triggered, until unwatch(), or until the
    // descriptor is closed in every process that has it open. Throws std::system_error.
    void watch(int descriptor, Signal& signal);
    // Stops watching a descriptor that stays open in this process or in another one.
    void unwatch(int descriptor);
    // Decrements the count of watched descriptors. The caller has closed a watched descriptor, which ends the
    // watch only if no other process has that descriptor open.
    void onWatchedDescriptorClosed() { --descriptors_; }

    // The number of watched descriptors, and the number of spawned coroutines that have not ended.
    std::size_t watchedDescriptorCount() const { return descriptors_; }
    std::size_t tasks() const { return roots_.size(); }

  private:
    friend class Signal;
    struct Root;
    using Timers = std::multimap<Time, Signal*>;

    static constexpr std::size_t kMaxEventsPerRound = 256;

    static Root start(Scheduler& scheduler, Task<void> task);
    void waitForEvents(Time deadline);
    void fireTimers();
    void runReady();

    int epoll_;
    std::unique_ptr<Clock> clock_;
    bool stopped_ = false;
    std::size_t descriptors_ = 0;  // watched
    std::array<epoll_event, kMaxEventsPerRound> events_{};
    Timers timers_;
    std::vector<std::coroutine_handle<>> ready_;
    std::unordered_set<void*> roots_;  // frames of the spawned coroutines
    std::vector<void*> ended_;         // frames of ended coroutines, to be destroyed
};

// An event that at most one coroutine waits for. A signal that is raised while no coroutine waits stays
// raised until the next wait.
class Signal {
  public:
    explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
    ~Signal() { clearTimer(); }
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    Signal(Signal&&) = delete;
    Signal& operator=(Signal&&) = delete;

    // Resumes the waiting coroutine as Scheduler::post does.
    void raise();

    // The awaitable of wait().
    class Wait {
      public:
        Wait(Signal& signal, Time deadline) : signal_(signal), deadline_(deadline) {}
        bool await_ready() const { return false; }
        void await_suspend(std::coroutine_handle<> waiting);
        void await_resume() { signal_.raised_ = false; }

      private:
        Signal& signal_;
        Time deadline_;
    };

    // Resumes the caller after the signal is raised or at the deadline. The caller is suspended even if the
    // signal is already raised, so that the other ready coroutines run first.
    Wait wait(Time deadline = kNever) { return {*this, deadline}; }

    Scheduler& scheduler() const { return scheduler_; }

  private:
    friend class Scheduler;
    void wake();
    void clearTimer();

    Scheduler& scheduler_;
    bool raised_ = false;
    std::coroutine_handle<> waiting_;
    bool hasTimer_ = false;
    Scheduler::Timers::iterator timer_;
};

}  // namespace ivyreel
