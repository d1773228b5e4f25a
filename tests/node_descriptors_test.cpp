// Tests a node process through its sockets while descriptors are scarce.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeDescriptors, RejectsRequestsBeforeItRunsOutOfDescriptors) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.descriptorLimit = 48;
    NodeProcess node{options};
    std::vector<EstablishedPair> pairs;
    while (pairs.size() < 30) {
        TestConnection client = node.client(newOpeningLine());
        awaitRequestOrAnswer(server, client);
        if (server.hasNoQueuedConnection()) {
            EXPECT_EQ(client.line(), "BUSY 500") << "BUSY contains the time after which to retry";
            break;
        }
        auto opened = server.nextOpened();
        opened.connection.send("UP r1\r\n");
        EXPECT_EQ(client.line(), "UP r1");
        pairs.push_back({std::move(client), std::move(opened.connection)});
    }
    EXPECT_GE(pairs.size(), 2U);
    EXPECT_LT(pairs.size(), 30U);
}

// Guards against hundreds of connections that send nothing, or only one health check, and exhaust the
// descriptors: established connections have to stay open and new clients have to be served.
TEST(NodeDescriptors, ServesClientsAmongHundredsOfUnopenedConnections) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.descriptorLimit = 60;
    NodeProcess node{options};
    EstablishedPair pair = establishConnection(node, server);
    std::vector<TestConnection> flood;
    for (int i = 0; i < 200; ++i) {
        flood.push_back(node.client(i % 2 == 0 ? "" : "PING\r\n"));
        if (i % 2 == 1) {
            EXPECT_EQ(flood.back().line(), "PONG");
        }
    }
    pair.client.send("x\r\n");
    EXPECT_EQ(pair.server.line(), "x");
    for (int i = 0; i < 5; ++i) {
        EstablishedPair next = establishConnection(node, server);
        next.client.send("y\r\n");
        EXPECT_EQ(next.server.line(), "y");
    }
    expectClosed(flood.front());
    EXPECT_GE(node.counter("evicted") + node.counter("opening_timeouts"), 190)
        << "unopened connections get a sixth of the descriptors";
    EXPECT_EQ(node.counter("out_of_descriptors"), 0);
}

// A reload needs descriptors to read the file and to connect to discovery. It must not fail because clients
// use all descriptors.
TEST(NodeDescriptors, AppliesANewConfigurationWhileClientsUseUpItsDescriptors) {
    StubServer server;
    StubDiscovery second;
    NodeProcess::Options options = optionsFor(server);
    options.descriptorLimit = 64;
    options.processDescriptorLimit = 64;
    NodeProcess node{options};
    std::vector<EstablishedPair> pairs;
    while (node.counter("out_of_descriptors") == 0) {
        TestConnection client = node.client(newOpeningLine());
        awaitRequestOrAnswer(server, client);
        if (server.hasNoQueuedConnection()) break;
        auto opened = server.nextOpened();
        opened.connection.send("UP r1\r\n");
        EXPECT_EQ(client.line(), "UP r1");
        pairs.push_back({std::move(client), std::move(opened.connection)});
    }
    constexpr int kUnopened = 200;
    std::vector<TestConnection> unopened;
    unopened.reserve(kUnopened);
    for (int i = 0; i < kUnopened; ++i) {
        unopened.push_back(node.client());
    }
    EXPECT_GE(node.counter("out_of_descriptors"), 1);
    options.discovery = second.address();
    node.reload(options);
    node.awaitLogLine("configuration reloaded");
    auto watch = second.next();
    watch.begin();
    watch.line(R"({"version":50,"full":false,"servers":[]})");
    while (node.counter("list_changes") == 0) {
    }
    for (EstablishedPair& pair : pairs) {
        pair.client.send("x\r\n");
        EXPECT_EQ(pair.server.line(), "x") << "established connections stay open";
    }
}

// A pending request uses one descriptor while no endpoint is known and needs a second one for its attempt.
// Attempts must not fail because the node admitted more requests than it has descriptors for.
TEST(NodeDescriptors, HasDescriptorsForAllPendingRequestsOnceDiscoveryIsBack) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess::Options options;
    options.discovery = discovery.address();
    options.descriptorLimit = 96;
    options.processDescriptorLimit = 104;  // some descriptors are not sockets
    NodeProcess node{options};
    std::vector<TestConnection> unopened;
    std::vector<TestConnection> pending;
    for (bool hasCapacity = true; hasCapacity && pending.size() < 96;) {
        unopened.push_back(node.client());
        pending.push_back(node.client(newOpeningLine()));
        while (node.counter("requests") < static_cast<long>(pending.size())) {
        }
        hasCapacity = node.counter("out_of_descriptors") == 0;
    }
    EXPECT_EQ(pending.back().line(), "BUSY 500");
    pending.pop_back();
    EXPECT_GE(pending.size(), 8U);
    // If the first call has timed out by now, the node makes another one.
    std::vector<StubDiscovery::Watch> calls;
    for (int i = 0; i < 3 && node.counter("list_changes") == 0; ++i) {
        calls.push_back(discovery.next());
        calls.back().begin();
        calls.back().line(R"({"version":43,"full":true,"servers":[)" +
                          endpointEntry("s-1", server.address()) + "]}");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (TestConnection& client : pending) {
        auto opened = server.nextOpened();
        opened.connection.send("UP r1\r\n");
        client = TestConnection{};
    }
    EXPECT_EQ(node.counter("connect_failed"), 0);
    EXPECT_EQ(node.stop(), 0);
    EXPECT_EQ(node.remainingLog().find("cannot connect"), std::string::npos) << node.remainingLog();
}

// With more endpoints than descriptors, health checks have to wait for each other, and their idle connections
// have to be closed for clients.
TEST(NodeDescriptors, ChecksAndServesMoreEndpointsThanItsDescriptorLimit) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess::Options options;
    options.discovery = discovery.address();
    options.descriptorLimit = 64;
    NodeProcess node{options};
    std::string servers;
    for (int i = 0; i < 1024; ++i) {
        if (i > 0) servers += ",";
        servers += endpointEntry("s-" + std::to_string(i), server.address());
    }
    const StubDiscovery::Watch watch = discovery.next();
    watch.begin();
    watch.line(R"({"version":43,"full":true,"servers":[)" + servers + "]}");
    for (int i = 0; i < 1000 && server.healthChecks() < 1024; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_GE(server.healthChecks(), 1024);
    for (int i = 0; i < 5; ++i) {
        establishConnection(node, server);
    }
    EXPECT_EQ(node.counter("out_of_descriptors"), 0);
    EXPECT_EQ(node.counter("health_checks_failed"), 0);
}

}  // namespace
}  // namespace ivyreel::test
