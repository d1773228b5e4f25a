// Tests the admin server of a node on loopback sockets: requests, metrics, and endpoints disabled by
// operators.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

NodeProcess::Options withAdminServer(const StubServer& server) {
    NodeProcess::Options options = optionsFor(server);
    options.adminServer = true;
    return options;
}

// Waits until a metric has this value.
void awaitMetric(const NodeProcess& node, const std::string& name, long value) {
    while (node.metric(name) != value) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST(AdminServer, RespondsToKnownRequestsAndRejectsAllOthers) {
    StubServer server;
    NodeProcess node{withAdminServer(server)};
    EXPECT_EQ(node.adminRequest("GET", "/-/ready").first, 200);
    EXPECT_EQ(node.adminRequest("GET", "/-/metrics").first, 200);
    EXPECT_EQ(node.adminRequest("GET", "/-/metrics?all").first, 200);
    EXPECT_EQ(node.adminRequest("GET", "/-/ready/").first, 404);
    EXPECT_EQ(node.adminRequest("GET", "/").first, 404);
    EXPECT_EQ(node.adminRequest("POST", "/-/ready").first, 405);
    EXPECT_EQ(node.adminRequest("GET", "/-/hosts/s-1/disable").first, 405);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/remove").first, 404);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-9/disable").first, 404)
        << "the endpoint was never listed";
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/%zz/disable").first, 400);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts//disable").first, 400);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/%73-1/disable").first, 200) << "%73-1 is s-1";
    EXPECT_EQ(NodeProcess::readAdminResponse(node.connectToAdminServer("what is this\r\n")).first, 400);
    EXPECT_EQ(NodeProcess::readAdminResponse(node.connectToAdminServer(std::string(9000, 'x'))).first, 400);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(AdminServer, ReadsARequestInPiecesAndDeliversItsResponseDespiteUnreadInput) {
    StubServer server;
    NodeProcess node{withAdminServer(server)};
    TestConnection slow = node.connectToAdminServer();
    for (const char c : std::string("POST /-/hosts/s-1/disable HTTP/1.1\r\nContent-Length: 2\r\n\r\n")) {
        slow.send({&c, 1});
    }
    EXPECT_EQ(node.metric("cluster_unhealthy"), 0) << "the request is incomplete";
    slow.send("xx" + std::string(100'000, 'y'));
    EXPECT_EQ(NodeProcess::readAdminResponse(std::move(slow)).first, 200);
    EXPECT_EQ(node.metric("cluster_unhealthy"), 1);
}

TEST(AdminServer, RespondsWhileHundredsOfClientsSendIncompleteRequests) {
    StubServer server;
    NodeProcess node{withAdminServer(server)};
    constexpr int kCallers = 200;
    std::vector<TestConnection> silent;
    silent.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
        silent.push_back(node.connectToAdminServer(i % 2 == 0 ? "" : "GET /-/rea"));
    }
    EXPECT_EQ(node.adminRequest("GET", "/-/ready").first, 200);
    expectClosed(silent.front());
    const EstablishedPair pair = establishConnection(node, server);
    EXPECT_EQ(node.metric("current"), 1);
}

// Compares the metrics with the answers that the clients and the endpoints received.
TEST(AdminServer, CountsEachRequestOnce) {
    StubServer server;
    NodeProcess::Options options = withAdminServer(server);
    options.idempotency = "single_shot";
    options.latencyObjectiveMs = 100;
    NodeProcess node{options};
    EXPECT_EQ(node.metric("cluster_size"), 1);
    EstablishedPair stays = establishConnection(node, server);
    EstablishedPair ends = establishConnection(node, server);
    ends.server.send("BYE\r\n");
    ends.server.close();
    EXPECT_EQ(ends.client.line(), "BYE");
    ends.client.close();
    TestConnection failed = node.client(newOpeningLine());
    server.nextOpened().connection.send("ERR\r\n");
    EXPECT_EQ(failed.line(), "ERR");
    failed.close();
    TestConnection broken = node.client(newOpeningLine());
    server.nextOpened().connection.reset();
    EXPECT_EQ(broken.line(), "ERR");
    broken.close();
    TestConnection bad = node.client("OPEN 1 2 c=chat,d=never\r\n");
    EXPECT_EQ(bad.line(), "ERR");
    TestConnection unread = node.client("OPEN what\r\n");
    EXPECT_EQ(unread.line(), "ERR");
    TestConnection left = node.client(newOpeningLine());
    auto out = server.nextOpened();
    left.close();
    expectClosed(out.connection);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/disable").first, 200);
    TestConnection deferred = node.client(newOpeningLine());
    EXPECT_TRUE(deferred.line().starts_with("BUSY")) << "no endpoint is available";
    deferred.close();
    awaitMetric(node, "transactions.chat.deferred", 1);
    EXPECT_EQ(node.metric("transactions.chat.answered"), 2);
    EXPECT_EQ(node.metric("transactions.chat.errored"), 3) << "ERR, a reset, a malformed timeout";
    EXPECT_EQ(node.metric("transactions.chat.sends"), 5)
        << "two established, one ERR, one reset, one whose client disconnected";
}

constexpr int kMaxFetches = 100'000;

TEST(AdminServer, ReportsTheFreshnessOfTheEndpointList) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess::Options options = optionsFor(server, discovery);
    options.adminServer = true;
    NodeProcess node{options};
    {
        const auto refused = discovery.next();
        refused.connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    const auto watch = discovery.next();
    EXPECT_EQ(node.metric("list_calls"), 2);
    EXPECT_EQ(node.metric("list_calls_rejected"), 1);
    EXPECT_EQ(node.metric("list_calls_cancelled"), 0);
    const long staleBefore = node.metric("list_stale_ms");
    EXPECT_GE(staleBefore, 0);
    watch.begin();
    watch.line("");
    node.awaitLogLine("the list is live");
    const long stale = node.metric("list_stale_ms");
    EXPECT_GE(stale, staleBefore);
    int fetches = 0;
    while (node.metric("list_age_ms") < 5) {  // grows until the next message from discovery
        ASSERT_LT(++fetches, kMaxFetches);
    }
    EXPECT_EQ(node.metric("list_stale_ms"), stale)
        << "the time without a watch does not grow while a watch is open";
    node.signal(SIGUSR1);
    EXPECT_NE(node.awaitLogLine("counters:").find(" list_state=live "), std::string::npos);
}

TEST(AdminServer, AnEndpointStaysDisabledUntilItIsEnabled) {
    StubServer one;
    StubServer two;
    StubDiscovery discovery;
    NodeProcess::Options options = withAdminServer(one);
    options.servers.emplace_back("s-2", two.address());
    options.discovery = discovery.address();
    NodeProcess node{options};
    auto watch = discovery.next();
    watch.begin();
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/disable").first, 200);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/disable").first, 200) << "repeated";
    EXPECT_EQ(node.metric("cluster_unhealthy"), 1);
    EXPECT_EQ(node.metric("cluster_size"), 2);
    for (int i = 0; i < 10; ++i) {
        establishConnection(node, two);
    }
    // The endpoint leaves the list and returns, and a full list follows.
    watch.line(R"({"version":42,"full":false,"servers":[)" + endpointEntry("s-1", one.address(), "left") +
               "]}");
    watch.line(R"({"version":43,"full":false,"servers":[)" + endpointEntry("s-1", one.address()) + "]}");
    watch.line(R"({"version":44,"full":true,"servers":[)" + endpointEntry("s-1", one.address()) + "," +
               endpointEntry("s-2", two.address()) + "]}");
    while (node.counter("list_changes") < 3) {
    }
    for (int i = 0; i < 10; ++i) {
        establishConnection(node, two);
    }
    EXPECT_TRUE(one.hasNoQueuedConnection());
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-1/enable").first, 200);
    EXPECT_EQ(node.adminRequest("POST", "/-/hosts/s-2/disable").first, 200);
    establishConnection(node, one);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

}  // namespace
}  // namespace ivyreel::test
