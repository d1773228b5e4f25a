// Tests which request ids are known, and for how long.
#include "proxy/recent_request_ids.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

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
    for (std::uint64_t id = 0; id <= 4096; ++id) {
        ids.open(id);
        ids.close(id, 1s);
    }
    EXPECT_FALSE(ids.isKnown(0, 1s));
    EXPECT_TRUE(ids.isKnown(1, 1s));
    EXPECT_EQ(ids.all().size(), 4096U);
}

TEST(RecentRequestIds, IdsOfAnotherNodeCountAsEndedNow) {
    RecentRequestIds ids;
    ids.open(7);
    ids.addEnded({7, 8}, 20s);
    EXPECT_EQ(ids.openCount(), 1U);
    EXPECT_TRUE(ids.isKnown(8, 30s));
    EXPECT_FALSE(ids.isKnown(8, 31s));
    EXPECT_TRUE(ids.isKnown(7, 31s)) << "the request is still open at this node";
}

}  // namespace
}  // namespace ivyreel
