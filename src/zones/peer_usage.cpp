#include "zones/peer_usage.hpp"

namespace thistlefold::zones {

void Mirrors::started(int office, std::uint64_t mark) {
  Mirror& mirror = mirrors_[office];
  // A word of an earlier start that was late on its way changes nothing.
  if (mark <= mirror.mark) return;
  for (const auto& [key, sums] : mirror.sums) inherited_[key] += sums;
  mirror.sums.clear();
  mirror.mark = mark;
}

Sums& Mirrors::of(int office, std::uint64_t mark, const Key& key) {
  started(office, mark);
  Mirror& mirror = mirrors_[office];
  return mark == mirror.mark ? mirror.sums[key] : inherited_[key];
}

}  // namespace thistlefold::zones
