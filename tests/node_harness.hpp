// A real node as a process on loopback, with a client, hosts and discovery that do what the test says. All
// ports come from the kernel. Waits have a generous limit that only a hang reaches.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace ivyreel::test {

constexpr int kHangMs = 20'000;

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A blocking connection that speaks lines.
class Wire {
  public:
    explicit Wire(int descriptor = -1) : descriptor_(descriptor) {}
    Wire(Wire&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), came_(std::move(other.came_)) {}
    Wire& operator=(Wire&& other) noexcept {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        came_ = std::move(other.came_);
        return *this;
    }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;
    ~Wire() { close(); }

    static Wire to(std::uint16_t port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            ADD_FAILURE() << "cannot connect to port " << port;
        return Wire{descriptor};
    }

    void say(std::string_view text) const {
        while (!text.empty()) {
            const ssize_t count = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0) return;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    // The next line without its end; "(end)" or "(reset)" when the peer has ended it so, "(hang)" if nothing
    // comes.
    std::string line() {
        for (;;) {
            if (const std::size_t end = came_.find("\r\n"); end != std::string::npos) {
                std::string result = came_.substr(0, end);
                came_.erase(0, end + 2);
                return result;
            }
            pollfd poll{descriptor_, POLLIN, 0};
            if (::poll(&poll, 1, kHangMs) != 1) return "(hang)";
            char chunk[4096];
            const ssize_t count = ::recv(descriptor_, chunk, sizeof chunk, 0);
            if (count == 0) return "(end)";
            if (count < 0) return "(reset)";
            came_.append(chunk, static_cast<std::size_t>(count));
        }
    }

    // What comes next, in one piece; empty at the end, or if the peer reset the connection.
    std::string piece() {
        if (!came_.empty()) return std::exchange(came_, {});
        pollfd poll{descriptor_, POLLIN, 0};
        if (::poll(&poll, 1, kHangMs) != 1) return "(hang)";
        char chunk[4096];
        const ssize_t count = ::recv(descriptor_, chunk, sizeof chunk, 0);
        return count <= 0 ? std::string() : std::string(chunk, static_cast<std::size_t>(count));
    }

    // Whether something can be read, the end too.
    bool ready() const {
        pollfd poll{descriptor_, POLLIN, 0};
        return ::poll(&poll, 1, 0) == 1;
    }
    void finishSending() const { ::shutdown(descriptor_, SHUT_WR); }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close() {
        if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    }
    explicit operator bool() const { return descriptor_ >= 0; }

  private:
    int descriptor_;
    std::string came_;
};

// Listens on a port of the kernel's choice and gives each connection to a thread of its own.
class Listener {
  public:
    explicit Listener(std::function<void(Wire)> serve) : serve_(std::move(serve)) {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
            ::listen(descriptor_, 128) != 0 ||
            ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            ADD_FAILURE() << "cannot listen";
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    // The node must have ended by now, so that the threads do.
    ~Listener() {
        ::shutdown(descriptor_, SHUT_RDWR);
        thread_.join();
        ::close(descriptor_);
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  private:
    void run() {
        for (;;) {
            const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) return;
            threads_.emplace_back([this, descriptor] { serve_(Wire{descriptor}); });
        }
    }

    std::function<void(Wire)> serve_;
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

// A queue between threads.
template <class T>
class Queue {
  public:
    void push(T value) {
        {
            const std::lock_guard lock(mutex_);
            values_.push_back(std::move(value));
        }
        changed_.notify_all();
    }
    std::optional<T> pop() {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, std::chrono::milliseconds(kHangMs), [this] { return !values_.empty(); }))
            return std::nullopt;
        T value = std::move(values_.front());
        values_.pop_front();
        return value;
    }
    bool empty() {
        const std::lock_guard lock(mutex_);
        return values_.empty();
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<T> values_;
};

// A host: answers probes by itself and hands out the connections of clients with their opening lines.
class ToyHost {
  public:
    struct Opened {
        std::string opening;
        Wire wire;
    };

    ToyHost() : listener_([this](Wire wire) { serve(std::move(wire)); }) {}

    std::string address() const { return listener_.address(); }
    Opened next() {
        auto opened = opened_.pop();
        if (!opened) {
            ADD_FAILURE() << "no connection came to the host";
            return {"(hang)", Wire{}};
        }
        return std::move(*opened);
    }
    bool idle() { return opened_.empty(); }
    int probeConnections() const { return probeConnections_; }
    int probes() const { return probes_; }
    void closeAfterEachProbe() { closesAfterProbe_ = true; }

  private:
    void serve(Wire wire) {
        std::string first = wire.line();
        if (first != "STATS" && first != "PING") {
            if (first.starts_with("OPEN")) opened_.push({std::move(first), std::move(wire)});
            return;
        }
        ++probeConnections_;
        for (std::string line = first; line == "STATS" || line == "PING"; line = wire.line()) {
            ++probes_;
            wire.say(line == "STATS" ? "PONG x0=0.1,cpu=0.1\r\n" : "PONG\r\n");
            if (closesAfterProbe_) return;
        }
    }

    std::atomic<bool> closesAfterProbe_ = false;
    std::atomic<int> probeConnections_ = 0;
    std::atomic<int> probes_ = 0;
    Queue<Opened> opened_;
    Listener listener_;
};

// Discovery: each watch is handed to the test with its request line.
class ToyDiscovery {
  public:
    struct Watch {
        std::string request;
        Wire wire;

        void begin() const { wire.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
        void line(const std::string& text) const {
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
            wire.say(size + text + "\n\r\n");
        }
    };

    ToyDiscovery() : listener_([this](Wire wire) { serve(std::move(wire)); }) {}

    std::string address() const { return listener_.address(); }
    Watch next() {
        auto watch = watches_.pop();
        if (!watch) {
            ADD_FAILURE() << "no call came to discovery";
            return {"(hang)", Wire{}};
        }
        return std::move(*watch);
    }

  private:
    void serve(Wire wire) {
        std::string request = wire.line();
        for (std::string line = request; !line.empty() && !line.starts_with("("); line = wire.line()) {
        }
        watches_.push({std::move(request), std::move(wire)});
    }

    Queue<Watch> watches_;
    Listener listener_;
};

inline std::string listed(const std::string& id, const std::string& address,
                          const std::string& state = "active") {
    return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":"a","kind":"m1","cell":0,"state":")" +
           state + R"(","weight":1.0,"started_ms":0})";
}

// The node itself.
class Node {
  public:
    struct Options {
        std::string effect = "free";
        int giveUpMs = 20'000;
        int aimMs = 20'000;
        int sockets = 500;    // as the configuration says
        int descriptors = 0;  // as the system allows; 0: what this process may have
        std::vector<std::pair<std::string, std::string>> hosts;  // id and address
        std::string discovery = "127.0.0.1:1";
        std::string discoveryVariable;  // RELAY_DISCOVERY, if not empty
        bool console = false;           // listens for operators too
        int attempts = 4;
        std::string directory;  // TMPDIR, where a successor finds the node
        std::vector<std::string> classes = {"chat"};
        std::string listMode = "ask";
        int drainGraceMs = 500;
        bool probes = true;
        std::vector<int> signalsAtStart;  // that come while the node reads its configuration
    };

    explicit Node(const Options& options) {
        static int count = 0;
        path_ = testing::TempDir() + "ivyreel_node_" + std::to_string(::getpid()) + "_" +
                std::to_string(++count) + ".json";
        const bool early = !options.signalsAtStart.empty();
        if (early) {
            ::mkfifo(path_.c_str(), S_IRUSR | S_IWUSR);  // the node is held where it reads it
        } else {
            std::ofstream(path_) << config(options);
        }
        int log[2];
        if (::pipe(log) != 0) ADD_FAILURE() << "pipe";
        process_ = ::fork();
        if (process_ == 0) {
            ::setenv("RELAY_CONFIG", path_.c_str(), 1);
            if (options.directory.empty()) {
                ::unsetenv("TMPDIR");  // no successor, and none before it
            } else {
                ::setenv("TMPDIR", options.directory.c_str(), 1);
            }
            if (!options.discoveryVariable.empty())
                ::setenv("RELAY_DISCOVERY", options.discoveryVariable.c_str(), 1);
            if (options.descriptors > 0) {
                const auto most = static_cast<rlim_t>(options.descriptors);
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
        if (early) signalWhileItReads(options);
        if (options.console) consolePort_ = portIn(logged("operators call at 127.0.0.1:"));
        port_ = portIn(logged(" serves at 127.0.0.1:"));
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    ~Node() {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
        }
        std::fclose(log_);
        std::remove(path_.c_str());
    }

    std::uint16_t port() const { return port_; }
    Wire client() const { return Wire::to(port_); }
    Wire client(std::string_view opening) const {
        Wire wire = Wire::to(port_);
        wire.say(opening);
        return wire;
    }
    // Puts another file in the place of the configuration, in one step, and tells the node.
    void reload(const Options& options) const { reload(config(options)); }
    void reload(const std::string& text) const {
        place(text);
        signal(SIGHUP);
    }
    void signal(int number) const { ::kill(process_, number); }
    // Ends the node as a person at a terminal would; its exit code. Under the sanitizers it tells of leaks.
    int stop() {
        signal(SIGINT);
        int status = 0;
        while (std::fgets(chunk_, sizeof chunk_, log_) != nullptr) {
            rest_ += chunk_;
        }
        ::waitpid(std::exchange(process_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    const std::string& rest() const { return rest_; }
    // Reads the log up to the line that holds this text.
    std::string logged(std::string_view text) {
        while (std::fgets(chunk_, sizeof chunk_, log_) != nullptr) {
            std::string line = chunk_;
            if (line.find(text) != std::string::npos) return line;
        }
        ADD_FAILURE() << "the node never logged \"" << text << "\"";
        return {};
    }
    // A connection to the console.
    Wire operatorsCall(std::string_view text = {}) const {
        Wire wire = Wire::to(consolePort_);
        wire.say(text);
        return wire;
    }
    // The status and the body of a call.
    std::pair<int, std::string> call(const std::string& method, const std::string& path) const {
        return answerOn(operatorsCall(method + " " + path + " HTTP/1.1\r\nHost: node\r\n\r\n"));
    }
    static std::pair<int, std::string> answerOn(Wire wire) {
        const std::string first = wire.line();
        if (!first.starts_with("HTTP/1.1 ")) return {0, first};
        while (!wire.line().empty()) {
        }
        std::string body;
        for (std::string more = wire.piece(); !more.empty(); more = wire.piece()) {
            body += more;
        }
        return {std::atoi(first.c_str() + 9), body};
    }
    // One of the figures of the console; -1 if it is not there.
    long figure(const std::string& name) const {
        const std::string body = std::string("\n").append(call("GET", "/-/metrics").second);
        const std::size_t at = body.find("\nnode." + name + ":");
        return at == std::string::npos ? -1 : std::atol(body.c_str() + at + name.size() + 7);
    }
    // One of the counters, printed on request.
    long counter(const std::string& name) {
        signal(SIGUSR1);
        const std::string line = logged("counters:");
        const std::size_t at = line.find(std::string(" ").append(name).append("="));
        if (at == std::string::npos) return -1;
        return std::atol(line.c_str() + at + name.size() + 2);
    }

    static std::string config(const Options& o) {
        std::string known;
        for (const auto& [id, address] : o.hosts) {
            if (!known.empty()) known += ",";
            known += listed(id, address);
        }
        const auto micros = [](int ms) { return std::to_string(ms) + "000"; };
        std::string classes;
        for (const std::string& name : o.classes) {
            if (!classes.empty()) classes += ",";
            classes += R"({"name":")" + name + R"(","repeat":")" + o.effect + R"(","aim":)" +
                       micros(o.aimMs) + R"(,"giveUp":)" + micros(o.giveUpMs) + "}";
        }
        return std::string(o.console ? R"({"console":"127.0.0.1:0",)" : "{") +
               R"("name":"n0","listen":"127.0.0.1:0","discovery":")" + o.discovery +
               R"(","seed":"7","limits":{"sockets":)" + std::to_string(o.sockets) +
               R"(},"known":{"version":41,"full":true,"servers":[)" + known +
               R"(]},"settings":{"instances":1,"registryMode":")" + o.listMode +
               R"(","failureDomains":["a"],"kinds":["m1"],
               "bounds":{"attemptsCap":)" +
               std::to_string(o.attempts) + R"(,"cancel":true,"probes":)" + (o.probes ? "true" : "false") +
               R"(,"retryAfter":true,
               "maxRetryAfter":1000000,"connectTimeout":5000000},
               "report":{"how":"on_probe","fields":["x0","cpu"]},
               "rules":{"drainGrace":)" +
               micros(o.drainGraceMs) + R"(,"mustAskIn":10000000,"fall":2000000,"warmAfter":8000000},
               "grades":[)" +
               classes + "]}}";
    }

  private:
    // What it reads again later is a file.
    void signalWhileItReads(const Options& options) {
        std::signal(SIGPIPE, SIG_IGN);  // a node that ends meanwhile shows in its log
        std::ofstream held(path_);
        for (const int number : options.signalsAtStart) {
            signal(number);
        }
        place(config(options));
        held << config(options);
    }
    void place(const std::string& text) const {
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
    std::uint16_t consolePort_ = 0;
    char chunk_[4096] = {};
    std::string rest_;
};

inline Node::Options with(const ToyHost& host) {
    Node::Options options;
    options.hosts = {{"s-1", host.address()}};
    return options;
}

inline Node::Options with(const ToyHost& host, const ToyDiscovery& discovery) {
    Node::Options options = with(host);
    options.discovery = discovery.address();
    return options;
}

// An opening line with an id of its own.
inline std::string newOpening() {
    static int id = 0x9b00;
    char text[64];
    std::snprintf(text, sizeof text, "OPEN %x 7f3a c=chat,d=20000,g=5c0f\r\n", ++id);
    return text;
}

// A client that is up at the host.
struct Pair {
    Wire client;
    Wire host;
};

inline Pair up(Node& node, ToyHost& host, const std::string& opening = newOpening()) {
    Wire client = node.client(opening);
    auto opened = host.next();
    opened.wire.say("UP r1\r\n");
    EXPECT_EQ(client.line(), "UP r1");
    return {std::move(client), std::move(opened.wire)};
}

// The node has closed this connection, in either way.
inline void expectOver(Wire& wire) {
    const std::string end = wire.line();
    EXPECT_TRUE(end == "(end)" || end == "(reset)") << end;
}

// Until the request has come to the host or has its answer.
inline void awaitEither(ToyHost& host, const Wire& client) {
    while (host.idle() && !client.ready()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

}  // namespace ivyreel::test
