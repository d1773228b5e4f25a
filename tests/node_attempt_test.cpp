// Tests a node process through its sockets: attempts, retries and resumed connections.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeAttempt, CancelsTheAttemptOfAClientThatSendsBeforeItsAnswer) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client(newOpeningLine());
    auto opened = server.nextOpened();
    client.send("more\r\n");
    EXPECT_EQ(client.line(), "ERR");
    expectClosed(opened.connection);
    EXPECT_EQ(node.counter("bad_early"), 1);
}

// An attempt fails as soon as the answer exceeds the maximum line length, before a line end arrives.
TEST(NodeAttempt, RetriesAfterAnOverlongAnswer) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client(newOpeningLine());
    auto first = server.nextOpened();
    first.connection.send(std::string(5000, 'x'));
    auto second = server.nextOpened();
    expectClosed(first.connection);
    second.connection.send("UP r2\r\n");
    EXPECT_EQ(client.line(), "UP r2");
    EXPECT_EQ(node.counter("attempts"), 2);
}

// Answers BUSY to each attempt at one endpoint until an attempt reaches the other, accepts that one and
// returns its connection.
TestConnection rejectUntilAccepted(StubServer& rejecting, StubServer& accepting) {
    while (accepting.hasNoQueuedConnection()) {
        if (!rejecting.hasNoQueuedConnection()) rejecting.nextOpened().connection.send("BUSY\r\n");
    }
    auto opened = accepting.nextOpened();
    opened.connection.send("UP r\r\n");
    return std::move(opened.connection);
}

// A retry is safe for every request class if the endpoint rejected the request or was unreachable: the
// endpoint has not run the request.
TEST(NodeAttempt, RetriesANonIdempotentRequestThatNoEndpointHasRun) {
    StubServer one;
    StubServer two;
    NodeProcess::Options options;
    options.idempotency = "single_shot";
    options.servers = {{"s-1", one.address()}, {"s-2", two.address()}, {"s-3", "127.0.0.1:1"}};
    NodeProcess node{options};
    for (int i = 0; i < 6; ++i) {
        TestConnection client = node.client(newOpeningLine());
        const TestConnection established = rejectUntilAccepted(one, two);
        EXPECT_EQ(client.line(), "UP r");
    }
    EXPECT_EQ(node.counter("established"), 6);
}

TEST(NodeAttempt, FailsANonIdempotentRequestThatMayHaveRun) {
    StubServer one;
    StubServer two;
    NodeProcess::Options options;
    options.idempotency = "single_shot";
    options.servers = {{"s-1", one.address()}};
    NodeProcess node{options};
    for (const std::string answer : {"ERR\r\n", "SYNTAX\r\n", ""}) {
        TestConnection client = node.client(newOpeningLine());
        auto opened = one.nextOpened();
        opened.connection.send(answer);
        if (answer.empty()) opened.connection.reset();
        EXPECT_EQ(client.line(), "ERR");
        EXPECT_EQ(client.line(), "(end)");
    }
    EXPECT_EQ(node.counter("attempts"), 3);
}

TEST(NodeAttempt, RetriesAnIdempotentRequestAfterClosingTheAttempt) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client(newOpeningLine());
    auto first = server.nextOpened();
    first.connection.send("ERR\r\n");
    auto second = server.nextOpened();
    expectClosed(first.connection);
    second.connection.send("UP r2\r\n");
    EXPECT_EQ(client.line(), "UP r2");
}

TEST(NodeAttempt, FailsWhenTheEndpointDoesNotAnswerInTime) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.idempotency = "single_shot";
    NodeProcess node{options};
    TestConnection client = node.client("OPEN 9b1f 7f3a c=chat,d=300\r\n");
    auto opened = server.nextOpened();
    EXPECT_EQ(client.line(), "ERR");
    EXPECT_EQ(client.line(), "(end)");
    opened.connection.send("UP late\r\n");
    expectClosed(opened.connection);
}

TEST(NodeAttempt, CancelsTheAttemptOfAClientThatDisconnects) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client(newOpeningLine());
    auto opened = server.nextOpened();
    client.reset();
    expectClosed(opened.connection);
    EXPECT_EQ(node.counter("clients_disconnected"), 1);
}

TEST(NodeAttempt, ResumesConnectionsEstablishedBeforeItsStart) {
    StubServer one;
    StubServer two;
    NodeProcess::Options options;
    options.servers = {{"s-1", one.address()}, {"s-2", two.address()}};
    NodeProcess node{options};
    TestConnection client = node.client("OPEN 9b1f 7f3a c=chat,at=s-2\r\n");
    auto opened = two.nextOpened();
    EXPECT_EQ(opened.opening, "OPEN 9b1f 7f3a c=chat,at=s-2");
    opened.connection.send("UP old\r\n");
    EXPECT_EQ(client.line(), "UP old");
    EXPECT_EQ(node.counter("resumed"), 1);
    EXPECT_TRUE(one.hasNoQueuedConnection());
}

}  // namespace
}  // namespace ivyreel::test
