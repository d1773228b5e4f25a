// A byte queue with a size limit: bytes are added at the end and removed at the front. The buffer compacts
// its bytes in place before it grows.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace ivyreel {

// freeSpace() never offers more than the limit allows; append() may exceed the limit.
class Buffer {
  public:
    explicit Buffer(std::size_t limit = kDefaultLimit) : limit_(limit) {}

    std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
    std::size_t size() const { return end_ - begin_; }
    bool empty() const { return begin_ == end_; }
    bool full() const { return size() >= limit_; }

    // Free space for the next read; empty if the buffer is full.
    std::span<char> freeSpace() {
        if (full()) return {};
        if (begin_ > 0 && bytes_.size() - end_ < kGrowthBytes) compact();
        if (bytes_.size() - end_ < kGrowthBytes / 4)
            bytes_.resize(std::min(limit_, std::max(kGrowthBytes, 2 * bytes_.size())));
        return std::span(bytes_).subspan(end_, std::min(bytes_.size() - end_, limit_ - size()));
    }
    // Adds the first bytes of freeSpace(), which now contain data.
    void commit(std::size_t count) { end_ += count; }

    // Removes bytes at the front.
    void consume(std::size_t count) {
        begin_ += std::min(count, size());
        if (begin_ == end_) begin_ = end_ = 0;
    }

    // Truncates to the first `count` bytes.
    void truncate(std::size_t count) { end_ = begin_ + std::min(count, size()); }

    // Adds text that the program itself generates; the size may exceed the limit by the length of the text.
    void append(std::string_view text) {
        if (text.empty()) return;
        compact();
        if (bytes_.size() < end_ + text.size()) bytes_.resize(end_ + text.size());
        std::memcpy(bytes_.data() + end_, text.data(), text.size());
        end_ += text.size();
    }

  private:
    static constexpr std::size_t kDefaultLimit = 16UL * 1024;  // four lines of the maximum length
    static constexpr std::size_t kGrowthBytes = 1024;

    void compact() {
        if (begin_ == 0) return;
        std::memmove(bytes_.data(), bytes_.data() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
    }

    std::size_t limit_;
    std::vector<char> bytes_;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

}  // namespace ivyreel
