// Tests a node process through its sockets: its graceful shutdown.
#include <gtest/gtest.h>

#include <array>
#include <csignal>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeShutdown, MigratesEachClientAfterACompleteLine) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    std::array<EstablishedPair, 3> pairs{establishConnection(node, server), establishConnection(node, server),
                                         establishConnection(node, server)};
    for (EstablishedPair& pair : pairs) {
        pair.server.send("whole\r\nhalf a li");
        EXPECT_EQ(pair.client.line(), "whole");
    }
    node.signal(SIGTERM);
    TestConnection late = node.client(newOpeningLine());
    auto opened = server.nextOpened();
    opened.connection.send("UP late\r\n");
    EXPECT_EQ(late.line(), "UP late") << "the node still accepts new connections";
    for (EstablishedPair& pair : pairs) {
        EXPECT_EQ(pair.client.line(), "MOVE");
        EXPECT_EQ(pair.client.line(), "(end)");
        pair.client.close();
    }
    EXPECT_EQ(late.line(), "MOVE");
    late.close();
    node.awaitLogLine("drained");
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

// Guards against a request without a final answer: its endpoint does not answer before the node is killed.
TEST(NodeShutdown, FailsPendingRequestsBeforeItIsKilled) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.requestTimeoutMs = 1000;  // of the request class; the client's own timeout is longer
    NodeProcess node{options};
    TestConnection client = node.client("OPEN 9b1f 7f3a c=chat,d=60000\r\n");
    const auto opened = server.nextOpened();
    node.signal(SIGTERM);
    EXPECT_EQ(client.line(), "ERR");
    client.close();
    node.awaitLogLine("drained");
}

// An opening line may arrive late, or the load balancer in front of the node may delay a connection.
TEST(NodeShutdown, MigratesConnectionsAndFailsRequestsThatArriveAfterTheDrain) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.requestTimeoutMs = 1000;
    NodeProcess node{options};
    node.signal(SIGTERM);
    node.awaitLogLine("drained");
    EstablishedPair late = establishConnection(node, server);
    EXPECT_EQ(late.client.line(), "MOVE");
    TestConnection pending = node.client("OPEN 9b1f 7f3a c=chat,d=60000\r\n");
    const auto opened = server.nextOpened();
    EXPECT_EQ(pending.line(), "ERR");
}

TEST(NodeShutdown, FailsConnectionsBeingResumedBeforeItIsKilled) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.requestTimeoutMs = 1000;
    NodeProcess node{options};
    TestConnection unlisted = node.client("OPEN 9b1f 7f3a c=chat,at=s-9\r\n");
    TestConnection unanswered = node.client("OPEN 9b20 7f3a c=chat,at=s-1\r\n");
    const auto opened = server.nextOpened();
    node.signal(SIGTERM);
    EXPECT_EQ(unlisted.line(), "ERR");
    EXPECT_EQ(unanswered.line(), "ERR");
    unlisted.close();
    unanswered.close();
    node.awaitLogLine("drained");
}

TEST(NodeShutdown, ExitsAtOnceWhenInterruptedTwice) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    const std::array<EstablishedPair, 2> pairs{establishConnection(node, server),
                                               establishConnection(node, server)};
    const TestConnection pending = node.client(newOpeningLine());
    const auto opened = server.nextOpened();
    const TestConnection unopened = node.client();
    node.signal(SIGINT);
    node.awaitLogLine("stopping");
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

}  // namespace
}  // namespace ivyreel::test
