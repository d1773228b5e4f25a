// A stub of the discovery service for tests.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>
#include <utility>

#include "blocking_queue.hpp"
#include "loopback.hpp"

namespace ivyreel::test {

// Accepts watches and queues each of them with its request line. The test takes it and sends the response.
class StubDiscovery {
  public:
    struct Watch {
        std::string request;
        TestConnection connection;

        // Sends the headers of the response.
        void begin() const { connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
        // Sends one line of the body as a chunk.
        void line(const std::string& text) const {
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size() + 1);
            connection.send(size.data() + text + "\n\r\n");
        }
    };

    StubDiscovery() : listener_([this](TestConnection connection) { serve(std::move(connection)); }) {}

    std::string address() const { return listener_.address(); }
    // Waits for the next watch.
    Watch next() {
        auto watch = watches_.pop();
        if (!watch) {
            ADD_FAILURE() << "the discovery stub received no request";
            return {"(hang)", TestConnection{}};
        }
        return std::move(*watch);
    }

  private:
    void serve(TestConnection connection) {
        std::string request = connection.line();
        for (std::string line = request; !line.empty() && !line.starts_with("("); line = connection.line()) {
        }
        watches_.push({std::move(request), std::move(connection)});
    }

    BlockingQueue<Watch> watches_;
    TestListener listener_;
};

// The JSON entry of an endpoint in the endpoint list.
inline std::string endpointEntry(const std::string& id, const std::string& address,
                                 const std::string& state = "active") {
    return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":"a","kind":"m1","cell":0,"state":")" +
           state + R"(","weight":1.0,"started_ms":0})";
}

}  // namespace ivyreel::test
