// Decodes the records of a frame to events of the decision engine.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "config/settings_parser.hpp"
#include "decision/events.hpp"
#include "simulator/frame_reader.hpp"
#include "simulator/protocol_codes.hpp"

namespace ivyreel::simulator {

// The endpoint lists by number; the records of all nodes refer to the same lists.
using EndpointLists = std::array<std::vector<EndpointEntry>, kMaxEndpointLists>;

// Decodes the settings with which a node starts. Throws WireError for a malformed record, and SettingsError
// for invalid settings.
NodeSettings decodeNodeSettings(FrameReader& fields);

// Decodes an endpoint list and stores it under its number. Throws WireError for a malformed record.
void decodeEndpointList(FrameReader& fields, EndpointLists& lists);

// Skips a message from another node. It is ignored, because nodes share no state.
void skipPeerMessage(FrameReader& fields);

// Decodes a record for a running node. `reportFields` names the values of the node's load reports in order.
// Throws WireError for a malformed record, and for a code that is not an event of a running node.
Event decodeEvent(EventCode code, FrameReader& fields, const EndpointLists& lists,
                  const std::vector<ReportField>& reportFields);

}  // namespace ivyreel::simulator
