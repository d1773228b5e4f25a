// Tests the start of a node process through its sockets.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

// A node serves with the configured list immediately, even if discovery does not respond.
TEST(NodeStart, IsReadyAndServesWhileDiscoveryDoesNotAnswer) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess node{optionsFor(server, discovery)};
    const StubDiscovery::Watch unanswered = discovery.next();
    TestConnection loadBalancer = node.client("PING\r\n");
    EXPECT_EQ(loadBalancer.line(), "PONG");
    establishConnection(node, server);
    EXPECT_EQ(node.counter("list_changes"), 0);
}

// Guards against a start in push mode that does not wait for the list of discovery: the node would serve with
// its older list, and connect to an endpoint that is leaving.
TEST(NodeStart, InPushModeServesOnceItHasTheEndpointList) {
    StubServer draining;
    StubServer active;
    StubDiscovery discovery;
    NodeProcess::Options options = optionsFor(draining, discovery);
    options.discoveryMode = "push";
    std::optional<StubDiscovery::Watch> watch;
    std::thread sender([&] {
        watch.emplace(discovery.next());
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        watch->begin();
        watch->line(R"({"version":50,"full":true,"servers":[)" +
                    endpointEntry("s-1", draining.address(), "leaving") + "," +
                    endpointEntry("s-2", active.address()) + "]}");
    });
    NodeProcess node{options};
    EXPECT_EQ(node.counter("list_changes"), 1) << "the list is applied before the node serves";
    sender.join();
    for (int i = 0; i < 10; ++i) {
        establishConnection(node, active);
    }
    EXPECT_TRUE(draining.hasNoQueuedConnection());
}

// A node that is shutting down serves requests, but must not answer health checks: the load balancer in front
// of the node would send more connections.
TEST(NodeStart, DoesNotAnswerHealthChecksWhenStoppedBeforeItServes) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess::Options options = optionsFor(server, discovery);
    options.discoveryMode = "push";
    options.signalsAtStart = {SIGTERM};
    NodeProcess node{options};  // serves after a timeout, without a response from discovery
    TestConnection loadBalancer = node.client("PING\r\n");
    EXPECT_EQ(loadBalancer.line(), "(end)");
    establishConnection(node, server);
}

// The failed call ends the wait for a list, and the node serves with the configured list.
TEST(NodeStart, InPushModeServesWithTheConfiguredListWhenDiscoveryIsUnreachable) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.discoveryMode = "push";
    NodeProcess node{options};
    EXPECT_GE(node.counter("list_failures"), 1);
    establishConnection(node, server);
}

// Guards against signals that end the process during its start, which is their default action.
TEST(NodeStart, HandlesSignalsThatArriveBeforeItServes) {
    StubServer server;
    NodeProcess::Options options = optionsFor(server);
    options.signalsAtStart = {SIGHUP, SIGUSR1, SIGTERM};
    NodeProcess node{options};
    node.awaitLogLine("counters:");
    node.awaitLogLine("configuration reloaded");
    node.awaitLogLine("stopping");
    establishConnection(node, server);  // the load balancer in front may still send requests
}

TEST(NodeStart, ReportsTheInvalidKeyOfItsConfiguration) {
    const std::string path = testing::TempDir() + "ivyreel_bad_" + std::to_string(::getpid()) + ".json";
    std::ofstream(path) << R"({"listen":"nowhere","discovery":"127.0.0.1:1","settings":{}})";
    FILE* output = ::popen(("RELAY_CONFIG='" + path + "' '" IVYREEL_NODE "' 2>&1").c_str(), "r");
    ASSERT_NE(output, nullptr);
    std::string text;
    for (int c = std::fgetc(output); c != EOF; c = std::fgetc(output)) {
        text.push_back(static_cast<char>(c));
    }
    const int status = ::pclose(output);
    std::remove(path.c_str());
    EXPECT_EQ(WEXITSTATUS(status), 1);
    EXPECT_NE(text.find("bad configuration at listen: not an address"), std::string::npos) << text;
}

}  // namespace
}  // namespace ivyreel::test
