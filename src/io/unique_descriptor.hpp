// RAII for a file descriptor that no scheduler watches.
#pragma once

#include <unistd.h>

#include <utility>

namespace ivyreel {

// Owns a file descriptor and closes it in the destructor; -1 means none.
class UniqueDescriptor {
  public:
    explicit UniqueDescriptor(int descriptor = -1) : descriptor_(descriptor) {}
    UniqueDescriptor(UniqueDescriptor&& other) noexcept : descriptor_(other.release()) {}
    UniqueDescriptor& operator=(UniqueDescriptor&&) = delete;
    UniqueDescriptor(const UniqueDescriptor&) = delete;
    UniqueDescriptor& operator=(const UniqueDescriptor&) = delete;
    ~UniqueDescriptor() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }

    // The descriptor, still owned by this object; -1 if there is none.
    int get() const { return descriptor_; }
    // Transfers the ownership to the caller; -1 if there is none.
    int release() { return std::exchange(descriptor_, -1); }

  private:
    int descriptor_;
};

}  // namespace ivyreel
