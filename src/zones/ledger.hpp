#pragma once

// Usage accounting of circuits between zones, kept by the office that sends the leg. No I/O; instants are passed in.
// Each leg is counted once in a fleet, by its sender: a two-leg session that crosses zones twice has two legs.

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>

#include "thistlefold/time.hpp"

namespace thistlefold::zones {

/// The role of a leg in its session: the only leg (`direct`), the `first` leg to a tandem, or the `second` leg from a
/// tandem.
enum class LegKind : std::uint8_t { direct, first, second };

/// Usage sums. All are integers, so that sums over parts add up exactly.
struct UsageTotals {
  std::uint64_t invites = 0;              // INVITEs sent
  std::uint64_t established = 0;          // sessions that were established
  std::uint64_t dropped = 0;              // established sessions that were dropped
  std::uint64_t refused = 0;              // for lack of budget; no INVITE was sent
  std::uint64_t circuitMicroseconds = 0;  // circuits held times the time they were held

  UsageTotals& operator+=(const UsageTotals& other);
  friend bool operator==(const UsageTotals&, const UsageTotals&) = default;
};

/// Ring buffer of the sums of the last N time intervals of one length. Older intervals are overwritten; a cell's totals
/// still include them.
template <std::size_t N>
class Ring {
 public:
  /// The bucket of interval `number` (time divided by the interval's length), which is created if it is newer than all
  /// others; null if it has been overwritten. The pointer is valid until the next call.
  UsageTotals* at(std::uint64_t number) {
    if (number > newest_) {
      const std::uint64_t step = number - newest_;
      for (std::uint64_t i = 0; i < std::min<std::uint64_t>(step, N); ++i) buckets_[(number - i) % N] = UsageTotals();
      newest_ = number;
    }
    return number + N <= newest_ ? nullptr : &buckets_[number % N];
  }
  /// The same without creating a bucket: null if the interval is not in the ring.
  const UsageTotals* find(std::uint64_t number) const {
    return number > newest_ || number + N <= newest_ ? nullptr : &buckets_[number % N];
  }
  /// Number of intervals kept.
  static constexpr std::size_t capacity() { return N; }

 private:
  std::array<UsageTotals, N> buckets_{};
  std::uint64_t newest_ = 0;
};

/// The usage of one kind of leg: five minutes by second, four hours by minute and eight days by hour. Takes constant
/// memory: 732 buckets of five 64-bit sums, about 29 kB.
class UsageCell {
 public:
  /// An INVITE was sent for a leg that holds `circuits` until released().
  void invited(Instant now, int circuits);
  /// The session of a leg was established.
  void established(Instant now);
  /// An established session was dropped.
  void dropped(Instant now);
  /// A session was refused for lack of budget; no INVITE was sent.
  void refused(Instant now);
  /// A leg has released its `circuits`.
  void released(Instant now, int circuits);
  /// Adds the circuit time up to `now`. All functions above call it; a reader calls it before it reads.
  void accrue(Instant now);

  /// Sums since the cell was created.
  const UsageTotals& total() const { return total_; }
  /// Circuits held now.
  int held() const { return held_; }
  /// Sums by second, by minute and by hour; intervals are numbered from the zero of the clock.
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
  std::uint64_t accruedAt_ = 0;  // microseconds
  int held_ = 0;
};

/// Identifies a cell of the ledger.
struct UsageKey {
  int from = 0, to = 0;  // indexes of zones
  int service = 0;
  LegKind legKind = LegKind::direct;
  friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

/// All usage cells of an office. Cells are created at first use and keep their address for the ledger's lifetime. There
/// are at most zones x services x 3 of them, since an office sends from one zone.
class UsageLedger {
 public:
  /// The cell for `key`, which is created if there is none.
  UsageCell& cell(const UsageKey& key);
  /// All cells that have been created.
  const std::map<UsageKey, std::unique_ptr<UsageCell>>& cells() const { return cells_; }
  /// Adds the circuit time of all cells up to `now`.
  void accrue(Instant now);

 private:
  std::map<UsageKey, std::unique_ptr<UsageCell>> cells_;
};

}  // namespace thistlefold::zones
