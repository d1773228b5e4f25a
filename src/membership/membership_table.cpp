#include "membership/membership_table.hpp"

#include <spdlog/spdlog.h>

#include <chrono>

namespace ivyreel {

namespace {

void logMember(EndpointId endpoint, const Member& member) {
    const MemberEntry& entry = member.entry;
    spdlog::debug(
        "endpoint list: {} has id {:016x}, address {}, state {}, kind {}, cell {}, start time {} ms",
        entry.name, static_cast<std::uint64_t>(endpoint), member.address.text(),
        discoveryStateName(entry.availability), entry.kind, entry.cell,
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.startedAt).count());
}

}  // namespace

void MembershipTable::apply(const MembershipUpdate& update) {
    version_ = update.version;
    if (update.full) {
        connector_.removeAllAddresses();
        members_.clear();
    }
    for (const Member& member : update.members) {
        apply(member);
    }
}

void MembershipTable::apply(const Member& member) {
    const EndpointId endpoint = endpointIdOf(member.entry.name);
    logMember(endpoint, member);
    if (member.entry.availability == Availability::Gone) {
        connector_.removeAddress(endpoint);
        members_.erase(member.entry.name);
    } else {
        connector_.setAddress(endpoint, member.address);
        members_[member.entry.name] = member;
    }
}

MembershipUpdate MembershipTable::snapshot() const {
    MembershipUpdate complete;
    complete.version = version_;
    complete.full = true;
    for (const auto& [name, member] : members_) {
        complete.members.push_back(member);
    }
    return complete;
}

}  // namespace ivyreel
