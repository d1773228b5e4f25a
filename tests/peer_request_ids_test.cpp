// Tests how long a node knows the request ids of the other process of a hot restart.
#include "proxy/peer_request_ids.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>

#include "virtual_clock.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

struct PeerRequestIdsFixture {
    Scheduler scheduler{std::make_unique<VirtualClock>()};
    RecentRequestIds ids;
    PeerRequestIds peer{ids, scheduler};

    Time start() const { return scheduler.now(); }
};

TEST(PeerRequestIds, IdsAreKnownUntilTenSecondsAfterThePeerHasExited) {
    PeerRequestIdsFixture fixture;
    fixture.ids.open(7);
    fixture.peer.add(7);
    fixture.peer.add(8);
    EXPECT_EQ(fixture.ids.openCount(), 1U) << "the peer's requests are not open at this node";
    EXPECT_TRUE(fixture.ids.isKnown(8, fixture.start() + 1h)) << "its request may be open at the peer";
    fixture.peer.clear();
    EXPECT_TRUE(fixture.ids.isKnown(8, fixture.start() + 10s));
    EXPECT_FALSE(fixture.ids.isKnown(8, fixture.start() + 10s + 1us));
    EXPECT_TRUE(fixture.ids.isKnown(7, fixture.start() + 1h)) << "the request is still open at this node";
}

TEST(PeerRequestIds, AnIdThatIsAddedTwiceIsHeldOnce) {
    PeerRequestIdsFixture fixture;
    fixture.peer.add(8);
    fixture.peer.add(8);
    fixture.peer.clear();
    EXPECT_FALSE(fixture.ids.isKnown(8, fixture.start() + 11s));
}

TEST(PeerRequestIds, AnIdIsKnownUntilTenSecondsAfterThePeersRequestHasEnded) {
    PeerRequestIdsFixture fixture;
    fixture.peer.add(8);
    fixture.peer.remove(8);
    fixture.peer.remove(9);
    EXPECT_TRUE(fixture.ids.isKnown(8, fixture.start() + 10s));
    EXPECT_FALSE(fixture.ids.isKnown(8, fixture.start() + 10s + 1us));
    EXPECT_FALSE(fixture.ids.isKnown(9, fixture.start())) << "the peer did not use it";
    fixture.peer.clear();
    EXPECT_TRUE(fixture.ids.all().empty());
}

// Guards against the loss of open ids at an upgrade of a large node: all ids of the predecessor counted as
// ended, and all but the last 4,096 were forgotten at once.
TEST(PeerRequestIds, MoreIdsThanTheLimitOfEndedIdsStayKnown) {
    PeerRequestIdsFixture fixture;
    for (std::uint64_t id = 0; id < 200'000; ++id) {
        fixture.peer.add(id);
    }
    for (std::uint64_t id = 0; id < 200'000; ++id) {
        EXPECT_TRUE(fixture.ids.isKnown(id, fixture.start())) << id;
    }
}

}  // namespace
}  // namespace ivyreel
