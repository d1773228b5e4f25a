// An endpoint that a request may be sent to, with the values that the selection compares.
#pragma once

#include <vector>

#include "decision/endpoint.hpp"

namespace ivyreel {

struct Candidate {
    const Endpoint* endpoint = nullptr;
    int groupConnections = 0;  // this node's connections of the request's group at the endpoint; 0 if ignored
    double exponentialSample = 0.0;  // -log of a random number: a hash of endpoint and request or group
    double locality = 0.0;           // factor of the weight; 1 in this node's zone
    double weight = 0.0;
    double utilisation = 0.0;  // per cent
    bool canBePolled = false;  // its load is not known well, but a health check can report it
};

struct CandidateSet {
    std::vector<Candidate> candidates;
    // Sum over all eligible endpoints, including those removed from `candidates` afterwards. Endpoints that
    // can be polled count by their estimated utilisation.
    double totalWeight = 0.0;
};

}  // namespace ivyreel
