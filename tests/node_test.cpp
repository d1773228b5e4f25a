// The node on loopback sockets, from outside: what a client, a host and discovery see of it.
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node_harness.hpp"

namespace ivyreel::test {
namespace {

TEST(Node, ServesAConnectionFromItsOpeningToItsEnd) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client("OPEN 9b1f 7f3a c=chat,d=20000,g=5c0f\r\n");
    auto opened = host.next();
    EXPECT_TRUE(opened.opening.starts_with("OPEN 9b1f 7f3a c=chat,d=")) << opened.opening;
    EXPECT_TRUE(opened.opening.ends_with(",g=5c0f")) << opened.opening;
    opened.wire.say("UP r1\r\nLOAD 41000\r\nho");
    EXPECT_EQ(client.line(), "UP r1");
    EXPECT_EQ(client.line(), "LOAD 41000");
    opened.wire.say("st\r\n");
    EXPECT_EQ(client.line(), "host");
    client.say("one\r\ntw");
    EXPECT_EQ(opened.wire.line(), "one");
    client.say("o\r\n");
    EXPECT_EQ(opened.wire.line(), "two");
    opened.wire.say("BYE x0=0.2\r\n");
    opened.wire.close();
    EXPECT_EQ(client.line(), "BYE x0=0.2");
    EXPECT_EQ(client.line(), "(end)");
    client.close();
    EXPECT_EQ(node.counter("served_to_end"), 1);
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

TEST(Node, ReadsAnOpeningThatComesInPieces) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client();
    for (const char c : newOpening()) {
        client.say({&c, 1});
    }
    EXPECT_TRUE(host.next().opening.starts_with("OPEN "));
}

TEST(Node, AnswersPingsSeveralInOneReadToo) {
    ToyHost host;
    Node node{with(host)};
    Wire front = node.client("PING\r\nPING\r\n");
    EXPECT_EQ(front.line(), "PONG");
    EXPECT_EQ(front.line(), "PONG");
    front.say("PING\r\n" + newOpening());
    EXPECT_EQ(front.line(), "PONG");
    EXPECT_TRUE(host.next().opening.starts_with("OPEN"));
}

TEST(Node, EndsOnlyTheConnectionThatBringsNonsense) {
    ToyHost host;
    Node node{with(host)};
    Pair good = up(node, host);
    const std::string garbage("\x00\xff\x01 what\r\n", 10);
    for (const std::string& bad : {std::string("HELLO\r\n"), std::string(5000, 'x'), garbage,
                                   std::string("OPEN a b\r\n"), std::string("\r\n")}) {
        Wire client = node.client(bad);
        EXPECT_EQ(client.line(), "ERR") << bad.substr(0, 20);
        expectOver(client);
    }
    good.client.say("still\r\n");
    EXPECT_EQ(good.host.line(), "still");
    EXPECT_EQ(node.counter("bad_input"), 5);
}

// What no host can use is answered by the node, counted by its cause, and reaches no host.
TEST(Node, AnswersEachBadOpeningItself) {
    ToyHost host;
    Node node{with(host)};
    Pair good = up(node, host, "OPEN 9b1f 7f3a c=chat,d=20000\r\n");
    const std::pair<const char*, std::vector<std::string>> bad[] = {
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
          "OPEN 7 8 c=chat,d=9,h=-1\r\n", "OPEN 7 8 c=chat,d=9,h=x\r\n"}},
        {"bad_id", {"OPEN 9b1f 8 c=chat,d=20000\r\n", "OPEN 9B1F 8 c=chat,d=20000\r\n"}},
        {"bad_early",
         {"OPEN 7 8 c=chat,d=9000\r\nOPEN 8 9 c=chat,d=9000\r\n", "OPEN 7 8 c=chat,d=9000\r\nx"}},
    };
    long all = 0;
    for (const auto& [cause, openings] : bad) {
        for (const std::string& opening : openings) {
            Wire client = node.client(opening);
            EXPECT_EQ(client.line(), "ERR") << opening;
            expectOver(client);
        }
        all += static_cast<long>(openings.size());
        EXPECT_EQ(node.counter(cause), static_cast<long>(openings.size())) << cause;
    }
    EXPECT_EQ(node.counter("bad_input"), all);
    EXPECT_TRUE(host.idle());
    EXPECT_EQ(node.counter("attempts"), 1);
    good.client.close();
    expectOver(good.host);
    good.host.close();
    while (node.counter("client_ended") == 0) {
    }
    Wire copy = node.client("OPEN 9b1f 8 c=chat,d=20000\r\n");
    EXPECT_EQ(copy.line(), "ERR") << "ids are new with every connection, also just after an end";
    EXPECT_TRUE(host.idle());
}

TEST(Node, GivesUpTheAttemptOfAClientThatDoesNotWaitForItsAnswer) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client(newOpening());
    auto opened = host.next();
    client.say("more\r\n");
    EXPECT_EQ(client.line(), "ERR");
    expectOver(opened.wire);
    EXPECT_EQ(node.counter("bad_early"), 1);
}

// The end of a connection with unread input is a reset, which would destroy an answer on its way.
TEST(Node, LetsItsAnswerArriveAtAClientThatStillSends) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client("frob 7\r\n" + std::string(200'000, 'k'));
    EXPECT_EQ(client.line(), "ERR");
    EXPECT_EQ(client.line(), "(end)");
}

TEST(Node, MovesAClientWhoseHostSendsALineWithoutEnd) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    pair.host.say("whole\r\n" + std::string(5000, 'x'));
    EXPECT_EQ(pair.client.line(), "whole");
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(pair.client.line(), "(end)");
}

// Cut off at the length of a line, it is an attempt that failed.
TEST(Node, TriesAgainWhereTheHostAnswersWithALineWithoutEnd) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client(newOpening());
    auto first = host.next();
    first.wire.say(std::string(5000, 'x'));
    auto second = host.next();
    expectOver(first.wire);
    second.wire.say("UP r2\r\n");
    EXPECT_EQ(client.line(), "UP r2");
    EXPECT_EQ(node.counter("attempts"), 2);
}

// What never ran is tried at another host, whatever the class.
TEST(Node, TriesAnotherHostWhereNothingCanHaveRun) {
    ToyHost one;
    ToyHost two;
    Node::Options options;
    options.effect = "single_shot";
    options.hosts = {{"s-1", one.address()}, {"s-2", two.address()}, {"s-3", "127.0.0.1:1"}};
    Node node{options};
    for (int i = 0; i < 6; ++i) {
        Wire client = node.client(newOpening());
        bool served = false;
        while (!served) {
            for (ToyHost* host : {&one, &two}) {
                if (host->idle()) continue;
                auto opened = host->next();
                served = host == &two;
                opened.wire.say(served ? "UP r\r\n" : "BUSY\r\n");
                if (served) {
                    EXPECT_EQ(client.line(), "UP r");
                }
            }
        }
    }
    EXPECT_EQ(node.counter("up"), 6);
}

TEST(Node, SaysFailedWhereAnUnsafeRequestMayHaveRun) {
    ToyHost one;
    ToyHost two;
    Node::Options options;
    options.effect = "single_shot";
    options.hosts = {{"s-1", one.address()}};
    Node node{options};
    for (const std::string answer : {"ERR\r\n", "SYNTAX\r\n", ""}) {
        Wire client = node.client(newOpening());
        auto opened = one.next();
        opened.wire.say(answer);
        if (answer.empty()) opened.wire.reset();
        EXPECT_EQ(client.line(), "ERR");
        EXPECT_EQ(client.line(), "(end)");
    }
    EXPECT_EQ(node.counter("attempts"), 3);
}

TEST(Node, RepeatsASafeRequestAndClosesEachAttemptFirst) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client(newOpening());
    auto first = host.next();
    first.wire.say("ERR\r\n");
    auto second = host.next();
    expectOver(first.wire);
    second.wire.say("UP r2\r\n");
    EXPECT_EQ(client.line(), "UP r2");
}

TEST(Node, AnswersInTimeWhereTheHostSaysNothing) {
    ToyHost host;
    Node::Options options = with(host);
    options.effect = "single_shot";
    Node node{options};
    Wire client = node.client("OPEN 9b1f 7f3a c=chat,d=300\r\n");
    auto opened = host.next();
    EXPECT_EQ(client.line(), "ERR");
    EXPECT_EQ(client.line(), "(end)");
    opened.wire.say("UP late\r\n");
    expectOver(opened.wire);
}

TEST(Node, ClosesTheAttemptOfAClientThatLeaves) {
    ToyHost host;
    Node node{with(host)};
    Wire client = node.client(newOpening());
    auto opened = host.next();
    client.reset();
    expectOver(opened.wire);
    EXPECT_EQ(node.counter("left"), 1);
}

TEST(Node, PassesTheClientsEndOnAndWhatTheHostStillSays) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    pair.client.say("last\r\nhalf");
    pair.client.finishSending();
    EXPECT_EQ(pair.host.line(), "last");
    EXPECT_EQ(pair.host.line(), "(end)");
    pair.host.say("BYE\r\n");
    pair.host.close();
    EXPECT_EQ(pair.client.line(), "BYE");
    EXPECT_EQ(pair.client.line(), "(end)");
}

TEST(Node, PassesAResetOnInBothDirections) {
    ToyHost host;
    Node node{with(host)};
    Pair first = up(node, host);
    first.client.reset();
    EXPECT_EQ(first.host.line(), "(reset)");
    Pair second = up(node, host);
    second.host.say("x\r\n");
    EXPECT_EQ(second.client.line(), "x");
    second.host.reset();
    EXPECT_EQ(second.client.line(), "(reset)");
    EXPECT_EQ(node.counter("client_ended"), 1);
    EXPECT_EQ(node.counter("host_reset"), 1);
}

TEST(Node, PassesOnWhatADrainingHostTellsItsClient) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    pair.host.say("MOVE\r\n");
    pair.host.close();
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(pair.client.line(), "(end)");
    EXPECT_EQ(node.counter("host_moved"), 1);
}

TEST(Node, EndsAConnectionWhoseClientSendsAnOverlongLine) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    pair.client.say("whole\r\n" + std::string(5000, 'x') + "\r\n");
    EXPECT_EQ(pair.host.line(), "whole");
    expectOver(pair.host);
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(node.counter("bad_input"), 1);
}

TEST(Node, RelaysMuchMoreThanItBuffers) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    constexpr int kLines = 4000;
    const std::string line(1000, 'y');
    std::thread sender([&] {
        for (int i = 0; i < kLines; ++i) {
            pair.host.say(line + "\r\n");
        }
    });
    int got = 0;
    while (got < kLines && pair.client.line() == line) {
        ++got;
    }
    EXPECT_EQ(got, kLines);
    if (got < kLines) pair.host.reset();
    sender.join();
}

TEST(Node, MovesAllBetweenTwoLinesWhenItIsStopped) {
    ToyHost host;
    Node node{with(host)};
    std::array<Pair, 3> pairs{up(node, host), up(node, host), up(node, host)};
    for (Pair& pair : pairs) {
        pair.host.say("whole\r\nhalf a li");
        EXPECT_EQ(pair.client.line(), "whole");
    }
    node.signal(SIGTERM);
    Wire late = node.client(newOpening());
    auto opened = host.next();
    opened.wire.say("UP late\r\n");
    EXPECT_EQ(late.line(), "UP late") << "what still comes is taken";
    for (Pair& pair : pairs) {
        EXPECT_EQ(pair.client.line(), "MOVE");
        EXPECT_EQ(pair.client.line(), "(end)");
        pair.client.close();
    }
    EXPECT_EQ(late.line(), "MOVE");
    late.close();
    node.logged("drained");
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

// A request that its host keeps waiting would be lost with the node when that is killed.
TEST(Node, AnswersWhatIsStillOpenBeforeItIsKilled) {
    ToyHost host;
    Node::Options options = with(host);
    options.giveUpMs = 1000;  // as the class says; this client would wait for longer
    Node node{options};
    Wire client = node.client("OPEN 9b1f 7f3a c=chat,d=60000\r\n");
    const auto opened = host.next();
    node.signal(SIGTERM);
    EXPECT_EQ(client.line(), "ERR");
    client.close();
    node.logged("drained");
}

// Its line may take its time, or its connection the way through the front.
TEST(Node, MovesAndAnswersWhatComesAfterItWasDrainedToo) {
    ToyHost host;
    Node::Options options = with(host);
    options.giveUpMs = 1000;
    Node node{options};
    node.signal(SIGTERM);
    node.logged("drained");
    Pair late = up(node, host);
    EXPECT_EQ(late.client.line(), "MOVE");
    Wire asks = node.client("OPEN 9b1f 7f3a c=chat,d=60000\r\n");
    const auto opened = host.next();
    EXPECT_EQ(asks.line(), "ERR");
}

TEST(Node, AnswersWhoWaitsForTheHostOfBeforeTheStartBeforeItIsKilled) {
    ToyHost host;
    Node::Options options = with(host);
    options.giveUpMs = 1000;
    Node node{options};
    Wire client = node.client("OPEN 9b1f 7f3a c=chat,at=s-9\r\n");
    Wire silent = node.client("OPEN 9b20 7f3a c=chat,at=s-1\r\n");
    const auto opened = host.next();
    node.signal(SIGTERM);
    EXPECT_EQ(client.line(), "ERR");
    EXPECT_EQ(silent.line(), "ERR");
    client.close();
    silent.close();
    node.logged("drained");
}

TEST(Node, EndsAtOnceWhenInterruptedTwiceWithConnectionsUp) {
    ToyHost host;
    Node node{with(host)};
    const std::array<Pair, 2> pairs{up(node, host), up(node, host)};
    const Wire waiting = node.client(newOpening());
    const auto opened = host.next();
    const Wire silent = node.client();
    node.signal(SIGINT);
    node.logged("stopping");
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

TEST(Node, TakesUpConnectionsThatStoodBeforeItsStart) {
    ToyHost one;
    ToyHost two;
    Node::Options options;
    options.hosts = {{"s-1", one.address()}, {"s-2", two.address()}};
    Node node{options};
    Wire client = node.client("OPEN 9b1f 7f3a c=chat,at=s-2\r\n");
    auto opened = two.next();
    EXPECT_EQ(opened.opening, "OPEN 9b1f 7f3a c=chat,at=s-2");
    opened.wire.say("UP old\r\n");
    EXPECT_EQ(client.line(), "UP old");
    EXPECT_EQ(node.counter("resumed"), 1);
    EXPECT_TRUE(one.idle());
}

TEST(Node, FollowsTheListAndMovesClientsBeforeTheirHostLeaves) {
    ToyHost one;
    ToyHost two;
    ToyDiscovery discovery;
    Node node{with(one, discovery)};
    auto watch = discovery.next();
    EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=41 HTTP/1.1");
    Pair pair = up(node, one);
    watch.begin();
    watch.line("");
    watch.line(R"({"version":42,"full":false,"servers":[)" + listed("s-2", two.address()) + "]}");
    watch.line(R"({"version":43,"full":false,"servers":[)" + listed("s-1", one.address(), "leaving") + "]}");
    EXPECT_EQ(pair.client.line(), "MOVE");
    Pair next = up(node, two);
    next.client.say("x\r\n");
    EXPECT_EQ(next.host.line(), "x");
}

TEST(Node, ComesBackToTheListFromItsLastVersion) {
    ToyHost host;
    ToyDiscovery discovery;
    Node node{with(host, discovery)};
    {
        auto watch = discovery.next();
        watch.begin();
        watch.line(R"({"version":77,"full":false,"servers":[]})");
        watch.wire.close();
    }
    {
        auto watch = discovery.next();
        EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
        watch.wire.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    {
        auto watch = discovery.next();
        EXPECT_EQ(watch.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
        watch.begin();
        watch.line("nonsense");
    }
    const auto last = discovery.next();
    EXPECT_EQ(last.request, "GET /catalog/members?follow=1&since=77 HTTP/1.1");
    Pair pair = up(node, host);
    pair.client.say("x\r\n");
    EXPECT_EQ(pair.host.line(), "x") << "serves on what is known";
    EXPECT_EQ(node.counter("list_failures"), 3);
}

// The environment named the first address; the file that is read again is newer.
TEST(Node, FollowsDiscoveryToWhereANewConfigurationHasIt) {
    ToyHost host;
    ToyHost two;
    ToyDiscovery first;
    ToyDiscovery second;
    Node::Options options = with(host);
    options.discoveryVariable = first.address();
    Node node{options};
    Pair pair = up(node, host);
    auto before = first.next();
    before.begin();
    before.line(R"({"version":50,"full":false,"servers":[]})");
    options.discovery = second.address();
    while (node.counter("list_changes") == 0) {
    }
    node.reload(options);
    auto after = second.next();
    EXPECT_EQ(after.request, "GET /catalog/members?follow=1&since=50 HTTP/1.1");
    expectOver(before.wire);
    after.begin();
    after.line(R"({"version":51,"full":false,"servers":[)" + listed("s-2", two.address()) + "," +
               listed("s-1", host.address(), "left") + "]}");
    pair.client.say("x\r\n");
    EXPECT_EQ(pair.host.line(), "x") << "what is up stays up";
    while (node.counter("list_changes") < 2) {
    }
    const Pair next = up(node, two);
    EXPECT_EQ(node.counter("list_failures"), 0);
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

TEST(Node, KeepsItsConfigurationWhereTheNewOneIsBroken) {
    ToyHost host;
    ToyDiscovery discovery;
    ToyDiscovery other;
    Node node{with(host, discovery)};
    auto watch = discovery.next();
    watch.begin();
    const std::string half = R"({"discovery":")" + other.address() + R"(","settings":)";
    for (const std::string& broken : {std::string(), half, half + "3}", half + R"({"grades":7}})",
                                      std::string(R"({"discovery":"nowhere","settings":{}})")}) {
        node.reload(broken);
        node.logged("configuration kept as it was");
    }
    watch.line(R"({"version":42,"full":false,"servers":[]})");
    while (node.counter("list_changes") == 0) {
    }
    Pair pair = up(node, host);
    pair.client.say("x\r\n");
    EXPECT_EQ(pair.host.line(), "x");
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

TEST(Node, TakesTheLastOfSeveralConfigurationsWhileItStopsToo) {
    ToyHost host;
    std::array<ToyDiscovery, 3> places;
    Node::Options options = with(host, places[0]);
    Node node{options};
    Pair pair = up(node, host);
    Wire waiting = node.client("OPEN 77 7f3a c=chat,d=20000\r\n");
    auto opened = host.next();
    node.signal(SIGTERM);
    node.logged("stopping");
    for (int i = 0; i < 10; ++i) {
        for (const ToyDiscovery& place : {std::cref(places[1]), std::cref(places[2])}) {
            options.discovery = place.address();
            node.reload(options);
        }
    }
    node.logged("discovery at " + places[2].address());
    opened.wire.say("UP r2\r\n");
    EXPECT_EQ(waiting.line(), "UP r2") << "an attempt that is out outlives new configurations";
    EXPECT_TRUE(places[2].next().request.starts_with("GET /catalog/members?follow=1&since=41"));
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(waiting.line(), "MOVE");
    pair.client.close();
    waiting.close();
    node.logged("drained");
    EXPECT_EQ(node.stop(), 0) << node.rest();
}

TEST(Node, RefusesBeforeItRunsOutOfDescriptors) {
    ToyHost host;
    Node::Options options = with(host);
    options.sockets = 48;
    Node node{options};
    std::vector<Pair> pairs;
    while (pairs.size() < 30) {
        Wire client = node.client(newOpening());
        awaitEither(host, client);
        if (host.idle()) {
            EXPECT_EQ(client.line(), "BUSY 500") << "it is told when to come back";
            break;
        }
        auto opened = host.next();
        opened.wire.say("UP r1\r\n");
        EXPECT_EQ(client.line(), "UP r1");
        pairs.push_back({std::move(client), std::move(opened.wire)});
    }
    EXPECT_GE(pairs.size(), 2U);
    EXPECT_LT(pairs.size(), 30U);
}

// Hundreds that say nothing, or that ask once and stay: what is up stays up, and new clients are served.
TEST(Node, ServesUsualClientsAmongHundredsThatSayNothing) {
    ToyHost host;
    Node::Options options = with(host);
    options.sockets = 60;
    Node node{options};
    Pair pair = up(node, host);
    std::vector<Wire> flood;
    for (int i = 0; i < 200; ++i) {
        flood.push_back(node.client(i % 2 == 0 ? "" : "PING\r\n"));
        if (i % 2 == 1) {
            EXPECT_EQ(flood.back().line(), "PONG");
        }
    }
    pair.client.say("x\r\n");
    EXPECT_EQ(pair.host.line(), "x");
    for (int i = 0; i < 5; ++i) {
        Pair next = up(node, host);
        next.client.say("y\r\n");
        EXPECT_EQ(next.host.line(), "y");
    }
    expectOver(flood.front());
    EXPECT_GE(node.counter("yielded") + node.counter("mute"), 190)
        << "a sixth of the descriptors is for them";
    EXPECT_EQ(node.counter("crowded"), 0);
}

// To read the file, and for the call at the new address, it needs descriptors beside those of its clients.
TEST(Node, TakesANewConfigurationWhileClientsFillItsDescriptors) {
    ToyHost host;
    ToyDiscovery second;
    Node::Options options = with(host);
    options.sockets = 64;
    options.descriptors = 64;
    Node node{options};
    std::vector<Pair> pairs;
    while (node.counter("crowded") == 0) {
        Wire client = node.client(newOpening());
        awaitEither(host, client);
        if (host.idle()) break;
        auto opened = host.next();
        opened.wire.say("UP r1\r\n");
        EXPECT_EQ(client.line(), "UP r1");
        pairs.push_back({std::move(client), std::move(opened.wire)});
    }
    std::vector<Wire> idle;
    for (int i = 0; i < 200; ++i) {
        idle.push_back(node.client());
    }
    EXPECT_GE(node.counter("crowded"), 1);
    options.discovery = second.address();
    node.reload(options);
    node.logged("configuration read again");
    auto watch = second.next();
    watch.begin();
    watch.line(R"({"version":50,"full":false,"servers":[]})");
    while (node.counter("list_changes") == 0) {
    }
    for (Pair& pair : pairs) {
        pair.client.say("x\r\n");
        EXPECT_EQ(pair.host.line(), "x") << "what is up stays up";
    }
}

// Clients that wait for a host while discovery is down hold a descriptor now and another one once there is a
// host.
TEST(Node, HasDescriptorsForAllThatWaitOnceDiscoveryIsBack) {
    ToyHost host;
    ToyDiscovery discovery;
    Node::Options options;
    options.discovery = discovery.address();
    options.sockets = 96;
    options.descriptors = 104;  // some are no sockets
    Node node{options};
    std::vector<Wire> idle;
    std::vector<Wire> waiting;
    for (bool room = true; room && waiting.size() < 96;) {
        idle.push_back(node.client());
        waiting.push_back(node.client(newOpening()));
        while (node.counter("requests") < static_cast<long>(waiting.size())) {
        }
        room = node.counter("crowded") == 0;
    }
    EXPECT_EQ(waiting.back().line(), "BUSY 500");
    waiting.pop_back();
    EXPECT_GE(waiting.size(), 8U);
    // The call of before may have been given up by now: then there is another one.
    std::vector<ToyDiscovery::Watch> calls;
    for (int i = 0; i < 3 && node.counter("list_changes") == 0; ++i) {
        calls.push_back(discovery.next());
        calls.back().begin();
        calls.back().line(R"({"version":43,"full":true,"servers":[)" + listed("s-1", host.address()) + "]}");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (Wire& client : waiting) {
        auto opened = host.next();
        opened.wire.say("UP r1\r\n");
        client = Wire{};
    }
    EXPECT_EQ(node.counter("connect_failed"), 0);
    EXPECT_EQ(node.stop(), 0);
    EXPECT_EQ(node.rest().find("no connection"), std::string::npos) << node.rest();
}

// More hosts than descriptors: probes take turns, and those that lie idle make room for clients.
TEST(Node, ServesBeforeManyMoreHostsThanItMayHaveDescriptors) {
    ToyHost host;
    ToyDiscovery discovery;
    Node::Options options;
    options.discovery = discovery.address();
    options.sockets = 64;
    Node node{options};
    std::string servers;
    for (int i = 0; i < 1024; ++i) {
        if (i > 0) servers += ",";
        servers += listed("s-" + std::to_string(i), host.address());
    }
    const ToyDiscovery::Watch watch = discovery.next();
    watch.begin();
    watch.line(R"({"version":43,"full":true,"servers":[)" + servers + "]}");
    for (int i = 0; i < 1000 && host.probes() < 1024; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_GE(host.probes(), 1024);
    for (int i = 0; i < 5; ++i) {
        up(node, host);
    }
    EXPECT_EQ(node.counter("crowded"), 0);
    EXPECT_EQ(node.counter("probes_failed"), 0);
}

// Ready means that it serves, by the list last known, whatever discovery does.
TEST(NodeStart, IsReadyAndServesWhileDiscoveryAnswersNobody) {
    ToyHost host;
    ToyDiscovery discovery;
    Node node{with(host, discovery)};
    const ToyDiscovery::Watch unanswered = discovery.next();
    Wire front = node.client("PING\r\n");
    EXPECT_EQ(front.line(), "PONG");
    up(node, host);
    EXPECT_EQ(node.counter("list_changes"), 0);
}

TEST(Node, ClosesWhatNeverOpens) {
    ToyHost host;
    Node node{with(host)};
    Wire mute = node.client();
    Wire half = node.client("OPEN 9b1f 7f3a c=ch");
    Wire cut = node.client("OPEN 9b1f 7f3a c=ch");
    cut.finishSending();
    for (Wire* wire : {&cut, &mute, &half}) {
        expectOver(*wire);
    }
    EXPECT_EQ(node.counter("cut_short"), 1);
    EXPECT_EQ(node.counter("mute"), 2);
    EXPECT_TRUE(host.idle());
}

TEST(Node, KeepsOneProbeConnectionAHost) {
    ToyHost host;
    Node node{with(host)};
    const Pair pair = up(node, host);
    while (host.probes() < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(host.probeConnections(), 1);
}

TEST(Node, DoesNotTakeAProbeConnectionClosedWhileIdleForATrouble) {
    ToyHost host;
    host.closeAfterEachProbe();
    Node node{with(host)};
    const Pair pair = up(node, host);
    while (host.probes() < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(node.counter("probes_failed"), 0);
}

// A host that is cut off says nothing, and TCP does not notice.
TEST(Node, MovesAClientWhoseLinesBringNothingBack) {
    ToyHost host;
    Node node{with(host)};
    Pair pair = up(node, host);
    pair.client.say("one\r\n");
    EXPECT_EQ(pair.host.line(), "one");
    EXPECT_EQ(pair.client.line(), "MOVE");
    EXPECT_EQ(node.counter("silent"), 1);
}

// Where the list is pushed, what its sender has counts as told from the first moment of a new process.
TEST(NodeStart, WhereTheListIsPushedServesOnceItHasIt) {
    ToyHost before;
    ToyHost now;
    ToyDiscovery discovery;
    Node::Options options = with(before, discovery);
    options.listMode = "push";
    std::optional<ToyDiscovery::Watch> watch;
    std::thread sender([&] {
        watch.emplace(discovery.next());
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        watch->begin();
        watch->line(R"({"version":50,"full":true,"servers":[)" + listed("s-1", before.address(), "leaving") +
                    "," + listed("s-2", now.address()) + "]}");
    });
    Node node{options};
    EXPECT_EQ(node.counter("list_changes"), 1) << "before it serves";
    sender.join();
    for (int i = 0; i < 10; ++i) {
        up(node, now);
    }
    EXPECT_TRUE(before.idle());
}

// What comes is served, but the front is not told to send more.
TEST(NodeStart, OneThatIsToldToStopBeforeItServesDoesNotTellTheFrontThatItDoes) {
    ToyHost host;
    ToyDiscovery discovery;
    Node::Options options = with(host, discovery);
    options.listMode = "push";
    options.signalsAtStart = {SIGTERM};
    Node node{options};  // nobody answers its call: it serves in the end
    Wire front = node.client("PING\r\n");
    EXPECT_EQ(front.line(), "(end)");
    up(node, host);
}

// Without its sender it serves on what was known.
TEST(NodeStart, WhereTheListIsPushedServesAtOnceIfNobodySendsIt) {
    ToyHost host;
    Node::Options options = with(host);
    options.listMode = "push";
    Node node{options};
    EXPECT_GE(node.counter("list_failures"), 1);
    up(node, host);
}

// A restart is told, or a new configuration, while the process still starts: by default each ends it.
TEST(NodeStart, SignalsThatComeBeforeItServesAreFollowedOnceItDoes) {
    ToyHost host;
    Node::Options options = with(host);
    options.signalsAtStart = {SIGHUP, SIGUSR1, SIGTERM};
    Node node{options};
    node.logged("counters:");
    node.logged("configuration read again");
    node.logged("stopping");
    up(node, host);  // the front still sends: that is served
}

TEST(NodeStart, TellsWhatIsWrongWithItsConfiguration) {
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
    EXPECT_NE(text.find("listen is no address"), std::string::npos) << text;
}

}  // namespace
}  // namespace ivyreel::test
