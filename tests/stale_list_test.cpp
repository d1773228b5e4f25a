// Tests that a node withholds endpoints from new connections because of their responses while its watch at
// discovery is lost.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

constexpr int kManyRequests = 30;
constexpr int kMaxConnects = 500;  // limit of connections until the node selects the endpoint

// A node with two endpoints. Its watch was live and has ended, and its next call has no response yet.
class StaleEndpointList : public testing::Test {
  protected:
    StaleEndpointList() {
        NodeProcess::Options options = optionsFor(first, discovery);
        options.servers.emplace_back("s-2", second.address());
        node.emplace(options);
        {
            const StubDiscovery::Watch watch = discovery.next();
            makeLive(watch);
            established.emplace(connectAt(first));
        }
        unanswered.emplace(discovery.next());
    }

    void makeLive(const StubDiscovery::Watch& watch) {
        watch.begin();
        watch.line("");
        node->awaitLogLine("the list is live");
    }

    // Waits for the next request and returns the endpoint that received it.
    StubServer& awaitSelected() {
        while (first.hasNoQueuedConnection() && second.hasNoQueuedConnection()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return first.hasNoQueuedConnection() ? second : first;
    }

    // Opens connections until one is established at this endpoint, and returns that one.
    EstablishedPair connectAt(StubServer& server) {
        for (int i = 0; i < kMaxConnects; ++i) {
            TestConnection client = node->client(newOpeningLine());
            StubServer& selected = awaitSelected();
            auto opened = selected.nextOpened();
            opened.connection.send("UP r1\r\n");
            EXPECT_EQ(client.line(), "UP r1");
            if (&selected == &server) return {std::move(client), std::move(opened.connection)};
        }
        ADD_FAILURE() << "the node selected the endpoint for none of the connections";
        return {TestConnection{-1}, TestConnection{-1}};
    }

    void expectNoRequestsAt(StubServer& server) {
        StubServer& other = &server == &first ? second : first;
        for (int i = 0; i < kManyRequests; ++i) {
            establishConnection(*node, other);
            EXPECT_TRUE(server.hasNoQueuedConnection());
        }
    }

    StubServer first;
    StubServer second;
    StubDiscovery discovery;
    std::optional<NodeProcess> node;
    std::optional<EstablishedPair> established;
    std::optional<StubDiscovery::Watch> unanswered;  // the call after the watch was lost
};

TEST_F(StaleEndpointList, AnEndpointThatSentMoveGetsNoRequestsUntilTheListIsLive) {
    established->server.send("MOVE\r\n");
    node->awaitLogLine("is withheld");
    expectNoRequestsAt(first);
    EXPECT_EQ(node->counter("withheld"), 1);
    makeLive(*unanswered);
    node->awaitLogLine("is no longer withheld");
    connectAt(first);
    EXPECT_EQ(node->counter("withheld_cleared"), 1);
}

TEST_F(StaleEndpointList, AnEndpointWithCapacityThatAnswersBusyGetsNoRequestsUntilTheListIsLive) {
    while (first.healthChecks() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));  // the load report shows spare capacity
    }
    for (int rejections = 0; rejections < 2;) {
        TestConnection client = node->client(newOpeningLine());
        StubServer& server = awaitSelected();
        auto opened = server.nextOpened();
        if (&server == &first) {
            opened.connection.send("BUSY\r\n");
            ++rejections;
            opened = second.nextOpened();
        }
        opened.connection.send("UP r1\r\n");
        EXPECT_EQ(client.line(), "UP r1");
    }
    node->awaitLogLine("is withheld");
    expectNoRequestsAt(first);
    makeLive(*unanswered);
    node->awaitLogLine("is no longer withheld");
    connectAt(first);
}

// A live list is authoritative: responses of an endpoint must not cause withholding.
TEST_F(StaleEndpointList, MoveWhileTheListIsLiveWithholdsNoEndpoint) {
    makeLive(*unanswered);
    established->server.send("MOVE\r\n");
    EXPECT_EQ(established->client.line(), "MOVE");
    connectAt(first);
    EXPECT_EQ(node->counter("withheld"), 0);
}

}  // namespace
}  // namespace ivyreel::test
