// The state of requests and endpoints that a node hands over to its successor at a hot restart.
#pragma once

#include <string>
#include <vector>

#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

struct ExportedState {
    LearnedState learnedState;
    std::vector<std::string> classNames;  // the order of the per-class values in learnedState
    std::vector<EndpointId> listed;       // endpoints that have been listed at any time
    std::vector<EndpointId> banned;       // banned by operators; withholding is not handed over
};

}  // namespace ivyreel
