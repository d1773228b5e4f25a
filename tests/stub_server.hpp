// A stub endpoint for tests.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <utility>

#include "blocking_queue.hpp"
#include "loopback.hpp"

namespace ivyreel::test {

// Answers health checks, and queues the client connections with their opening lines for the test.
class StubServer {
  public:
    // A client connection whose opening line was read.
    struct Opened {
        std::string opening;
        TestConnection connection;
    };

    StubServer() : listener_([this](TestConnection connection) { serve(std::move(connection)); }) {}

    std::string address() const { return listener_.address(); }
    // Waits for the next client connection.
    Opened nextOpened() {
        auto opened = opened_.pop();
        if (!opened) {
            ADD_FAILURE() << "the stub endpoint received no client connection";
            return {"(hang)", TestConnection{}};
        }
        return std::move(*opened);
    }
    // Whether no client connection is queued.
    bool hasNoQueuedConnection() { return opened_.empty(); }
    int healthCheckConnections() const { return healthCheckConnections_; }
    int healthChecks() const { return healthChecks_; }
    void closeAfterEachHealthCheck() { closesAfterHealthCheck_ = true; }

  private:
    void serve(TestConnection connection) {
        std::string first = connection.line();
        if (first != "STATS" && first != "PING") {
            if (first.starts_with("OPEN")) opened_.push({std::move(first), std::move(connection)});
            return;
        }
        ++healthCheckConnections_;
        for (std::string line = first; line == "STATS" || line == "PING"; line = connection.line()) {
            ++healthChecks_;
            connection.send(line == "STATS" ? "PONG x0=0.1,cpu=0.1\r\n" : "PONG\r\n");
            if (closesAfterHealthCheck_) return;
        }
    }

    std::atomic<bool> closesAfterHealthCheck_ = false;
    std::atomic<int> healthCheckConnections_ = 0;
    std::atomic<int> healthChecks_ = 0;
    BlockingQueue<Opened> opened_;
    TestListener listener_;
};

}  // namespace ivyreel::test
