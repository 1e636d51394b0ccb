#pragma once

// Replicas of other offices' usage across zones, kept in case those offices lose their own account. No I/O.
//
// An office keeps its usage account in memory and loses it when it is killed. The far ends have seen the legs that it
// sent: each keeps sums of what it received from each incarnation of another office. The sums of the current
// incarnation are in that office's own account and are not reported here; those of earlier incarnations exist nowhere
// else and count for the fleet.

#include <cstdint>
#include <map>

#include "zones/ledger.hpp"

namespace thistlefold::zones {

/// Usage of legs that this office has received across zones, by sending office.
class PeerUsage {
 public:
  /// Records that `office` (a place) runs as `incarnation`, the start of its process by its own clock. The usage of
  /// earlier incarnations is reported by inherited() from now on. An older incarnation than the known one is ignored.
  void recordIncarnation(int office, std::uint64_t incarnation);
  /// The sums for a leg received from that incarnation of `office`; those of an older incarnation than the known one
  /// are in inherited(). Calls recordIncarnation(). The reference stays valid until a newer incarnation is recorded.
  UsageTotals& totalsFor(int office, std::uint64_t incarnation, const UsageKey& key);
  /// Usage that earlier incarnations of other offices sent here.
  const std::map<UsageKey, UsageTotals>& inherited() const { return inherited_; }

 private:
  struct UsageReplica {
    std::uint64_t incarnation = 0;
    std::map<UsageKey, UsageTotals> totals;
  };
  // By place. Each replica has as many cells as that office's own account has towards this zone.
  std::map<int, UsageReplica> replicas_;
  std::map<UsageKey, UsageTotals> inherited_;
};

}  // namespace thistlefold::zones
