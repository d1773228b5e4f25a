// The simulator adapter as a process that is connected by a pipe.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

#include "frames.hpp"

namespace ivyreel::test {
namespace {

struct ProcessResult {
    int exitCode = -1;
    Bytes output;
    std::string errors;
};

std::string temporaryFileName(const char* suffix) {
    return testing::TempDir() + "ivyreel_" + std::to_string(getpid()) + suffix;
}

ProcessResult runSimulator(const Bytes& input) {
    const std::string inputFile = temporaryFileName(".in");
    const std::string errorFile = temporaryFileName(".err");
    std::ofstream(inputFile, std::ios::binary)
        .write(reinterpret_cast<const char*>(input.data()), static_cast<std::streamsize>(input.size()));
    const std::string command =
        std::string("cat '") + inputFile + "' | '" IVYREEL_SIMULATOR "' 2>'" + errorFile + "'";
    ProcessResult result;
    FILE* pipe = popen(command.c_str(), "r");
    if (pipe == nullptr) return result;
    std::array<std::uint8_t, 4096> chunk{};
    for (std::size_t count = 0; (count = fread(chunk.data(), 1, chunk.size(), pipe)) > 0;) {
        result.output.insert(result.output.end(), chunk.begin(),
                             chunk.begin() + static_cast<std::ptrdiff_t>(count));
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::ifstream errors(errorFile);
    result.errors.assign(std::istreambuf_iterator<char>(errors), {});
    std::remove(inputFile.c_str());
    std::remove(errorFile.c_str());
    return result;
}

TEST(SimulatorProcess, RepliesToEveryFrameAndExitsAtEndOfInput) {
    const ProcessResult result =
        runSimulator(frame(1, {}) + frame(2, {selectNode(1), startNode(smallSettings())}) + frame(3, {}));
    EXPECT_EQ(result.exitCode, 0);
    EXPECT_EQ(result.errors, "");
    const Bytes empty = hex("04000000 00000000");
    ASSERT_GE(result.output.size(), 3 * empty.size());
    EXPECT_EQ(Bytes(result.output.begin(), result.output.begin() + 8), empty);
    EXPECT_EQ(Bytes(result.output.end() - 8, result.output.end()), empty);
}

TEST(SimulatorProcess, AcceptsAFrameOfAMegabyte) {
    std::vector<Bytes> records = {selectNode(1), startNode(smallSettings()), twoEndpoints(),
                                  hex("02 0b000000 01 2900000000000000 0000")};
    for (std::uint64_t id = 1; id <= 25'000; ++id) {
        Bytes fields;
        appendInteger(fields, id, 8);
        appendInteger(fields, 0, 8);
        appendInteger(fields, 0, 1);
        appendInteger(fields, 0, 2);
        appendInteger(fields, 0, 8);
        appendInteger(fields, 0, 4);
        appendInteger(fields, 0, 4);
        appendInteger(fields, 3'200'000, 4);
        records.push_back(record(3, fields));
    }
    const Bytes input = frame(1000, records);
    ASSERT_GT(input.size(), 1'000'000U);
    const ProcessResult result = runSimulator(input);
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_GT(result.output.size(), 8U);
}

TEST(SimulatorProcess, ReportsAnErrorAndExitsNonZero) {
    const ProcessResult cut = runSimulator(hex("0c000000 0000"));
    EXPECT_EQ(cut.exitCode, 1);
    EXPECT_NE(cut.errors.find("offset 6"), std::string::npos) << cut.errors;
    const ProcessResult settings =
        runSimulator(frame(1, {selectNode(1), startNode(R"({"instances": "three"})")}));
    EXPECT_EQ(settings.exitCode, 1);
    EXPECT_NE(settings.errors.find("instances"), std::string::npos) << settings.errors;
}

}  // namespace
}  // namespace ivyreel::test
