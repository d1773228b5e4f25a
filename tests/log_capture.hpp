// Captures the warnings and errors that are logged during a test.
#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace ivyreel {

class LogCapture {
  public:
    LogCapture() : previousLogger_(spdlog::default_logger()) {
        auto logger = std::make_shared<spdlog::logger>(
            "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(stream_));
        logger->set_pattern("%v");
        logger->set_level(spdlog::level::warn);
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture() { spdlog::set_default_logger(previousLogger_); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;
    LogCapture(LogCapture&&) = delete;
    LogCapture& operator=(LogCapture&&) = delete;

    // The warnings and errors that have been logged so far.
    std::vector<std::string> lines() const {
        std::vector<std::string> result;
        std::istringstream text(stream_.str());
        for (std::string line; std::getline(text, line);)
            result.push_back(line);
        return result;
    }

  private:
    std::ostringstream stream_;
    std::shared_ptr<spdlog::logger> previousLogger_;
};

}  // namespace ivyreel
