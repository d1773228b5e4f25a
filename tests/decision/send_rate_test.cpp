// Tests the load that a node sends per second.
#include "decision/send_rate.hpp"

#include <gtest/gtest.h>

#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

RecentSend sendAt(Time at, double load, std::uint64_t request = 1) {
    return {RequestId{request}, at, load, false};
}

TEST(SendRate, IsZeroWithoutSends) {
    SendRate rate;
    EXPECT_EQ(rate.measure(kNow, 0.0), 0.0);
    EXPECT_EQ(rate.measure(kNow, 1000.0), 0.0);
}

TEST(SendRate, WindowIsTenSecondsWithoutArrivals) {
    SendRate rate;
    rate.recordSend(sendAt(kNow - 9s, 50'000));
    EXPECT_DOUBLE_EQ(rate.measure(kNow, 0.0), 5'000);
}

TEST(SendRate, WindowIsTwoSecondsWithManyArrivals) {
    SendRate rate;
    rate.recordSend(sendAt(kNow - 2s, 70'000));
    rate.recordSend(sendAt(kNow - 1s, 50'000));
    EXPECT_DOUBLE_EQ(rate.measure(kNow, 1e9), 25'000) << "The older send is outside the window.";
}

TEST(SendRate, WindowSpansFourSends) {
    SendRate rate;
    rate.recordSend(sendAt(kNow - 3999ms, 40'000));
    EXPECT_DOUBLE_EQ(rate.measure(kNow, 1.0), 10'000);
    EXPECT_DOUBLE_EQ(rate.measure(kNow + 1ms, 1.0), 0.0) << "The send is just outside the window.";
}

TEST(SendRate, RemovesSendsAfterTenSeconds) {
    SendRate rate;
    rate.recordSend(sendAt(kNow, 40'000));
    EXPECT_EQ(rate.measure(kNow + 10s, 0.0), 0.0);
    EXPECT_EQ(rate.measure(kNow, 0.0), 0.0) << "The send has been removed.";
}

TEST(SendRate, RemovesTheSendsOfOneRequest) {
    SendRate rate;
    rate.recordSend(sendAt(kNow, 40'000, 1));
    rate.recordSend(sendAt(kNow, 20'000, 2));
    rate.removeSend(RequestId{1});
    rate.removeSend(RequestId{3});
    EXPECT_DOUBLE_EQ(rate.measure(kNow, 1e9), 10'000);
}

}  // namespace
}  // namespace ivyreel::test
