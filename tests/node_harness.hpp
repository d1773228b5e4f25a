// A node process with stub clients, endpoints and discovery, and helper functions that several tests use.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>

#include "loopback.hpp"
#include "node_process.hpp"
#include "stub_discovery.hpp"
#include "stub_server.hpp"

namespace ivyreel::test {

// The options of a node whose configuration contains only this endpoint.
inline NodeProcess::Options optionsFor(const StubServer& server) {
    NodeProcess::Options options;
    options.servers = {{"s-1", server.address()}};
    return options;
}

inline NodeProcess::Options optionsFor(const StubServer& server, const StubDiscovery& discovery) {
    NodeProcess::Options options = optionsFor(server);
    options.discovery = discovery.address();
    return options;
}

// An opening line with a new request id.
inline std::string newOpeningLine() {
    static int id = 0x9b00;
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "OPEN %x 7f3a c=chat,d=20000,g=5c0f\r\n", ++id);
    return text.data();
}

// The client's and the endpoint's end of an established connection.
struct EstablishedPair {
    TestConnection client;
    TestConnection server;
};

// Establishes a connection at this endpoint, which has to be the one that the node selects.
inline EstablishedPair establishConnection(NodeProcess& node, StubServer& server,
                                           const std::string& opening = newOpeningLine()) {
    TestConnection client = node.client(opening);
    auto opened = server.nextOpened();
    opened.connection.send("UP r1\r\n");
    EXPECT_EQ(client.line(), "UP r1");
    return {std::move(client), std::move(opened.connection)};
}

// Expects that the node closes or resets this connection without sending another line.
inline void expectClosed(TestConnection& connection) {
    const std::string end = connection.line();
    EXPECT_TRUE(end == "(end)" || end == "(reset)") << end;
}

// Waits until the endpoint has received the request, or the client an answer.
inline void awaitRequestOrAnswer(StubServer& server, const TestConnection& client) {
    while (server.hasNoQueuedConnection() && !client.hasInput()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

}  // namespace ivyreel::test
