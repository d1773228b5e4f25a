// Tests which request ids are known, and for how long.
#include "proxy/recent_request_ids.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

TEST(RecentRequestIds, AnIdIsKnownWhileItsRequestIsOpenAndTenSecondsMore) {
    RecentRequestIds ids;
    ids.open(7);
    EXPECT_EQ(ids.openCount(), 1U);
    EXPECT_TRUE(ids.isKnown(7, 100s));
    ids.close(7, 100s);
    EXPECT_EQ(ids.openCount(), 0U);
    EXPECT_TRUE(ids.isKnown(7, 110s));
    EXPECT_FALSE(ids.isKnown(7, 110s + 1us));
    EXPECT_FALSE(ids.isKnown(8, 100s));
}

TEST(RecentRequestIds, EvictsTheOldestEndedIdsBeyondTheLimit) {
    RecentRequestIds ids;
    for (std::uint64_t id = 0; id <= 131'072; ++id) {
        ids.open(id);
        ids.close(id, 1s);
    }
    EXPECT_FALSE(ids.isKnown(0, 1s));
    EXPECT_TRUE(ids.isKnown(1, 1s));
    EXPECT_EQ(ids.all().size(), 131'072U);
}

// Guards against a second run of an unsafe request: at over 410 ends a second, an id was forgotten before its
// 10 s.
TEST(RecentRequestIds, FiveThousandEndsASecondAreAllKnownForTenSeconds) {
    constexpr std::uint64_t kEnds = 50'000;
    constexpr Micros kInterval = 200us;
    RecentRequestIds ids;
    for (std::uint64_t id = 0; id < kEnds; ++id) {
        ids.open(id);
        ids.close(id, 100s + id * kInterval);
        ASSERT_TRUE(ids.isKnown(id / 2, 100s + id * kInterval)) << id;
    }
    EXPECT_TRUE(ids.isKnown(0, 110s));
    EXPECT_FALSE(ids.isKnown(0, 110s + 1us));
    EXPECT_TRUE(ids.isKnown(1, 110s + 1us));
}

// Guards against a second run of an unsafe request: an id that had ended and is in use again was forgotten
// 10 s after its first end.
TEST(RecentRequestIds, AnIdThatIsInUseAgainDoesNotExpire) {
    RecentRequestIds ids;
    ids.open(7);
    ids.close(7, 100s);
    ids.open(7);
    EXPECT_TRUE(ids.isKnown(7, 1000s));
    ids.close(7, 1000s);
    EXPECT_TRUE(ids.isKnown(7, 1010s));
    EXPECT_FALSE(ids.isKnown(7, 1010s + 1us));
}

TEST(RecentRequestIds, AnIdIsKnownUntilTenSecondsAfterItsLastUserHasEnded) {
    RecentRequestIds ids;
    ids.open(7);
    ids.hold(7);
    ids.close(7, 100s);
    EXPECT_EQ(ids.openCount(), 0U);
    EXPECT_TRUE(ids.isKnown(7, 200s)) << "another process uses it";
    ids.open(7);
    ids.release(7, 200s);
    EXPECT_TRUE(ids.isKnown(7, 300s)) << "a request of this node uses it";
    ids.close(7, 300s);
    EXPECT_TRUE(ids.isKnown(7, 310s));
    EXPECT_FALSE(ids.isKnown(7, 310s + 1us));
    EXPECT_TRUE(ids.all().empty());
}

TEST(RecentRequestIds, ObserverIsCalledForTheFirstAndTheLastRequestOfThisNode) {
    std::vector<std::pair<std::uint64_t, bool>> calls;
    RecentRequestIds ids;
    ids.setObserver([&calls](std::uint64_t id, bool open) { calls.emplace_back(id, open); });
    ids.hold(7);
    EXPECT_TRUE(calls.empty()) << "only another process uses it";
    ids.open(7);
    ids.open(7);
    ids.release(7, 1s);
    ids.close(7, 1s);
    EXPECT_EQ(calls, (std::vector<std::pair<std::uint64_t, bool>>{{7, true}}));
    ids.close(7, 1s);
    EXPECT_EQ(calls, (std::vector<std::pair<std::uint64_t, bool>>{{7, true}, {7, false}}));
}

TEST(RecentRequestIds, OpenIdsDoNotCountTowardsTheLimitOfEndedIds) {
    RecentRequestIds ids;
    for (std::uint64_t id = 0; id < 200'000; ++id) {
        ids.open(id);
    }
    for (std::uint64_t id = 0; id < 200'000; ++id) {
        EXPECT_TRUE(ids.isKnown(id, 1s)) << id;
    }
    EXPECT_EQ(ids.all().size(), 200'000U);
}

}  // namespace
}  // namespace ivyreel
