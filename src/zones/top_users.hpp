#pragma once

// The heaviest users in constant memory: the Space-Saving sketch (Metwally, Agrawal, El Abbadi, ICDT 2005). No I/O.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thistlefold::zones {

/// Sums by user for the heaviest users. A reported sum is never too small, and too large by at most `maxOverestimate`,
/// which is at most total() / capacity(). Every user with a larger sum than that quotient is in the sketch.
class TopUsers {
 public:
  /// One user's entry.
  struct User {
    std::string name;
    std::uint64_t sum = 0;
    std::uint64_t maxOverestimate = 0;  // part of `sum` that may belong to users that were evicted
  };

  /// `maxUsers`: the number of users that are kept; greater than 0.
  explicit TopUsers(std::size_t maxUsers) : capacity_(maxUsers) { users_.reserve(maxUsers); }

  /// Adds `amount` to the user's sum. If the user is unknown and the sketch is full, it replaces the user with the
  /// smallest sum.
  void add(std::string_view name, std::uint64_t amount) {
    total_ += amount;
    const auto known = indexOf_.find(std::string(name));
    if (known != indexOf_.end()) {
      users_[known->second].sum += amount;
      return;
    }
    if (users_.size() < capacity_) {
      indexOf_.emplace(name, users_.size());
      users_.push_back({std::string(name), amount, 0});
      return;
    }
    // The user with the smallest sum is evicted. For about a hundred users a linear search is faster than keeping an
    // order that nearly every addition changes; bench/zones_bench.cpp compares the two.
    const auto least =
        std::min_element(users_.begin(), users_.end(), [](const User& a, const User& b) { return a.sum < b.sum; });
    indexOf_.erase(least->name);
    indexOf_.emplace(name, static_cast<std::size_t>(least - users_.begin()));
    least->name = name;
    least->maxOverestimate = least->sum;
    least->sum += amount;
  }

  /// The `count` users with the largest sums, in descending order.
  std::vector<User> top(std::size_t count) const {
    std::vector<User> sorted = users_;
    std::sort(sorted.begin(), sorted.end(),
              [](const User& a, const User& b) { return a.sum != b.sum ? a.sum > b.sum : a.name < b.name; });
    if (sorted.size() > count) sorted.resize(count);
    return sorted;
  }
  /// Sum of all amounts added.
  std::uint64_t total() const { return total_; }
  /// Number of users that are kept.
  std::size_t capacity() const { return capacity_; }

 private:
  std::size_t capacity_;
  std::uint64_t total_ = 0;
  std::vector<User> users_;
  std::unordered_map<std::string, std::size_t> indexOf_;
};

}  // namespace thistlefold::zones
