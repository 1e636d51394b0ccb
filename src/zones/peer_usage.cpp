#include "zones/peer_usage.hpp"

namespace thistlefold::zones {

void PeerUsage::recordIncarnation(int office, std::uint64_t incarnation) {
  UsageReplica& replica = replicas_[office];
  // A delayed frame of an earlier incarnation changes nothing.
  if (incarnation <= replica.incarnation) return;
  for (const auto& [key, totals] : replica.totals) inherited_[key] += totals;
  replica.totals.clear();
  replica.incarnation = incarnation;
}

UsageTotals& PeerUsage::totalsFor(int office, std::uint64_t incarnation, const UsageKey& key) {
  recordIncarnation(office, incarnation);
  UsageReplica& replica = replicas_[office];
  return incarnation == replica.incarnation ? replica.totals[key] : inherited_[key];
}

}  // namespace thistlefold::zones
