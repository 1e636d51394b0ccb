#include "wire/exchange_registry.hpp"

#include <algorithm>

namespace thistlefold::wire {

ListedExchange& ExchangeRegistry::findOrCreate(std::uint32_t id) {
  auto& exchange = exchanges_[id];
  if (exchange == nullptr) {
    exchange = factory_();
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
  const auto it = exchangesByPlace_.find(static_cast<int>(place));
  return it == exchangesByPlace_.end() ? nullptr : it->second;
}

void ExchangeRegistry::applyList(Controller& controller, const std::vector<ListEntry>& entries, bool isComplete) {
  for (const ListEntry& entry : entries) {
    ListedExchange& listed = findOrCreate(entry.id);
    if (entry.hasPlace) listed.place = entry.place;
    listed.own = listed.place == ownPlace_ && ownPlace_ >= 0;
    Exchange*& holder = exchangesByPlace_[listed.place];
    if (holder == nullptr || entry.readiness == Readiness::ready) holder = &listed;
    controller.exchangeListed(listed, entry.readiness, entry.started);
  }
  if (!isComplete) return;
  for (auto& [id, listed] : exchanges_) {
    const bool isNamed =
        std::any_of(entries.begin(), entries.end(), [&id = id](const ListEntry& entry) { return entry.id == id; });
    if (!isNamed) controller.exchangeListed(*listed, Readiness::gone, listed->started);
  }
}

}  // namespace thistlefold::wire
