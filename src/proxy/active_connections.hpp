// Registries of the requests and connections in progress, so that a shutdown can end all of them.
#pragma once

#include <set>

#include "proxy/connection_pair.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Registers an object in a set, and removes it from the set in the destructor.
template <class T>
class ScopedRegistration {
  public:
    ScopedRegistration(std::set<T*>& registry, T& object) : registry_(registry), object_(object) {
        registry_.insert(&object_);
    }
    ScopedRegistration(const ScopedRegistration&) = delete;
    ScopedRegistration& operator=(const ScopedRegistration&) = delete;
    ScopedRegistration(ScopedRegistration&&) = delete;
    ScopedRegistration& operator=(ScopedRegistration&&) = delete;
    ~ScopedRegistration() { registry_.erase(&object_); }

  private:
    std::set<T*>& registry_;
    T& object_;
};

// What a graceful shutdown has to migrate, hand over or fail.
struct ActiveConnections {
    std::set<TrackedRequest*> pending;            // new requests that have no final answer yet
    std::set<ConnectionPair*> relayedOrResuming;  // connections that are being relayed or resumed
};

}  // namespace ivyreel
