// Tests a node process through its sockets: the endpoint list, and reloads of the configuration.
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <functional>
#include <string>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeDiscovery, FollowsTheEndpointListAndMigratesClientsOfADrainingEndpoint) {
    StubServer one;
    StubServer two;
    StubDiscovery discovery;
    NodeProcess node{optionsFor(one, discovery)};
    auto watch = discovery.next();
    EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=41 HTTP/1.1");
    EstablishedPair pair = establishConnection(node, one);
    watch.begin();
    watch.line("");
    watch.line(R"({"version":42,"full":false,"servers":[)" + endpointEntry("s-2", two.address()) + "]}");
    watch.line(R"({"version":43,"full":false,"servers":[)" + endpointEntry("s-1", one.address(), "leaving") +
               "]}");
    EXPECT_EQ(pair.client.line(), "MOVE");
    EstablishedPair next = establishConnection(node, two);
    next.client.send("x\r\n");
    EXPECT_EQ(next.server.line(), "x");
}

TEST(NodeDiscovery, ResumesItsWatchFromTheLastVersion) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess node{optionsFor(server, discovery)};
    {
        auto watch = discovery.next();
        watch.begin();
        watch.line(R"({"version":77,"full":false,"servers":[]})");
        watch.connection.close();
    }
    {
        auto watch = discovery.next();
        EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
        watch.connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    {
        auto watch = discovery.next();
        EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
        watch.begin();
        watch.line("nonsense");
    }
    const auto last = discovery.next();
    EXPECT_EQ(last.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
    EstablishedPair pair = establishConnection(node, server);
    pair.client.send("x\r\n");
    EXPECT_EQ(pair.server.line(), "x") << "the node serves with the last known list";
    EXPECT_EQ(node.counter("list_failures"), 3);
}

// At the start the environment variable sets the address of discovery; the address in the reloaded file takes
// precedence.
TEST(NodeDiscovery, WatchesTheDiscoveryOfANewConfiguration) {
    StubServer server;
    StubServer two;
    StubDiscovery first;
    StubDiscovery second;
    NodeProcess::Options options = optionsFor(server);
    options.discoveryEnvironmentVariable = first.address();
    NodeProcess node{options};
    EstablishedPair pair = establishConnection(node, server);
    auto before = first.next();
    before.begin();
    before.line(R"({"version":50,"full":false,"servers":[]})");
    options.discovery = second.address();
    while (node.counter("list_changes") == 0) {
    }
    node.reload(options);
    auto after = second.next();
    EXPECT_EQ(after.request, "GET /catalog/members?follow=1&since=50 HTTP/1.1");
    expectClosed(before.connection);
    after.begin();
    after.line(R"({"version":51,"full":false,"servers":[)" + endpointEntry("s-2", two.address()) + "," +
               endpointEntry("s-1", server.address(), "left") + "]}");
    pair.client.send("x\r\n");
    EXPECT_EQ(pair.server.line(), "x") << "established connections stay open";
    while (node.counter("list_changes") < 2) {
    }
    const EstablishedPair next = establishConnection(node, two);
    EXPECT_EQ(node.counter("list_failures"), 0);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(NodeDiscovery, KeepsItsConfigurationWhenTheNewOneIsInvalid) {
    StubServer server;
    StubDiscovery discovery;
    StubDiscovery other;
    NodeProcess node{optionsFor(server, discovery)};
    auto watch = discovery.next();
    watch.begin();
    const std::string prefix = R"({"discovery":")" + other.address() + R"(","settings":)";
    for (const std::string& invalid : {std::string(), prefix, prefix + "3}", prefix + R"({"grades":7}})",
                                       std::string(R"({"discovery":"nowhere","settings":{}})")}) {
        node.reload(invalid);
        node.awaitLogLine("configuration reload rejected");
    }
    watch.line(R"({"version":42,"full":false,"servers":[]})");
    while (node.counter("list_changes") == 0) {
    }
    EstablishedPair pair = establishConnection(node, server);
    pair.client.send("x\r\n");
    EXPECT_EQ(pair.server.line(), "x");
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(NodeDiscovery, AppliesTheLastOfSeveralConfigurationsDuringAShutdown) {
    StubServer server;
    std::array<StubDiscovery, 3> discoveries;
    NodeProcess::Options options = optionsFor(server, discoveries[0]);
    NodeProcess node{options};
    EstablishedPair pair = establishConnection(node, server);
    TestConnection pending = node.client("OPEN 77 7f3a c=chat,d=20000\r\n");
    auto opened = server.nextOpened();
    node.signal(SIGTERM);
    node.awaitLogLine("stopping");
    for (int i = 0; i < 10; ++i) {
        for (const StubDiscovery& discovery : {std::cref(discoveries[1]), std::cref(discoveries[2])}) {
            options.discovery = discovery.address();
            node.reload(options);
        }
    }
    node.awaitLogLine("discovery at " + discoveries[2].address());
    opened.connection.send("UP r2\r\n");
    EXPECT_EQ(pending.line(), "UP r2") << "an attempt in progress continues during a reload";
    EXPECT_TRUE(discoveries[2].next().request.starts_with("GET /catalog/members?follow=1&since=41"));
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(pending.line(), "MOVE");
    pair.client.close();
    pending.close();
    node.awaitLogLine("drained");
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

}  // namespace
}  // namespace ivyreel::test
