// Upgrade of a node under load; 11 s later a bad client sends the opening line of another client's open
// request. No host may get that request a second time.
#include "platform.hpp"

using namespace review;

namespace {

constexpr int kHosts = 12;
constexpr int kSavers = 4;             // clients of the unsafe class that stay
constexpr double kKillAfter = 3.0 + 0.7;  // SIGKILL after SIGTERM
const std::string kGrades =
    R"([{"aim":800000,"dedupWindow":5000000,"giveUp":3200000,"group":"all","lateWorth":0.0,)"
    R"("name":"board-sync","repeat":"free","streamed":true,"worth":1.0},)"
    R"({"aim":500000,"dedupWindow":5000000,"giveUp":3000000,"group":"all","lateWorth":0.0,)"
    R"("name":"progress-save","repeat":"single_shot","streamed":true,"worth":5.0}])";
const std::string kSave = "c=progress-save,d=3000,g=5c0f6e1a2b3d4c59";
const std::string kSync = "c=board-sync,d=3200,g=5c0f6e1a2b3d4c60";

std::uint64_t nextId = 0x9b1f03aa5c7e2d41;
std::string newId() { return hexId(nextId += 0x9e3779b97f4a7c15); }

}  // namespace

int main(int count, char** values) {
    const Arguments arguments(count, values);
    World world(arguments.folder);
    for (int i = 0; i < kHosts; ++i) world.addHost("s-" + hexId(0x5be2a07c + i * 7919).substr(8)).cell = i / 3;
    world.startDiscovery();
    Node node(world, arguments.command, arguments.temporary, 3, kGrades);
    const int oldConsole = freePort();
    const pid_t oldProcess = node.start(oldConsole, "old.log", 30);
    if (oldProcess == 0) return 2;

    std::vector<std::shared_ptr<Client>> others, savers;
    const auto traffic = [&](double time) {  // some other clients, seven a second
        for (const double end = seconds() + time; seconds() < end;) {
            others.push_back(openClient(world, node.port, newId(), kSync));
            world.loop.pause(1.0 / 7);
        }
    };
    for (int i = 0; i < kSavers; ++i) savers.push_back(openClient(world, node.port, newId(), kSave));
    traffic(1.5);
    for (const auto& saver : savers)
        if (!saver->up) return 2;

    const double changedAt = seconds();
    if (arguments.trouble) {
        world.record.line("upgrade: the new process is started");
        if (node.start(freePort(), "new.log", 6) == 0) return 2;
        world.record.line("upgrade: SIGTERM to the old process");
        ::kill(oldProcess, SIGTERM);
        traffic(kKillAfter);
        world.record.line("upgrade: SIGKILL to the old process");
        node.processes.kill(oldProcess);
    }
    traffic(11 - (seconds() - changedAt));

    int copied = 0;
    std::vector<std::shared_ptr<Client>> bad;
    for (const auto& saver : savers) {
        if (saver->ended || saver->moved) continue;
        ++copied;
        world.record.line("bad client: the id of the open request %s", saver->id.c_str());
        bad.push_back(openClient(world, node.port, saver->id, kSave));
    }
    traffic(3);

    int repeated = 0;
    for (const auto& saver : savers) {
        int runs = 0;
        for (const Run& run : world.runs) runs += run.id == saver->id ? 1 : 0;
        const bool open = !saver->ended && !saver->moved;
        world.record.line("request %s: run %d times, its client's connection is %s", saver->id.c_str(), runs,
                          open ? "open" : "ended");
        repeated += runs > 1 ? 1 : 0;
    }
    if (copied == 0) return 2;
    world.record.line("%d of %d copied requests ran a second time", repeated, copied);
    printf("%d of %d copied requests ran a second time\n", repeated, copied);
    return repeated > 0 ? 1 : 0;
}
