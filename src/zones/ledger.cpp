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

// Each change is added to all levels at once. Adding seconds to their minute only when it is complete would save two
// additions but lose seconds that their ring has already overwritten.
template <typename Change>
void UsageCell::add(std::uint64_t at, Change change) {
  change(total_);
  if (UsageTotals* bucket = seconds_.at(at / kSecond)) change(*bucket);
  if (UsageTotals* bucket = minutes_.at(at / kMinute)) change(*bucket);
  if (UsageTotals* bucket = hours_.at(at / kHour)) change(*bucket);
}

void UsageCell::accrue(Instant now) {
  const std::uint64_t until = microseconds(now);
  // A clock that goes back changes nothing.
  while (accruedAt_ < until) {
    // If nothing is held there is nothing to add, so that idle time is skipped in one step.
    const std::uint64_t end = held_ == 0 ? until : std::min(until, (accruedAt_ / kSecond + 1) * kSecond);
    const std::uint64_t circuits = static_cast<std::uint64_t>(held_);
    if (held_ > 0)
      add(accruedAt_, [&](UsageTotals& totals) { totals.circuitMicroseconds += circuits * (end - accruedAt_); });
    accruedAt_ = end;
  }
}

void UsageCell::invited(Instant now, int circuits) {
  accrue(now);
  add(accruedAt_, [](UsageTotals& totals) { ++totals.invites; });
  held_ += circuits;
}

void UsageCell::established(Instant now) {
  accrue(now);
  add(accruedAt_, [](UsageTotals& totals) { ++totals.established; });
}

void UsageCell::dropped(Instant now) {
  accrue(now);
  add(accruedAt_, [](UsageTotals& totals) { ++totals.dropped; });
}

void UsageCell::refused(Instant now) {
  accrue(now);
  add(accruedAt_, [](UsageTotals& totals) { ++totals.refused; });
}

void UsageCell::released(Instant now, int circuits) {
  accrue(now);
  held_ -= circuits;
}

UsageCell& UsageLedger::cell(const UsageKey& key) {
  auto& entry = cells_[key];
  if (entry == nullptr) entry = std::make_unique<UsageCell>();
  return *entry;
}

void UsageLedger::accrue(Instant now) {
  for (auto& [key, cell] : cells_) cell->accrue(now);
}

}  // namespace thistlefold::zones
