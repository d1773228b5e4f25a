// Request ids during a hot restart: both processes reject a copy of a request that is open at either of them.
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>

#include "fake_handover_peers.hpp"
#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

const std::string kOpening = "OPEN 7001 7f3a c=chat,d=20000\r\n";
const std::string kOpenNotice = "{\"open\":true,\"request\":28673}";  // 0x7001
const std::string kEndedNotice = "{\"open\":false,\"request\":28673}";

// The node logs the invalid message once it has handled the messages before it.
const std::string kInvalidMessage = "no json\n";
const std::string kInvalidMessageLog = "ignored an invalid message";

// Expects that the node answers this opening line with an error and makes no attempt at the endpoint.
void expectRejected(const NodeProcess& node, StubServer& server, const std::string& opening) {
    TestConnection copy = node.client(opening);
    EXPECT_EQ(copy.line(), "ERR");
    EXPECT_TRUE(server.hasNoQueuedConnection());
}

// Guards against a second run of an unsafe request: an id that the predecessor had first seen after it had
// handed over its state was unknown to the successor.
TEST(HotRestartRequestIds, IdOfARequestThatOpensDuringTheHandoverIsNotServedAgain) {
    SharedDirectory directory;
    StubServer server;
    const StubDiscovery discovery;  // does not answer, so that the successor serves only after its time-out
    NodeProcess::Options options = restartOptions(server, directory);
    options.discovery = discovery.address();
    NodeProcess predecessor{options};
    auto starting =
        std::async(std::launch::async, [&options] { return std::make_unique<NodeProcess>(options); });
    predecessor.awaitLogLine("has handed over its state");
    EstablishedPair pair = establishConnection(predecessor, server, kOpening);
    const std::unique_ptr<NodeProcess> successor = starting.get();
    predecessor.awaitLogLine("the successor serves");
    expectRejected(*successor, server, kOpening);
    pair.client.send("line\r\n");
    EXPECT_EQ(pair.server.line(), "line");
}

TEST(HotRestartRequestIds, NodeRejectsTheIdOfARequestThatItsPredecessorReports) {
    SharedDirectory directory;
    StubServer server;
    FakePredecessor predecessor{directory};
    std::thread predecessorThread([&predecessor] {
        predecessor.acceptRequest();
        predecessor.sendUnusableState();
    });
    NodeProcess node{restartOptions(server, directory)};
    predecessorThread.join();
    predecessor.send(kOpenNotice + "\n" + kInvalidMessage);
    node.awaitLogLine(kInvalidMessageLog);
    expectRejected(node, server, kOpening);
    EXPECT_EQ(node.counter("bad_id"), 1);
    establishConnection(node, server);
}

TEST(HotRestartRequestIds, NodeRejectsTheIdOfARequestThatItsSuccessorReports) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess node{restartOptions(server, directory)};
    FakeSuccessor successor{directory};
    successor.sendRequest();
    successor.send(kOpenNotice + "\n" + kInvalidMessage);
    node.awaitLogLine(kInvalidMessageLog);
    expectRejected(node, server, kOpening);
    EXPECT_EQ(node.counter("bad_id"), 1);
    establishConnection(node, server);
}

TEST(HotRestartRequestIds, NodeReportsItsOpenAndEndedRequestsToItsSuccessor) {
    SharedDirectory directory;
    StubServer server;
    NodeProcess node{restartOptions(server, directory)};
    FakeSuccessor successor{directory};
    successor.sendRequest();
    EXPECT_NE(successor.nextMessage().find("\"estate\""), std::string::npos);
    EstablishedPair pair = establishConnection(node, server, kOpening);
    EXPECT_EQ(successor.nextMessageWith("\"request\""), kOpenNotice);
    pair.client.close();
    EXPECT_EQ(successor.nextMessageWith("\"request\""), kEndedNotice);
}

}  // namespace
}  // namespace ivyreel::test
