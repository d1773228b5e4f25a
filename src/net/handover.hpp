// The hand-over of a running node to a process that goes on in its place, over a Unix socket.
//
// The successor asks, the old node answers with its estate and its listening sockets, and both keep the
// connection as a link: lines of JSON that tell the other of bans, of SIGHUP, of descriptors in use, and that
// the successor serves. docs/daily-service.md has the order of things.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/standing.hpp"
#include "rules.hpp"

namespace ivyreel::net {

// What a node gives away, and does, at a hand-over.
class Party {
  public:
    Party() = default;
    Party(const Party&) = delete;
    Party& operator=(const Party&) = delete;
    Party(Party&&) = delete;
    Party& operator=(Party&&) = delete;
    virtual ~Party() = default;
    virtual std::string estate() const = 0;          // one line
    virtual std::vector<int> listeners() const = 0;  // at most kMostListeners
    virtual std::size_t descriptorsHeld() const = 0;
    virtual void successorServes(bool serves,
                                 const std::string& console) = 0;  // false: it has ended, this node goes on
    virtual void predecessorHolds(std::size_t descriptors) = 0;    // 0: it has ended
    virtual void toldBan(HostId host, bool banned) = 0;
    virtual void toldReload() = 0;
    virtual void adopt(const StandingConnection& connection) = 0;
};

constexpr std::size_t kMostListeners = 2;

// Where a node with this name listens for its successor.
struct Rendezvous {
    std::string directory;  // empty: nowhere
    std::string name;
    std::string listen;   // where it serves clients: the successor must want the same
    std::string console;  // where operators call; empty: nowhere

    std::string file() const;
};

// What a successor was given: the link, the listening sockets and the estate as it came.
class Heritage {
  public:
    Heritage() = default;
    Heritage(Heritage&& other) noexcept;
    Heritage& operator=(Heritage&&) = delete;
    Heritage(const Heritage&) = delete;
    Heritage& operator=(const Heritage&) = delete;
    ~Heritage();

    // Asks a node that runs there, for a second at most; none if there is none or it gives nothing.
    static std::optional<Heritage> ask(const Rendezvous& at);

    // Gives a descriptor away; -1 if there is none.
    int takeLink();
    int takeListener(std::size_t index);

    std::string estate;

  private:
    int link_ = -1;
    std::vector<int> listeners_;
};

class Handover final : public Successor {
  public:
    Handover(Scheduler& scheduler, Party& party, Rendezvous at)
        : scheduler_(scheduler), party_(party), at_(std::move(at)), signal_(scheduler) {}
    Handover(const Handover&) = delete;
    Handover& operator=(const Handover&) = delete;
    Handover(Handover&&) = delete;
    Handover& operator=(Handover&&) = delete;
    ~Handover() override { stopListening(); }

    // Waits for successors, as long as the node runs.
    Task<void> listen();
    // The link to the node before this one.
    Task<void> follow(int link);
    // From now on this node serves: the one before it is told.
    void serve();
    void tellBan(HostId host, bool banned);
    void tellReload();

    bool serves() const override;
    void give(const StandingConnection& connection) override;

  private:
    struct Link;

    Task<void> succeed(int descriptor);
    Task<void> converse(Link& link);
    bool mayHave(const std::string& question) const;
    void hear(Link& link, const std::string& message);
    void tell(const std::string& message, const Link* except = nullptr);
    bool open();
    void stopListening();

    Scheduler& scheduler_;
    Party& party_;
    Rendezvous at_;
    Signal signal_;
    Socket listener_;
    bool given_ = false;    // a successor has the estate
    bool serving_ = false;  // this node does
    std::list<Link*> links_;
};

}  // namespace ivyreel::net
