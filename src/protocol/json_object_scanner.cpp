#include "protocol/json_object_scanner.hpp"

#include <utility>

namespace ivyreel {

std::optional<std::size_t> JsonObjectScanner::findEnd(std::string_view text) {
    while (scanned_ < text.size()) {
        const char c = text[scanned_++];
        if (std::exchange(escaped_, false)) continue;
        if (inString_) {
            escaped_ = c == '\\';
            inString_ = c != '"';
        } else if (c == '"') {
            inString_ = true;
        } else if (c == '{' || c == '[') {
            ++depth_;
        } else if ((c == '}' || c == ']') && --depth_ == 0) {
            return std::exchange(scanned_, 0);
        }
    }
    return std::nullopt;
}

}  // namespace ivyreel
