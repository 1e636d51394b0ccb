#pragma once

#include <array>
#include <cstddef>

#include "thistlefold/time.hpp"

namespace thistlefold {

/// Ring buffer of the last N samples of a quantity, oldest first, each with the instant at which it was taken.
template <typename T, std::size_t N>
class Samples {
 public:
  /// A value and the instant at which it was taken.
  struct Sample {
    Instant at;
    T value;
  };

  /// Adds a sample. If the buffer is full, the oldest sample is discarded.
  void add(Instant at, T value) {
    if (count_ == N) {
      first_ = (first_ + 1) % N;
      --count_;
    }
    ring_[(first_ + count_) % N] = Sample{at, value};
    ++count_;
  }
  /// Discards all samples.
  void clear() { count_ = 0; }
  /// Number of samples held, at most capacity().
  std::size_t size() const { return count_; }
  static constexpr std::size_t capacity() { return N; }
  /// The sample at index `i`, counted from the oldest; `i` has to be less than size().
  const Sample& operator[](std::size_t i) const { return ring_[(first_ + i) % N]; }
  /// The newest sample. There has to be one.
  const Sample& last() const { return (*this)[count_ - 1]; }

 private:
  std::array<Sample, N> ring_{};
  std::size_t first_ = 0;
  std::size_t count_ = 0;
};

}  // namespace thistlefold
