// An endpoint that a request may be sent to, with the values that the selection compares.
#pragma once

#include <vector>

#include "decision/endpoint.hpp"

namespace ivyreel {

struct Candidate {
    const Endpoint* endpoint = nullptr;
    // This node's connections of the request's affinity group at the endpoint; 0 unless the fleet is busy.
    int groupConnections = 0;
    double exponentialSample = 0.0;  // -log of a random number: a hash of endpoint and selection key
    double locality = 0.0;           // factor of the weight; 1 in this node's zone
    double weight = 0.0;             // not positive if the endpoint has no capacity for the connection
    double utilisation = 0.0;        // per cent
    bool canBePolled = false;        // its load is not known well, but a health check can report it
};

struct CandidateSet {
    std::vector<Candidate> candidates;
    // Sum over all eligible endpoints, including those removed from `candidates` afterwards. An endpoint that
    // can be polled and is not warming up counts with its estimated utilisation, without the load of this
    // connection. All others count with their weight, or 0 if it is negative.
    double totalWeight = 0.0;
};

}  // namespace ivyreel
