#include "zones/peer_usage.hpp"

namespace thistlefold::zones {

void PeerUsage::recordIncarnation(int office, std::uint64_t mark) {
  UsageReplica& replica = replicas_[office];
  // A word of an earlier start that was late on its way changes nothing.
  if (mark <= replica.mark) return;
  for (const auto& [key, sums] : replica.sums) inherited_[key] += sums;
  replica.sums.clear();
  replica.mark = mark;
}

UsageTotals& PeerUsage::totalsFor(int office, std::uint64_t mark, const UsageKey& key) {
  recordIncarnation(office, mark);
  UsageReplica& replica = replicas_[office];
  return mark == replica.mark ? replica.sums[key] : inherited_[key];
}

}  // namespace thistlefold::zones
