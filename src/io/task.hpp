// Task: a lazily started coroutine that one other coroutine awaits. The Task owns the coroutine frame and
// destroys it in its destructor; an exception propagates through the co_await.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace ivyreel {

template <class T = void>
class Task;

namespace detail {

// The base of the promises of all result types. At its end, a task resumes the coroutine that awaits it.
struct PromiseBase {
    std::coroutine_handle<> continuation = std::noop_coroutine();
    std::exception_ptr error;

    struct ResumeContinuation {
        bool await_ready() const noexcept { return false; }
        template <class Promise>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> ended) const noexcept {
            return ended.promise().continuation;
        }
        void await_resume() const noexcept {}
    };

    std::suspend_always initial_suspend() const noexcept { return {}; }
    ResumeContinuation final_suspend() const noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object();
    void return_value(T result) { value.emplace(std::move(result)); }
    T take() {
        if (error) std::rethrow_exception(error);
        return std::move(*value);
    }
};

template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object();
    void return_void() const noexcept {}
    void take() const {
        if (error) std::rethrow_exception(error);
    }
};

}  // namespace detail

// `co_await task` runs the coroutine and returns its result.
template <class T>
class [[nodiscard]] Task {
  public:
    using promise_type = detail::Promise<T>;
    using Handle = std::coroutine_handle<promise_type>;

    explicit Task(Handle frame) : frame_(frame) {}
    Task(Task&& other) noexcept : frame_(std::exchange(other.frame_, {})) {}
    Task& operator=(Task&&) = delete;
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    ~Task() {
        if (frame_) frame_.destroy();
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiting) noexcept {
        frame_.promise().continuation = awaiting;
        return frame_;
    }
    T await_resume() { return frame_.promise().take(); }

  private:
    Handle frame_;
};

namespace detail {

template <class T>
Task<T> Promise<T>::get_return_object() {
    return Task<T>{std::coroutine_handle<Promise<T>>::from_promise(*this)};
}

inline Task<void> Promise<void>::get_return_object() {
    return Task<void>{std::coroutine_handle<Promise<void>>::from_promise(*this)};
}

}  // namespace detail

}  // namespace ivyreel
