// Stub servers and a stub discovery service on loopback for trying out the node: see examples/README.md.
//
// The servers s-1, s-2 and s-3 answer OPEN with UP, PING and STATS with PONG, and "bye" with BYE and the end
// of the connection. They echo all other lines. The discovery service lists the servers. Commands on standard
// input change the list: "leave s-2", "return s-2".
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "protocol/line.hpp"

namespace {

using namespace ivyreel;
using namespace std::chrono_literals;

constexpr int kServerCount = 3;
constexpr int kFirstServerPort = 9001;
constexpr const char* kDiscoveryAddress = "127.0.0.1:8500";
constexpr double kServerCapacity = 10.0;        // connections
constexpr Micros kWatchHeartbeatInterval = 2s;  // between empty lines on a watch
constexpr Micros kCommandPollInterval = 100ms;  // between reads of standard input, which may be a pipe

struct StubServer {
    std::string name;
    std::string address;
    std::string state = "active";  // in the endpoint list
    int openConnections = 0;
};

// The servers, and the discovery service that lists them.
struct StubFleet {
    Scheduler scheduler;
    std::vector<StubServer> servers;
    std::vector<Signal*> watchers;  // signals of the open watches, raised when the list has changed
    std::uint64_t listVersion = 1;
};

// ---- connections ----

Task<void> sendAll(Signal& signal, Connection& connection, std::string text) {
    std::size_t sent = 0;
    for (;;) {
        connection.send(text, sent);
        if (sent == text.size() || connection.broken) co_return;
        co_await signal.wait();
    }
}

// Waits for the next line. Returns false if the peer has closed the connection or the line is too long.
Task<bool> receiveLine(Signal& signal, Connection& connection, std::string& line) {
    for (;;) {
        connection.receive();
        if (const auto next = firstLine(connection.input.view())) {
            line = std::string(next->text);
            connection.input.consume(next->bytes);
            co_return true;
        }
        if (connection.inputEnded() || exceedsMaxLineLength(connection.input.view())) co_return false;
        co_await signal.wait();
    }
}

// Accepts connections at an address until the program ends; `serve` returns the coroutine that serves one.
template <class Serve>
Task<void> acceptAt(Scheduler& scheduler, std::string address, Serve serve) {
    Signal signal{scheduler};
    const Socket listener = Socket::listenOn(signal, *Address::parse(address));
    for (;;) {
        int descriptor = -1;
        while (listener.accept(descriptor) == Socket::AcceptResult::Accepted) {
            scheduler.spawn(serve(descriptor));
        }
        co_await signal.wait();
    }
}

// ---- servers ----

std::string loadReport(const StubServer& server) {
    const double utilisation = server.openConnections / kServerCapacity;
    return "x0=" + std::to_string(utilisation) + ",inflight=" + std::to_string(server.openConnections);
}

void adjustOpenConnections(StubServer& server, int change) {
    server.openConnections += change;
    std::printf("%s has %d connections\n", server.name.c_str(), server.openConnections);
}

std::string replyTo(const StubServer& server, const std::string& line) {
    const std::string_view command = firstWord(line).first;
    if (command == "STATS") return "PONG " + loadReport(server) + "\r\n";
    if (command == "PING") return "PONG\r\n";
    if (command == "OPEN") return "UP " + server.name + "\r\n";
    if (command == "bye") return "BYE\r\n";
    return line + "\r\n";
}

Task<void> serveClient(Scheduler& scheduler, StubServer& server, int descriptor) {
    Signal signal{scheduler};
    Connection connection{Socket{signal, descriptor}};
    std::string line;
    bool opened = false;
    while (co_await receiveLine(signal, connection, line)) {
        const std::string command(firstWord(line).first);
        if (command == "OPEN") {
            opened = true;
            adjustOpenConnections(server, 1);
        }
        co_await sendAll(signal, connection, replyTo(server, line));
        if (command == "bye") break;
    }
    if (opened) adjustOpenConnections(server, -1);
}

// ---- discovery ----

std::string listEntry(const StubServer& server) {
    return R"({"id":")" + server.name + R"(","addr":")" + server.address +
           R"(","zone":"a","kind":"stub","cell":0,"state":")" + server.state +
           R"(","weight":1.0,"started_ms":0})";
}

std::string fullList(const StubFleet& fleet) {
    std::string entries;
    for (const StubServer& server : fleet.servers) {
        if (!entries.empty()) entries += ",";
        entries += listEntry(server);
    }
    return R"({"version":)" + std::to_string(fleet.listVersion) + R"(,"full":true,"servers":[)" + entries +
           "]}";
}

std::string httpChunk(const std::string& text) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

// Waits until the list is newer than `sentVersion`, the heartbeat is due, or the peer has closed the watch.
Task<void> awaitListChange(StubFleet& fleet, Signal& signal, Connection& connection,
                           std::uint64_t sentVersion) {
    const Time deadline = fleet.scheduler.now() + kWatchHeartbeatInterval;
    while (sentVersion == fleet.listVersion && !connection.inputEnded() && fleet.scheduler.now() < deadline) {
        co_await signal.wait(deadline);
        connection.receive();
    }
}

// Serves a watch: sends the full list after every change, and an empty line as heartbeat.
Task<void> serveWatch(StubFleet& fleet, int descriptor) {
    Signal signal{fleet.scheduler};
    Connection connection{Socket{signal, descriptor}};
    std::string line;
    while (co_await receiveLine(signal, connection, line)) {
        if (line.empty()) break;  // the end of the request's headers
    }
    co_await sendAll(signal, connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    fleet.watchers.push_back(&signal);
    std::uint64_t sentVersion = 0;
    while (!connection.inputEnded()) {
        const bool changed = sentVersion != fleet.listVersion;
        const std::string text = (changed ? fullList(fleet) : std::string()) + "\n";
        sentVersion = fleet.listVersion;
        co_await sendAll(signal, connection, httpChunk(text));
        co_await awaitListChange(fleet, signal, connection, sentVersion);
    }
    std::erase(fleet.watchers, &signal);
}

// ---- commands ----

void execute(StubFleet& fleet, std::string_view command) {
    const auto [verb, name] = firstWord(command);
    if (verb != "leave" && verb != "return") return;
    const auto found = std::find_if(fleet.servers.begin(), fleet.servers.end(),
                                    [name = name](const StubServer& server) { return server.name == name; });
    if (found == fleet.servers.end()) return;
    found->state = verb == "leave" ? "leaving" : "active";
    ++fleet.listVersion;
    for (Signal* watcher : fleet.watchers) {
        watcher->raise();
    }
}

Task<void> readCommands(StubFleet& fleet) {
    Signal pause{fleet.scheduler};
    ::fcntl(STDIN_FILENO, F_SETFL, ::fcntl(STDIN_FILENO, F_GETFL) | O_NONBLOCK);
    std::string input;
    for (;;) {
        std::array<char, 256> chunk{};
        const ssize_t count = ::read(STDIN_FILENO, chunk.data(), chunk.size());
        if (count > 0) input.append(chunk.data(), static_cast<std::size_t>(count));
        while (const auto line = firstLine(input)) {
            execute(fleet, line->text);
            input.erase(0, line->bytes);
        }
        co_await pause.wait(fleet.scheduler.now() + kCommandPollInterval);
    }
}

void addServers(StubFleet& fleet) {
    for (int i = 0; i < kServerCount; ++i) {
        const std::string port = std::to_string(kFirstServerPort + i);
        fleet.servers.push_back({"s-" + std::to_string(i + 1), "127.0.0.1:" + port, "active", 0});
    }
}

void run() {
    StubFleet fleet;
    addServers(fleet);
    Scheduler& scheduler = fleet.scheduler;
    for (StubServer& server : fleet.servers) {
        const auto serve = [&](int descriptor) { return serveClient(scheduler, server, descriptor); };
        scheduler.spawn(acceptAt(scheduler, server.address, serve));
    }
    const auto serve = [&](int descriptor) { return serveWatch(fleet, descriptor); };
    scheduler.spawn(acceptAt(scheduler, kDiscoveryAddress, serve));
    scheduler.spawn(readCommands(fleet));
    std::printf("%d stub servers; discovery at %s\n", kServerCount, kDiscoveryAddress);
    scheduler.run();
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    try {
        run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "stub_servers: %s\n", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
