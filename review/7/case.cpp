// Some hundreds of bad clients send a line of 4 KiB with many names, and the same again as soon as it is turned away.
#include "../lib-2/lab.hpp"

using namespace lab;

namespace {

constexpr int kHosts = 8;
constexpr int kTimeoutMs = 600;     // of the usual clients
constexpr int kLateMs = 500;        // after its time an answer earns nothing; later the request is lost
constexpr int kSoundClients = 100;  // eight a second

// An opening line of at most 4 KiB with as many different names as fit.
std::string lineWithManyNames() {
    std::string text = "OPEN 1 2 c=none,d=1000";
    for (char first = 'A'; first <= 'Z'; ++first) {
        for (char second = '!'; second <= '~'; ++second) {
            if (second == ',' || second == '=') continue;
            if (text.size() + 6 > 4096) break;
            text.append(",").append(1, first).append(1, second).append("=");
        }
    }
    return text + "\r\n";
}

class BadClients {
  public:
    BadClients(Loop& loop, std::string node, int count, std::string text)
        : loop_(loop), node_(std::move(node)), text_(std::move(text)) {
        conns_.resize(static_cast<std::size_t>(count));
        for (std::size_t i = 0; i < conns_.size(); ++i) connect(i);
    }
    long turnedAway = 0;

  private:
    void connect(std::size_t i) {
        conns_[i] = Conn::connectTo(loop_, node_);
        conns_[i]->onLine = [](const std::string&) {};
        conns_[i]->onEnd = [this, i](bool) {
            ++turnedAway;
            loop_.after(0, [this, i] { connect(i); });
        };
        conns_[i]->send(text_);
    }
    Loop& loop_;
    std::string node_;
    std::string text_;
    std::vector<ConnPtr> conns_;
};

bool body(const Frame& frame, Loop& loop) {
    const char* wanted = std::getenv("BAD_CLIENTS");
    const int badCount = wanted != nullptr ? std::atoi(wanted) : 800;
    Discovery discovery(loop);
    std::vector<HostPtr> hosts;
    for (int i = 0; i < kHosts; ++i) {
        hosts.push_back(std::make_unique<Host>(loop, "s-" + std::to_string(5000 + i)));
        discovery.hosts.push_back(hosts.back().get());
    }
    Settings settings;
    settings.classes = R"({"name":"chat","aim":300000,"giveUp":600000,"repeat":"free","group":"all","dedupWindow":5000000,"worth":1.0})";
    const std::string config = frame.directory + "/config.json";
    writeFile(config, settings.config(discovery.address(), discovery.fullList()));
    NodeOptions options{"n0", freeAddress(), freeAddress(), config, ""};
    Node node(loop, frame.root, frame.run, options, frame.directory + "/node.log");
    node.awaitReady();
    loop.run(1500);
    std::unique_ptr<BadClients> bad;
    if (frame.trouble) {
        // For comparison: BAD_LINE=short sends a short line of an unknown class instead.
        const char* kind = std::getenv("BAD_LINE");
        const bool isShort = kind != nullptr && std::string(kind) == "short";
        bad = std::make_unique<BadClients>(loop, options.listen, badCount, isShort ? "OPEN 1 2 c=none,d=1000\r\n" : lineWithManyNames());
        record("%d bad clients, %s line: %.80s...", badCount, isShort ? "a short" : "a long",
               isShort ? "OPEN 1 2 c=none,d=1000" : lineWithManyNames().c_str());
    }
    loop.run(2000);
    std::vector<ClientPtr> clients;
    for (int i = 0; i < kSoundClients; ++i) {
        clients.push_back(std::make_unique<Client>(loop, options.listen, requestId(0x1000 + static_cast<unsigned>(i)), "chat", kTimeoutMs));
        loop.run(125);
        if (i >= 40) clients[static_cast<std::size_t>(i) - 40]->leave();
    }
    loop.run(kTimeoutMs + kLateMs + 1500);
    int lost = 0;
    std::int64_t slowest = 0;
    for (const ClientPtr& client : clients) {
        const bool answered = !client->answer.empty();
        if (answered) slowest = std::max(slowest, client->answeredAt - client->sentAt);
        if (answered && client->answeredAt <= client->sentAt + kTimeoutMs + kLateMs) continue;
        ++lost;
        record("client %s: lost, %s", client->id.c_str(), answered ? "answered too late" : "no answer");
    }
    record("usual clients: %d, lost: %d; slowest answer %lld ms; bad clients turned away: %ld", kSoundClients, lost,
           static_cast<long long>(slowest), bad ? bad->turnedAway : 0L);
    return lost == 0;
}

}  // namespace

int main(int argc, char** argv) {
    return runCase(argc, argv, body);
}
