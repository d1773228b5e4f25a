#include "net/handover.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <deque>
#include <exception>
#include <nlohmann/json.hpp>
#include <span>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/line.hpp"
#include "number.hpp"

namespace ivyreel::net {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int kVersion = 1;           // of what is said over the link
constexpr Micros kAskFor = 1s;        // a node that serves answers within some milliseconds
constexpr Micros kGiveWithin = 2s;    // from a successor's connection to the end of the estate
constexpr Micros kTellEvery = 100ms;  // how many descriptors are held
constexpr const char* kServes = "{\"serves\":true}\n";
constexpr std::size_t kLongestEstate = 64UL * 1024 * 1024;
constexpr std::size_t kLongestMessage = 256UL * 1024;  // a connection with two full buffers, in digits

// Owns a descriptor that no scheduler watches.
class Owned {
  public:
    explicit Owned(int descriptor) : descriptor_(descriptor) {}
    Owned(const Owned&) = delete;
    Owned& operator=(const Owned&) = delete;
    ~Owned() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    int get() const { return descriptor_; }
    int give() { return std::exchange(descriptor_, -1); }

  private:
    int descriptor_;
};

// A Unix address for a file. One whose path is too long is reached through the directory's descriptor.
struct UnixAddress {
    UnixAddress(const std::string& directory, const std::string& file) {
        std::string path = directory + "/" + file;
        if (path.size() >= sizeof raw.sun_path) {
            open.emplace(::open(directory.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
            path = "/proc/self/fd/" + std::to_string(open->get()) + "/" + file;
        }
        raw.sun_family = AF_UNIX;
        fits = path.size() < sizeof raw.sun_path;
        if (fits) std::memcpy(raw.sun_path, path.c_str(), path.size() + 1);
    }
    const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&raw); }

    sockaddr_un raw{};
    bool fits = false;
    std::optional<Owned> open;
};

int newUnixSocket() {
    return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool sameUser(int descriptor) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return ::getsockopt(descriptor, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

bool awaitReady(int descriptor, short events, std::chrono::steady_clock::time_point until) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd poll{descriptor, events, 0};
    return left.count() > 0 && ::poll(&poll, 1, static_cast<int>(left.count())) == 1;
}

// The descriptors that came with a message go behind the others.
void keepDescriptors(msghdr& message, std::vector<int>& kept) {
    for (cmsghdr* part = CMSG_FIRSTHDR(&message); part != nullptr; part = CMSG_NXTHDR(&message, part)) {
        if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_RIGHTS) continue;
        std::vector<int> came((part->cmsg_len - CMSG_LEN(0)) / sizeof(int));
        std::memcpy(came.data(), CMSG_DATA(part), came.size() * sizeof(int));
        kept.insert(kept.end(), came.begin(), came.end());
    }
}

ssize_t receive(int socket, std::span<char> into, std::vector<int>& descriptors) {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(16 * sizeof(int))> control{};
    iovec part{into.data(), into.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t count = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC);
    if (count > 0) keepDescriptors(message, descriptors);
    return count;
}

// Sends the beginning of a text with descriptors; the number of bytes that went, -1 if none did.
ssize_t sendWith(int socket, std::string_view text, const std::vector<int>& descriptors) {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(kMostListeners * sizeof(int))> control{};
    const std::size_t bytes = std::min(descriptors.size(), kMostListeners) * sizeof(int);
    iovec part{const_cast<char*>(text.data()), text.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = CMSG_SPACE(bytes);
    cmsghdr* rights = CMSG_FIRSTHDR(&message);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(bytes);
    std::memcpy(CMSG_DATA(rights), descriptors.data(), bytes);
    return ::sendmsg(socket, &message, MSG_NOSIGNAL);
}

}  // namespace

std::string Rendezvous::file() const {
    std::string result = "ivyreel-";
    for (const char c : name) {
        result.push_back(std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_');
    }
    return result.substr(0, 60) + ".sock";
}

Heritage::Heritage(Heritage&& other) noexcept
    : estate(std::move(other.estate)),
      link_(std::exchange(other.link_, -1)),
      listeners_(std::exchange(other.listeners_, {})) {}

Heritage::~Heritage() {
    if (link_ >= 0) ::close(link_);
    for (const int listener : listeners_) {
        if (listener >= 0) ::close(listener);
    }
}

int Heritage::takeLink() {
    return std::exchange(link_, -1);
}

int Heritage::takeListener(std::size_t index) {
    return index < listeners_.size() ? std::exchange(listeners_[index], -1) : -1;
}

std::optional<Heritage> Heritage::ask(const Rendezvous& at) {
    if (at.directory.empty()) return std::nullopt;
    const auto until = std::chrono::steady_clock::now() + kAskFor;
    const UnixAddress address{at.directory, at.file()};
    Owned link{newUnixSocket()};
    if (link.get() < 0 || !address.fits ||
        ::connect(link.get(), address.address(), sizeof address.raw) != 0 || !sameUser(link.get()))
        return std::nullopt;  // nobody is there: the usual start
    const std::string question =
        Json{{"successor", kVersion}, {"listen", at.listen}, {"console", at.console}}.dump() + "\n";
    if (::send(link.get(), question.data(), question.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(question.size()))
        return std::nullopt;
    Heritage heritage;
    while (!heritage.estate.ends_with('\n')) {
        std::array<char, 65536> chunk;
        const ssize_t count = receive(link.get(), chunk, heritage.listeners_);
        if (count > 0) {
            heritage.estate.append(chunk.data(), static_cast<std::size_t>(count));
            if (heritage.estate.size() <= kLongestEstate) continue;
        }
        const bool later = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (!later || !awaitReady(link.get(), POLLIN, until)) {
            spdlog::warn("a node runs here that hands nothing over");
            return std::nullopt;
        }
    }
    heritage.link_ = link.give();
    return heritage;
}

namespace {

std::string hex(std::string_view bytes) {
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string result;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        result.push_back(kDigits[byte >> 4U]);
        result.push_back(kDigits[byte & 0xfU]);
    }
    return result;
}

std::string bytes(std::string_view digits) {
    std::string result;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        result.push_back(static_cast<char>(wholeNumber<unsigned char>(digits.substr(i, 2), 16).value_or(0)));
    }
    return result;
}

std::string written(const StandingConnection& c) {
    Json said{{"connection", hex(c.opening)},
              {"host", static_cast<std::uint64_t>(c.host)},
              {"from_client", hex(c.relay.fromClient)},
              {"from_host", hex(c.relay.fromHost)},
              {"to_host", c.relay.toHost},
              {"to_client", c.relay.toClient},
              {"unanswered", c.relay.unanswered.count()}};
    if (c.load) said["load"] = *c.load;
    return said.dump() + "\n";
}

StandingConnection readStanding(const Json& said) {
    StandingConnection c;
    c.opening = bytes(said.at("connection").get<std::string>());
    c.host = HostId{said.at("host").get<std::uint64_t>()};
    c.relay.fromClient = bytes(said.at("from_client").get<std::string>());
    c.relay.fromHost = bytes(said.at("from_host").get<std::string>());
    c.relay.toHost = said.at("to_host").get<std::size_t>();
    c.relay.toClient = said.at("to_client").get<std::size_t>();
    c.relay.unanswered = Time{said.at("unanswered").get<Time::rep>()};
    if (said.contains("load")) c.load = said.at("load").get<double>();
    const auto line = firstLine(c.opening);
    if (!line || !Opening::parse(line->text) || c.relay.toHost > c.relay.fromClient.size() ||
        c.relay.toClient > c.relay.fromHost.size())
        throw std::runtime_error("a connection that cannot be gone on with");
    return c;
}

}  // namespace

// One end of the connection between two processes. It owns the descriptors that wait in it.
struct Handover::Link {
    Link(Handover& handover, int descriptor, bool older)
        : links(handover.links_),
          signal(handover.scheduler_),
          connection(Socket{signal, descriptor}),
          toOlder(older) {
        at = links.insert(links.end(), this);
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    ~Link() {
        links.erase(at);
        for (const Packet& packet : out) {
            closeAll(packet.descriptors);
        }
        closeAll(came);
    }

    // A message with the descriptors that go with its first byte.
    struct Packet {
        std::string text;
        std::vector<int> descriptors = {};
    };

    static void closeAll(const std::vector<int>& descriptors) {
        for (const int descriptor : descriptors) {
            ::close(descriptor);
        }
    }

    // Reads what has come, as far as there is room.
    void fill() {
        while (!connection.over() && in.size() < kLongestMessage) {
            std::array<char, 16384> chunk;
            const ssize_t count = receive(connection.socket.descriptor(), chunk, came);
            if (count > 0) {
                in.append(chunk.data(), static_cast<std::size_t>(count));
            } else if (count == 0) {
                connection.ended = true;
            } else if (errno == EAGAIN) {
                return;
            } else if (errno != EINTR) {
                connection.broken = true;
            }
        }
    }

    // Writes what can be written.
    void flush() {
        while (!out.empty() && !connection.broken) {
            Packet& packet = out.front();
            std::size_t sent = 0;
            if (packet.descriptors.empty()) {
                connection.send(packet.text, sent);
            } else {
                const ssize_t count =
                    sendWith(connection.socket.descriptor(), packet.text, packet.descriptors);
                if (count < 0 && errno != EAGAIN && errno != EINTR) connection.broken = true;
                if (count <= 0) return;
                sent = static_cast<std::size_t>(count);
                closeAll(std::exchange(packet.descriptors, {}));
            }
            packet.text.erase(0, sent);
            if (!packet.text.empty()) return;
            out.pop_front();
        }
    }

    // The next descriptor that has come.
    int take() {
        if (came.empty()) throw std::runtime_error("a connection without its descriptors");
        const int descriptor = came.front();
        came.erase(came.begin());
        return descriptor;
    }

    // The next whole message; none if there is none.
    std::optional<std::string> message() {
        const std::size_t end = in.find('\n');
        if (end == std::string::npos) return std::nullopt;
        std::string result = in.substr(0, end);
        in.erase(0, end + 1);
        return result;
    }

    std::list<Link*>& links;
    std::list<Link*>::iterator at;
    Signal signal;
    Connection connection;
    std::deque<Packet> out;
    std::string in;
    std::vector<int> came;  // descriptors, in the order of the messages that they belong to
    std::string console;    // of the successor
    bool toOlder;           // the other one was there before
    bool serves = false;    // the successor does
    std::size_t held = 0;   // descriptors, as told last
};

bool Handover::open() {
    const UnixAddress address{at_.directory, at_.file()};
    const UnixAddress fresh{at_.directory, at_.file() + ".new"};
    if (!address.fits || !fresh.fits) return false;
    ::unlink(fresh.raw.sun_path);
    const int descriptor = newUnixSocket();
    if (descriptor < 0) return false;
    listener_ = Socket{signal_, descriptor};
    // In place in one step, over what another process has left there.
    if (::bind(descriptor, fresh.address(), sizeof fresh.raw) == 0 &&
        ::chmod(fresh.raw.sun_path, S_IRUSR | S_IWUSR) == 0 && ::listen(descriptor, 4) == 0 &&
        ::rename(fresh.raw.sun_path, address.raw.sun_path) == 0)
        return true;
    spdlog::info("no hand-over: {} in {}", std::strerror(errno), at_.directory);
    listener_.close();
    return false;
}

// Its file stays where a successor has put its own in the place.
void Handover::stopListening() {
    if (!listener_) return;
    listener_.close();
    if (given_) return;
    const UnixAddress address{at_.directory, at_.file()};
    ::unlink(address.raw.sun_path);
}

Task<void> Handover::listen() {
    if (at_.directory.empty()) co_return;
    for (;;) {
        if (!given_ && !listener_ && !open()) co_return;
        while (listener_) {
            int descriptor = -1;
            if (listener_.accept(descriptor) != Socket::Accepting::Taken) break;
            if (given_ || !sameUser(descriptor)) {
                ::close(descriptor);
                continue;
            }
            try {
                scheduler_.spawn(succeed(descriptor));
            } catch (const std::exception& error) {
                spdlog::warn("no hand-over: {}", error.what());
            }
        }
        co_await signal_.wait();
    }
}

// A process that may go on in this one's place: its question, the estate, then the link until it ends.
Task<void> Handover::succeed(int descriptor) {
    Link link{*this, descriptor, false};
    const Time until = scheduler_.now() + kGiveWithin;
    std::optional<std::string> question;
    for (;;) {
        link.fill();
        question = link.message();
        if (question || link.connection.over() || scheduler_.now() >= until) break;
        co_await link.signal.wait(until);
    }
    if (!question) co_return;
    if (given_ || !mayHave(*question)) {
        spdlog::warn("a process asked for this node's place that cannot have it");
        co_return;
    }
    given_ = true;
    link.console = Json::parse(*question).value("console", std::string());
    Link::Packet packet{party_.estate() + "\n"};
    for (const int listener : party_.listeners()) {
        packet.descriptors.push_back(::fcntl(listener, F_DUPFD_CLOEXEC, 0));
    }
    link.out.push_back(std::move(packet));
    spdlog::info("handed over to a process that is about to serve");
    co_await converse(link);
    given_ = false;
    if (link.serves) {
        spdlog::warn("the process that this node was handed over to has ended: this one serves again");
        party_.successorServes(false, link.console);
    }
    signal_.raise();
}

bool Handover::mayHave(const std::string& question) const {
    const Json asked = Json::parse(question, nullptr, false);
    return asked.is_object() && asked.value("successor", Json{}) == Json(kVersion) &&
           asked.value("listen", Json{}) == Json(at_.listen);
}

Task<void> Handover::follow(int descriptor) {
    Link link{*this, descriptor, true};
    if (serving_) link.out.push_back({kServes});  // it has come to that before this had its turn
    co_await converse(link);
    spdlog::info("the node before this one has ended");
    party_.predecessorHolds(0);
}

// Says and hears what there is, until the other side ends.
Task<void> Handover::converse(Link& link) {
    for (;;) {
        link.fill();
        while (const auto message = link.message()) {
            hear(link, *message);
        }
        if (!link.toOlder && party_.descriptorsHeld() != link.held) {
            link.held = party_.descriptorsHeld();
            link.out.push_back({Json{{"holds", link.held}}.dump() + "\n"});
        }
        link.flush();
        if (link.connection.over() || link.in.size() >= kLongestMessage) co_return;
        const Time again = link.toOlder ? kNever : scheduler_.now() + kTellEvery;
        co_await link.signal.wait(again);
    }
}

void Handover::hear(Link& link, const std::string& message) {
    try {
        const Json said = Json::parse(message);
        if (said.contains("serves") && !link.toOlder) {
            link.serves = true;
            if (listener_) stopListening();  // the successor has put its own in the place
            party_.successorServes(true, link.console);
        } else if (said.contains("holds") && link.toOlder) {
            party_.predecessorHolds(said.at("holds").get<std::size_t>());
        } else if (said.contains("ban")) {
            party_.toldBan(HostId{said.at("ban").get<std::uint64_t>()}, said.at("on").get<bool>());
            tell(message + "\n", &link);
        } else if (said.contains("connection") && link.toOlder) {
            // Its descriptors go with it whatever it says: left there, they would pass for the next one's.
            Owned client{link.take()};
            Owned host{link.take()};
            StandingConnection connection = readStanding(said);
            connection.clientSocket = client.give();
            connection.hostSocket = host.give();
            party_.adopt(connection);
        } else if (said.contains("reload")) {
            party_.toldReload();
            tell(message + "\n", &link);
        }
    } catch (const std::exception& error) {
        spdlog::warn("passed over, of the hand-over: {}", error.what());
    }
}

bool Handover::serves() const {
    return std::any_of(links_.begin(), links_.end(), [](const Link* link) { return link->serves; });
}

void Handover::give(const StandingConnection& connection) {
    const auto at = std::find_if(links_.begin(), links_.end(), [](const Link* link) { return link->serves; });
    if (at == links_.end()) return Link::closeAll({connection.clientSocket, connection.hostSocket});
    (*at)->out.push_back({written(connection), {connection.clientSocket, connection.hostSocket}});
    (*at)->signal.raise();
}

void Handover::tell(const std::string& message, const Link* except) {
    for (Link* link : links_) {
        if (link == except) continue;
        link->out.push_back({message});
        link->signal.raise();
    }
}

void Handover::serve() {
    serving_ = true;
    tell(kServes);
}

void Handover::tellBan(HostId host, bool banned) {
    tell(Json{{"ban", static_cast<std::uint64_t>(host)}, {"on", banned}}.dump() + "\n");
}

void Handover::tellReload() {
    tell(Json{{"reload", true}}.dump() + "\n");
}

}  // namespace ivyreel::net
