#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "thistlefold/controller.hpp"

namespace thistlefold::wire {

struct ListedExchange : Exchange {
  virtual ~ListedExchange() = default;
  std::uint32_t id = 0;
};

/// A line of a list of exchanges. Without a place: the one it had.
struct ListEntry {
  std::uint32_t id = 0;
  int place = -1;
  bool hasPlace = false;
  Readiness readiness = Readiness::gone;
  Instant started = Instant::distantPast();
};

/// The exchanges that an office was told of, by id and by place. They live as long as the roster: the module may
/// point to any of them.
class ExchangeRegistry {
 public:
  using Make = std::function<std::unique_ptr<ListedExchange>()>;
  /// `here`: the own exchange's place, -1 for none. `make`: for whoever keeps more of an exchange.
  explicit ExchangeRegistry(int here, Make make = std::make_unique<ListedExchange>)
      : here_(here), make_(std::move(make)) {}

  /// Circuits may be told of an exchange before the directory names it; until then it counts as gone.
  ListedExchange& findOrCreate(std::uint32_t id);
  ListedExchange* find(std::uint32_t id) const;
  Exchange* atPlace(double place) const;
  /// `whole`: who is not in the list is gone.
  void applyList(Controller& controller, const std::vector<ListEntry>& lines, bool whole);

  const std::map<std::uint32_t, std::unique_ptr<ListedExchange>>& all() const { return exchanges_; }

 private:
  int here_;
  Make make_;
  std::map<std::uint32_t, std::unique_ptr<ListedExchange>> exchanges_;
  std::map<int, Exchange*> places_;
};

}  // namespace thistlefold::wire
