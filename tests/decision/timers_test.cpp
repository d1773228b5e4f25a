// Tests the intervals of the two timers.
#include "decision/timers.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(Timers, AreNoShorterThanTheResolution) {
    Settings settings = defaultSettings();
    settings.eventResolution = 1ms;
    EXPECT_EQ(endpointTimerInterval(settings), 100ms);
    EXPECT_EQ(requestTimerInterval(settings), 20ms);
    settings.eventResolution = 50ms;
    EXPECT_EQ(endpointTimerInterval(settings), 100ms);
    EXPECT_EQ(requestTimerInterval(settings), 50ms);
    settings.eventResolution = 150ms;
    EXPECT_EQ(endpointTimerInterval(settings), 150ms);
    EXPECT_EQ(requestTimerInterval(settings), 150ms);
}

TEST(Timers, HaveDifferentTokens) {
    EXPECT_NE(kEndpointTimer, kRequestTimer);
}

}  // namespace
}  // namespace ivyreel::test
