// Each request gets exactly one final answer, before the client's timeout.
#include <gtest/gtest.h>

#include "decision_engine_driver.hpp"

namespace ivyreel::test {
namespace {

TEST(FinalAnswer, SentOnceInTimeWithoutEndpoints) {
    DecisionEngineDriver d{defaultSettings()};
    const RequestId request = d.submitRequest();
    d.advance(3200ms);
    EXPECT_EQ(d.finalAnswers(request), 1);
}

TEST(FinalAnswer, SentInTimeDuringHangingAttempt) {
    DecisionEngineDriver d =
        makeDriver(withIdempotency(Idempotency::NonIdempotent), {endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.advance(3200ms);
    EXPECT_EQ(d.attempts(request), 1);
    EXPECT_EQ(d.failures(request), 1) << "a request that may be executing is not rejected";
    EXPECT_EQ(d.rejections(request), 0);
    d.endAttempt(request, Outcome::Timeout);
    d.advance(5s);
    EXPECT_EQ(d.attempts(request), 1) << "no attempt starts after the final answer";
    EXPECT_EQ(d.finalAnswers(request), 1);
}

TEST(FinalAnswer, NotSentAfterClientDisconnects) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.deliver(ClientDisconnected{request});
    d.endAttempt(request, Outcome::Cancelled);
    d.advance(5s);
    EXPECT_EQ(d.attempts(request), 1);
    EXPECT_EQ(d.finalAnswers(request), 0);
}

TEST(FinalAnswer, NotSentForEstablishedConnection) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.establishConnection(request);
    d.advance(30s);
    EXPECT_EQ(d.finalAnswers(request), 0);
    EXPECT_EQ(d.attempts(request), 1);
}

TEST(FinalAnswer, SentAtOnceAfterLastAttempt) {
    DecisionEngineDriver d =
        makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2), endpointEntry(3), endpointEntry(4),
                                       endpointEntry(5), endpointEntry(6)});
    const RequestId request = d.submitRequest();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(d.finalAnswers(request), 0);
        d.endAttempt(request, Outcome::Error);
    }
    EXPECT_EQ(d.attempts(request), 4);
    EXPECT_EQ(d.finalAnswers(request), 1);
}

}  // namespace
}  // namespace ivyreel::test
