// Stand-ins for the second review: clients, servers ("hosts"), discovery and the platform, on loopback addresses.
// They follow the protocol page. One thread with poll() runs them all; the nodes are separate processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace lab {

// ---- time, record ----

inline std::int64_t steadyMs() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t unixMs() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline FILE*& recordFile() {
    static FILE* file = nullptr;
    return file;
}

// Writes a line with the time since the start to record.txt.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    FILE* file = recordFile() != nullptr ? recordFile() : stdout;
    const std::int64_t now = steadyMs();
    std::fprintf(file, "%4lld.%03lld ", static_cast<long long>(now / 1000), static_cast<long long>(now % 1000));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

// The case could not run.
struct CannotRun {
    std::string reason;
};

// ---- event loop ----

class Loop {
  public:
    using Handler = std::function<void(short)>;

    void watch(int descriptor, Handler handler) {
        handlers_[descriptor] = {std::make_shared<Handler>(std::move(handler)), POLLIN};
    }
    void wantWrite(int descriptor, bool on) {
        const auto found = handlers_.find(descriptor);
        if (found != handlers_.end()) found->second.events = static_cast<short>(on ? POLLIN | POLLOUT : POLLIN);
    }
    void forget(int descriptor) { handlers_.erase(descriptor); }
    void after(std::int64_t delayMs, std::function<void()> action) {
        timers_.emplace(steadyMs() + delayMs, std::move(action));
    }

    // Runs until the condition holds or the time has passed. Returns the condition.
    bool waitFor(const std::function<bool()>& condition, std::int64_t limitMs) {
        const std::int64_t deadline = steadyMs() + limitMs;
        for (;;) {
            if (condition()) return true;
            const std::int64_t now = steadyMs();
            if (now >= deadline) return false;
            step(deadline - now);
        }
    }
    void run(std::int64_t durationMs) {
        waitFor([] { return false; }, durationMs);
    }

  private:
    struct Entry {
        std::shared_ptr<Handler> handler;
        short events;
    };

    void step(std::int64_t limitMs) {
        if (!timers_.empty()) limitMs = std::min(limitMs, std::max<std::int64_t>(0, timers_.begin()->first - steadyMs()));
        std::vector<pollfd> polled;
        polled.reserve(handlers_.size());
        for (const auto& [descriptor, entry] : handlers_) polled.push_back({descriptor, entry.events, 0});
        const int count = ::poll(polled.data(), polled.size(), static_cast<int>(std::min<std::int64_t>(limitMs, 50)));
        if (count > 0) {
            for (const pollfd& one : polled) {
                if (one.revents == 0) continue;
                const auto found = handlers_.find(one.fd);
                if (found == handlers_.end()) continue;
                const std::shared_ptr<Handler> handler = found->second.handler;
                (*handler)(one.revents);
            }
        }
        while (!timers_.empty() && timers_.begin()->first <= steadyMs()) {
            const auto action = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            action();
        }
    }

    std::map<int, Entry> handlers_;
    std::multimap<std::int64_t, std::function<void()>> timers_;
};

// ---- sockets ----

inline sockaddr_in addressOf(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline std::string textOf(const sockaddr_in& address) {
    char host[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
    return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

inline void noDelay(int descriptor) {
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A connection of lines. The owner sets the callbacks. After end() or a callback of the end, nothing is called.
class Conn : public std::enable_shared_from_this<Conn> {
  public:
    static std::shared_ptr<Conn> make(Loop& loop, int descriptor) {
        auto conn = std::shared_ptr<Conn>(new Conn(loop, descriptor));
        conn->start();
        return conn;
    }
    static std::shared_ptr<Conn> connectTo(Loop& loop, const std::string& address) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0) throw CannotRun{"socket"};
        noDelay(descriptor);
        const sockaddr_in raw = addressOf(address);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 && errno != EINPROGRESS) {
            ::close(descriptor);
            throw CannotRun{"connect to " + address};
        }
        auto conn = make(loop, descriptor);
        loop.wantWrite(descriptor, true);
        return conn;
    }
    ~Conn() { close(); }

    std::function<void(const std::string&)> onLine;  // without the line end
    std::function<void(bool reset)> onEnd;           // the peer has ended or reset the connection
    std::function<void(std::string&)> onData;        // instead of onLine: takes the bytes itself

    void send(const std::string& text) {
        out_ += text;
        flush();
    }
    bool open() const { return descriptor_ >= 0; }
    void close() {
        if (descriptor_ < 0) return;
        loop_.forget(descriptor_);
        ::close(std::exchange(descriptor_, -1));
    }
    void reset() {
        if (descriptor_ < 0) return;
        const linger now{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

  private:
    Conn(Loop& loop, int descriptor) : loop_(loop), descriptor_(descriptor) {}
    void start() {
        std::weak_ptr<Conn> weak = weak_from_this();
        loop_.watch(descriptor_, [weak](short events) {
            if (const auto self = weak.lock()) self->ready(events);
        });
    }
    void flush() {
        while (descriptor_ >= 0 && !out_.empty()) {
            const ssize_t count = ::send(descriptor_, out_.data(), out_.size(), MSG_NOSIGNAL);
            if (count < 0) break;
            out_.erase(0, static_cast<std::size_t>(count));
        }
        if (descriptor_ >= 0) loop_.wantWrite(descriptor_, !out_.empty());
    }
    void ready(short events) {
        if ((events & POLLOUT) != 0) flush();
        if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
        for (;;) {
            char chunk[16384];
            const ssize_t count = ::recv(descriptor_, chunk, sizeof chunk, 0);
            if (count > 0) {
                in_.append(chunk, static_cast<std::size_t>(count));
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == EINPROGRESS)) break;
            deliver();
            if (descriptor_ < 0) return;
            const bool wasReset = count < 0;
            close();
            if (onEnd) onEnd(wasReset);
            return;
        }
        deliver();
    }
    void deliver() {
        if (onData) return onData(in_);
        std::size_t end = 0;
        while (descriptor_ >= 0 && (end = in_.find('\n')) != std::string::npos) {
            std::string line = in_.substr(0, end);
            in_.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') line.pop_back();
            if (onLine) onLine(line);
        }
    }

    Loop& loop_;
    int descriptor_;
    std::string in_;
    std::string out_;
};
using ConnPtr = std::shared_ptr<Conn>;

class Listener {
  public:
    Listener(Loop& loop, std::function<void(ConnPtr)> accepted, const std::string& at = "127.0.0.1:0")
        : loop_(loop), accepted_(std::move(accepted)) {
        open(at);
    }
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    const std::string& address() const { return address_; }
    void close() {
        if (descriptor_ < 0) return;
        loop_.forget(descriptor_);
        ::close(std::exchange(descriptor_, -1));
    }
    void reopen() {
        if (descriptor_ < 0) open(address_);
    }

  private:
    void open(const std::string& at) {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in raw = addressOf(at);
        socklen_t size = sizeof raw;
        if (descriptor_ < 0 || ::bind(descriptor_, reinterpret_cast<sockaddr*>(&raw), size) != 0 ||
            ::listen(descriptor_, 512) != 0 || ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&raw), &size) != 0)
            throw CannotRun{"listen at " + at};
        address_ = textOf(raw);
        loop_.watch(descriptor_, [this](short) { acceptAll(); });
    }
    void acceptAll() {
        for (;;) {
            const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) return;
            noDelay(descriptor);
            accepted_(Conn::make(loop_, descriptor));
        }
    }
    Loop& loop_;
    std::function<void(ConnPtr)> accepted_;
    int descriptor_ = -1;
    std::string address_;
};

// A free loopback address: the kernel chooses the port.
inline std::string freeAddress() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = addressOf("127.0.0.1:0");
    socklen_t size = sizeof raw;
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&raw), size) != 0 ||
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&raw), &size) != 0)
        throw CannotRun{"no free port"};
    ::close(descriptor);
    return textOf(raw);
}

inline std::string wordOf(const std::string& line, std::size_t index) {
    std::istringstream words(line);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
        if (!(words >> word)) return {};
    }
    return word;
}

inline std::string attributeOf(const std::string& opening, const std::string& name) {
    const std::string list = "," + wordOf(opening, 3);
    const std::size_t at = list.find("," + name + "=");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 2;
    return list.substr(begin, list.find(',', begin) - begin);
}

// ---- hosts ----

// A server. It answers probes, brings up connections with a receipt of its own, and echoes lines.
class Host {
  public:
    struct Attempt {
        std::int64_t at = 0;  // steadyMs() when the line came
        std::string opening;
        std::string id;
        ConnPtr conn;
        bool up = false;
    };

    Host(Loop& loop, std::string hostId)
        : id(std::move(hostId)), loop_(loop), listener_(loop, [this](ConnPtr conn) { accept(conn); }) {}

    std::string id;
    std::string state = "active";
    std::string zone = "a";
    std::string kind = "m1";
    int cell = 0;
    std::int64_t startedMs = 0;
    double capacity = 40;       // connections that fill it
    double idleLoad = 0;        // told besides the load of its connections
    bool hung = false;          // answers nothing
    std::vector<std::shared_ptr<Attempt>> attempts;
    // Answers an opening line. Empty: UP at once.
    std::function<void(Attempt&)> onOpen;

    const std::string& address() const { return listener_.address(); }
    int openCount() const {
        return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                              [](const auto& one) { return one->up && one->conn->open(); }));
    }
    void bringUp(Attempt& attempt) {
        attempt.up = true;
        const std::string receipt = id + "-" + std::to_string(++receipts_);
        record("host %s: %s up, receipt %s", id.c_str(), attempt.id.c_str(), receipt.c_str());
        attempt.conn->send("UP " + receipt + "\r\n");
    }
    // The process dies: connections are reset, new ones are refused.
    void die() {
        listener_.close();
        for (const ConnPtr& conn : connections_) conn->reset();
        connections_.clear();
    }
    void comeBack() { listener_.reopen(); }

    std::string entry() const {
        std::ostringstream out;
        out << R"({"id":")" << id << R"(","addr":")" << address() << R"(","zone":")" << zone << R"(","kind":")" << kind
            << R"(","cell":)" << cell << R"(,"state":")" << state << R"(","weight":1.0,"started_ms":)" << startedMs << "}";
        return out.str();
    }

  private:
    void accept(const ConnPtr& conn) {
        connections_.push_back(conn);
        std::erase_if(connections_, [](const ConnPtr& one) { return !one->open(); });
        auto attempt = std::make_shared<std::shared_ptr<Attempt>>();
        Conn* raw = conn.get();
        conn->onLine = [this, attempt, raw](const std::string& line) {
            if (hung) return;
            const std::string word = wordOf(line, 0);
            if (!*attempt && word == "STATS") return raw->send("PONG " + report() + "\r\n");
            if (!*attempt && word == "PING") return raw->send("PONG\r\n");
            if (!*attempt && word == "OPEN") {
                *attempt = std::make_shared<Attempt>();
                (*attempt)->at = steadyMs();
                (*attempt)->opening = line;
                (*attempt)->id = wordOf(line, 1);
                (*attempt)->conn = raw->shared_from_this();
                attempts.push_back(*attempt);
                record("host %s: attempt %s", id.c_str(), line.c_str());
                if (onOpen) return onOpen(**attempt);
                return bringUp(**attempt);
            }
            if (*attempt && (*attempt)->up) raw->send(line + "\r\n");
        };
    }
    std::string report() const {
        const double load = idleLoad + openCount() / capacity;
        std::ostringstream out;
        out << "x0=" << load << ",util=" << std::min(1.0, load);
        return out.str();
    }

    Loop& loop_;
    std::vector<ConnPtr> connections_;
    Listener listener_;
    int receipts_ = 0;
};
using HostPtr = std::unique_ptr<Host>;

// ---- discovery ----

// Serves watches: the whole list first, then each change, and an empty line every 2 s.
class Discovery {
  public:
    explicit Discovery(Loop& loop) : loop_(loop), listener_(loop, [this](ConnPtr conn) { accept(conn); }) { heartbeat(); }

    std::vector<Host*> hosts;
    std::uint64_t version = 41;
    int calls = 0;

    const std::string& address() const { return listener_.address(); }
    std::size_t watches() const { return watches_.size(); }
    std::string list(bool full, const std::vector<Host*>& entries) const {
        std::string text = R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") + R"(,"servers":[)";
        bool first = true;
        for (const Host* host : entries) {
            if (!std::exchange(first, false)) text += ",";
            text += host->entry();
        }
        return text + "]}";
    }
    std::string fullList() const {
        std::vector<Host*> listed;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(listed), [](const Host* host) { return host->state != "left"; });
        return list(true, listed);
    }
    // Tells the present entry of the host on all watches.
    void tell(Host& host) {
        ++version;
        record("discovery: tells that %s is %s (version %llu)", host.id.c_str(), host.state.c_str(),
               static_cast<unsigned long long>(version));
        const std::string text = list(false, {&host});
        for (const ConnPtr& watch : watches_) watch->send(chunk(text + "\n"));
    }
    // Discovery goes down: watches end, new calls are refused.
    void goDown() {
        listener_.close();
        for (const ConnPtr& watch : watches_) watch->reset();
        watches_.clear();
    }
    void comeBack() { listener_.reopen(); }

  private:
    static std::string chunk(const std::string& text) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }
    void accept(const ConnPtr& conn) {
        pending_.push_back(conn);
        Conn* raw = conn.get();
        conn->onLine = [this, raw](const std::string& line) {
            if (!line.empty()) return;
            ++calls;
            record("discovery: a watch is opened, the whole list is sent");
            raw->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(fullList() + "\n"));
            watches_.push_back(raw->shared_from_this());
        };
        conn->onEnd = [this](bool) {
            const auto ended = [](const ConnPtr& one) { return !one->open(); };
            loop_.after(0, [this, ended] {
                std::erase_if(pending_, ended);
                std::erase_if(watches_, ended);
            });
        };
    }
    void heartbeat() {
        for (const ConnPtr& watch : watches_) watch->send(chunk("\n"));
        loop_.after(2000, [this] { heartbeat(); });
    }

    Loop& loop_;
    std::vector<ConnPtr> pending_;
    std::vector<ConnPtr> watches_;
    Listener listener_;
};

// ---- clients ----

// A client: sends its opening line, waits for the answer, and then a line every 2 s.
class Client {
  public:
    Client(Loop& loop, const std::string& node, std::string requestId, const std::string& requestClass, int timeoutMs,
           const std::string& more = {})
        : id(std::move(requestId)), loop_(loop) {
        opening = "OPEN " + id + " 7f3a9c21e0b4d655 c=" + requestClass + ",d=" + std::to_string(timeoutMs) + more;
        conn_ = Conn::connectTo(loop, node);
        conn_->onLine = [this](const std::string& line) { handle(line); };
        conn_->onEnd = [this](bool reset) { ended(reset); };
        sentAt = steadyMs();
        record("client %s: sends %s", id.c_str(), opening.c_str());
        conn_->send(opening + "\r\n");
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    std::string id;
    std::string opening;
    std::string answer;         // the first line from the node; empty: none yet
    std::int64_t sentAt = 0;
    std::int64_t answeredAt = 0;
    std::int64_t endedAt = -1;  // the node has ended the connection
    bool wasReset = false;
    bool moved = false;         // MOVE came
    bool left = false;          // this client has closed
    int sentLines = 0;
    int echoes = 0;
    bool foreign = false;  // a line came that is not this client's own
    bool quiet = false;    // sends no lines
    bool verbose = true;

    bool up() const { return answer.rfind("UP ", 0) == 0; }
    bool connected() const { return up() && endedAt < 0 && !moved && !left; }
    std::string host() const { return up() ? answer.substr(3, answer.rfind('-') - 3) : std::string(); }
    void leave() {
        left = true;
        conn_->close();
    }
    void send(const std::string& text) { conn_->send(text); }

  private:
    void handle(const std::string& line) {
        if (answer.empty()) {
            answer = line;
            answeredAt = steadyMs();
            if (verbose) record("client %s: %s", id.c_str(), line.c_str());
            if (up()) loop_.after(100, [this, alive = std::weak_ptr<int>(alive_)] { if (!alive.expired()) beat(); });
            return;
        }
        const std::string word = wordOf(line, 0);
        if (word == "MOVE") {
            moved = true;
            record("client %s: MOVE", id.c_str());
            left = true;
            conn_->close();
            return;
        }
        if (word == "LOAD" || word == "BYE") return;
        if (word == "L" + id) {
            ++echoes;
        } else {
            foreign = true;
            record("client %s: a line that it has not sent: %s", id.c_str(), line.c_str());
        }
    }
    void ended(bool reset) {
        if (endedAt < 0 && !left) {
            endedAt = steadyMs();
            wasReset = reset;
            if (verbose) record("client %s: connection %s", id.c_str(), reset ? "reset" : "ended");
        }
    }
    void beat() {
        if (!connected()) return;
        if (!quiet) {
            ++sentLines;
            conn_->send("L" + id + " " + std::to_string(sentLines) + "\r\n");
        }
        loop_.after(2000, [this, alive = std::weak_ptr<int>(alive_)] { if (!alive.expired()) beat(); });
    }

    Loop& loop_;
    ConnPtr conn_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};
using ClientPtr = std::unique_ptr<Client>;

inline std::string requestId(unsigned number) {
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", 0x9b1f03aa00000000ULL + number);
    return text;
}

// ---- nodes ----

struct NodeOptions {
    std::string name = "n0";
    std::string listen;
    std::string console;
    std::string config;     // path
    std::string directory;  // TMPDIR; empty: not set
    int descriptors = 0;    // the platform's limit on the process's descriptors; 0: that of this process
};

// A node process, started by the command `run` of the deploy file through /bin/sh from the root of the repository.
class Node {
  public:
    Node(Loop& loop, const std::string& root, const std::string& run, const NodeOptions& options, const std::string& logPath)
        : loop_(loop), options_(options) {
        process_ = ::fork();
        if (process_ < 0) throw CannotRun{"fork"};
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no node outlives the case
            ::setenv("RELAY_CONFIG", options.config.c_str(), 1);
            ::setenv("RELAY_NAME", options.name.c_str(), 1);
            ::setenv("RELAY_LISTEN", options.listen.c_str(), 1);
            ::setenv("RELAY_CONSOLE", options.console.c_str(), 1);
            if (options.directory.empty()) {
                ::unsetenv("TMPDIR");
            } else {
                ::setenv("TMPDIR", options.directory.c_str(), 1);
            }
            if (options.descriptors > 0) {
                const rlimit limit{static_cast<rlim_t>(options.descriptors), static_cast<rlim_t>(options.descriptors)};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            if (::chdir(root.c_str()) != 0) ::_exit(127);
            ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record("node %s: process started, console %s", options.name.c_str(), options.console.c_str());
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    ~Node() { kill(); }

    pid_t process() const { return process_; }
    const std::string& console() const { return options_.console; }
    // Whether the process still runs.
    bool running() {
        if (process_ <= 0) return false;
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) != process_) return true;
        process_ = -1;
        record("node %s: the process has ended, %s %d", options_.name.c_str(), WIFEXITED(status) ? "exit code" : "signal",
               WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
        return false;
    }
    void signal(int number) {
        if (process_ <= 0) return;
        record("node %s (%s): signal %s", options_.name.c_str(), options_.console.c_str(), ::strsignal(number));
        ::kill(process_, number);
    }
    void kill() {
        if (process_ <= 0) return;
        ::kill(process_, SIGKILL);
        ::kill(process_, SIGCONT);
        ::waitpid(std::exchange(process_, -1), nullptr, 0);
    }
    // One call at the console. Returns the status; 0 if there is no answer within a second.
    int call(const std::string& method, const std::string& path, std::string* body = nullptr) {
        std::string answer;
        bool ended = false;
        const ConnPtr conn = Conn::connectTo(loop_, options_.console);
        conn->onData = [&answer](std::string& bytes) { answer += std::exchange(bytes, {}); };
        conn->onEnd = [&ended](bool) { ended = true; };
        conn->send(method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n");
        loop_.waitFor([&ended] { return ended; }, 1000);
        if (body != nullptr) *body = answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
        return answer.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(answer.c_str() + 9) : 0;
    }
    void awaitReady(std::int64_t limitMs = 10'000) {
        const std::int64_t deadline = steadyMs() + limitMs;
        while (steadyMs() < deadline && running()) {
            if (call("GET", "/-/ready") == 200) {
                record("node %s (%s): ready", options_.name.c_str(), options_.console.c_str());
                return;
            }
            loop_.run(20);
        }
        throw CannotRun{"the node is not ready"};
    }

  private:
    Loop& loop_;
    NodeOptions options_;
    pid_t process_ = -1;
};

// ---- the frame of a case ----

struct Frame {
    std::string root;       // of the repository
    std::string run;        // the deploy file's command
    std::string directory;  // temporary, of this run
    bool trouble = true;
};

inline void writeFile(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    if (std::rename((path + ".new").c_str(), path.c_str()) != 0) throw CannotRun{"cannot write " + path};
}

// Settings of a small deployment, in the form of the page on deployment. `classes` and `rules` are JSON members.
struct Settings {
    int instances = 3;
    int attemptsCap = 4;
    int sockets = 1024;
    std::string classes = R"({"name":"chat","aim":800000,"giveUp":3000000,"repeat":"free","group":"all","dedupWindow":5000000,"worth":1.0})";
    std::string zones = R"("a")";
    std::string kinds = R"("m1")";
    int drainGraceMs = 250;
    int connectTimeoutMs = 250;
    std::string registryMode = "ask";
    std::string tellsLoad = "true";

    std::string config(const std::string& discovery, const std::string& knownList) const {
        std::ostringstream out;
        out << R"({"name":"n0","listen":"127.0.0.1:1","discovery":")" << discovery << R"(","seed":"8c1f30d27a5be964",)"
            << R"("limits":{"cores":1.0,"memory_mb":192,"sockets":)" << sockets << R"(},"known":)" << knownList
            << R"(,"settings":{"instances":)" << instances << R"(,"me":0,"zone":0,"failureDomains":[)" << zones << R"(],"kinds":[)"
            << kinds << R"(],"registryMode":")" << registryMode << R"(","resolution":4000,"kindOfService":"conn","weightKind":"off",)"
            << R"("bounds":{"attemptsCap":)" << attemptsCap << R"(,"cancel":true,"probes":true,"secondCopies":false,"retryAfter":true,)"
            << R"("maxRetryAfter":1500000,"connectTimeout":)" << connectTimeoutMs * 1000 << R"(,"connIdle":60000000,"peers":false,"multiplex":1048576},)"
            << R"("report":{"how":"on_probe","fields":["x0","cpu"]},)"
            << R"("rules":{"answerSlack":16000,"drainGrace":)" << drainGraceMs * 1000
            << R"(,"coldShare":0.16,"warmAfter":23000000,"fallMultiple":3.0,"fall":2000000,"mustAskIn":10000000},)"
            << R"("prices":{"crossZone":0.02},"goal":{"whole":0.45,"worstWindow":0.35,"worstClass":0.2},)"
            << R"("familyInfo":{"mode":"proxy","groups":false,"tellsLoad":)" << tellsLoad << R"(,"tellsDelay":false,"messageAim":[100000.0]},)"
            << R"("grades":[)" << classes << "]}}";
        return out.str();
    }
};

// Runs a case: `body` returns whether the rule held. Exit code 0: held, 1: broken, 2: could not run.
inline int runCase(int argc, char** argv, const std::function<bool(const Frame&, Loop&)>& body) {
    if (argc != 6) {
        std::fprintf(stderr, "usage: %s ROOT RUN_COMMAND TEMPORARY_FOLDER RECORD TROUBLE\n", argv[0]);
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    steadyMs();
    recordFile() = std::fopen(argv[4], "w");
    // TROUBLE of run.sh: 0 leaves the disruption out.
    const Frame frame{argv[1], argv[2], argv[3], std::string(argv[5]) != "0"};
    record("trouble: %s", frame.trouble ? "yes" : "no");
    int result = 2;
    try {
        Loop loop;
        result = body(frame, loop) ? 0 : 1;
        record("result: the rule %s", result == 0 ? "held" : "was broken");
    } catch (const CannotRun& problem) {
        record("result: the case could not run: %s", problem.reason.c_str());
    }
    return result;
}

}  // namespace lab
