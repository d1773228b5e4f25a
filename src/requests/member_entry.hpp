// An entry of discovery's endpoint list, with names in place of the decision engine's ids and indices.
#pragma once

#include <cstdint>
#include <string>

#include "decision/types.hpp"

namespace ivyreel {

struct MemberEntry {
    std::string name;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    double weight = 1.0;
    Availability availability = Availability::Ready;
    Time startedAt{0};  // when the endpoint started; 0: unknown, counts as long ago
};

}  // namespace ivyreel
