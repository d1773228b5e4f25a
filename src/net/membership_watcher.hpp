// Discovery: the list of hosts and the watch on its changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "facade/facade.hpp"
#include "net/counters.hpp"
#include "net/hosts.hpp"
#include "net/json_object_scanner.hpp"
#include "net/membership_update.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "random.hpp"

namespace ivyreel::net {

class MembershipWatcher {
  public:
    MembershipWatcher(Scheduler& scheduler, Facade& facade, Hosts& hosts, Counters& counters,
                      const Address& discovery,
                      std::uint64_t seed);  // of its own for each process: they must not call in step

    // What was known before the start.
    void restore(const MembershipUpdate& known);
    // The whole list as it is known now.
    MembershipUpdate snapshot() const;
    // Whether the watch has brought something since it began.
    bool live() const { return live_; }
    // Whether nothing more need be waited for: it is live, or the first call has failed.
    bool firstCallEnded() const { return live_ || failed_; }
    // Where the list is pushed, what the sender has counts as told whether it is watched or not: then it is
    // watched again within this time. None: it is asked for.
    void setPushGrace(std::optional<Micros> grace) { grace_ = grace; }
    // Follows the changes from now on; asked again, begins anew unless the watch is sound.
    void start();
    // Follows the changes at this address from now on, at once and from the last version.
    void moveTo(const Address& discovery);
    // Runs as long as the node.
    Task<void> run();

  private:
    // Why a watch ended, and how much that tells of the next call.
    struct End {
        enum class Kind { Failed, Unreachable, Broken, Silent };
        std::string why;
        Kind kind = Kind::Failed;
    };
    Task<End> callOnce();
    Time againAfter(const End& end) const;
    Micros backoff();
    bool take(std::string& body);
    void markLive();

    Scheduler& scheduler_;
    Facade& facade_;
    Hosts& hosts_;
    Counters& counters_;
    Address discovery_;
    Signal signal_;
    SplitMix64 random_;
    bool wanted_ = false;
    bool moved_ = false;   // the address is another one since the last call
    bool live_ = false;    // lines come
    bool failed_ = false;  // a call has
    Time liveSince_{0};
    JsonObjectScanner object_;  // the one that is on its way
    std::optional<Micros> grace_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::pair<MemberEntry, Address>> entries_;  // by name
};

}  // namespace ivyreel::net
