#include "zones/ledger.hpp"

#include <cmath>

namespace thistlefold::zones {
namespace {

constexpr std::uint64_t kSecond = 1000000, kMinute = 60 * kSecond, kHour = 60 * kMinute;

std::uint64_t microseconds(Instant at) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, (at - Instant()).ms()) * 1000));
}

}  // namespace

Sums& Sums::operator+=(const Sums& other) {
  invites += other.invites;
  stood += other.stood;
  cut += other.cut;
  refused += other.refused;
  circuitMicroseconds += other.circuitMicroseconds;
  return *this;
}

// Each change goes to all levels at once. Rolling seconds up into minutes when they close would save two additions and
// lose what a level already dropped.
template <typename Change>
void Cell::add(std::uint64_t at, Change change) {
  change(total_);
  if (Sums* bucket = seconds_.at(at / kSecond)) change(*bucket);
  if (Sums* bucket = minutes_.at(at / kMinute)) change(*bucket);
  if (Sums* bucket = hours_.at(at / kHour)) change(*bucket);
}

void Cell::settle(Instant now) {
  const std::uint64_t until = microseconds(now);
  // A clock that went back adds nothing and takes nothing away.
  while (settledAt_ < until) {
    // Nothing is held: nothing to add, whatever the time.
    const std::uint64_t end = held_ == 0 ? until : std::min(until, (settledAt_ / kSecond + 1) * kSecond);
    const std::uint64_t circuits = static_cast<std::uint64_t>(held_);
    if (held_ > 0) add(settledAt_, [&](Sums& sums) { sums.circuitMicroseconds += circuits * (end - settledAt_); });
    settledAt_ = end;
  }
}

void Cell::invited(Instant now, int circuits) {
  settle(now);
  add(settledAt_, [](Sums& sums) { ++sums.invites; });
  held_ += circuits;
}

void Cell::stood(Instant now) {
  settle(now);
  add(settledAt_, [](Sums& sums) { ++sums.stood; });
}

void Cell::cut(Instant now) {
  settle(now);
  add(settledAt_, [](Sums& sums) { ++sums.cut; });
}

void Cell::refused(Instant now) {
  settle(now);
  add(settledAt_, [](Sums& sums) { ++sums.refused; });
}

void Cell::released(Instant now, int circuits) {
  settle(now);
  held_ -= circuits;
}

Cell& Ledger::cell(const Key& key) {
  auto& one = cells_[key];
  if (one == nullptr) one = std::make_unique<Cell>();
  return *one;
}

void Ledger::settle(Instant now) {
  for (auto& [key, cell] : cells_) cell->settle(now);
}

}  // namespace thistlefold::zones
