// Tests a node process through its sockets: its health checks of endpoints.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(NodeHealthCheck, KeepsOneConnectionPerEndpoint) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    const EstablishedPair pair = establishConnection(node, server);
    while (server.healthChecks() < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(server.healthCheckConnections(), 1);
}

TEST(NodeHealthCheck, DoesNotCountAConnectionClosedWhileIdleAsAFault) {
    StubServer server;
    server.closeAfterEachHealthCheck();
    NodeProcess node{optionsFor(server)};
    const EstablishedPair pair = establishConnection(node, server);
    while (server.healthChecks() < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(node.counter("health_checks_failed"), 0);
}

}  // namespace
}  // namespace ivyreel::test
