// The messages between predecessor and successor of a hot restart: one line of JSON each. The predecessor's
// state is a line of its own (handover_state.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "decision/decision_engine.hpp"
#include "hot_restart/established_connection.hpp"
#include "hot_restart/handover_error.hpp"

namespace ivyreel {

// The first message: the successor requests the predecessor's state and listening sockets.
struct HandoverRequest {
    std::string listen;        // the address at which the successor will serve clients
    std::string adminAddress;  // of the successor's admin server; empty if it has none

    // None if the text is malformed or of another protocol version.
    static std::optional<HandoverRequest> parse(const std::string& text);
};

// The successor serves clients from now on.
struct ServingNotice {};

// The number of descriptors that the predecessor has open.
struct DescriptorCount {
    std::size_t count = 0;
};

// An operator has banned an endpoint or lifted its ban.
struct BanNotice {
    EndpointId endpoint{};
    bool banned = false;
};

// The sender has opened a request with this id, or its last request with this id has ended.
struct RequestNotice {
    std::uint64_t id = 0;
    bool open = false;
};

// The receiver is to reload the configuration file.
struct ReloadNotice {};

// An established connection that the successor takes over. The sockets of its client and its endpoint arrive
// with the message, even if the content is invalid.
struct ConnectionTransfer {
    nlohmann::json content;

    // The connection, without its sockets. Throws HandoverError if the content is malformed or inconsistent.
    EstablishedConnection parse() const;
};

// A received message; std::monostate for a message type that this version does not know.
using HandoverMessage = std::variant<std::monostate, ServingNotice, DescriptorCount, BanNotice, RequestNotice,
                                     ConnectionTransfer, ReloadNotice>;

// Throws HandoverError if the text is not JSON, or a field is missing or of another type.
HandoverMessage parseMessage(const std::string& text);

// The JSON text of a message, with a line feed at its end.
std::string encode(const HandoverRequest& request);
std::string encode(const ServingNotice& notice);
std::string encode(const DescriptorCount& count);
std::string encode(const BanNotice& notice);
std::string encode(const RequestNotice& notice);
std::string encode(const ReloadNotice& notice);
std::string encode(const EstablishedConnection& connection);

}  // namespace ivyreel
