#include "wire/exchange_registry.hpp"

#include <algorithm>

namespace thistlefold::wire {

ListedExchange& ExchangeRegistry::findOrCreate(std::uint32_t id) {
  auto& exchange = exchanges_[id];
  if (exchange == nullptr) {
    exchange = make_();
    exchange->id = id;
  }
  return *exchange;
}

ListedExchange* ExchangeRegistry::find(std::uint32_t id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second.get();
}

Exchange* ExchangeRegistry::atPlace(double place) const {
  if (!(place >= -1e9 && place <= 1e9)) return nullptr;
  const auto it = places_.find(static_cast<int>(place));
  return it == places_.end() ? nullptr : it->second;
}

void ExchangeRegistry::applyList(Controller& controller, const std::vector<ListEntry>& lines, bool whole) {
  for (const ListEntry& line : lines) {
    ListedExchange& listed = findOrCreate(line.id);
    if (line.hasPlace) listed.place = line.place;
    listed.own = listed.place == here_ && here_ >= 0;
    Exchange*& holder = places_[listed.place];
    if (holder == nullptr || line.readiness == Readiness::ready) holder = &listed;
    controller.exchangeListed(listed, line.readiness, line.started);
  }
  if (!whole) return;
  for (auto& [id, listed] : exchanges_) {
    const bool named = std::any_of(lines.begin(), lines.end(), [&](const ListEntry& line) { return line.id == id; });
    if (!named) controller.exchangeListed(*listed, Readiness::gone, listed->started);
  }
}

}  // namespace thistlefold::wire
