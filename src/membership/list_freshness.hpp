// Whether a node's endpoint list is up to date.
#pragma once

#include "decision/decision_engine.hpp"

namespace ivyreel {

struct ListFreshness {
    enum class State {
        Live,        // a watch is open and delivers each change
        CatchingUp,  // no watch is open, no call has failed since the last watch ended or the start
        Stale,       // no watch is open, and a call has failed since then
    };
    State state = State::CatchingUp;
    Time since{0};  // live: when the watch opened; else when the last watch ended or the process started

    // For logs.
    static constexpr const char* name(State state) {
        return state == State::Live ? "live" : state == State::CatchingUp ? "catching_up" : "stale";
    }
    bool live() const { return state == State::Live; }
};

}  // namespace ivyreel
