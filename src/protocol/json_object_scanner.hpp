// Finds the end of a JSON object in text that arrives in pieces.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace ivyreel {

// Scans a stream of JSON objects for their ends, without parsing them. An object may span several lines.
class JsonObjectScanner {
  public:
    // The length in bytes of the text up to the end of the first object; none if the object is not complete
    // yet. Until it is complete, each call must pass the text of the previous call with the newly received
    // text appended. Afterwards the scanner is ready for the next object.
    std::optional<std::size_t> findEnd(std::string_view text);

  private:
    std::size_t scanned_ = 0;  // bytes
    std::size_t depth_ = 0;    // of open braces and brackets
    bool inString_ = false;
    bool escaped_ = false;
};

}  // namespace ivyreel
