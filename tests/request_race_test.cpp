// Tests races at a node process: a client, an endpoint or the endpoint list changes while a request waits.
// Each test forces the order of events.
#include <gtest/gtest.h>

#include <string>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

void awaitCounter(NodeProcess& node, const std::string& name, long value) {
    for (long now = node.counter(name); now < value; now = node.counter(name)) {
        ASSERT_GE(now, 0) << "there is no counter " << name;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

std::string listChange(int version, const std::string& entries) {
    return R"({"version":)" + std::to_string(version) + R"(,"full":false,"servers":[)" + entries + "]}";
}

// A node whose only endpoint is draining, so that requests wait until an endpoint becomes available.
struct NodeWithDrainingEndpoint {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess node;
    StubDiscovery::Watch watch;

    NodeWithDrainingEndpoint() : node(optionsFor(server, discovery)), watch(discovery.next()) {
        watch.begin();
        setEndpointState("leaving");
    }
    void setEndpointState(const std::string& state) {
        watch.line(listChange(50 + ++changes, endpointEntry("s-1", server.address(), state)));
        awaitCounter(node, "list_changes", changes);
    }
    // Expects that the first request at the endpoint is a new one, so no attempt was made for earlier
    // requests.
    void expectNothingWasSent() {
        setEndpointState("active");
        TestConnection next = node.client("OPEN feed 1 c=chat,d=20000\r\n");
        const auto opened = server.nextOpened();
        EXPECT_TRUE(opened.opening.starts_with("OPEN feed "))
            << "no attempt is made for a client that has disconnected";
        EXPECT_EQ(node.counter("attempts"), 1);
    }
    int changes = 0;
};

// Only the disconnect of the client can end these requests: there is no endpoint, no answer and no timeout.
TEST(ClientDisconnects, CancelsARequestThatWaitsForAnEndpoint) {
    NodeWithDrainingEndpoint fixture;
    TestConnection closes = fixture.node.client(newOpeningLine());
    TestConnection resets = fixture.node.client(newOpeningLine());
    awaitCounter(fixture.node, "requests", 2);
    closes.close();
    resets.reset();
    awaitCounter(fixture.node, "clients_disconnected", 2);
    fixture.expectNothingWasSent();
}

TEST(ClientDisconnects, CancelsARequestThatWaitsDuringAShutdown) {
    NodeWithDrainingEndpoint fixture;
    fixture.node.signal(SIGTERM);
    fixture.node.awaitLogLine("stopping");
    TestConnection client = fixture.node.client(newOpeningLine());
    awaitCounter(fixture.node, "requests", 1);
    client.close();
    awaitCounter(fixture.node, "clients_disconnected", 1);
    fixture.expectNothingWasSent();
}

TEST(ClientDisconnects, CancelsAConnectionThatIsBeingResumed) {
    StubServer late;
    NodeWithDrainingEndpoint fixture;
    TestConnection client = fixture.node.client("OPEN 9b1f 7f3a c=chat,at=s-2\r\n");
    awaitCounter(fixture.node, "requests", 1);
    client.close();
    awaitCounter(fixture.node, "clients_disconnected", 1);
    fixture.watch.line(listChange(90, endpointEntry("s-2", late.address(), "leaving")));
    awaitCounter(fixture.node, "list_changes", ++fixture.changes);
    fixture.expectNothingWasSent();
    EXPECT_TRUE(late.hasNoQueuedConnection());
}

TEST(ClientDisconnects, CancelsARequestThatWaitsAfterARejectedAttempt) {
    NodeWithDrainingEndpoint fixture;
    fixture.setEndpointState("active");
    TestConnection client = fixture.node.client(newOpeningLine());
    auto opened = fixture.server.nextOpened();
    fixture.setEndpointState("leaving");
    opened.connection.send("BUSY\r\n");
    expectClosed(opened.connection);
    client.close();
    awaitCounter(fixture.node, "clients_disconnected", 1);
    fixture.setEndpointState("active");
    TestConnection next = fixture.node.client("OPEN feed 1 c=chat,d=20000\r\n");
    const auto feed = fixture.server.nextOpened();
    EXPECT_TRUE(feed.opening.starts_with("OPEN feed "));
    EXPECT_EQ(fixture.node.counter("attempts"), 2);
}

// The opening line and the end of the connection have both arrived when the node first reads. The node is
// stopped until then.
TEST(ClientDisconnects, CancelsARequestBeforeItsOpeningLineIsRead) {
    StubServer server;
    NodeProcess node{optionsFor(server)};
    node.signal(SIGSTOP);
    for (int i = 0; i < 5; ++i) {
        TestConnection client = node.client(newOpeningLine());
        if (i % 2 == 0) client.reset();
    }
    node.signal(SIGCONT);
    TestConnection next = node.client("OPEN feed 1 c=chat,d=20000\r\n");
    const auto feed = server.nextOpened();
    EXPECT_TRUE(feed.opening.starts_with("OPEN feed "));
    awaitCounter(node, "accepted", 6);
    EXPECT_EQ(node.counter("attempts"), 1);
}

// An endpoint whose listen queue is full: no further connection is established until the endpoint accepts the
// queued one.
class EndpointWithFullQueue {
  public:
    EndpointWithFullQueue() : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size), 0);
        EXPECT_EQ(::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size), 0);
        EXPECT_EQ(::listen(descriptor_, 0), 0);
        port_ = ntohs(address.sin_port);
        queued_ = TestConnection::connectTo(port_);
    }
    EndpointWithFullQueue(const EndpointWithFullQueue&) = delete;
    EndpointWithFullQueue& operator=(const EndpointWithFullQueue&) = delete;
    EndpointWithFullQueue(EndpointWithFullQueue&&) = delete;
    EndpointWithFullQueue& operator=(EndpointWithFullQueue&&) = delete;
    ~EndpointWithFullQueue() { ::close(descriptor_); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Accepts the oldest queued connection, so that the next one can be established.
    TestConnection accept() const {
        return TestConnection{::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC)};
    }

  private:
    int descriptor_;
    std::uint16_t port_ = 0;
    TestConnection queued_;
};

// A node with a request whose connection to the endpoint is not established yet.
struct ConnectingNode {
    EndpointWithFullQueue full;
    StubServer other;
    StubDiscovery discovery;
    NodeProcess node;
    StubDiscovery::Watch watch;
    TestConnection client;

    explicit ConnectingNode(const std::string& idempotency = "free")
        : node(options(full, discovery, idempotency)),
          watch(discovery.next()),
          client(node.client(newOpeningLine())) {
        watch.begin();
        awaitCounter(node, "requests", 1);
    }
    static NodeProcess::Options options(const EndpointWithFullQueue& full, const StubDiscovery& discovery,
                                        const std::string& idempotency) {
        NodeProcess::Options options;
        options.idempotency = idempotency;
        options.servers = {{"s-1", full.address()}};
        options.discovery = discovery.address();
        options.healthChecks = false;
        return options;
    }
    // Lets the connection be established and returns the first line that the endpoint receives; "(end)" if
    // the node closed the connection.
    std::string firstLineAfterAccept() const {
        const TestConnection queued = full.accept();
        return full.accept().line();
    }
};

TEST(ClientDisconnects, CancelsAnAttemptThatIsConnecting) {
    ConnectingNode fixture;
    fixture.client.close();
    awaitCounter(fixture.node, "clients_disconnected", 1);
    EXPECT_EQ(fixture.node.counter("attempts"), 0);
}

// The endpoint closes the connection before it receives the opening line, so the node has to retry even a
// non-idempotent request.
TEST(EndpointCloses, RetriesARequestWhoseOpeningLineWasNotSent) {
    for (const bool resets : {false, true}) {
        ConnectingNode fixture{"single_shot"};
        fixture.node.signal(SIGSTOP);
        const TestConnection queued = fixture.full.accept();
        TestConnection established = fixture.full.accept();
        if (resets) established.reset();
        established.close();
        fixture.node.signal(SIGCONT);
        TestConnection retry = fixture.full.accept();
        EXPECT_TRUE(retry.line().starts_with("OPEN "));
        retry.send("UP r1\r\n");
        EXPECT_EQ(fixture.client.line(), "UP r1");
        EXPECT_EQ(fixture.node.counter("attempts"), 1);
    }
}

TEST(EndpointListChanges, RetriesElsewhereWhenTheEndpointDrainsDuringTheConnect) {
    ConnectingNode fixture;
    fixture.watch.line(listChange(50, endpointEntry("s-1", fixture.full.address(), "leaving") + "," +
                                          endpointEntry("s-2", fixture.other.address())));
    awaitCounter(fixture.node, "list_changes", 1);
    EXPECT_EQ(fixture.firstLineAfterAccept(), "(end)");
    const auto opened = fixture.other.nextOpened();
    EXPECT_TRUE(opened.opening.starts_with("OPEN ")) << "the retry is sent to an active endpoint";
    EXPECT_EQ(fixture.node.counter("not_sent"), 1);
}

TEST(EndpointListChanges, RetriesAtTheNewAddressWhenItChangesDuringTheConnect) {
    ConnectingNode fixture;
    fixture.watch.line(listChange(50, endpointEntry("s-1", fixture.other.address())));
    awaitCounter(fixture.node, "list_changes", 1);
    EXPECT_EQ(fixture.firstLineAfterAccept(), "(end)");
    const auto opened = fixture.other.nextOpened();
    EXPECT_TRUE(opened.opening.starts_with("OPEN "));
    EXPECT_EQ(fixture.node.counter("not_sent"), 1);
}

}  // namespace
}  // namespace ivyreel::test
