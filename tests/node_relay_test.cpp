// Tests a node process through its sockets: how it relays established connections, and how they end.
#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeRelay, RelaysAConnectionFromItsOpeningToItsEnd) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client("OPEN 9b1f 7f3a c=chat,d=20000,g=5c0f\r\n");
    auto opened = server.nextOpened();
    EXPECT_TRUE(opened.opening.starts_with("OPEN 9b1f 7f3a c=chat,d=")) << opened.opening;
    EXPECT_TRUE(opened.opening.ends_with(",g=5c0f")) << opened.opening;
    opened.connection.send("UP r1\r\nLOAD 41000\r\nho");
    EXPECT_EQ(client.line(), "UP r1");
    EXPECT_EQ(client.line(), "LOAD 41000");
    opened.connection.send("st\r\n");
    EXPECT_EQ(client.line(), "host");
    client.send("one\r\ntw");
    EXPECT_EQ(opened.connection.line(), "one");
    client.send("o\r\n");
    EXPECT_EQ(opened.connection.line(), "two");
    opened.connection.send("BYE x0=0.2\r\n");
    opened.connection.close();
    EXPECT_EQ(client.line(), "BYE x0=0.2");
    EXPECT_EQ(client.line(), "(end)");
    client.close();
    EXPECT_EQ(node.counter("completed"), 1);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(NodeRelay, MigratesTheClientOfAnEndpointThatSendsAnOverlongLine) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    pair.server.send("whole\r\n" + std::string(5000, 'x'));
    EXPECT_EQ(pair.client.line(), "whole");
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(pair.client.line(), "(end)");
}

TEST(NodeRelay, RelaysTheLinesOfTheEndpointAfterTheClientHasHalfClosed) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    pair.client.send("last\r\nhalf");
    pair.client.shutdownSend();
    EXPECT_EQ(pair.server.line(), "last");
    EXPECT_EQ(pair.server.line(), "(end)");
    pair.server.send("BYE\r\n");
    pair.server.close();
    EXPECT_EQ(pair.client.line(), "BYE");
    EXPECT_EQ(pair.client.line(), "(end)");
}

TEST(NodeRelay, PropagatesAResetInBothDirections) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair first = establishConnection(node, server);
    first.client.reset();
    EXPECT_EQ(first.server.line(), "(reset)");
    EstablishedPair second = establishConnection(node, server);
    second.server.send("x\r\n");
    EXPECT_EQ(second.client.line(), "x");
    second.server.reset();
    EXPECT_EQ(second.client.line(), "(reset)");
    EXPECT_EQ(node.counter("closed_by_client"), 1);
    EXPECT_EQ(node.counter("reset_by_endpoint"), 1);
}

TEST(NodeRelay, RelaysMoveFromADrainingEndpoint) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    pair.server.send("MOVE\r\n");
    pair.server.close();
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(pair.client.line(), "(end)");
    EXPECT_EQ(node.counter("moved_by_endpoint"), 1);
}

TEST(NodeRelay, MigratesAClientThatSendsAnOverlongLine) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    pair.client.send("whole\r\n" + std::string(5000, 'x') + "\r\n");
    EXPECT_EQ(pair.server.line(), "whole");
    expectClosed(pair.server);
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(node.counter("bad_input"), 1);
}

TEST(NodeRelay, RelaysMoreThanItsBuffersHold) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    constexpr int kLines = 4000;
    const std::string line(1000, 'y');
    std::thread sender([&] {
        for (int i = 0; i < kLines; ++i) {
            pair.server.send(line + "\r\n");
        }
    });
    int received = 0;
    while (received < kLines && pair.client.line() == line) {
        ++received;
    }
    EXPECT_EQ(received, kLines);
    if (received < kLines) pair.server.reset();
    sender.join();
}

// Guards against clients that stay at an endpoint behind a broken link, which TCP does not report.
TEST(NodeRelay, MigratesTheClientOfASilentEndpoint) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair pair = establishConnection(node, server);
    pair.client.send("one\r\n");
    EXPECT_EQ(pair.server.line(), "one");
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(node.counter("migrated_unresponsive"), 1);
}

}  // namespace
}  // namespace ivyreel::test
