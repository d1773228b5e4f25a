// Changes to the settings while requests are in flight.
#include <gtest/gtest.h>

#include <utility>

#include "decision_engine_driver.hpp"

namespace ivyreel::test {
namespace {

TEST(SettingsChange, RequestKeepsTheClassSettingsItArrivedWith) {
    for (const auto& [before, after] : {std::pair(Idempotency::NonIdempotent, Idempotency::Idempotent),
                                        std::pair(Idempotency::Idempotent, Idempotency::NonIdempotent)}) {
        DecisionEngineDriver d = makeDriver(withIdempotency(before), {endpointEntry(1), endpointEntry(2)});
        const RequestId old = d.submitRequest();
        d.deliver(SettingsChanged{withIdempotency(after)});
        const RequestId later = d.submitRequest();
        d.endAttempt(old, Outcome::Timeout);
        d.endAttempt(later, Outcome::Timeout);
        EXPECT_EQ(d.attempts(old), before == Idempotency::Idempotent ? 2 : 1);
        EXPECT_EQ(d.attempts(later), after == Idempotency::Idempotent ? 2 : 1);
    }
}

TEST(SettingsChange, LowerAttemptLimitAppliesAtOnceHigherOnlyToNewRequests) {
    Settings few = defaultSettings();
    few.limits.maxAttempts = 1;
    Settings many = defaultSettings();
    many.limits.maxAttempts = 2;
    DecisionEngineDriver fewer = makeDriver(many, {endpointEntry(1), endpointEntry(2)});
    const RequestId limited = fewer.submitRequest();
    fewer.deliver(SettingsChanged{few});
    fewer.endAttempt(limited, Outcome::ConnectFailed);
    EXPECT_EQ(fewer.attempts(limited), 1);
    EXPECT_EQ(fewer.rejections(limited), 1);
    DecisionEngineDriver more = makeDriver(few, {endpointEntry(1), endpointEntry(2)});
    const RequestId old = more.submitRequest();
    more.deliver(SettingsChanged{many});
    const RequestId later = more.submitRequest();
    more.endAttempt(old, Outcome::ConnectFailed);
    more.endAttempt(later, Outcome::ConnectFailed);
    EXPECT_EQ(more.attempts(old), 1);
    EXPECT_EQ(more.attempts(later), 2);
}

TEST(SettingsChange, AddedClassAppliesAndEndpointStateIsKept) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    d.timeOutHealthChecks(1);
    d.advance(3s);
    Settings more = defaultSettings();
    more.classes.push_back(more.classes[0]);
    more.classes[1].idempotency = Idempotency::NonIdempotent;
    d.deliver(SettingsChanged{more});
    const RequestId request = d.submitRequest(0, 3200ms, 1);
    EXPECT_EQ(d.target(request), 2U) << "endpoint 1 is unhealthy";
    d.endAttempt(request, Outcome::Timeout);
    EXPECT_EQ(d.failures(request), 1);
}

}  // namespace
}  // namespace ivyreel::test
