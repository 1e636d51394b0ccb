#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "thistlefold/controller.hpp"

namespace thistlefold::wire {

/// An exchange with the id under which the directory lists it.
struct ListedExchange : Exchange {
  virtual ~ListedExchange() = default;
  std::uint32_t id = 0;
};

/// One entry of a list of exchanges.
struct ListEntry {
  std::uint32_t id = 0;   ///< of the exchange, as in ListedExchange::id
  int place = -1;         ///< number under which the exchange is dialled; used only if `hasPlace`
  bool hasPlace = false;  ///< whether the entry names a place; without one the exchange keeps its former place
  Readiness readiness = Readiness::gone;
  Instant started = Instant::distantPast();  ///< when its processor last started; distantPast() if not given
};

/// The exchanges known to an office, by id and by place. Owns them and keeps each of them until its own destruction,
/// since the controller may hold a pointer to any of them.
class ExchangeRegistry {
 public:
  /// Creates an exchange; the registry sets its id. Must not return null.
  using Factory = std::function<std::unique_ptr<ListedExchange>()>;
  /// `ownPlace`: place of the own exchange, -1 if there is none. `factory` creates an exchange; a host that attaches
  /// further state to exchanges passes one that creates its derived type.
  explicit ExchangeRegistry(int ownPlace, Factory factory = std::make_unique<ListedExchange>)
      : ownPlace_(ownPlace), factory_(std::move(factory)) {}

  /// The exchange with this id, created if it is not known. The circuits of an exchange may be reported before the
  /// directory lists it; until then it counts as gone.
  ListedExchange& findOrCreate(std::uint32_t id);
  /// The exchange with this id; null if it is not known.
  ListedExchange* find(std::uint32_t id) const;
  /// The exchange that was last listed as ready at this place, or else the first one listed there; null if there is
  /// none or `place` is no valid number.
  Exchange* atPlace(double place) const;
  /// Reports each entry of a list to the controller. `isComplete`: known exchanges that the list does not name are
  /// reported as gone.
  void applyList(Controller& controller, const std::vector<ListEntry>& entries, bool isComplete);

  /// All known exchanges, by id.
  const std::map<std::uint32_t, std::unique_ptr<ListedExchange>>& all() const { return exchanges_; }

 private:
  int ownPlace_;
  Factory factory_;
  std::map<std::uint32_t, std::unique_ptr<ListedExchange>> exchanges_;
  std::map<int, Exchange*> exchangesByPlace_;
};

}  // namespace thistlefold::wire
