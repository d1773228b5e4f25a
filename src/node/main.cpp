// The node program: reads the configuration, requests the state of a running predecessor and runs a node.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <optional>
#include <utility>

#include "config/node_config.hpp"
#include "hot_restart/handover_address.hpp"
#include "hot_restart/predecessor_state.hpp"
#include "node/descriptor_limit.hpp"
#include "node/node.hpp"
#include "node/signal_receiver.hpp"

namespace {

using namespace ivyreel;

HandoverAddress handoverAddressOf(const Config& config) {
    const char* directory = std::getenv("TMPDIR");
    return {directory == nullptr ? "" : directory, config.name, config.listen.text(),
            config.adminAddress ? config.adminAddress->text() : ""};
}

// spdlog parses an unknown level name as "off". A misspelt level must not disable the log.
spdlog::level::level_enum logLevel() {
    const char* name = std::getenv("RELAY_LOG");
    const auto level = name == nullptr ? spdlog::level::info : spdlog::level::from_str(name);
    return level == spdlog::level::off ? spdlog::level::info : level;
}

void configureLog() {
    spdlog::set_default_logger(spdlog::stderr_logger_st("ivyreel"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_level(logLevel());
}

void runNode() {
    Config config = readConfig();
    config.descriptorLimit = effectiveDescriptorLimit(config.descriptorLimit);
    const HandoverAddress handoverAddress = handoverAddressOf(config);
    Node node{std::move(config), handoverAddress, PredecessorState::request(handoverAddress)};
    node.run();
}

}  // namespace

int main() {
    SignalReceiver::blockSignals();  // a shutdown or reload may be requested during the start
    std::signal(SIGPIPE, SIG_IGN);
    try {
        configureLog();
        runNode();
    } catch (const std::exception& error) {
        spdlog::critical("{}", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
