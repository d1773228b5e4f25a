// The record codes and sizes of the simulator's protocol. The enumerators have the protocol's names; the
// comment beside each names the corresponding event or action. No source outside of
// src/simulator uses them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ivyreel::simulator {

// Codes of records from the simulator.
enum class EventCode : std::uint8_t {
    PowerOn = 1,            // starts a node with these settings: Started
    RosterChange = 2,       // EndpointListChanged
    Query = 3,              // RequestArrived
    AckFirst = 4,           // ConnectionEstablished
    Answer = 5,             // AttemptEnded
    CancelledByClient = 6,  // ClientDisconnected
    Reminder = 7,           // TimerExpired
    PingResult = 8,         // HealthCheckCompleted
    FromPeer = 9,           // a message from another node; ignored
    Stop = 10,              // stops a node
    Census = 11,            // stores a numbered endpoint list
    Resumed = 12,           // ConnectionResumed
    Progress = 13,          // ConnectionLoadMeasured or MessageDelayMeasured
    Context = 14,           // selects the node to which the following records belong
};

// Codes of records to the simulator.
enum class ActionCode : std::uint8_t {
    NoteDown = 65,     // Log
    Withdraw = 66,     // CancelAttempt
    Observe = 67,      // WatchEndpoints
    For = 68,          // selects the node to which the following records belong
    Error = 69,        // FailRequest
    Transmit = 70,     // StartAttempt
    GoAway = 72,       // MigrateConnection
    Timer = 73,        // SetTimer
    TurnAway = 74,     // RejectRequest
    HealthCheck = 76,  // StartHealthCheck
    Die = 77,          // the node has failed
};

constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kFrameHeaderBytes = 16;  // length, record count, clock
constexpr std::size_t kReplyHeaderBytes = 8;   // length, record count
constexpr std::size_t kEndpointBytes = 6;      // of an endpoint id: IPv4 address and port
constexpr std::size_t kEndpointEntryBytes = 25;
constexpr std::uint16_t kMaxEndpointLists = 16;

}  // namespace ivyreel::simulator
