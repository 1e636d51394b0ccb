#include "fleet/fleet.hpp"

#include <algorithm>

namespace thistlefold {
namespace {

template <typename T>
int indexOf(const std::vector<T>& all, std::string_view name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const T& one) { return one.name == name; });
  return it == all.end() ? -1 : static_cast<int>(it - all.begin());
}

}  // namespace

int Fleet::service(std::string_view name) const { return indexOf(offeredServices, name); }
int Fleet::place(std::string_view name) const { return indexOf(places, name); }

int Fleet::destination(std::string_view called) const {
  int best = -1;
  std::size_t longest = 0;
  for (std::size_t i = 0; i < places.size(); ++i) {
    const std::string& numbers = places[i].numbers;
    if (numbers.size() > longest && called.starts_with(numbers)) {
      best = static_cast<int>(i);
      longest = numbers.size();
    }
  }
  return best;
}

std::vector<std::string> Fleet::zones() const {
  std::vector<std::string> all;
  for (const ExchangeSite& place : places) {
    if (std::find(all.begin(), all.end(), place.zone) == all.end()) all.push_back(place.zone);
  }
  return all;
}

int Fleet::zone(std::string_view name) const {
  const auto all = zones();
  const auto it = std::find(all.begin(), all.end(), name);
  return it == all.end() ? -1 : static_cast<int>(it - all.begin());
}

int Fleet::circuits(int a, int b) const {
  if (a > b) std::swap(a, b);
  for (const Group& group : groups) {
    if (group.a == a && group.b == b) return group.circuits;
  }
  return 0;
}

}  // namespace thistlefold
