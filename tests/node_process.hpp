// A node in a separate process, with access to its configuration, log and admin server.
#pragma once

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "loopback.hpp"
#include "stub_discovery.hpp"

namespace ivyreel::test {

// A running node. The constructor returns once it serves.
class NodeProcess {
  public:
    struct Options {
        std::string idempotency = "free";
        int requestTimeoutMs = 20'000;
        int latencyObjectiveMs = 20'000;
        int descriptorLimit = 500;       // limits.sockets of the configuration
        int processDescriptorLimit = 0;  // RLIMIT_NOFILE of the node; 0: the limit of the test process
        std::vector<std::pair<std::string, std::string>> servers;  // id and address
        std::string discovery = "127.0.0.1:1";
        std::string discoveryEnvironmentVariable;  // value of RELAY_DISCOVERY; empty: not set
        bool adminServer = false;                  // whether the node has an admin server
        int maxAttempts = 4;
        std::string directory;  // TMPDIR, which has the handover socket file; empty: no hot restart
        std::vector<std::string> classes = {"chat"};
        std::string discoveryMode = "ask";
        int drainGraceMs = 500;
        bool healthChecks = true;
        std::vector<int> signalsAtStart;  // sent while the node reads its configuration
    };

    explicit NodeProcess(const Options& options) {
        static int count = 0;
        path_ = testing::TempDir() + "ivyreel_node_" + std::to_string(::getpid()) + "_" +
                std::to_string(++count) + ".json";
        const bool signalsAtStart = !options.signalsAtStart.empty();
        if (signalsAtStart) {
            ::mkfifo(path_.c_str(), S_IRUSR | S_IWUSR);  // the node blocks until the test writes to it
        } else {
            std::ofstream(path_) << config(options);
        }
        std::array<int, 2> log{-1, -1};
        if (::pipe(log.data()) != 0) ADD_FAILURE() << "pipe";
        process_ = ::fork();
        if (process_ == 0) {
            ::setenv("RELAY_CONFIG", path_.c_str(), 1);
            if (options.directory.empty()) {
                ::unsetenv("TMPDIR");  // no hot restart
            } else {
                ::setenv("TMPDIR", options.directory.c_str(), 1);
            }
            if (!options.discoveryEnvironmentVariable.empty())
                ::setenv("RELAY_DISCOVERY", options.discoveryEnvironmentVariable.c_str(), 1);
            if (options.processDescriptorLimit > 0) {
                const auto most = static_cast<rlim_t>(options.processDescriptorLimit);
                const rlimit limit{most, most};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            ::dup2(log[1], STDERR_FILENO);
            ::close(log[0]);
            ::close(log[1]);
            ::execl(IVYREEL_NODE, IVYREEL_NODE, static_cast<char*>(nullptr));
            ::_exit(127);
        }
        ::close(log[1]);
        log_ = ::fdopen(log[0], "r");
        if (signalsAtStart) signalDuringStart(options);
        if (options.adminServer) adminPort_ = portIn(awaitLogLine("operators call at 127.0.0.1:"));
        port_ = portIn(awaitLogLine(" serves at 127.0.0.1:"));
    }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;
    NodeProcess(NodeProcess&&) = delete;
    NodeProcess& operator=(NodeProcess&&) = delete;
    ~NodeProcess() {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
        }
        std::fclose(log_);
        std::remove(path_.c_str());
    }

    std::uint16_t port() const { return port_; }
    TestConnection client() const { return TestConnection::connectTo(port_); }
    TestConnection client(std::string_view opening) const {
        TestConnection connection = TestConnection::connectTo(port_);
        connection.send(opening);
        return connection;
    }
    // Replaces the configuration file atomically and sends SIGHUP.
    void reload(const Options& options) const { reload(config(options)); }
    void reload(const std::string& text) const {
        replaceConfig(text);
        signal(SIGHUP);
    }
    void signal(int number) const { ::kill(process_, number); }
    // Sends SIGINT, waits for the process to exit and returns its exit code, or -1 if a signal ended it. The
    // node drains its connections first, unless its shutdown has already begun: then it exits immediately.
    // With the sanitizers, the node reports leaks at its exit.
    int stop() {
        signal(SIGINT);
        int status = 0;
        while (std::fgets(logBuffer_.data(), static_cast<int>(logBuffer_.size()), log_) != nullptr) {
            remainingLog_ += logBuffer_.data();
        }
        ::waitpid(std::exchange(process_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    // The log lines that stop() has read.
    const std::string& remainingLog() const { return remainingLog_; }
    // Reads the log up to the next line that contains the text, and returns that line.
    std::string awaitLogLine(std::string_view text) {
        while (std::fgets(logBuffer_.data(), static_cast<int>(logBuffer_.size()), log_) != nullptr) {
            std::string line = logBuffer_.data();
            if (line.find(text) != std::string::npos) return line;
        }
        ADD_FAILURE() << "the node exited before it logged \"" << text << "\"";
        return {};
    }
    // Connects to the admin server and sends the text.
    TestConnection connectToAdminServer(std::string_view text = {}) const {
        TestConnection connection = TestConnection::connectTo(adminPort_);
        connection.send(text);
        return connection;
    }
    // The status and the body of the response to an admin request.
    std::pair<int, std::string> adminRequest(const std::string& method, const std::string& path) const {
        return readAdminResponse(
            connectToAdminServer(method + " " + path + " HTTP/1.1\r\nHost: node\r\n\r\n"));
    }
    static std::pair<int, std::string> readAdminResponse(TestConnection connection) {
        const std::string first = connection.line();
        if (!first.starts_with("HTTP/1.1 ")) return {0, first};
        while (!connection.line().empty()) {
        }
        std::string body;
        for (std::string more = connection.readAvailable(); !more.empty();
             more = connection.readAvailable()) {
            body += more;
        }
        return {std::atoi(first.c_str() + 9), body};
    }
    // A metric of the admin server; -1 if there is no metric of this name.
    long metric(const std::string& name) const {
        const std::string body = std::string("\n").append(adminRequest("GET", "/-/metrics").second);
        const std::size_t at = body.find("\nnode." + name + ":");
        return at == std::string::npos ? -1 : std::atol(body.c_str() + at + name.size() + 7);
    }
    // A counter in the log line that the node writes at SIGUSR1; -1 if there is no counter of this name.
    long counter(const std::string& name) {
        signal(SIGUSR1);
        const std::string line = awaitLogLine("counters:");
        const std::size_t at = line.find(std::string(" ").append(name).append("="));
        if (at == std::string::npos) return -1;
        return std::atol(line.c_str() + at + name.size() + 2);
    }

    static std::string config(const Options& o) {
        std::string known;
        for (const auto& [id, address] : o.servers) {
            if (!known.empty()) known += ",";
            known += endpointEntry(id, address);
        }
        const auto micros = [](int ms) { return std::to_string(ms) + "000"; };
        std::string classes;
        for (const std::string& name : o.classes) {
            if (!classes.empty()) classes += ",";
            classes += R"({"name":")" + name + R"(","repeat":")" + o.idempotency + R"(","aim":)" +
                       micros(o.latencyObjectiveMs) + R"(,"giveUp":)" + micros(o.requestTimeoutMs) + "}";
        }
        return std::string(o.adminServer ? R"({"console":"127.0.0.1:0",)" : "{") +
               R"("name":"n0","listen":"127.0.0.1:0","discovery":")" + o.discovery +
               R"(","seed":"7","limits":{"sockets":)" + std::to_string(o.descriptorLimit) +
               R"(},"known":{"version":41,"full":true,"servers":[)" + known +
               R"(]},"settings":{"instances":1,"registryMode":")" + o.discoveryMode +
               R"(","failureDomains":["a"],"kinds":["m1"],
               "bounds":{"attemptsCap":)" +
               std::to_string(o.maxAttempts) + R"(,"cancel":true,"probes":)" +
               (o.healthChecks ? "true" : "false") +
               R"(,"retryAfter":true,
               "maxRetryAfter":1000000,"connectTimeout":5000000},
               "report":{"how":"on_probe","fields":["x0","cpu"]},
               "rules":{"drainGrace":)" +
               micros(o.drainGraceMs) + R"(,"mustAskIn":10000000,"fall":2000000,"warmAfter":8000000},
               "grades":[)" +
               classes + "]}}";
    }

  private:
    // Sends signals while the node blocks reading its configuration from the FIFO; a regular file replaces
    // the FIFO for later reloads.
    void signalDuringStart(const Options& options) {
        std::signal(SIGPIPE, SIG_IGN);  // the write may fail if the node exits; its log has the reason
        std::ofstream fifo(path_);
        for (const int number : options.signalsAtStart) {
            signal(number);
        }
        replaceConfig(config(options));
        fifo << config(options);
    }
    void replaceConfig(const std::string& text) const {
        std::ofstream(path_ + ".new") << text;
        std::rename((path_ + ".new").c_str(), path_.c_str());
    }

    static std::uint16_t portIn(const std::string& line) {
        return static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(':') + 1).c_str()));
    }

    std::string path_;
    pid_t process_ = -1;
    FILE* log_ = nullptr;
    std::uint16_t port_ = 0;
    std::uint16_t adminPort_ = 0;
    std::array<char, 4096> logBuffer_{};
    std::string remainingLog_;
};

}  // namespace ivyreel::test
