// A message of discovery: the complete endpoint list, or its changed entries.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "io/socket.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Discovery's name of the availability: "active", "leaving" or "left".
const char* discoveryStateName(Availability availability);

// An entry of the endpoint list with the address of the endpoint.
struct Member {
    MemberEntry entry;
    Address address;
};

// A message of discovery that is invalid.
class MembershipUpdateError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct MembershipUpdate {
    std::uint64_t version = 0;
    bool full = false;  // whether `members` is the complete list
    std::vector<Member> members;

    // Parses a message in discovery's format. Throws MembershipUpdateError for an unknown state or an invalid
    // address, and nlohmann::json::exception for any other error.
    static MembershipUpdate parse(std::string_view json);
    // Formats the message in discovery's format.
    std::string text() const;
    // The members without their addresses.
    std::vector<MemberEntry> entries() const;
};

}  // namespace ivyreel
