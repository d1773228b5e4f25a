// Stand-ins for the platform around one node, in one thread: hosts, discovery, clients, operators and the
// processes of the node. They follow PROTOCOL.md and DEPLOY.md. Loopback addresses and free ports only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double seconds() {
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

// Writes what was sent, answered and run.
class Record {
  public:
    explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
    ~Record() {
        if (file_ != nullptr) fclose(file_);
    }
    template <class... Arguments>
    void line(const char* format, Arguments... arguments) {
        if (file_ == nullptr) return;
        fprintf(file_, "%8.3f ", seconds());
        fprintf(file_, format, arguments...);
        fputc('\n', file_);
        fflush(file_);
    }

  private:
    FILE* file_;
};

struct Conn {
    int fd = -1;
    bool connecting = false;
    bool ended = false;   // the peer has ended its sending, or reset
    bool closed = false;  // to be removed
    std::string in, out;
    std::function<void(Conn&)> onInput;  // called after each read, and at the end of the input
    std::function<void()> onTick;

    void send(const std::string& text) { out += text; }
    bool takeLine(std::string& line) {
        const std::size_t end = in.find('\n');
        if (end == std::string::npos) return false;
        line = in.substr(0, end);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        in.erase(0, end + 1);
        return true;
    }
};

class Loop {
  public:
    ~Loop() {
        for (auto& conn : conns_) ::close(conn->fd);
        for (auto& listener : listeners_) ::close(listener.fd);
    }

    // Listens on a free port of the loopback address and returns the port.
    int listen(std::function<void(std::shared_ptr<Conn>)> onAccept) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
            fail("cannot listen");
        socklen_t size = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        listeners_.push_back({fd, std::move(onAccept)});
        return ntohs(address.sin_port);
    }

    std::shared_ptr<Conn> connect(int port) {
        auto conn = std::make_shared<Conn>();
        conn->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        noDelay(conn->fd);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<uint16_t>(port));
        if (::connect(conn->fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
            errno != EINPROGRESS)
            conn->ended = true;
        conn->connecting = true;
        conns_.push_back(conn);
        return conn;
    }

    // Runs all stand-ins until the condition holds. Returns false after the time-out.
    bool until(double timeout, const std::function<bool()>& condition) {
        const double end = seconds() + timeout;
        while (!condition()) {
            if (seconds() >= end) return false;
            step(10);
        }
        return true;
    }
    void pause(double time) {
        until(time, [] { return false; });
    }

    [[noreturn]] static void fail(const char* what) {
        fprintf(stderr, "review: %s: %s\n", what, strerror(errno));
        exit(2);
    }

  private:
    struct Listener {
        int fd;
        std::function<void(std::shared_ptr<Conn>)> onAccept;
    };

    static void noDelay(int fd) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    void step(int milliseconds) {
        std::vector<pollfd> polls;
        for (const Listener& listener : listeners_) polls.push_back({listener.fd, POLLIN, 0});
        const std::vector<std::shared_ptr<Conn>> conns(conns_.begin(), conns_.end());
        for (const auto& conn : conns) {
            short events = conn->ended ? 0 : POLLIN;
            if (conn->connecting || !conn->out.empty()) events = static_cast<short>(events | POLLOUT);
            polls.push_back({events == 0 ? -1 : conn->fd, events, 0});
        }
        ::poll(polls.data(), polls.size(), milliseconds);
        const std::size_t listeners = listeners_.size();
        for (std::size_t i = 0; i < listeners; ++i) {
            if (polls[i].revents == 0) continue;
            for (;;) {
                const int fd = ::accept4(polls[i].fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) break;
                noDelay(fd);
                auto conn = std::make_shared<Conn>();
                conn->fd = fd;
                conns_.push_back(conn);
                listeners_[i].onAccept(conn);
            }
        }
        for (std::size_t i = 0; i < conns.size(); ++i) handle(*conns[i], polls[listeners + i].revents);
        for (const auto& conn : conns) {
            if (conn->onTick) conn->onTick();
            if (!conn->connecting) flush(*conn);
        }
        conns_.remove_if([](const auto& conn) {
            if (!conn->closed) return false;
            ::close(conn->fd);
            conn->fd = -1;
            return true;
        });
    }

    static void flush(Conn& conn) {
        while (!conn.out.empty() && !conn.closed) {
            const ssize_t count = ::send(conn.fd, conn.out.data(), conn.out.size(), MSG_NOSIGNAL);
            if (count <= 0) break;
            conn.out.erase(0, static_cast<std::size_t>(count));
        }
    }

    static void handle(Conn& conn, short events) {
        if (events == 0 || conn.closed) return;
        if (conn.connecting && (events & (POLLOUT | POLLERR | POLLHUP)) != 0) conn.connecting = false;
        bool changed = false;
        while (!conn.ended && (events & (POLLIN | POLLERR | POLLHUP)) != 0) {
            char chunk[65536];
            const ssize_t count = ::recv(conn.fd, chunk, sizeof chunk, 0);
            if (count > 0) {
                conn.in.append(chunk, static_cast<std::size_t>(count));
                changed = true;
            } else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                break;
            } else {
                conn.ended = true;
                changed = true;
            }
        }
        if (changed && conn.onInput) conn.onInput(conn);
    }

    std::vector<Listener> listeners_;
    std::list<std::shared_ptr<Conn>> conns_;
};

// A request that a host has read completely.
struct Run {
    double at = 0;
    std::string host;
    std::string id;
    std::string line;
};

// A sound host: answers PING and STATS, serves each OPEN, and sends each line of a client back.
struct Host {
    std::string id;
    int port = 0;
    int cell = 0;
    std::string state = "active";
    int open = 0;
};

struct World {
    explicit World(const std::string& folder) : record(folder + "/record.txt") {}

    Record record;
    Loop loop;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Run> runs;
    int discoveryPort = 0;
    long version = 1;
    int watchers = 0;
    // Called for an OPEN line in place of the usual answer.
    std::function<bool(Host&, Conn&, const Run&)> onOpen;

    Host& addHost(const std::string& id) {
        hosts.push_back(std::make_unique<Host>());
        Host& host = *hosts.back();
        host.id = id;
        host.port = loop.listen([this, &host](const std::shared_ptr<Conn>& conn) {
            auto opened = std::make_shared<bool>(false);
            conn->onInput = [this, &host, opened](Conn& peer) { serve(host, peer, *opened); };
        });
        return host;
    }

    void serve(Host& host, Conn& conn, bool& opened) {
        std::string line;
        while (!conn.closed && conn.takeLine(line)) {
            if (opened) {
                conn.send(line + "\r\n");
            } else if (line == "PING") {
                conn.send("PONG\r\n");
            } else if (line == "STATS") {
                char report[64];
                snprintf(report, sizeof report, "PONG x0=%.2f,inflight=%d\r\n", 0.1 + 0.01 * host.open, host.open);
                conn.send(report);
            } else if (line.rfind("OPEN ", 0) == 0) {
                opened = true;
                ++host.open;
                const Run run{seconds(), host.id, line.substr(5, line.find(' ', 5) - 5), line};
                runs.push_back(run);
                record.line("host %s got: %s", host.id.c_str(), line.c_str());
                if (onOpen && onOpen(host, conn, run)) continue;
                conn.send("UP " + host.id + "-" + std::to_string(runs.size()) + "\r\n");
            } else {
                record.line("host %s got a line that it cannot use: %s", host.id.c_str(), line.c_str());
                conn.send("SYNTAX\r\n");
            }
        }
        if (conn.ended) {
            if (opened) --host.open;
            conn.closed = true;
        }
    }

    std::string entry(const Host& host) const {
        return "{\"id\":\"" + host.id + "\",\"addr\":\"127.0.0.1:" + std::to_string(host.port) +
               "\",\"zone\":\"zurich\",\"kind\":\"m2\",\"cell\":" + std::to_string(host.cell) +
               ",\"state\":\"" + host.state + "\",\"weight\":1.0,\"started_ms\":0}";
    }
    std::string list() const {
        std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":true,\"servers\":[";
        for (std::size_t i = 0; i < hosts.size(); ++i) text += (i == 0 ? "" : ",") + entry(*hosts[i]);
        return text + "]}";
    }

    void startDiscovery() {
        discoveryPort = loop.listen([this](const std::shared_ptr<Conn>& conn) {
            auto watching = std::make_shared<bool>(false);
            auto nextBeat = std::make_shared<double>(0);
            Conn* const peer = conn.get();
            conn->onInput = [this, watching, nextBeat](Conn& c) {
                if (!*watching && c.in.find("\r\n\r\n") != std::string::npos) {
                    *watching = true;
                    ++watchers;
                    *nextBeat = seconds() + 2;
                    c.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                    sendChunk(c, list() + "\n");
                }
                if (c.ended) c.closed = true;
            };
            conn->onTick = [peer, watching, nextBeat] {
                if (!*watching || seconds() < *nextBeat) return;
                *nextBeat = seconds() + 2;
                sendChunk(*peer, "\n");
            };
        });
    }
    static void sendChunk(Conn& conn, const std::string& text) {
        char size[32];
        snprintf(size, sizeof size, "%zx\r\n", text.size());
        conn.send(size + text + "\r\n");
    }
};

// A sound client: sends OPEN, waits for the answer, then sends a line every 2 s.
struct Client {
    std::string id;
    std::shared_ptr<Conn> conn;
    std::string answer;  // the first line
    bool up = false;
    bool moved = false;
    bool ended = false;
    int echoes = 0;
    double nextLine = 0;
    bool silent = false;
};

inline std::string hexId(std::uint64_t value) {
    char text[32];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

inline std::shared_ptr<Client> openClient(World& world, int port, const std::string& id,
                                          const std::string& attributes) {
    auto client = std::make_shared<Client>();
    client->id = id;
    client->conn = world.loop.connect(port);
    const std::string line = "OPEN " + id + " 7f3a9c21e0b4d655 " + attributes;
    world.record.line("client sends: %s", line.c_str());
    client->conn->send(line + "\r\n");
    std::weak_ptr<Client> weak = client;
    client->conn->onInput = [&world, weak](Conn& conn) {
        const auto self = weak.lock();
        if (!self) {
            conn.closed = true;
            return;
        }
        std::string text;
        while (conn.takeLine(text)) {
            if (self->answer.empty()) {
                self->answer = text;
                self->up = text.rfind("UP", 0) == 0;
                self->nextLine = seconds() + 2;
                world.record.line("client %s is answered: %s", self->id.c_str(), text.c_str());
            } else if (text == "MOVE") {
                self->moved = true;
                world.record.line("client %s is told to move", self->id.c_str());
            } else {
                ++self->echoes;
            }
        }
        if (conn.ended) {
            self->ended = true;
            world.record.line("connection of client %s has ended", self->id.c_str());
            conn.closed = true;
        }
    };
    client->conn->onTick = [weak] {
        const auto self = weak.lock();
        if (!self || !self->up || self->ended || self->silent || seconds() < self->nextLine) return;
        self->nextLine = seconds() + 2;
        self->conn->send("line of " + self->id + "\r\n");
    };
    return client;
}

// Returns the status of an operator's call; 0 if there was no answer within 1 s.
inline int operatorCall(World& world, int port, const std::string& method, const std::string& path,
                        std::string* body = nullptr) {
    auto conn = world.loop.connect(port);
    conn->send(method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n");
    world.loop.until(1.0, [&] { return conn->ended; });
    int status = 0;
    if (conn->in.size() > 12) status = atoi(conn->in.c_str() + 9);
    if (body != nullptr) *body = conn->in;
    conn->closed = true;
    return status;
}

// The processes of the node, started by the command of the deploy file.
class Processes {
  public:
    Processes(std::string command, std::string folder) : command_(std::move(command)), folder_(std::move(folder)) {}
    ~Processes() {
        for (const pid_t pid : pids_) ::kill(pid, SIGKILL);
        for (const pid_t pid : pids_) ::waitpid(pid, nullptr, 0);
    }

    pid_t start(const std::vector<std::pair<std::string, std::string>>& variables, const std::string& log) {
        const pid_t pid = ::fork();
        if (pid < 0) Loop::fail("fork");
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the node ends with the test, however the test ends
            for (const auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
            const int file = ::open((folder_ + "/" + log).c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::execl("/bin/sh", "sh", "-c", command_.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        pids_.push_back(pid);
        return pid;
    }
    void kill(pid_t pid) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::erase(pids_, pid);
    }
    bool alive(pid_t pid) {
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) != pid) return true;
        std::erase(pids_, pid);
        return false;
    }

  private:
    std::string command_;
    std::string folder_;
    std::vector<pid_t> pids_;
};

// A port that is free now.
inline int freePort() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

inline void writeFile(const std::string& path, const std::string& text) {
    FILE* file = fopen(path.c_str(), "w");
    if (file == nullptr) Loop::fail("cannot write a file");
    fwrite(text.data(), 1, text.size(), file);
    fclose(file);
}

// One node at a free address: its configuration file and its processes.
struct Node {
    Node(World& owner, const std::string& command, const std::string& dir, int instances, const std::string& grades)
        : world(owner), folder(dir), processes(command, dir), port(freePort()) {
        ::setenv("RELAY_LOG", "info", 1);
        if (::system(("mkdir -p " + folder + "/tmp").c_str()) != 0) Loop::fail("mkdir");
        writeFile(folder + "/config.json", configText(instances, grades));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    std::string configText(int instances, const std::string& grades) const;

    // Starts a process of the node by the command of the deploy file, with an operators' address of its own,
    // and waits until it says that it can serve. Returns 0 after the time-out.
    pid_t start(int console, const std::string& log, double timeout) {
        const pid_t pid = processes.start(
            {{"RELAY_CONFIG", folder + "/config.json"},
             {"RELAY_NAME", "n1"},
             {"RELAY_LISTEN", address()},
             {"RELAY_DISCOVERY", "127.0.0.1:" + std::to_string(world.discoveryPort)},
             {"RELAY_CONSOLE", "127.0.0.1:" + std::to_string(console)},
             {"TMPDIR", folder + "/tmp"}},
            log);
        const bool ready = world.loop.until(
            timeout, [&] { return operatorCall(world, console, "GET", "/-/ready") == 200; });
        world.record.line("process %s with operators' port %d: %s", log.c_str(), console,
                          ready ? "ready" : "not ready in time");
        return ready ? pid : 0;
    }

    World& world;
    std::string folder;
    Processes processes;
    int port;
};

// Settings of a small deployment, with the figures of raetselwelt-live, in the keys of the wire page.
inline std::string settingsText(int nodes, const std::string& grades) {
    return R"({"bounds":{"attemptsCap":4,"cancel":true,"connIdle":60000000,"connectTimeout":250000,)"
           R"("cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxOpen":1000000,"maxRetryAfter":1500000,)"
           R"("multiplex":1048576,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false},)"
           R"("clients":{"marksRetry":false},"failureDomains":["zurich","geneva","lugano"],)"
           R"("familyInfo":{"groups":false,"messageAim":[150000.0,250000.0],"mode":"proxy","tellsDelay":false,"tellsLoad":false},)"
           R"("goal":{"whole":0.45,"worstWindow":0.35,"worstClass":0.2},"grades":)" +
           grades + R"(,"instances":)" + std::to_string(nodes) +
           R"(,"kindOfService":"conn","kinds":["m2"],"me":0,"overShareWorth":0.1,)"
           R"("prices":{"crossZone":0.02},"registryMode":"ask","report":{"fields":["x0","active"],"how":"on_probe"},)"
           R"("resolution":4000,"rules":{"answerSlack":16000,"coldShare":0.16,"drainGrace":250000,"fall":2000000,)"
           R"("fallMultiple":3.0,"mustAskIn":10000000,"warmAfter":23000000},"tenants":[],"tier":0,)"
           R"("weightKind":"nominal","worthBy":"request","zone":0})";
}

inline std::string Node::configText(int instances, const std::string& grades) const {
    return "{\"name\":\"n1\",\"listen\":\"" + address() + "\",\"discovery\":\"127.0.0.1:" +
           std::to_string(world.discoveryPort) +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" +
           world.list() + ",\"settings\":" + settingsText(instances, grades) + "}";
}

// The arguments of each case: the run command, a temporary folder, the folder of the case, and whether the
// disruption takes place.
struct Arguments {
    Arguments(int count, char** values) {
        if (count != 5) {
            fprintf(stderr, "usage: case RUN-COMMAND TEMPORARY-FOLDER CASE-FOLDER TROUBLE\n");
            exit(2);
        }
        command = values[1];
        temporary = values[2];
        folder = values[3];
        trouble = std::string(values[4]) != "0";
    }
    std::string command, temporary, folder;
    bool trouble = true;
};

}  // namespace review
