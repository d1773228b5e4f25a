// Hot restart with real processes: a successor replaces a running node.
#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fake_handover_peers.hpp"
#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

void awaitSuccess(const NodeProcess& node, const std::string& path) {
    while (node.adminRequest("GET", path).first != 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void expectEcho(EstablishedPair& pair) {
    pair.client.send("over and\r\n");
    EXPECT_EQ(pair.server.line(), "over and");
    pair.server.send("out\r\n");
    EXPECT_EQ(pair.client.line(), "out");
}

TEST(HotRestart, SuccessorServesAtTheSameAddressAndPredecessorAcceptsNothing) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess predecessor{restartOptions(server, directory)};
    EstablishedPair before = establishConnection(predecessor, server);
    NodeProcess successor{restartOptions(server, directory)};
    EXPECT_EQ(successor.port(), predecessor.port());
    awaitSuccess(successor, "/-/ready");
    predecessor.awaitLogLine("the successor serves");
    for (int i = 0; i < 20; ++i) {
        EstablishedPair pair = establishConnection(predecessor, server);  // both nodes have the same address
        expectEcho(pair);
    }
    EXPECT_EQ(predecessor.metric("transactions.chat.answered"), 1)
        << "only the connection established before the restart; each node has its own admin server";
    EXPECT_EQ(successor.metric("transactions.chat.answered"), 20);
    expectEcho(before);
    EXPECT_EQ(predecessor.stop(), 0) << predecessor.remainingLog();
    EXPECT_EQ(successor.stop(), 0) << successor.remainingLog();
}

TEST(HotRestart, EstablishedConnectionsAreTransferredWhenThePredecessorStops) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess predecessor{restartOptions(server, directory)};
    std::vector<EstablishedPair> pairs;
    for (int i = 0; i < 10; ++i) {
        pairs.push_back(establishConnection(predecessor, server));
    }
    pairs[0].client.send("half a ");
    pairs[1].server.send("LOAD 1000\r\nand ha");
    EXPECT_EQ(pairs[1].client.line(), "LOAD 1000");
    TestConnection pendingClient = predecessor.client(newOpeningLine());
    auto pendingAttempt = server.nextOpened();
    NodeProcess successor{restartOptions(server, directory)};
    predecessor.awaitLogLine("the successor serves");
    predecessor.signal(SIGTERM);
    predecessor.awaitLogLine("stopping");
    while (successor.metric("current") < 10) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    pendingAttempt.connection.send("UP late\r\n");
    EXPECT_EQ(pendingClient.line(), "UP late")
        << "the predecessor establishes the connection, then transfers it";
    predecessor.awaitLogLine("drained");
    predecessor.signal(SIGKILL);
    pairs[0].client.send("line\r\n");
    EXPECT_EQ(pairs[0].server.line(), "half a line");
    pairs[1].server.send("lf\r\n");
    EXPECT_EQ(pairs[1].client.line(), "and half");
    for (EstablishedPair& pair : pairs) {
        expectEcho(pair);
    }
    EstablishedPair last{std::move(pendingClient), std::move(pendingAttempt.connection)};
    expectEcho(last);
    EXPECT_EQ(successor.metric("current"), 11);
    EXPECT_EQ(successor.metric("transactions.chat.answered"), -1)
        << "the predecessor established these connections";
    EXPECT_EQ(successor.stop(), 0) << successor.remainingLog();
}

TEST(HotRestart, PredecessorKeepsServingIfTheSuccessorExitsBeforeItServes) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess predecessor{restartOptions(server, directory)};
    EstablishedPair before = establishConnection(predecessor, server);
    {
        // A successor that requests the state and then closes the link without serving.
        FakeSuccessor successor{directory};
        successor.sendRequest();
        predecessor.awaitLogLine("handed over");
    }
    for (int i = 0; i < 5; ++i) {
        establishConnection(predecessor, server);
    }
    NodeProcess successor{restartOptions(server, directory)};  // a later successor takes over
    predecessor.awaitLogLine("the successor serves");
    expectEcho(before);
}

TEST(HotRestart, PredecessorResumesServingIfTheSuccessorIsKilled) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess predecessor{restartOptions(server, directory)};
    EstablishedPair before = establishConnection(predecessor, server);
    {
        const NodeProcess successor{restartOptions(server, directory)};
        predecessor.awaitLogLine("the successor serves");
    }  // killed
    predecessor.awaitLogLine("the successor has ended, accepting connections again");
    EstablishedPair after = establishConnection(predecessor, server);
    expectEcho(before);
    expectEcho(after);
    NodeProcess third{restartOptions(server, directory)};
    predecessor.awaitLogLine("the successor serves");
    EstablishedPair last = establishConnection(third, server);
    expectEcho(last);
}

TEST(HotRestart, BansAreHandedOverAndSharedWhileBothNodesRun) {
    SharedDirectory directory;
    StubServer server;
    StubServer secondServer;
    NodeProcess::Options options = restartOptions(server, directory);
    options.servers.emplace_back("s-2", secondServer.address());
    NodeProcess predecessor{options};
    EXPECT_EQ(predecessor.adminRequest("POST", "/-/hosts/s-1/disable").first, 200);
    NodeProcess successor{options};
    predecessor.awaitLogLine("the successor serves");
    EXPECT_EQ(successor.metric("cluster_unhealthy"), 1);
    for (int i = 0; i < 10; ++i) {
        establishConnection(successor, secondServer);
    }
    EXPECT_TRUE(server.hasNoQueuedConnection());
    EXPECT_EQ(predecessor.adminRequest("POST", "/-/hosts/s-2/disable").first, 200);
    while (successor.metric("cluster_unhealthy") != 2) {
    }
    EXPECT_EQ(successor.adminRequest("POST", "/-/hosts/s-2/enable").first, 200);
    while (predecessor.metric("cluster_unhealthy") != 1) {
    }
    EXPECT_EQ(successor.adminRequest("POST", "/-/hosts/s-1/enable").first, 200);
    EXPECT_EQ(successor.metric("cluster_unhealthy"), 0);
}

TEST(HotRestart, EveryRequestGetsOneAnswerAcrossRestarts) {
    SharedDirectory directory;
    StubServer server;
    std::atomic<bool> noMoreClients = false;  // no further client connects
    std::atomic<bool> allAnswered = false;    // and the last client has its answer
    std::atomic<int> failed = 0;
    std::atomic<int> answered = 0;
    NodeProcess::Options options = restartOptions(server, directory);
    auto node = std::make_unique<NodeProcess>(options);
    const std::uint16_t port = node->port();
    std::thread responder([&] {
        while (!allAnswered) {
            if (server.hasNoQueuedConnection()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            auto opened = server.nextOpened();
            opened.connection.send("UP r\r\nBYE\r\n");
        }
    });
    std::thread clients([&] {
        for (int i = 0; !noMoreClients; ++i) {
            TestConnection client = TestConnection::connectTo(port);
            client.send(
                std::string("OPEN ").append(std::to_string(10000 + i)).append(" 7 c=chat,d=20000\r\n"));
            const bool correct =
                client.line() == "UP r" && client.line() == "BYE" && client.line() == "(end)";
            ++(correct ? answered : failed);
        }
    });
    for (int restart = 0; restart < 4; ++restart) {
        const int before = answered;
        while (answered < before + 50 && failed == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        auto successor = std::make_unique<NodeProcess>(options);
        node->awaitLogLine("the successor serves");
        node->signal(SIGTERM);
        node->awaitLogLine("drained");
        node = std::move(successor);  // the predecessor is killed
    }
    noMoreClients = true;
    clients.join();
    allAnswered = true;
    responder.join();
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(node->stop(), 0) << node->remainingLog();
}

// Guards against assigning the descriptors of a malformed transfer to the next transfer: the descriptors stay
// on the link unless the node takes them before it parses the message.
TEST(HotRestart, NextTransferDoesNotGetTheDescriptorsOfAMalformedOne) {
    SharedDirectory directory;
    FakePredecessor predecessor{directory};
    NodeProcess::Options options;
    options.directory = directory.path();
    std::optional<EstablishedPair> malformed;
    std::optional<EstablishedPair> valid;
    std::thread predecessorThread([&] {
        predecessor.acceptRequest();
        predecessor.sendUnusableState();
        const std::string fields = R"(,"host":1,"from_client":"","from_host":"","to_host":0,"to_client":0,)"
                                   R"("unanswered":9223372036854775807})"
                                   "\n";
        malformed.emplace(predecessor.transfer(R"({"connection":"00")" + fields));
        // "OPEN 1 2 c=chat" and its line end
        valid.emplace(predecessor.transfer(R"({"connection":"4f50454e2031203220633d636861740d0a")" + fields));
    });
    NodeProcess node{options};
    predecessorThread.join();
    expectClosed(malformed->client);
    expectEcho(*valid);
    EXPECT_EQ(node.counter("adopted"), 1);
}

// Guards against the loss of the whole state: a notice that was sent between the successor's connection and
// its request preceded the state, and the successor took the notice for the state.
TEST(HotRestart, StateIsTheFirstMessageAlthoughABanPrecedesTheRequest) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess node{restartOptions(server, directory)};
    FakeSuccessor successor{directory};
    awaitSuccess(node, "/-/ready");  // the node has accepted the link by then
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/disable").first, 200);
    successor.sendRequest();
    EXPECT_NE(successor.nextMessage().find("\"estate\""), std::string::npos);
    EXPECT_NE(successor.nextMessageWith("\"ban\"").find("\"on\":true"), std::string::npos);
}

// Two endpoints, of which an operator has banned the first at a node, and the state that this node hands
// over.
struct StateWithABan {
    SharedDirectory directory;
    StubServer banned;
    StubServer usable;
    NodeProcess::Options options = restartOptions(banned, directory);
    std::string state;

    StateWithABan() {
        options.servers = {{"s-1", banned.address()}, {"s-2", usable.address()}};
        const NodeProcess source{options};
        EXPECT_EQ(source.adminRequest("POST", "/-/hosts/s-1/disable").first, 200);
        FakeSuccessor successor{directory};
        successor.sendRequest();
        state = successor.nextMessage();
    }

    // Expects that a node whose predecessor sends this text as its state sends no request to the banned
    // endpoint.
    void expectBanIsInherited(const std::string& text) {
        SharedDirectory otherDirectory("hot_restart_target");
        FakePredecessor predecessor{otherDirectory};
        std::thread predecessorThread([&predecessor, &text] {
            predecessor.acceptRequest();
            predecessor.sendState(text);
        });
        options.directory = otherDirectory.path();
        NodeProcess node{options};
        predecessorThread.join();
        for (int i = 0; i < 20 && !testing::Test::HasFailure(); ++i) {
            TestConnection client = node.client(newOpeningLine());
            while (usable.hasNoQueuedConnection() && banned.hasNoQueuedConnection() && !client.hasInput()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            EXPECT_TRUE(banned.hasNoQueuedConnection());
            if (!usable.hasNoQueuedConnection()) usable.nextOpened();
        }
    }
};

// Guards against bans that an upgrade loses: a predecessor of an earlier version writes null for a number
// that is not finite.
TEST(HotRestart, BansAreInheritedFromAStateWithAnInvalidSection) {
    StateWithABan fixture;
    std::string state = fixture.state;
    const std::size_t work = state.find("\"work\":");
    ASSERT_NE(work, std::string::npos);
    state.insert(work + 7, "null,\"other\":");
    fixture.expectBanIsInherited(state);
}

// Guards against bans that an upgrade loses: a message that arrives together with the end of the state.
TEST(HotRestart, BansAreInheritedThoughAMessageArrivesTogetherWithTheState) {
    StateWithABan fixture;
    fixture.expectBanIsInherited(fixture.state + "\n{\"holds\":9}");
}

// Guards against a node that does not start because the socket file is stale or its directory is missing, and
// against a handover that fails because the path of the socket file is too long for a socket address.
TEST(HotRestart, StartsWithoutAPredecessorAndHandsOverThroughALongDirectoryPath) {
    SharedDirectory directory;
    StubServer server;
    {
        const NodeProcess killed{restartOptions(server, directory)};
        // The node creates the socket file shortly after it begins to serve.
        while (!directory.hasSocketFile()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    EXPECT_TRUE(directory.hasSocketFile()) << "stale";
    NodeProcess node{restartOptions(server, directory)};
    establishConnection(node, server);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
    EXPECT_FALSE(directory.hasSocketFile()) << "the node removes the socket file when it stops";
    NodeProcess::Options missingDirectory = restartOptions(server, directory);
    missingDirectory.directory = directory.path() + "/not/there";
    NodeProcess nodeAlone{missingDirectory};
    establishConnection(nodeAlone, server);
    // The path is longer than a Unix socket address can hold.
    SharedDirectory deepDirectory(std::string(120, 'd'));
    NodeProcess deepPredecessor{restartOptions(server, deepDirectory)};
    NodeProcess deepSuccessor{restartOptions(server, deepDirectory)};
    deepPredecessor.awaitLogLine("the successor serves");
    EXPECT_EQ(deepSuccessor.port(), deepPredecessor.port());
}

}  // namespace
}  // namespace ivyreel::test
