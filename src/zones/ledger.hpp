#pragma once

// The account of circuits that cross zones, kept by the office that sends the leg. No I/O; instants are passed in.
// Each leg is counted once in a fleet, by its sender: a two-leg session that crosses twice is two legs.

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>

#include "thistlefold/time.hpp"

namespace thistlefold::zones {

/// What a leg is to its session.
enum class LegKind : std::uint8_t { direct, first, second };

/// Sums; all whole numbers, so that sums over any parts agree to the unit.
struct UsageTotals {
  std::uint64_t invites = 0;
  std::uint64_t established = 0;
  std::uint64_t dropped = 0;
  std::uint64_t refused = 0;              // for want of budget; nothing was sent
  std::uint64_t circuitMicroseconds = 0;  // circuits held times how long

  UsageTotals& operator+=(const UsageTotals& other);
  friend bool operator==(const UsageTotals&, const UsageTotals&) = default;
};

/// The last N spans of one length, in a ring. What has left the ring is gone from it, not from the totals.
template <std::size_t N>
class Ring {
 public:
  /// The bucket of that number (time divided by the span's length); null for one that has left the ring.
  UsageTotals* at(std::uint64_t number) {
    if (number > newest_) {
      const std::uint64_t step = number - newest_;
      for (std::uint64_t i = 0; i < std::min<std::uint64_t>(step, N); ++i) buckets_[(number - i) % N] = UsageTotals();
      newest_ = number;
    }
    return number + N <= newest_ ? nullptr : &buckets_[number % N];
  }
  const UsageTotals* find(std::uint64_t number) const {
    return number > newest_ || number + N <= newest_ ? nullptr : &buckets_[number % N];
  }
  static constexpr std::size_t capacity() { return N; }

 private:
  std::array<UsageTotals, N> buckets_{};
  std::uint64_t newest_ = 0;
};

/// The account of one kind of leg. Constant memory, some 23 kB: five minutes by second, four hours by minute, eight
/// days by hour.
class UsageCell {
 public:
  void invited(Instant now, int circuits);
  void established(Instant now);
  void dropped(Instant now);
  void refused(Instant now);
  void released(Instant now, int circuits);
  /// Brings the circuit time up to now. Called by all of the above; by a reader before it reads.
  void accrue(Instant now);

  const UsageTotals& total() const { return total_; }
  int held() const { return held_; }
  const Ring<300>& seconds() const { return seconds_; }
  const Ring<240>& minutes() const { return minutes_; }
  const Ring<192>& hours() const { return hours_; }

 private:
  template <typename Change>
  void add(std::uint64_t at, Change change);

  UsageTotals total_;
  Ring<300> seconds_;
  Ring<240> minutes_;
  Ring<192> hours_;
  std::uint64_t settledAt_ = 0;  // microseconds
  int held_ = 0;
};

struct UsageKey {
  int from = 0, to = 0;  // zones
  int service = 0;
  LegKind legKind = LegKind::direct;
  friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

/// All cells of an office. Cells are made when first used and stay where they are; there are at most zones x services
/// x 3 of them, since an office sends from one zone.
class UsageLedger {
 public:
  UsageCell& cell(const UsageKey& key);
  const std::map<UsageKey, std::unique_ptr<UsageCell>>& cells() const { return cells_; }
  void accrue(Instant now);

 private:
  std::map<UsageKey, std::unique_ptr<UsageCell>> cells_;
};

}  // namespace thistlefold::zones
