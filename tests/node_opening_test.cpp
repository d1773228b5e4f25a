// Tests a node process through its sockets: health checks, and valid and invalid opening lines.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeOpening, ReadsAnOpeningLineThatArrivesInPieces) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client();
    for (const char c : newOpeningLine()) {
        client.send({&c, 1});
    }
    EXPECT_TRUE(server.nextOpened().opening.starts_with("OPEN "));
}

TEST(NodeOpening, AnswersPipelinedHealthChecks) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection loadBalancer = node.client("PING\r\nPING\r\n");
    EXPECT_EQ(loadBalancer.line(), "PONG");
    EXPECT_EQ(loadBalancer.line(), "PONG");
    loadBalancer.send("PING\r\n" + newOpeningLine());
    EXPECT_EQ(loadBalancer.line(), "PONG");
    EXPECT_TRUE(server.nextOpened().opening.starts_with("OPEN"));
}

TEST(NodeOpening, ClosesOnlyTheConnectionWithInvalidInput) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair valid = establishConnection(node, server);
    const std::string binary("\x00\xff\x01 what\r\n", 10);
    for (const std::string& input : {std::string("HELLO\r\n"), std::string(5000, 'x'), binary,
                                     std::string("OPEN a b\r\n"), std::string("\r\n")}) {
        TestConnection client = node.client(input);
        EXPECT_EQ(client.line(), "ERR") << input.substr(0, 20);
        expectClosed(client);
    }
    valid.client.send("still\r\n");
    EXPECT_EQ(valid.server.line(), "still");
    EXPECT_EQ(node.counter("bad_input"), 5);
}

// Each invalid opening line is counted under its cause, and no endpoint receives it.
TEST(NodeOpening, RejectsEachInvalidOpeningWithoutAnAttempt) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    EstablishedPair valid = establishConnection(node, server, "OPEN 9b1f 7f3a c=chat,d=20000\r\n");
    const std::vector<std::pair<const char*, std::vector<std::string>>> invalidOpenings = {
        {"bad_line",
         {"frob 7\r\n", "OPEN 7\r\n", "OPEN 7 8\r\n", "OPEN xyz 8 c=chat,d=9\r\n", "OPEN 7 ? c=chat,d=9\r\n",
          "OPEN 12345678123456781 8 c=chat,d=9\r\n", "OPEN 7 8 c=chat,d=9,g=\x01\r\n",
          "OPEN 7 8 c=chat,d=9,d=10\r\n"}},
        {"bad_length", {std::string(5000, 'k')}},
        {"bad_class", {"OPEN 7 8 c=chats,d=9\r\n", "OPEN 7 8 c=,d=9\r\n", "OPEN 7 8 d=9\r\n"}},
        {"bad_number",
         {"OPEN 7 8 c=chat,d=\r\n", "OPEN 7 8 c=chat,d=soon\r\n", "OPEN 7 8 c=chat,d=-5\r\n",
          "OPEN 7 8 c=chat,d=nan\r\n", "OPEN 7 8 c=chat,d=inf\r\n",
          "OPEN 7 8 c=chat,d=99999999999999999999\r\n", "OPEN 7 8 c=chat,d=1e999\r\n", "OPEN 7 8 c=chat\r\n",
          "OPEN 7 8 c=chat,d=9,h=-1\r\n", "OPEN 7 8 c=chat,d=9,h=x\r\n", "OPEN 7 8 c=chat,d=9,h=1e308\r\n",
          "OPEN 7 8 c=chat,d=9,h=4294967296\r\n"}},
        {"bad_id", {"OPEN 9b1f 8 c=chat,d=20000\r\n", "OPEN 9B1F 8 c=chat,d=20000\r\n"}},
        {"bad_early",
         {"OPEN 7 8 c=chat,d=9000\r\nOPEN 8 9 c=chat,d=9000\r\n", "OPEN 7 8 c=chat,d=9000\r\nx"}},
    };
    long rejected = 0;
    for (const auto& [cause, openings] : invalidOpenings) {
        for (const std::string& opening : openings) {
            TestConnection client = node.client(opening);
            EXPECT_EQ(client.line(), "ERR") << opening;
            expectClosed(client);
        }
        rejected += static_cast<long>(openings.size());
        EXPECT_EQ(node.counter(cause), static_cast<long>(openings.size())) << cause;
    }
    EXPECT_EQ(node.counter("bad_input"), rejected);
    EXPECT_TRUE(server.hasNoQueuedConnection());
    EXPECT_EQ(node.counter("attempts"), 1);
    valid.client.close();
    expectClosed(valid.server);
    valid.server.close();
    while (node.counter("closed_by_client") == 0) {
    }
    TestConnection copy = node.client("OPEN 9b1f 8 c=chat,d=20000\r\n");
    EXPECT_EQ(copy.line(), "ERR")
        << "every connection has a new id, and the id of a request that has just ended is known";
    EXPECT_TRUE(server.hasNoQueuedConnection());
}

// Guards against refused requests and lost bans: a load hint that the wire format cannot hold made the
// learned capacity infinite.
TEST(NodeOpening, AcceptsTheLargestLoadHintAndRejectsALargerOne) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection excessive = node.client("OPEN 7 8 c=chat,d=20000,h=4294967296\r\n");
    EXPECT_EQ(excessive.line(), "ERR");
    EXPECT_TRUE(server.hasNoQueuedConnection());
    establishConnection(node, server, "OPEN 7 8 c=chat,d=20000,h=4294967295\r\n");
}

// Guards against a lost answer: closing a socket with unread input resets the connection.
TEST(NodeOpening, DeliversItsAnswerToAClientThatStillSends) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection client = node.client("frob 7\r\n" + std::string(200'000, 'k'));
    EXPECT_EQ(client.line(), "ERR");
    EXPECT_EQ(client.line(), "(end)");
}

TEST(NodeOpening, ClosesConnectionsWithoutACompleteOpening) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    TestConnection silent = node.client();
    TestConnection incomplete = node.client("OPEN 9b1f 7f3a c=ch");
    TestConnection halfClosed = node.client("OPEN 9b1f 7f3a c=ch");
    halfClosed.shutdownSend();
    for (TestConnection* connection : {&halfClosed, &silent, &incomplete}) {
        expectClosed(*connection);
    }
    EXPECT_EQ(node.counter("incomplete_openings"), 1);
    EXPECT_EQ(node.counter("opening_timeouts"), 2);
    EXPECT_TRUE(server.hasNoQueuedConnection());
}

}  // namespace
}  // namespace ivyreel::test
