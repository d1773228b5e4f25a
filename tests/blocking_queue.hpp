// A queue between the threads of a test.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "loopback.hpp"

namespace ivyreel::test {

template <class T>
class BlockingQueue {
  public:
    void push(T value) {
        {
            const std::lock_guard lock(mutex_);
            values_.push_back(std::move(value));
        }
        changed_.notify_all();
    }
    // Waits for a value and removes it; none after kTestTimeoutMs.
    std::optional<T> pop() {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, std::chrono::milliseconds(kTestTimeoutMs),
                               [this] { return !values_.empty(); }))
            return std::nullopt;
        T value = std::move(values_.front());
        values_.pop_front();
        return value;
    }
    bool empty() {
        const std::lock_guard lock(mutex_);
        return values_.empty();
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<T> values_;
};

}  // namespace ivyreel::test
