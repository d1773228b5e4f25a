#include "net/membership_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <exception>
#include <stdexcept>
#include <utility>

#include "net/http.hpp"

namespace ivyreel::net {

namespace {

using namespace std::chrono_literals;

// What discovery has counts as told 6 s after it could be reached, whatever failed: a pause, a call that is
// never answered, another pause and the next call fit into that.
constexpr Micros kAnswerWithin = 2600ms;
constexpr Micros kMostBackoff = 300ms;
static_assert(2 * (kMostBackoff + kAnswerWithin) < 6s);
constexpr Micros kSilence =
    2300ms;                    // a line comes every 2 s; the new call has the rest of the 6 s for its turn
constexpr Micros kLived = 1s;  // a watch that ended sooner is none to be begun anew at once
constexpr Micros kLeastRetry = 10ms;
constexpr std::size_t kLongestBody = 16UL * 1024 * 1024;

}  // namespace

MembershipWatcher::MembershipWatcher(Scheduler& scheduler, Facade& facade, Hosts& hosts, Counters& counters,
                                     const Address& discovery, std::uint64_t seed)
    : scheduler_(scheduler),
      facade_(facade),
      hosts_(hosts),
      counters_(counters),
      discovery_(discovery),
      signal_(scheduler),
      random_(seed) {}

void MembershipWatcher::restore(const MembershipUpdate& known) {
    version_ = known.version;
    if (known.full) {
        hosts_.forgetAddresses();
        entries_.clear();
    }
    for (std::size_t i = 0; i < known.hosts.size(); ++i) {
        const HostId host = hostIdOf(known.hosts[i].name);
        spdlog::debug("listed {} as {:016x} at {}: {}, kind {}, cell {}, started {}", known.hosts[i].name,
                      static_cast<std::uint64_t>(host), known.addresses[i].text(),
                      stateName(known.hosts[i].availability), known.hosts[i].kind, known.hosts[i].cell,
                      std::chrono::duration_cast<std::chrono::milliseconds>(known.hosts[i].started).count());
        if (known.hosts[i].availability == Availability::Gone) {
            hosts_.forgetAddress(host);
            entries_.erase(known.hosts[i].name);
        } else {
            hosts_.setAddress(host, known.addresses[i]);
            entries_[known.hosts[i].name] = {known.hosts[i], known.addresses[i]};
        }
    }
}

MembershipUpdate MembershipWatcher::snapshot() const {
    MembershipUpdate whole;
    whole.version = version_;
    whole.full = true;
    for (const auto& [name, entry] : entries_) {
        whole.hosts.push_back(entry.first);
        whole.addresses.push_back(entry.second);
    }
    return whole;
}

void MembershipWatcher::start() {
    wanted_ = true;
    signal_.raise();
}

void MembershipWatcher::moveTo(const Address& discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    moved_ = true;
    signal_.raise();
}

Task<void> MembershipWatcher::run() {
    Time again = kNever;
    for (;;) {
        while (!wanted_ && !moved_ && scheduler_.now() < again) {
            co_await signal_.wait(again);
        }
        wanted_ = moved_ = false;
        const End end = co_await callOnce();
        again = againAfter(end);
        live_ = false;
        if (moved_) continue;  // no failure: the new address is asked at once
        failed_ = true;
        ++counters_.listFailures;
        spdlog::warn("the list: {}", end.why);
        if (again != kNever) continue;
        facade_.listFailed();
        again = scheduler_.now() + backoff();
    }
}

// Back-off is short and jittered: all nodes call again when discovery is back, and it takes them in turn.
Micros MembershipWatcher::backoff() {
    const Micros most = grace_ ? std::clamp(*grace_ / 2, kLeastRetry, kMostBackoff) : kMostBackoff;
    return most / 2 +
           Micros{static_cast<Micros::rep>(static_cast<double>(most.count()) / 2 * random_.next())};
}

// What a silent watch misses counts as told a while later, and at once where the list is pushed: such a one
// is begun anew without back-off. Of a pushed list that nobody sends now the beginning must not be missed.
// kNever: a call has failed, and the next one backs off.
Time MembershipWatcher::againAfter(const End& end) const {
    const Time now = scheduler_.now();
    const bool lived = live_ && now - liveSince_ >= kLived;
    if (lived && (end.kind == End::Kind::Silent || (grace_ && end.kind == End::Kind::Broken))) return now;
    if (grace_ && end.kind == End::Kind::Unreachable) return now + std::max(*grace_ / 2, kLeastRetry);
    return kNever;
}

Task<MembershipWatcher::End> MembershipWatcher::callOnce() {
    live_ = false;
    object_ = {};
    Connection connection;
    try {
        connection = Connection{Socket::connectTo(signal_, discovery_)};
    } catch (const std::exception& error) {
        co_return End{error.what(), End::Kind::Unreachable};
    }
    const std::string question = "GET /catalog/members?follow=1&since=" + std::to_string(version_) +
                                 " HTTP/1.1\r\nHost: " + discovery_.text() + "\r\n\r\n";
    std::size_t sent = 0;
    HttpAnswer answer;
    std::string body;
    Time deadAt = scheduler_.now() + kAnswerWithin;
    for (;;) {
        const Socket::Connecting state = connection.socket.connecting();
        if (state == Socket::Connecting::Failed && sent == 0)
            co_return End{"discovery cannot be reached", End::Kind::Unreachable};
        if (state == Socket::Connecting::Done || sent > 0) {
            connection.send(question, sent);
            bool came = connection.fill();
            try {
                answer.take(connection.in, body);
                if (answer.started() && answer.status() != 200)
                    co_return End{"discovery answers " + std::to_string(answer.status())};
                if (take(body)) deadAt = scheduler_.now() + kSilence;
            } catch (const std::exception& error) {
                co_return End{error.what()};
            }
            if (body.size() > kLongestBody) co_return End{"discovery sends a line without end"};
            if (answer.complete()) co_return End{"discovery ended the watch", End::Kind::Broken};
            if (connection.over() && !came) co_return End{"the watch broke", End::Kind::Broken};
            if (came) {
                signal_.raise();
            }
        }
        if (scheduler_.now() >= deadAt) {
            if (!live_) co_return End{"discovery does not answer"};
            co_return End{"the watch fell silent", End::Kind::Silent};
        }
        co_await signal_.wait(deadAt);
        if (moved_) co_return End{"discovery is elsewhere"};
        // It is followed already, or asked for: a call that waits its turn would wait anew if it were made
        // again.
        wanted_ = false;
    }
}

// Takes the whole objects of the body, and the empty lines between them; true if there were any.
bool MembershipWatcher::take(std::string& body) {
    std::size_t begin = 0;
    bool any = false;
    for (;;) {
        for (; begin < body.size() && std::isspace(static_cast<unsigned char>(body[begin])) != 0; ++begin) {
            if (body[begin] != '\n') continue;
            any = true;
            if (!live_) facade_.listed(false, {});
            markLive();
        }
        const std::string_view rest = std::string_view(body).substr(begin);
        if (rest.empty()) break;
        if (rest.front() != '{') throw std::runtime_error("what discovery sends is no list");
        const auto end = object_.end(rest);
        if (!end) break;
        MembershipUpdate update = MembershipUpdate::parse(rest.substr(0, *end));
        begin += *end;
        any = true;
        markLive();
        ++counters_.listChanges;
        restore(update);
        facade_.listed(update.full, update.hosts);
    }
    body.erase(0, begin);
    return any;
}

void MembershipWatcher::markLive() {
    if (!std::exchange(live_, true)) liveSince_ = scheduler_.now();
}

}  // namespace ivyreel::net
