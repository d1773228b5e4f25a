// One bad client states a huge load. Later an operator takes a host out, the node is upgraded, the host is restarted.
#include "../lib-2/lab.hpp"

using namespace lab;

namespace {

constexpr int kHosts = 12;
// Of a planned restart: the longest deadline (3 s) and 0.7 s from SIGTERM to SIGKILL.
constexpr int kTermToKillMs = 3700;
constexpr int kDrainGraceMs = 250;  // as in the settings; each time limit is 50 ms longer on sockets

bool body(const Frame& frame, Loop& loop) {
    Discovery discovery(loop);
    std::vector<HostPtr> hosts;
    for (int i = 0; i < kHosts; ++i) {
        hosts.push_back(std::make_unique<Host>(loop, "s-" + std::to_string(5000 + i)));
        hosts.back()->idleLoad = 0.3;
        discovery.hosts.push_back(hosts.back().get());
    }
    Settings settings;
    settings.drainGraceMs = kDrainGraceMs;
    const std::string config = frame.directory + "/config.json";
    writeFile(config, settings.config(discovery.address(), discovery.fullList()));
    NodeOptions options{"n0", freeAddress(), freeAddress(), config, frame.directory};
    Node old(loop, frame.root, frame.run, options, frame.directory + "/old.log");
    old.awaitReady();
    loop.run(1500);

    std::vector<ClientPtr> clients;
    unsigned next = 0x1000;
    const auto traffic = [&](int count, int gapMs) {
        for (int i = 0; i < count; ++i) {
            clients.push_back(std::make_unique<Client>(loop, options.listen, requestId(++next), "chat", 3000, ",h=30000"));
            loop.run(gapMs);
        }
    };
    traffic(20, 25);
    if (frame.trouble) {
        record("a bad client states the load 1e308");
        Client bad(loop, options.listen, requestId(0xbad), "chat", 3000, ",h=1e308");
        loop.run(2500);
        bad.leave();
    } else {
        loop.run(2500);
    }
    loop.run(1000);

    Host& banned = *hosts[0];
    if (old.call("POST", "/-/hosts/" + banned.id + "/disable") != 200) throw CannotRun{"the ban was not answered with yes"};
    record("operator: %s is disabled", banned.id.c_str());
    const std::int64_t bannedAt = steadyMs();
    loop.run(1000);
    options.console = freeAddress();
    Node fresh(loop, frame.root, frame.run, options, frame.directory + "/new.log");
    fresh.awaitReady(6000);
    loop.run(100);
    old.signal(SIGTERM);
    traffic(90, 25);
    loop.run(kTermToKillMs - 90 * 25);
    old.signal(SIGKILL);
    loop.run(500);
    record("operator: %s is restarted", banned.id.c_str());
    banned.die();
    loop.run(1000);

    int late = 0;
    int lost = 0;
    for (const auto& attempt : banned.attempts) {
        if (attempt->at <= bannedAt + kDrainGraceMs + 50) continue;
        ++late;
        for (const ClientPtr& client : clients) lost += client->id == attempt->id && client->endedAt >= 0 && !client->moved ? 1 : 0;
    }
    record("attempts at %s after the grace: %d; connections of these that its restart cut off: %d", banned.id.c_str(), late, lost);
    return late == 0;
}

}  // namespace

int main(int argc, char** argv) {
    return runCase(argc, argv, body);
}
