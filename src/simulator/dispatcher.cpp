#include "simulator/dispatcher.hpp"

#include <exception>
#include <istream>
#include <ostream>
#include <string>

#include "simulator/protocol_codes.hpp"

namespace ivyreel::simulator {

std::vector<std::uint8_t> Dispatcher::handleFrame(std::span<const std::uint8_t> frame) {
    FrameReader reader{frame, 0};
    const std::size_t length = reader.u32();
    if (length != reader.remaining()) reader.throwError("frame length does not match the size of the frame");
    const std::uint32_t records = reader.u32();
    FrameContext context;
    context.now = Time{static_cast<Time::rep>(reader.u64())};
    for (std::uint32_t i = 0; i < records; ++i) {
        handleRecord(context, reader);
    }
    reader.expectEnd();
    const auto bytes = context.reply.finish();
    return {bytes.begin(), bytes.end()};
}

void Dispatcher::handleRecord(FrameContext& context, FrameReader& reader) {
    const std::uint8_t code = reader.u8();
    const std::size_t size = reader.u32();
    FrameReader fields = reader.subReader(size);
    const bool known = code >= static_cast<std::uint8_t>(EventCode::PowerOn) &&
                       code <= static_cast<std::uint8_t>(EventCode::Context);
    if (!known) fields.throwError("unknown event code " + std::to_string(code));
    dispatch(context, static_cast<EventCode>(code), fields);
    fields.expectEnd();
}

void Dispatcher::dispatch(FrameContext& context, EventCode code, FrameReader& fields) {
    switch (code) {
        case EventCode::Context:
            context.node = fields.u16();
            return;
        case EventCode::Census:
            return decodeEndpointList(fields, endpointLists_);
        case EventCode::PowerOn:
            return startNode(context, fields);
        case EventCode::Stop:
            return stopNode(context, fields);
        case EventCode::FromPeer:
            return skipPeerMessage(fields);
        default: {
            Node& node = runningNode(context, fields);
            return deliver(context, node, decodeEvent(code, fields, endpointLists_, node.reportFields));
        }
    }
}

void Dispatcher::startNode(FrameContext& context, FrameReader& fields) {
    if (!context.node) fields.throwError("record starts a node, but no node is selected");
    NodeSettings settings = decodeNodeSettings(fields);
    Node node{std::move(settings.reportFields), makeEngine_(std::move(settings.settings))};
    const auto [position, inserted] = nodes_.insert_or_assign(*context.node, std::move(node));
    deliver(context, position->second, Started{});
}

void Dispatcher::stopNode(const FrameContext& context, const FrameReader& fields) {
    if (!context.node) fields.throwError("record stops a node, but no node is selected");
    nodes_.erase(*context.node);
}

Dispatcher::Node& Dispatcher::runningNode(const FrameContext& context, const FrameReader& fields) {
    const auto found = context.node ? nodes_.find(*context.node) : nodes_.end();
    if (found == nodes_.end())
        fields.throwError("event for a node that is not running, or no node is selected");
    return found->second;
}

// An exception in the decision engine is reported as a failure of the node and does not end the process.
void Dispatcher::deliver(FrameContext& context, Node& node, const Event& event) {
    context.actions.clear();
    try {
        node.engine->handle(context.now, event, context.actions);
    } catch (const std::exception& error) {
        context.reply.selectNode(*context.node);
        context.reply.writeFailure(error.what());
        return;
    }
    if (context.actions.empty()) return;
    context.reply.selectNode(*context.node);
    for (const Action& action : context.actions) {
        context.reply.writeAction(action);
    }
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Dispatcher dispatcher;
    std::vector<std::uint8_t> frame;
    try {
        while (readFrame(in, frame)) {
            const auto reply = dispatcher.handleFrame(frame);
            out.write(reinterpret_cast<const char*>(reply.data()),
                      static_cast<std::streamsize>(reply.size()));
            out.flush();
            if (!out) throw WireError("cannot write the reply");
        }
    } catch (const std::exception& error) {
        errors << "ivyreel_simulator: " << error.what() << "\n";
        return 1;
    }
    return 0;
}

}  // namespace ivyreel::simulator
