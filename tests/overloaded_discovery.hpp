// A discovery with limited capacity on loopback sockets: one worker, a bounded queue, rejections that take
// worker time, and fault injection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "io/task.hpp"
#include "port_reservation.hpp"

namespace ivyreel {

struct DiscoveryLimits {
    double callsPerSecond = 0.0;    // calls that the worker serves per second
    double rejectionCost = 0.0;     // worker time of a rejection, relative to a served call
    std::size_t queueCapacity = 0;  // the maximum number of queued calls
    Micros maxQueueTime{0};         // a call that is queued for longer is rejected with 503
};

struct DiscoveryFaults {
    Micros responseDelay{0};          // delay of every response
    std::size_t unansweredEvery = 0;  // one in this many served calls gets no response; 0: all get one
    bool heartbeatsStopped = false;   // watches stay open, but neither changes nor heartbeats are sent
};

// A complete outage of discovery. Watches are disconnected when an outage starts.
enum class Outage { None, Refused, Unavailable, Reset };

struct DiscoveryCounts {
    std::size_t received = 0;       // requests that were read
    std::size_t rejected = 0;       // rejected with 503 on arrival
    std::size_t expired = 0;        // rejected with 503 after the maximum queue time
    std::size_t answered = 0;       // the list was sent
    std::size_t respondedLate = 0;  // the list was sent after the client had closed the call
    std::size_t unanswered = 0;     // served, but without a response
    std::size_t abandoned = 0;      // closed by the client while queued
    std::vector<Time> receivedAt;   // the time of each call
    std::vector<Time> answeredAt;   // the time of each response with the list
};

class OverloadedDiscovery {
  public:
    OverloadedDiscovery(Scheduler& scheduler, const DiscoveryLimits& limits);

    Address address() const { return port_.address(); }
    const DiscoveryCounts& counts() const { return counts_; }
    void resetCounts() { counts_ = {}; }
    std::size_t watches() const;

    // Spawns the tasks. They run until the scheduler drops them.
    void start();
    void setLimits(const DiscoveryLimits& limits) { limits_ = limits; }
    void setFaults(const DiscoveryFaults& faults) { faults_ = faults; }
    // The next served call gets only these bytes instead of the list.
    void setNextResponse(std::string bytes) { nextResponse_ = std::move(bytes); }
    void setOutage(Outage outage);
    void disconnectWatches();

    // Changes an entry of the list and sends the new version to the watches.
    std::uint64_t writeEntry(const std::string& server, std::string_view state);
    std::uint64_t version() const { return version_; }

  private:
    enum class CallState { Reading, Queued, InService, Served, Watching, Ended };
    struct Call {
        Call(Scheduler& scheduler, int descriptor);
        Signal signal;
        Connection connection;
        CallState state = CallState::Reading;
        std::uint64_t since = 0;
    };
    struct Entry {
        std::uint64_t version = 0;
        std::string state;
    };
    using CallPointer = std::shared_ptr<Call>;

    Task<void> acceptCalls();
    Task<void> serveQueue();
    Task<void> sendHeartbeats();
    Task<void> serve(CallPointer call);
    Task<void> readRequest(Call& call);
    Task<void> waitUntilServed(CallPointer call);
    Task<void> respond(Call& call);
    Task<void> waitForDisconnect(Call& call);

    void admitOrReject(const CallPointer& call);
    void expire(const CallPointer& call);
    void sendList(Call& call);
    void addRejectionCost();
    void resetAllCalls();
    std::string changesSince(std::uint64_t since) const;
    Micros serviceTime(double calls) const;

    Scheduler& scheduler_;
    DiscoveryLimits limits_;
    DiscoveryFaults faults_;
    std::optional<std::string> nextResponse_;
    DiscoveryCounts counts_;
    Outage outage_ = Outage::None;
    Signal listening_;
    Signal queueChanged_;
    PortReservation port_;
    Socket listener_;
    std::list<CallPointer> calls_;
    std::deque<CallPointer> queue_;        // includes calls that the client has closed
    double unchargedRejectionCost_ = 0.0;  // in served calls, not yet spent by the worker
    std::size_t served_ = 0;
    std::uint64_t version_ = 0;
    std::map<std::string, Entry> entries_;
};

}  // namespace ivyreel
