// One message of discovery: the whole list of servers, or the entries that changed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "facade/facade.hpp"
#include "net/socket.hpp"

namespace ivyreel::net {

// The name that discovery has for it: "active", "leaving" or "left".
const char* stateName(Availability availability);

struct MembershipUpdate {
    std::uint64_t version = 0;
    bool full = false;
    std::vector<MemberEntry> hosts;
    std::vector<Address> addresses;  // of the hosts, in the same order

    static MembershipUpdate parse(std::string_view json);  // throws std::runtime_error
    std::string text() const;                              // in the same form
};

}  // namespace ivyreel::net
