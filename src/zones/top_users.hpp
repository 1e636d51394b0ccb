#pragma once

// Who uses most, in constant memory: the Space-Saving sketch (Metwally, Agrawal, El Abbadi, ICDT 2005). No I/O.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thistlefold::zones {

/// Sums by user, of the users that use most. A user's sum is never told too small, and too large by at most `slack`,
/// which is at most all that was added over the room of the sketch. Whoever used more than that is in it.
class TopUsers {
 public:
  struct User {
    std::string name;
    std::uint64_t sum = 0;
    std::uint64_t maxOverestimate = 0;  // of it, may be another's who had to make room
  };

  explicit TopUsers(std::size_t room) : room_(room) { users_.reserve(room); }

  void add(std::string_view name, std::uint64_t amount) {
    all_ += amount;
    const auto known = at_.find(std::string(name));
    if (known != at_.end()) {
      users_[known->second].sum += amount;
      return;
    }
    if (users_.size() < room_) {
      at_.emplace(name, users_.size());
      users_.push_back({std::string(name), amount, 0});
      return;
    }
    // The one that used least makes room. Looked for one by one: with a hundred or so that is quicker than keeping an
    // order that nearly every addition changes (measured in bench/).
    const auto least =
        std::min_element(users_.begin(), users_.end(), [](const User& a, const User& b) { return a.sum < b.sum; });
    at_.erase(least->name);
    at_.emplace(name, static_cast<std::size_t>(least - users_.begin()));
    least->name = name;
    least->maxOverestimate = least->sum;
    least->sum += amount;
  }

  /// Most first.
  std::vector<User> top(std::size_t count) const {
    std::vector<User> sorted = users_;
    std::sort(sorted.begin(), sorted.end(),
              [](const User& a, const User& b) { return a.sum != b.sum ? a.sum > b.sum : a.name < b.name; });
    if (sorted.size() > count) sorted.resize(count);
    return sorted;
  }
  std::uint64_t all() const { return all_; }
  std::size_t capacity() const { return room_; }

 private:
  std::size_t room_;
  std::uint64_t all_ = 0;
  std::vector<User> users_;
  std::unordered_map<std::string, std::size_t> at_;
};

}  // namespace thistlefold::zones
