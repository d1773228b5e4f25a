#include "node/node.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <utility>

#include "node/config_reload.hpp"
#include "util/random.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// After this time without a response from discovery, a successor serves with the list that it inherited.
constexpr Micros kTakeoverListTimeout = 1500ms;
// How long a node in push mode delays its start for the first list, which usually arrives immediately. Until
// then the connections of clients wait in the listen queue.
constexpr Micros kPushedListTimeout = 500ms;
constexpr Micros kListCheckInterval = 10ms;

// The positions of the listening sockets in a handover.
constexpr std::size_t kProxyListener = 0;
constexpr std::size_t kAdminListener = 1;

// Descriptors that the scheduler does not watch, such as those of the log and of epoll.
constexpr std::size_t kUnwatchedDescriptors = 8;

std::int64_t inMillis(Micros span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// A seed that differs between processes that start at the same time.
std::uint64_t processSeed(Time now) {
    return hash64(static_cast<std::uint64_t>(::getpid())) ^ static_cast<std::uint64_t>(now.count());
}

}  // namespace

Node::Node(Config config, const HandoverAddress& handoverAddress, std::optional<PredecessorState> predecessor)
    : config_(std::move(config)),
      inheritedState_(parseState(predecessor)),
      tracker_(config_.settings, *this),
      connector_(tracker_, metrics_),
      healthChecker_(scheduler_, tracker_, connector_, metrics_),
      watcher_(scheduler_, tracker_, connector_, metrics_, config_.discovery, processSeed(scheduler_.now())),
      proxyServer_(scheduler_, tracker_, connector_, healthChecker_, metrics_, config_.listen,
                   predecessor ? predecessor->takeListener(kProxyListener) : -1, clientDescriptorLimit()),
      handover_(scheduler_, *this, handoverAddress),
      signals_(scheduler_) {
    proxyServer_.setRequestObserver(
        [this](std::uint64_t id, bool open) { handover_.notifyRequest(id, open); });
    applyDescriptorLimits();
    restoreState();
    proxyServer_.setAccepting(false);
    scheduler_.spawn(watcher_.run());
    scheduler_.spawn(proxyServer_.accept());
    scheduler_.spawn(processSignals());
    if (config_.adminAddress) startAdminServer(predecessor);
    if (predecessor) {
        spdlog::info("hot restart: taking over from the predecessor");
        scheduler_.spawn(takeOver(predecessor->takeLink(), predecessor->takeReader()));
    } else if (config_.pushModeConfigured) {
        scheduler_.spawn(serveAfterPushedList());
    } else {
        startServing();
    }
}

void Node::run() {
    scheduler_.run([this] { return tracker_.runDueTimers(); });
}

// ---- startup ----

std::optional<HandoverState> Node::parseState(const std::optional<PredecessorState>& predecessor) {
    if (!predecessor) return std::nullopt;
    try {
        ParsedHandoverState parsed = HandoverState::parse(predecessor->handoverState());
        for (const InvalidStateSection& section : parsed.invalidSections) {
            spdlog::error("hot restart: ignoring the section \"{}\" of the predecessor's state: {}",
                          section.key, section.reason);
        }
        return std::move(parsed.state);
    } catch (const std::exception& error) {
        spdlog::error("hot restart: ignoring the state of the predecessor, which is invalid: {}",
                      error.what());
        return std::nullopt;
    }
}

// Restores the state of the predecessor, if there is one; otherwise the endpoint list of the configuration.
void Node::restoreState() {
    const bool inheritsList = inheritedState_ && inheritedState_->list;
    const MembershipUpdate& known = inheritsList ? *inheritedState_->list : config_.knownEndpoints;
    watcher_.restore(known);
    applyDiscoverySettings();
    tracker_.start(known.entries());
    if (inheritedState_) {
        tracker_.importState(inheritedState_->learned);
        for (const std::uint64_t id : inheritedState_->requestIds) {
            proxyServer_.peerRequestIds(HandoverPeer::Predecessor).add(id);
        }
    }
}

// If the predecessor's admin server listens at the same address, its listener is inherited together with the
// connections in the listen queue, and accepts only when this node serves.
void Node::startAdminServer(std::optional<PredecessorState>& predecessor) {
    const bool shared = inheritedState_ && inheritedState_->adminAddress == config_.adminAddress->text();
    const int listener = shared ? predecessor->takeListener(kAdminListener) : -1;
    adminServer_.emplace(scheduler_, *this, *config_.adminAddress, listener);
    adminServer_->setAccepting(!shared);
    scheduler_.spawn(adminServer_->accept());
    spdlog::info("operators call at {}", adminServer_->address().text());
}

void Node::startServing() {
    ready_ = true;
    inheritedState_.reset();
    proxyServer_.setAccepting(true);
    proxyServer_.startAnsweringHealthChecks();
    if (adminServer_) adminServer_->setAccepting(true);
    // This precedes the log line because an operator who waits for that line may start a successor
    // immediately.
    handover_.open();
    scheduler_.spawn(handover_.listen());
    spdlog::info("{} serves at {}", config_.name, proxyServer_.address().text());
}

// Waits until the first call to discovery has succeeded or failed, or until the timeout: the restored list
// may be outdated.
Task<void> Node::awaitFirstListCall(Micros timeout) {
    Signal pause{scheduler_};
    const Time deadline = scheduler_.now() + timeout;
    while (!watcher_.hasFirstCallEnded() && scheduler_.now() < deadline) {
        co_await pause.wait(scheduler_.now() + kListCheckInterval);
    }
}

// In push mode, a node is expected to know every change of the endpoint list from its start. It therefore
// delays its start until the first call to discovery has succeeded or failed, at most by kPushedListTimeout,
// and then serves with the list that it has.
Task<void> Node::serveAfterPushedList() {
    co_await awaitFirstListCall(kPushedListTimeout);
    startServing();
}

Task<void> Node::takeOver(int link, HandoverMessageReader reader) {
    scheduler_.spawn(handover_.exchangeWithPredecessor(link, std::move(reader)));
    co_await awaitFirstListCall(kTakeoverListTimeout);
    startServing();
    handover_.notifyServing();
}

// ---- configuration ----

// The descriptors that remain after those of the admin server and of the predecessor.
std::size_t Node::clientDescriptorLimit() const {
    const std::size_t adminDescriptors = config_.adminAddress ? AdminServer::kMaxDescriptors : 0;
    const std::size_t reserved = adminDescriptors + predecessorDescriptors_;
    return config_.descriptorLimit - std::min(config_.descriptorLimit, reserved);
}

void Node::applyDescriptorLimits() {
    proxyServer_.setDescriptorLimit(clientDescriptorLimit());
    healthChecker_.setDescriptorLimit(clientDescriptorLimit());
}

void Node::applyDiscoverySettings() {
    const Settings& settings = config_.settings.settings;
    const Micros drainGracePeriod = settings.operatingLimits.drainGracePeriod;
    watcher_.setNodeCount(settings.nodes);
    watcher_.setPushDeadline(config_.pushModeConfigured ? std::optional(drainGracePeriod) : std::nullopt);
}

// Applies the whole configuration file; if the file is invalid, the current configuration stays in effect.
void Node::reload() {
    try {
        ReloadedConfig reloaded = reloadConfig(config_);
        if (reloaded.restartNeeded)
            spdlog::warn("a changed value of name, listen or console takes effect at the next start");
        apply(std::move(reloaded.config));
        ++metrics_.confLoaded;
        spdlog::info("configuration reloaded: discovery at {}, limit of {} descriptors",
                     config_.discovery.text(), config_.descriptorLimit);
    } catch (const std::exception& error) {
        ++metrics_.confInvalid;
        spdlog::error("configuration reload rejected: {}", error.what());
    }
}

void Node::apply(Config config) {
    config_ = std::move(config);
    tracker_.applySettings(config_.settings);
    applyDiscoverySettings();
    watcher_.setDiscoveryAddress(config_.discovery);
    applyDescriptorLimits();
}

// ---- endpoints and operators ----

void Node::onWithholdingChanged(EndpointId endpoint, bool withheld) {
    const auto id = static_cast<std::uint64_t>(endpoint);
    if (withheld) {
        ++metrics_.withheld;
        spdlog::info(
            "endpoint {:016x} is withheld from new connections: its responses indicate that it is draining",
            id);
    } else {
        ++metrics_.withheldCleared;
        spdlog::info("endpoint {:016x} is no longer withheld from new connections", id);
    }
}

std::string Node::metricsText() const {
    const ListStatus list = watcher_.status();
    return metrics_.exposition({proxyServer_.openRequestCount(), tracker_.listedEndpointCount(),
                                tracker_.excludedEndpointCount(), inMillis(list.age),
                                inMillis(list.timeWithoutWatch)});
}

bool Node::setEndpointDisabled(std::string_view endpoint, bool disabled) {
    const EndpointId id = endpointIdOf(endpoint);
    if (!tracker_.setEndpointDisabled(id, disabled)) return false;
    handover_.notifyBan(id, disabled);
    spdlog::info("endpoint {} {} by an operator", endpoint, disabled ? "disabled" : "enabled");
    return true;
}

// ---- hot restart ----

std::string Node::handoverState() const {
    HandoverState state;
    if (adminServer_) state.adminAddress = adminServer_->address().text();
    state.list = watcher_.snapshot();
    state.learned = tracker_.exportState();
    state.requestIds = proxyServer_.requestIds();
    return state.text();
}

std::vector<int> Node::listeners() const {
    std::vector<int> result{proxyServer_.listener()};
    if (adminServer_) result.push_back(adminServer_->listener());
    return result;
}

std::size_t Node::openDescriptorCount() const {
    return scheduler_.watchedDescriptorCount() + kUnwatchedDescriptors;
}

// If the successor has another admin address, the admin server of this node goes on accepting.
void Node::onSuccessorServing(bool serves, const std::string& adminAddress) {
    spdlog::info(serves ? "hot restart: the successor serves and accepts all new connections"
                        : "hot restart: the successor has ended, accepting connections again");
    proxyServer_.setAccepting(!serves);
    if (adminServer_ && adminAddress == adminServer_->address().text()) adminServer_->setAccepting(!serves);
}

void Node::onPredecessorDescriptorCount(std::size_t descriptors) {
    predecessorDescriptors_ = descriptors;
    applyDescriptorLimits();
}

void Node::onLinkClosed(HandoverPeer peer) {
    proxyServer_.peerRequestIds(peer).clear();
    if (peer == HandoverPeer::Predecessor) onPredecessorDescriptorCount(0);
}

void Node::onBanChanged(EndpointId endpoint, bool banned) {
    tracker_.applyOperatorBan(endpoint, banned);
}

void Node::onPeerRequest(HandoverPeer peer, const RequestNotice& notice) {
    PeerRequestIds& ids = proxyServer_.peerRequestIds(peer);
    if (notice.open)
        ids.add(notice.id);
    else
        ids.remove(notice.id);
}

// A file that readConfig() rejects is ignored here: the process that received the signal logs the error. A
// file that lacks a key of the current configuration is rejected and reported by reload() in both processes.
void Node::onReload() {
    if (configFileChanged(config_)) reload();
}

// ---- signals and shutdown ----

Task<void> Node::processSignals() {
    for (;;) {
        while (const auto number = signals_.take()) {
            handleSignal(*number);
        }
        co_await signals_.wait();
    }
}

void Node::handleSignal(int number) {
    spdlog::info("counters: {}", countersText());
    if (number == SIGHUP) {
        reload();
        handover_.notifyReload();
    }
    if (number == SIGTERM || number == SIGINT) requestShutdown(number == SIGINT);
}

std::string Node::countersText() const {
    const ListStatus list = watcher_.status();
    return metrics_.logText() + " list_state=" + ListFreshness::name(list.state) +
           " list_age_ms=" + std::to_string(inMillis(list.age)) +
           " list_stale_ms=" + std::to_string(inMillis(list.timeWithoutWatch));
}

// A SIGINT during a shutdown stops the node immediately, whichever signal started the shutdown.
void Node::requestShutdown(bool interrupted) {
    if (std::exchange(shuttingDown_, true)) {
        if (interrupted) scheduler_.stop();
        return;
    }
    spdlog::info("stopping: draining connections");
    scheduler_.spawn(shutDown(interrupted));
}

// After SIGTERM, a drained node goes on running until it is killed; after SIGINT, it exits.
Task<void> Node::shutDown(bool exitWhenDrained) {
    co_await proxyServer_.drain(handover_, [this, exitWhenDrained] {
        spdlog::info("drained; counters: {}", countersText());
        if (exitWhenDrained) scheduler_.stop();
    });
}

}  // namespace ivyreel
