// A discovery of limited capacity on loopback sockets: one worker, a bounded queue, rejections that cost
// work, and fault injection.
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
    double callsPerSecond = 0.0;    // served by the worker
    double rejectionCost = 0.0;     // of a rejection, relative to a served call
    std::size_t queueCapacity = 0;  // queued calls
    Micros maxQueueTime{0};         // a call that is queued longer is answered with 503
};

struct DiscoveryFaults {
    Micros responseDelay{0};          // of every response
    std::size_t unansweredEvery = 0;  // one in this many served calls gets no response; 0: none
    bool heartbeatsStopped = false;   // watches stay open, but neither changes nor heartbeats are sent
};

// A complete failure. Watches are disconnected when an outage begins.
enum class Outage { None, Refused, Unavailable, Reset };

struct DiscoveryCounts {
    std::size_t received = 0;       // requests read
    std::size_t rejected = 0;       // with 503, without being queued
    std::size_t expired = 0;        // with 503, after the waiting limit
    std::size_t answered = 0;       // with the list
    std::size_t respondedLate = 0;  // after the client had closed the call
    std::size_t unanswered = 0;     // served, but without a response
    std::size_t abandoned = 0;      // closed by the client while queued
    std::vector<Time> receivedAt;   // of each call
    std::vector<Time> answeredAt;   // of each call that got the list
};

class OverloadedDiscovery {
  public:
    OverloadedDiscovery(Scheduler& scheduler, const DiscoveryLimits& limits);

    Address address() const { return port_.address(); }
    const DiscoveryCounts& counts() const { return counts_; }
    void resetCounts() { counts_ = {}; }
    std::size_t watches() const;

    // Spawns the tasks; they end with the scheduler's tasks.
    void start();
    void setLimits(const DiscoveryLimits& limits) { limits_ = limits; }
    void setFaults(const DiscoveryFaults& faults) { faults_ = faults; }
    // The next served call gets these bytes in place of the list, and nothing else.
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
    std::deque<CallPointer> queue_;        // including those that the client has closed
    double unchargedRejectionCost_ = 0.0;  // whose cost the worker has not paid yet
    std::size_t served_ = 0;
    std::uint64_t version_ = 0;
    std::map<std::string, Entry> entries_;
};

}  // namespace ivyreel
