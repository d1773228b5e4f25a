// An endpoint that a request may be sent to, with what the selection compares.
#pragma once

#include <vector>

#include "decision/endpoint.hpp"

namespace ivyreel {

struct Candidate {
    const Endpoint* endpoint = nullptr;
    int groupMembers = 0;  // this node's connections of the request's group there, as far as they count now
    double exponentialSample =
        0.0;                // -log of a random number from request and endpoint, or group and endpoint
    double locality = 0.0;  // factor of the weight: 1 in this node's zone
    double weight = 0.0;
    double utilisation = 0.0;  // per cent
    bool canBePolled = false;  // its load is not known well, but a health check may tell it
};

struct CandidateSet {
    std::vector<Candidate> candidates;
    // Of all, weighted as far as known; also of those that were dropped from the set afterwards.
    double totalWeight = 0.0;
};

}  // namespace ivyreel
