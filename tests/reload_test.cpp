// SIGHUP reloads the configuration of a running node; tested on loopback sockets.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

NodeProcess::Options withAdminServer(const StubServer& server) {
    NodeProcess::Options options = optionsFor(server);
    options.adminServer = true;
    return options;
}

std::string openingOf(const std::string& requestClass) {
    std::string opening = newOpeningLine();
    return opening.replace(opening.find("c=chat"), 6, "c=" + requestClass);
}

void reload(NodeProcess& node, const std::string& text) {
    node.reload(text);
    node.awaitLogLine("configuration reloaded");
}

void reload(NodeProcess& node, const NodeProcess::Options& options) {
    reload(node, NodeProcess::config(options));
}

std::string replaced(std::string text, const std::string& what, const std::string& replacement) {
    const std::size_t at = text.find(what);
    if (at == std::string::npos) {
        ADD_FAILURE() << "the configuration does not contain: " << what;
        return text;
    }
    return text.replace(at, what.size(), replacement);
}

TEST(Reload, AddsOneRequestClassAndRemovesAnother) {
    StubServer server;
    NodeProcess::Options options = withAdminServer(server);
    NodeProcess node{options};
    TestConnection early = node.client(openingOf("call"));
    EXPECT_EQ(early.line(), "ERR") << "the class is not configured yet";
    options.classes = {"call", "chat"};  // the order of the classes changes too
    reload(node, options);
    EstablishedPair call = establishConnection(node, server, openingOf("call"));
    EstablishedPair chat = establishConnection(node, server);
    TestConnection pendingClient = node.client(newOpeningLine());
    auto pendingAttempt = server.nextOpened();
    options.classes = {"call"};
    reload(node, options);
    TestConnection late = node.client(newOpeningLine());
    EXPECT_EQ(late.line(), "ERR") << "dropped";
    pendingAttempt.connection.send("UP r9\r\n");
    EXPECT_EQ(pendingClient.line(), "UP r9") << "requests in flight continue";
    chat.client.send("x\r\n");
    EXPECT_EQ(chat.server.line(), "x") << "established connections continue";
    EXPECT_EQ(node.metric("transactions.chat.answered"), 2) << "the counters of the removed class are kept";
    EXPECT_EQ(node.metric("transactions.call.answered"), 1);
    EXPECT_EQ(node.metric("conf_loaded"), 2);
    EXPECT_EQ(node.metric("conf_invalid"), 0);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(Reload, ChangedIdempotencyAppliesToNewRequestsOnly) {
    StubServer server;
    StubServer secondServer;
    NodeProcess::Options options = withAdminServer(server);
    options.servers.emplace_back("s-2", secondServer.address());
    options.idempotency = "single_shot";
    NodeProcess node{options};
    const auto attempt = [&] {
        while (server.hasNoQueuedConnection() && secondServer.hasNoQueuedConnection()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return server.hasNoQueuedConnection() ? secondServer.nextOpened() : server.nextOpened();
    };
    TestConnection olderClient = node.client(newOpeningLine());
    auto first = attempt();
    options.idempotency = "free";
    reload(node, options);
    first.connection.reset();
    EXPECT_EQ(olderClient.line(), "ERR")
        << "the first attempt may have been executed, and the request was not idempotent when it arrived";
    TestConnection newerClient = node.client(newOpeningLine());
    attempt().connection.reset();
    attempt().connection.send("UP r2\r\n");
    EXPECT_EQ(newerClient.line(), "UP r2");
}

TEST(Reload, InvalidFileChangesNoSetting) {
    StubServer server;
    NodeProcess::Options options = withAdminServer(server);
    NodeProcess node{options};
    const std::string validConfig = NodeProcess::config(options);
    const auto configWith = [&validConfig](const std::string& what, const std::string& replacement) {
        return replaced(validConfig, what, replacement);
    };
    std::vector<std::string> invalidConfigs = {
        "",
        validConfig.substr(0, validConfig.size() / 2),
        validConfig.substr(0, validConfig.size() - 1),
        "[]",
        "{}",
        configWith("\"attemptsCap\":4,", ""),
        configWith("\"attemptsCap\":4", "\"attemptsCap\":0"),
        configWith("\"attemptsCap\":4", "\"attemptsCap\":-2"),
        configWith("\"attemptsCap\":4", "\"attemptsCap\":\"4\""),
        configWith("\"attemptsCap\":4", "\"attemptsCap\":null"),
        configWith("\"giveUp\":20000000", "\"giveUp\":0"),
        configWith("\"giveUp\":20000000", "\"giveUp\":-1"),
        configWith("\"giveUp\":20000000", "\"giveUp\":1e999"),
        configWith("\"giveUp\":20000000", "\"giveUp\":\"soon\""),
        configWith(",\"giveUp\":20000000", ""),
        configWith("\"aim\":20000000", "\"aim\":0"),
        configWith("\"repeat\":\"free\"", "\"repeat\":\"perhaps\""),
        configWith("\"name\":\"chat\",", ""),
        configWith("\"rules\":{\"drainGrace\":500000", "\"rules\":{\"other\":1"),
        configWith("\"limits\":{\"sockets\":500}", "\"limits\":{\"sockets\":-5}"),
        configWith("\"settings\"", "\"setting\""),
        configWith("\"known\"", "\"unknown\""),
    };
    options.classes = {};
    invalidConfigs.push_back(NodeProcess::config(options));
    options.classes = {"chat", "chat"};
    invalidConfigs.push_back(NodeProcess::config(options));
    options.classes = {"other"};
    for (const std::string& text : invalidConfigs) {
        node.reload(text);
        EXPECT_NE(node.awaitLogLine("configuration "), "") << text;
    }
    EXPECT_EQ(node.metric("conf_invalid"), static_cast<long>(invalidConfigs.size()));
    EXPECT_EQ(node.metric("conf_loaded"), 0);
    establishConnection(node, server);
    reload(node, options);
    establishConnection(node, server, openingOf("other"));
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

TEST(Reload, LastOfSeveralConsecutiveReloadsApplies) {
    StubServer server;
    NodeProcess::Options options = withAdminServer(server);
    NodeProcess node{options};
    for (int i = 0; i < 20; ++i) {
        options.classes = {"chat", std::string("c").append(std::to_string(i))};
        node.reload(options);
    }
    TestConnection client;
    do {
        client = node.client(openingOf("c19"));
        awaitRequestOrAnswer(server, client);
    } while (server.hasNoQueuedConnection());  // the node answers ERR until it has read the last file
    server.nextOpened().connection.send("UP r1\r\n");
    EXPECT_EQ(client.line(), "UP r1");
    TestConnection clientOfRemovedClass = node.client(openingOf("c3"));
    EXPECT_EQ(clientOfRemovedClass.line(), "ERR");
}

// The configuration of another kind of deployment, with other nodes, zones, discovery mode, prices, goal and
// groups.
std::string otherDeployment(const NodeProcess::Options& options) {
    std::string text = NodeProcess::config(options);
    const std::pair<const char*, const char*> changes[] = {
        {"\"instances\":1", "\"instances\":21,\"me\":7,\"zone\":1"},
        {"\"registryMode\":\"ask\"", "\"registryMode\":\"push\""},
        {"[\"a\"]", "[\"b\",\"a\"]"},
        {"\"attemptsCap\":4", "\"attemptsCap\":3"},
        {"\"drainGrace\":500000", "\"drainGrace\":400000"},
        {"\"grades\"", R"("prices":{"crossZone":0.13},"goal":{"availability":0.3,"topNines":3.0,"whole":0.1},
        "familyInfo":{"groups":true},"grades")"},
    };
    for (const auto& [what, replacement] : changes) {
        text = replaced(text, what, replacement);
    }
    return text;
}

// Regression: the reload of the first configuration was rejected, because that file lacks keys that only the
// other deployment has.
TEST(Reload, SwitchesToAnotherDeploymentAndBackUnderLoad) {
    StubServer server;
    NodeProcess::Options options = withAdminServer(server);
    NodeProcess node{options};
    const std::string firstDeployment = replaced(
        replaced(NodeProcess::config(options), "\"instances\":1", R"("instances":1,"me":0,"zone":0)"),
        "\"grades\"",
        R"("prices":{"crossZone":0.02},"goal":{"whole":1},"familyInfo":{"groups":false},"grades")");
    const std::string secondDeployment = otherDeployment(options);
    reload(node, firstDeployment);
    EstablishedPair first = establishConnection(node, server);
    TestConnection pendingClient = node.client(newOpeningLine());
    auto pendingAttempt = server.nextOpened();
    reload(node, secondDeployment);
    pendingAttempt.connection.send("UP r2\r\n");
    EXPECT_EQ(pendingClient.line(), "UP r2") << "in flight when the configuration changes";
    EstablishedPair second = establishConnection(node, server);
    TestConnection secondPendingClient = node.client(newOpeningLine());
    auto secondPendingAttempt = server.nextOpened();
    node.reload(replaced(secondDeployment, "0.13", "-0.1"));
    node.awaitLogLine(
        "settings at prices.crossZone: out of range: expected a number from 0.0 to 1e+15, got -0.1");
    reload(node, firstDeployment);
    secondPendingAttempt.connection.send("UP r4\r\n");
    EXPECT_EQ(secondPendingClient.line(), "UP r4") << "in flight when the first configuration returns";
    EstablishedPair third = establishConnection(node, server);
    for (EstablishedPair* pair : {&first, &second, &third}) {
        pair->client.send("x\r\n");
        EXPECT_EQ(pair->server.line(), "x") << "established connections continue";
    }
    EXPECT_TRUE(server.hasNoQueuedConnection()) << "nothing was sent twice";
    EXPECT_EQ(node.metric("transactions.chat.answered"), 5);
    EXPECT_EQ(node.metric("transactions.chat.sends"), 5);
    EXPECT_EQ(node.metric("conf_loaded"), 3);
    EXPECT_EQ(node.metric("conf_invalid"), 1);
    EXPECT_EQ(node.stop(), 0) << node.remainingLog();
}

// Regression: the node used its first endpoint list permanently after a reload with the mode "push", because
// no list is pushed over sockets.
TEST(Reload, WatchesTheListEvenIfTheSettingsSayThatItIsPushed) {
    StubServer server;
    StubDiscovery discovery;
    NodeProcess::Options options = optionsFor(server, discovery);
    NodeProcess node{options};
    auto watch = discovery.next();
    watch.begin();
    reload(node, otherDeployment(options));
    watch.connection.reset();
    EXPECT_NE(discovery.next().request.find("/catalog/members"), std::string::npos)
        << "the node opens a new watch";
}

}  // namespace
}  // namespace ivyreel::test
