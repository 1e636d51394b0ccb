#include "zones/ledger.hpp"

#include <cmath>

namespace thistlefold::zones {
namespace {

constexpr std::uint64_t kSecond = 1000000, kMinute = 60 * kSecond, kHour = 60 * kMinute;

std::uint64_t microseconds(Instant at) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, (at - Instant()).ms()) * 1000));
}

}  // namespace

UsageTotals& UsageTotals::operator+=(const UsageTotals& other) {
  invites += other.invites;
  established += other.established;
  dropped += other.dropped;
  refused += other.refused;
  circuitMicroseconds += other.circuitMicroseconds;
  return *this;
}

// Each change goes to all levels at once. Rolling seconds up into minutes when they close would save two additions and
// lose what a level already dropped.
template <typename Change>
void UsageCell::add(std::uint64_t at, Change change) {
  change(total_);
  if (UsageTotals* bucket = seconds_.at(at / kSecond)) change(*bucket);
  if (UsageTotals* bucket = minutes_.at(at / kMinute)) change(*bucket);
  if (UsageTotals* bucket = hours_.at(at / kHour)) change(*bucket);
}

void UsageCell::accrue(Instant now) {
  const std::uint64_t until = microseconds(now);
  // A clock that went back adds nothing and takes nothing away.
  while (settledAt_ < until) {
    // Nothing is held: nothing to add, whatever the time.
    const std::uint64_t end = held_ == 0 ? until : std::min(until, (settledAt_ / kSecond + 1) * kSecond);
    const std::uint64_t circuits = static_cast<std::uint64_t>(held_);
    if (held_ > 0)
      add(settledAt_, [&](UsageTotals& sums) { sums.circuitMicroseconds += circuits * (end - settledAt_); });
    settledAt_ = end;
  }
}

void UsageCell::invited(Instant now, int circuits) {
  accrue(now);
  add(settledAt_, [](UsageTotals& sums) { ++sums.invites; });
  held_ += circuits;
}

void UsageCell::established(Instant now) {
  accrue(now);
  add(settledAt_, [](UsageTotals& sums) { ++sums.established; });
}

void UsageCell::dropped(Instant now) {
  accrue(now);
  add(settledAt_, [](UsageTotals& sums) { ++sums.dropped; });
}

void UsageCell::refused(Instant now) {
  accrue(now);
  add(settledAt_, [](UsageTotals& sums) { ++sums.refused; });
}

void UsageCell::released(Instant now, int circuits) {
  accrue(now);
  held_ -= circuits;
}

UsageCell& UsageLedger::cell(const UsageKey& key) {
  auto& one = cells_[key];
  if (one == nullptr) one = std::make_unique<UsageCell>();
  return *one;
}

void UsageLedger::accrue(Instant now) {
  for (auto& [key, cell] : cells_) cell->accrue(now);
}

}  // namespace thistlefold::zones
