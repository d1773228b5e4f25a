// Tests which message delays count as late.
#include "decision/message_delay.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

// Returns an endpoint after a message with this delay; its last health check was 10 s ago.
Endpoint endpointAfterDelay(double delayMs, Micros objective = 100ms) {
    Endpoint endpoint;
    endpoint.healthCheck.startedAt = kNow - 10s;
    recordMessageDelay(endpoint, delayMs, objective, kNow);
    return endpoint;
}

bool isLate(const Endpoint& endpoint) {
    return endpoint.lastLateMessageAt == kNow;
}

TEST(MessageDelay, IsLateBeyondHalfTheObjective) {
    EXPECT_FALSE(isLate(endpointAfterDelay(50.0)));
    EXPECT_TRUE(isLate(endpointAfterDelay(50.1)));
}

TEST(MessageDelay, BeyondTheObjectiveTriggersAHealthCheck) {
    EXPECT_EQ(endpointAfterDelay(100.0).healthCheck.extraCheckAt, Time::max());
    EXPECT_EQ(endpointAfterDelay(100.1).healthCheck.extraCheckAt, kNow);
}

TEST(MessageDelay, IsNeverLateWithoutAnObjective) {
    for (const Micros objective : {Micros{0}, Micros{-1s}}) {
        const Endpoint endpoint = endpointAfterDelay(1e9, objective);
        EXPECT_FALSE(isLate(endpoint));
        EXPECT_EQ(endpoint.healthCheck.extraCheckAt, Time::max());
    }
}

TEST(MessageDelay, NegativeDelayIsNotLate) {
    EXPECT_FALSE(isLate(endpointAfterDelay(-1e9)));
}

}  // namespace
}  // namespace ivyreel::test
