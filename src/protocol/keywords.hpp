// The keywords of the line protocol, named by the terms that the code uses.
#pragma once

#include <string_view>

namespace ivyreel {

// The first word of a line.
namespace keyword {

inline constexpr std::string_view kOpen = "OPEN";  // the first word of an opening line
inline constexpr std::string_view kUp = "UP";      // the endpoint has accepted the connection
inline constexpr std::string_view kBusy = "BUSY";  // the request is rejected, with an optional retry delay
inline constexpr std::string_view kMove = "MOVE";  // the client is to reconnect
inline constexpr std::string_view kBye = "BYE";    // the connection has completed
inline constexpr std::string_view kLoad = "LOAD";  // the load of one connection, or a message delay
inline constexpr std::string_view kPing = "PING";  // a health check
inline constexpr std::string_view kPong = "PONG";  // the answer to a health check

}  // namespace keyword

// Complete lines that the node sends unchanged.
namespace fixed_line {

inline constexpr std::string_view kError = "ERR\r\n";        // the request has failed
inline constexpr std::string_view kMove = "MOVE\r\n";        // the client is to reconnect
inline constexpr std::string_view kPing = "PING\r\n";        // a health check
inline constexpr std::string_view kLoadQuery = "STATS\r\n";  // a health check that requests a load report
inline constexpr std::string_view kPong = "PONG\r\n";        // the answer to a health check

}  // namespace fixed_line

inline constexpr std::string_view kLineEnd = "\r\n";

// The names of an opening line's attributes.
namespace opening_attribute {

inline constexpr std::string_view kRequestClass = "c";
inline constexpr std::string_view kTenant = "t";
inline constexpr std::string_view kGroup = "g";     // affinity group
inline constexpr std::string_view kLoadHint = "h";  // expected load in microseconds of work per second
inline constexpr std::string_view kTimeout = "d";   // milliseconds
inline constexpr std::string_view kReconnecting = "again";  // "1": the client has been connected before
inline constexpr std::string_view kCurrentEndpoint = "at";  // endpoint of a connection to be resumed

}  // namespace opening_attribute

}  // namespace ivyreel
