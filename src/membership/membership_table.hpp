// The node's copy of the endpoint list: its version, its members and their addresses.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "membership/membership_update.hpp"
#include "proxy/endpoint_connector.hpp"

namespace ivyreel {

class MembershipTable {
  public:
    // The table passes each change of a member's address to `connector`.
    explicit MembershipTable(EndpointConnector& connector) : connector_(connector) {}

    // Replaces the list by a complete one, or applies the changed entries.
    void apply(const MembershipUpdate& update);
    // The complete list.
    MembershipUpdate snapshot() const;
    // The version of the last update; 0 before the first update.
    std::uint64_t version() const { return version_; }

  private:
    void apply(const Member& member);

    EndpointConnector& connector_;
    std::uint64_t version_ = 0;
    std::map<std::string, Member> members_;  // by name
};

}  // namespace ivyreel
