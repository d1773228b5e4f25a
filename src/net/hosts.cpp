#include "net/hosts.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <system_error>
#include <utility>

#include "number.hpp"

namespace ivyreel::net {

namespace {

using namespace std::chrono_literals;

constexpr Micros kSilence = 4s;    // clients send every 2 s: with the wait for the next line under 7 s in all
constexpr Micros kLinger = 800ms;  // for the end of a connection: the other side has a second
constexpr std::size_t kMostDiscarded = 256UL * 1024;  // of what still comes after the last line
constexpr int kRoundsPerTurn = 8;                     // of one relay, before the others have their turn
constexpr std::string_view kMove = "MOVE\r\n";

}  // namespace

std::optional<Address> Hosts::addressOf(HostId host) const {
    const auto at = addresses_.find(host);
    return at == addresses_.end() ? std::nullopt : std::optional(at->second);
}

Task<AttemptResult> Hosts::attempt(Exchange& exchange, const Ticket& ticket, const Opening& opening,
                                   Target target) {
    const Scheduler& scheduler = exchange.signal.scheduler();
    const Time start = scheduler.now();
    const Time until = start + target.timeout;
    const Time connectUntil = std::min(until, start + facade_.connectTimeout());
    Connection& host = exchange.host;
    const auto ended = [&](Outcome outcome, std::optional<LoadReport> load = std::nullopt) {
        host = Connection{};
        return AttemptResult{AttemptResult::Kind::Ended, outcome, scheduler.now() - start, load};
    };
    const std::optional<Address> address = addressOf(target.host);
    if (!address) co_return ended(Outcome::ConnectFailed);
    try {
        host = Connection{Socket::connectTo(exchange.signal, *address)};
    } catch (const std::system_error& error) {
        spdlog::warn("no connection to {}: {}", address->text(), error.what());
        co_return ended(Outcome::ConnectFailed);
    }
    std::string text;
    std::size_t sent = 0;
    bool connected = false;
    for (;;) {
        const Time now = scheduler.now();
        if (ticket.decided() || (target.standing && exchange.leave)) {
            host = Connection{};
            co_return AttemptResult{AttemptResult::Kind::CalledOff, {}, {}, {}};
        }
        exchange.client.fill();
        if (exchange.forsaken()) {
            host = Connection{};
            co_return AttemptResult{AttemptResult::Kind::Forsaken, {}, {}, {}};
        }
        if (!connected) {
            const Socket::Connecting state = host.socket.connecting();
            if (state == Socket::Connecting::Failed) co_return ended(Outcome::ConnectFailed);
            connected = state == Socket::Connecting::Done;
            if (connected) {
                host.fill();
                if (host.over()) co_return ended(Outcome::ConnectFailed);  // it never has the line
                // It took its time to come up: what it was decided by may have changed.
                const bool holds = target.standing || facade_.holds(ticket, target.host);
                if (!holds || addressOf(target.host) != address) {
                    ++counters_.notSent;
                    co_return ended(Outcome::Moot);
                }
                text = opening.withTime(until - now);
                ++counters_.attempts;
            }
        }
        if (connected) {
            const bool whole = sent == text.size();
            host.send(text, sent);
            if (!whole && sent == text.size()) {
                ++target.counts.sends;
                spdlog::debug("sent {:016x} c={} to {:016x}, attempt {}{}", opening.id(), opening.value("c"),
                              static_cast<std::uint64_t>(target.host), ticket.attempts(),
                              target.standing ? ", stood before" : "");
            }
            host.fill();
            if (const auto line = firstLine(host.in.view())) {
                const auto [word, rest] = firstWord(line->text);
                if (word == "UP" && sent == text.size())
                    co_return AttemptResult{AttemptResult::Kind::Up, Outcome::Ok, now - start, {}};
                const auto load = Facade::readLoad(rest);
                if (word == "BUSY") co_return ended(Outcome::Full, load);
                co_return ended(Outcome::Error, load);
            }
            if (overlong(host.in.view())) co_return ended(Outcome::Error);
            if (host.over()) co_return ended(sent < text.size() ? Outcome::ConnectFailed : Outcome::Reset);
        }
        const Time limit = connected ? until : connectUntil;
        if (now >= limit)
            co_return ended(sent > 0 && sent == text.size() ? Outcome::Timeout : Outcome::ConnectFailed);
        co_await exchange.signal.wait(limit);
    }
}

// The relay of one connection: what has come from each side and goes to the other.
class Hosts::Relay {
  public:
    Relay(Exchange& exchange, Ticket& ticket, Facade& facade, Counters& counters, RelayState& state)
        : x_(exchange), ticket_(ticket), facade_(facade), counters_(counters), state_(state) {}

    Task<bool> run();

  private:
    enum class Last { None, Bye, Move };

    bool step();
    bool handOver();
    void readClient();
    void readHost();
    void hostLine(std::string_view line);
    Task<void> hostOver();
    Task<void> clientOver();
    Task<void> move();
    Time now() const { return x_.signal.scheduler().now(); }

    Exchange& x_;
    Ticket& ticket_;
    Facade& facade_;
    Counters& counters_;
    RelayState& state_;
    Last last_ = Last::None;  // how the host took its leave
    bool bad_ = false;
    std::optional<LoadReport> load_;
};

Task<bool> Hosts::relay(Exchange& exchange, Ticket& ticket, RelayState& state) {
    Relay relay{exchange, ticket, facade_, counters_, state};
    const bool handedOver = co_await relay.run();
    co_return handedOver;
}

// Between two steps, while both sides are sound: what it holds goes along.
bool Hosts::Relay::handOver() {
    if (x_.successor == nullptr || !x_.successor->serves() || last_ != Last::None) return false;
    state_.fromClient = x_.client.in.view();
    state_.fromHost = x_.host.in.view();
    return true;
}

Task<bool> Hosts::Relay::run() {
    x_.client.in.append(std::exchange(state_.fromClient, {}));
    x_.host.in.append(std::exchange(state_.fromHost, {}));
    for (;;) {
        int rounds = 0;
        while (rounds < kRoundsPerTurn && step()) {
            ++rounds;
        }
        const bool more = rounds == kRoundsPerTurn;
        if (more) x_.signal.raise();
        if (bad_) {
            ++counters_.badInput;
            ++counters_.badLength;
            facade_.connectionEnded(ticket_, Outcome::Cancelled, std::nullopt);
            co_await move();
            co_return false;
        }
        if (x_.client.broken || (x_.client.ended && !more)) {
            co_await clientOver();
            co_return false;
        }
        if (x_.host.over() && !more) {
            co_await hostOver();
            co_return false;
        }
        if (ticket_.toBeMoved() || x_.leave) {
            ++counters_.moved;
            co_await move();
            co_return false;
        }
        if (!x_.client.over() && !x_.host.over() && handOver()) co_return true;
        const Time silentAt = state_.unanswered == kNever ? kNever : state_.unanswered + kSilence;
        if (now() >= silentAt) {
            ++counters_.silent;
            ++counters_.moved;
            facade_.connectionEnded(ticket_, Outcome::Reset, std::nullopt);
            co_await move();
            co_return false;
        }
        co_await x_.signal.wait(silentAt);
    }
}

// Reads and writes what goes without waiting; false when nothing more does.
bool Hosts::Relay::step() {
    bool progress = x_.client.fill();
    progress = x_.host.fill() || progress;
    readClient();
    readHost();
    progress = x_.host.pass(x_.client.in, state_.toHost) || progress;
    progress = x_.client.pass(x_.host.in, state_.toClient) || progress;
    return progress && !bad_;
}

void Hosts::Relay::readClient() {
    while (const auto line = firstLine(x_.client.in.view().substr(state_.toHost))) {
        state_.toHost += line->bytes;
        ++counters_.linesToHosts;
        if (state_.unanswered == kNever) state_.unanswered = now();
    }
    if (overlong(x_.client.in.view().substr(state_.toHost))) bad_ = true;
}

void Hosts::Relay::readHost() {
    while (const auto line = firstLine(x_.host.in.view().substr(state_.toClient))) {
        state_.toClient += line->bytes;
        ++counters_.linesToClients;
        hostLine(line->text);
    }
    if (overlong(x_.host.in.view().substr(state_.toClient))) bad_ = true;
}

void Hosts::Relay::hostLine(std::string_view line) {
    const auto [word, rest] = firstWord(line);
    if (word == "LOAD") {
        if (const auto figure = finiteNumber(rest)) facade_.hostTells(ticket_, *figure);
        return;
    }
    if (word == "UP") return;
    if (word == "BYE") {
        last_ = Last::Bye;
        load_ = Facade::readLoad(rest);
    } else if (word == "MOVE") {
        if (last_ != Last::Move) facade_.hostMoved(ticket_.host());
        last_ = Last::Move;
    }
    if (state_.unanswered == kNever) return;
    facade_.messageTook(ticket_, now() - state_.unanswered);
    state_.unanswered = kNever;
}

// The host has ended its side: what came is passed on, and the client's side ended in the same way.
Task<void> Hosts::Relay::hostOver() {
    const bool reset = x_.host.broken;
    switch (last_) {
        case Last::Bye:
            ++counters_.servedToEnd;
            facade_.connectionEnded(ticket_, Outcome::Ok, load_);
            break;
        case Last::Move:
            ++counters_.hostMoved;
            facade_.connectionEnded(ticket_, Outcome::Cancelled, std::nullopt);
            break;
        case Last::None:
            ++counters_.hostReset;
            facade_.connectionEnded(ticket_, Outcome::Reset, std::nullopt);
            break;
    }
    x_.host.socket.close();
    const std::string rest(x_.host.in.view());
    x_.host.in.drop(rest.size());
    if (reset && last_ == Last::None) {
        std::size_t sent = 0;
        x_.client.send(rest, sent);
        x_.client.socket.reset();
        co_return;
    }
    co_await sayGoodbye(x_, rest);
}

// The client has ended its side; what it still sent goes on, and the host's side is ended in the same way.
Task<void> Hosts::Relay::clientOver() {
    ++counters_.clientEnded;
    if (x_.client.broken) {
        facade_.connectionEnded(ticket_, Outcome::Cancelled, std::nullopt);
        x_.host.socket.reset();
        co_return;
    }
    const Time until = now() + kLinger;
    bool finished = false;
    while (!x_.host.over() && !x_.client.broken && now() < until) {
        if (x_.client.in.empty() || finished) {
            if (!std::exchange(finished, true)) x_.host.socket.finishSending();
        } else {
            std::size_t all = x_.client.in.size();
            x_.host.pass(x_.client.in, all);
        }
        x_.host.fill();
        readHost();
        x_.client.pass(x_.host.in, state_.toClient);
        if (!x_.host.over() && !(x_.client.in.empty() && !finished)) co_await x_.signal.wait(until);
    }
    facade_.connectionEnded(ticket_, last_ == Last::Bye ? Outcome::Ok : Outcome::Cancelled, load_);
}

// Between two lines: what is whole goes out, then the word, then both sides are closed.
Task<void> Hosts::Relay::move() {
    x_.host.socket.close();
    x_.host.in.keep(state_.toClient);
    x_.host.in.append(kMove);
    const std::string rest(x_.host.in.view());
    x_.host.in.drop(rest.size());
    co_await sayGoodbye(x_, rest);
}

Task<void> sayGoodbye(Exchange& exchange, std::string line) {
    const Scheduler& scheduler = exchange.signal.scheduler();
    const Time until = scheduler.now() + kLinger;
    Connection& client = exchange.client;
    std::size_t sent = 0;
    bool finished = false;
    std::size_t discarded = 0;
    while (!client.broken && scheduler.now() < until) {
        client.send(line, sent);
        if (sent == line.size() && !std::exchange(finished, true)) client.socket.finishSending();
        discarded += client.in.size();
        client.in.drop(client.in.size());
        // There may be more; the others have their turn first.
        if (discarded < kMostDiscarded && client.fill()) exchange.signal.raise();
        if (exchange.yielded || (finished && client.over())) break;
        co_await exchange.signal.wait(until);
    }
    client.socket.close();
}

}  // namespace ivyreel::net
