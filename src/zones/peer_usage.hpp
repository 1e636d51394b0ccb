#pragma once

// What other offices sent here across zones, kept for the case that they forget it. No I/O.
//
// An office's account is its own word, and is gone with it when it is killed. What it sent was seen by the far ends:
// each keeps sums of what came from each start of another office. Those of the running start are in that office's own
// account and stay aside; those of earlier starts are in nobody else's any more and count for the fleet.

#include <cstdint>
#include <map>

#include "zones/ledger.hpp"

namespace thistlefold::zones {

class PeerUsage {
 public:
  /// Something was heard from that office, which was started at `mark` by its own clock. What an earlier start of it
  /// sent is from now on accounted for here.
  void recordIncarnation(int office, std::uint64_t mark);
  /// The sums for a leg that came in from `office`, as it was started at `mark`.
  UsageTotals& totalsFor(int office, std::uint64_t mark, const UsageKey& key);
  /// What offices sent here before they were started anew.
  const std::map<UsageKey, UsageTotals>& inherited() const { return inherited_; }

 private:
  struct UsageReplica {
    std::uint64_t mark = 0;
    std::map<UsageKey, UsageTotals> sums;
  };
  std::map<int, UsageReplica> replicas_;  // by place; as many cells each as the office's own account towards here
  std::map<UsageKey, UsageTotals> inherited_;
};

}  // namespace thistlefold::zones
