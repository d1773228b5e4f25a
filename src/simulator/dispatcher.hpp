// Handles the simulator's frames: passes the events of each node to the node's decision engine and replies
// with the engine's actions. Nodes share only the numbered endpoint lists of the protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "config/settings_parser.hpp"
#include "decision/decision_engine.hpp"
#include "simulator/event_decoder.hpp"
#include "simulator/frame_reader.hpp"
#include "simulator/reply_writer.hpp"

namespace ivyreel::simulator {

class Dispatcher {
  public:
    using EngineFactory = std::function<std::unique_ptr<DecisionEngine>(Settings)>;

    explicit Dispatcher(EngineFactory makeEngine = makeDecisionEngine) : makeEngine_(std::move(makeEngine)) {}

    // Handles all records of one complete frame and returns the bytes of the reply. Throws WireError for a
    // malformed frame, and SettingsError for invalid settings of a node.
    std::vector<std::uint8_t> handleFrame(std::span<const std::uint8_t> frame);

  private:
    using NodeId = std::uint16_t;

    struct Node {
        std::vector<ReportField> reportFields;
        std::unique_ptr<DecisionEngine> engine;
    };

    // State that the records of one frame share.
    struct FrameContext {
        Time now{0};
        std::optional<NodeId> node;  // to which the following records belong
        ReplyWriter reply;
        std::vector<Action> actions;  // of the last event
    };

    void handleRecord(FrameContext& context, FrameReader& reader);
    void dispatch(FrameContext& context, EventCode code, FrameReader& fields);
    void startNode(FrameContext& context, FrameReader& fields);
    void stopNode(const FrameContext& context, const FrameReader& fields);
    Node& runningNode(const FrameContext& context, const FrameReader& fields);
    static void deliver(FrameContext& context, Node& node, const Event& event);

    EngineFactory makeEngine_;
    std::map<NodeId, Node> nodes_;
    EndpointLists endpointLists_;
};

// Handles frames until the input ends. Returns the exit code of the process: 0 at the end of the input, 1
// after an error, which is written to `errors`.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace ivyreel::simulator
