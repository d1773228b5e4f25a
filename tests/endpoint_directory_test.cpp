// The endpoint directory (availability and bans) and the request tracker's timer queue.
#include "requests/endpoint_directory.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "requests/timer_queue.hpp"

namespace ivyreel::test {
namespace {

EndpointEntry entryOf(EndpointId id, Availability availability) {
    EndpointEntry entry;
    entry.id = id;
    entry.availability = availability;
    return entry;
}

TEST(EndpointDirectory, AFullListMakesMissingEndpointsUnavailable) {
    EndpointDirectory directory;
    directory.update(
        {EndpointListKind::Cached,
         {entryOf(EndpointId{1}, Availability::Ready), entryOf(EndpointId{2}, Availability::Ready)}});
    directory.update({EndpointListKind::Delta, {entryOf(EndpointId{3}, Availability::Draining)}});
    EXPECT_TRUE(directory.isUsable(EndpointId{1}));
    EXPECT_FALSE(directory.isUsable(EndpointId{3})) << "draining";
    EXPECT_EQ(directory.listedCount(), 3U);
    directory.update({EndpointListKind::Full, {entryOf(EndpointId{2}, Availability::Ready)}});
    EXPECT_FALSE(directory.isUsable(EndpointId{1}));
    EXPECT_TRUE(directory.contains(EndpointId{1})) << "the endpoint was listed before";
    EXPECT_EQ(directory.listedCount(), 1U);
}

TEST(EndpointDirectory, ABanIsIndependentOfTheList) {
    EndpointDirectory directory;
    EXPECT_FALSE(directory.isBanned(EndpointId{1}));
    directory.setBanned(EndpointId{1}, true);
    directory.update({EndpointListKind::Full, {entryOf(EndpointId{1}, Availability::Ready)}});
    directory.add(EndpointId{1});
    EXPECT_TRUE(directory.isBanned(EndpointId{1}));
    EXPECT_FALSE(directory.isUsable(EndpointId{1}));
    directory.add(EndpointId{2});
    EXPECT_EQ(directory.banned(), std::vector{EndpointId{1}});
    EXPECT_EQ(directory.all(), (std::vector{EndpointId{1}, EndpointId{2}}));
    directory.setBanned(EndpointId{1}, false);
    EXPECT_TRUE(directory.isUsable(EndpointId{1}));
}

TEST(TimerQueue, ReturnsTimersInTheOrderOfTheirDueTimes) {
    TimerQueue timers;
    EXPECT_EQ(timers.nextDue(), Time::max());
    timers.add(Time{20}, TimerToken{2});
    timers.add(Time{10}, TimerToken{1});
    timers.add(Time{20}, TimerToken{3});
    EXPECT_EQ(timers.nextDue(), Time{10});
    EXPECT_EQ(timers.takeDue(Time{9}), std::nullopt);
    EXPECT_EQ(timers.takeDue(Time{20}), TimerToken{1});
    EXPECT_EQ(timers.takeDue(Time{20}), TimerToken{2});
    EXPECT_EQ(timers.takeDue(Time{20}), TimerToken{3})
        << "timers with equal due times are in the order of their addition";
    EXPECT_EQ(timers.takeDue(Time{20}), std::nullopt);
}

}  // namespace
}  // namespace ivyreel::test
