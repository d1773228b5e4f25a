// Unit tests of the scheduler: which coroutines it resumes, how often, and that it destroys their frames.
#include "io/scheduler.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include "virtual_clock.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

Task<void> waitAndCount(Signal& signal, int& count) {
    for (;;) {
        co_await signal.wait();
        ++count;
    }
}

Task<void> stopAfterRounds(Scheduler& scheduler, int rounds) {
    Signal pause{scheduler};
    while (rounds-- > 0) {
        pause.raise();
        scheduler.post(co_await [](Signal& s) -> Task<std::coroutine_handle<>> {
            co_await s.wait();
            co_return std::noop_coroutine();
        }(pause));
    }
    scheduler.stop();
}

TEST(Scheduler, VirtualClockSkipsIdleTimeToTheMicrosecond) {
    Scheduler scheduler{std::make_unique<VirtualClock>()};
    const Time start = scheduler.now();
    Time end{0};
    scheduler.spawn([](Scheduler& s, Time& ended) -> Task<void> {
        Signal pause{s};
        co_await pause.wait(s.now() + 1h + 1us);
        ended = s.now();
        s.stop();
    }(scheduler, end));
    scheduler.run();
    EXPECT_EQ(end - start, 1h + 1us);
}

TEST(Scheduler, SignalRaisedTwiceResumesItsWaiterOnce) {
    Scheduler scheduler;
    Signal signal{scheduler};
    int count = 0;
    scheduler.spawn(waitAndCount(signal, count));
    signal.raise();
    signal.raise();
    scheduler.spawn(stopAfterRounds(scheduler, 5));
    scheduler.run();
    EXPECT_EQ(count, 1);
}

TEST(Scheduler, SignalRaisedBeforeTheWaitIsKept) {
    Scheduler scheduler;
    Signal signal{scheduler};
    signal.raise();
    int count = 0;
    scheduler.spawn(waitAndCount(signal, count));
    scheduler.spawn(stopAfterRounds(scheduler, 5));
    scheduler.run();
    EXPECT_EQ(count, 1);
}

Task<void> recordAfter(Scheduler& scheduler, Micros delay, int name, std::vector<int>& order, bool last) {
    Signal signal{scheduler};
    const Time deadline = scheduler.now() + delay;
    co_await signal.wait(deadline);
    EXPECT_GE(scheduler.now(), deadline);
    order.push_back(name);
    if (last) scheduler.stop();
}

TEST(Scheduler, TimersFireInOrder) {
    Scheduler scheduler;
    std::vector<int> order;
    scheduler.spawn(recordAfter(scheduler, 30ms, 3, order, true));
    scheduler.spawn(recordAfter(scheduler, 10ms, 1, order, false));
    scheduler.spawn(recordAfter(scheduler, 20ms, 2, order, false));
    scheduler.run();
    EXPECT_EQ(order, (std::vector{1, 2, 3}));
    EXPECT_EQ(scheduler.tasks(), 0U);
}

Task<void> runForever(Scheduler& scheduler) {
    Signal signal{scheduler};
    for (;;) {
        signal.raise();
        co_await signal.wait();
        std::vector<int> order;
        co_await recordAfter(scheduler, 0ms, 0, order, false);
    }
}

TEST(Scheduler, BusyCoroutineDoesNotDelayTimers) {
    Scheduler scheduler;
    std::vector<int> order;
    scheduler.spawn(runForever(scheduler));
    scheduler.spawn(recordAfter(scheduler, 20ms, 1, order, true));
    scheduler.run();
    EXPECT_EQ(order, std::vector{1});
}

// Raises its own signal before each wait, as a coroutine does that has more input to read.
Task<void> yieldRepeatedly(Signal& signal, int& rounds, int maxRounds) {
    while (rounds < maxRounds) {
        ++rounds;
        signal.raise();
        co_await signal.wait();
    }
}

TEST(Scheduler, CoroutineThatRaisesItsOwnSignalDoesNotStarveOthers) {
    Scheduler scheduler;
    Signal first{scheduler};
    Signal second{scheduler};
    int firstRounds = 0;
    int secondRounds = 0;
    scheduler.spawn(yieldRepeatedly(first, firstRounds, 1000));
    scheduler.spawn(yieldRepeatedly(second, secondRounds, 10));
    scheduler.spawn(stopAfterRounds(scheduler, 10));
    scheduler.run();
    EXPECT_EQ(secondRounds, 10);
    EXPECT_LT(firstRounds, 20) << "the coroutine is resumed once per round";
}

Task<void> waitWith(std::shared_ptr<int> resource, Signal& signal) {
    co_await signal.wait();
    ++*resource;
}

Task<void> waitNested(std::shared_ptr<int> resource, Signal& signal) {
    co_await waitWith(resource, signal);
}

TEST(Scheduler, DestroysTheFramesOfUnfinishedTasks) {
    auto resource = std::make_shared<int>(0);
    {
        Scheduler scheduler;
        Signal signal{scheduler};
        scheduler.spawn(waitNested(resource, signal));
        scheduler.spawn(stopAfterRounds(scheduler, 3));
        scheduler.run();
        EXPECT_GT(resource.use_count(), 1);
    }
    EXPECT_EQ(resource.use_count(), 1);
}

Task<int> fail() {
    throw std::runtime_error("no");
    co_return 1;
}

Task<void> catchFailure(bool& caught) {
    try {
        co_await fail();
    } catch (const std::runtime_error&) {
        caught = true;
    }
}

Task<void> propagateFailure() {
    co_await fail();
}

TEST(Scheduler, ExceptionReachesTheAwaiterAndEndsOnlyItsTask) {
    Scheduler scheduler;
    bool caught = false;
    scheduler.spawn(catchFailure(caught));
    scheduler.spawn(propagateFailure());
    scheduler.spawn(stopAfterRounds(scheduler, 3));
    scheduler.run();
    EXPECT_TRUE(caught);
    EXPECT_EQ(scheduler.tasks(), 0U);
}

}  // namespace
}  // namespace ivyreel
