// Encodes the decision engine's actions as the reply to a frame.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "decision/actions.hpp"
#include "simulator/protocol_codes.hpp"

namespace ivyreel::simulator {

// Builds one reply frame record by record.
class ReplyWriter {
  public:
    ReplyWriter();

    // Selects the node to which the following records belong. Writes a record only if the node changes.
    void selectNode(std::uint16_t node);
    void writeAction(const Action& action);
    // Reports that the selected node has failed.
    void writeFailure(std::string_view message);
    // Fills in the header and returns the frame. The bytes are valid during the lifetime of this object.
    std::span<const std::uint8_t> finish();

  private:
    void beginRecord(ActionCode code, std::size_t fieldBytes);
    void beginRequestRecord(ActionCode code, RequestId request, std::size_t furtherBytes);
    void writeTextRecord(ActionCode code, std::string_view text);
    void writeInteger(std::uint64_t value, std::size_t width);
    void writeEndpoint(EndpointId id);
    void writeDuration(Micros value);
    void writeHeaderField(std::size_t position, std::uint64_t value);

    void encode(const StartAttempt& action);
    void encode(const RejectRequest& action);
    void encode(const FailRequest& action);
    void encode(const CancelAttempt& action);
    void encode(const MigrateConnection& action);
    void encode(const StartHealthCheck& action);
    void encode(const WatchEndpoints& action);
    void encode(const SetTimer& action);
    void encode(const Log& action);

    std::vector<std::uint8_t> bytes_;
    std::uint32_t records_ = 0;
    std::optional<std::uint16_t> selectedNode_;
};

}  // namespace ivyreel::simulator
