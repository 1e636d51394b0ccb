#include "platform/ended_calls.hpp"

namespace thistlefold::platform {

void EndedCalls::add(const std::string& id, EndedCall call, Instant now) {
  if (!calls_.emplace(id, call).second) return;
  byAge_.push_back({id, now});
  if (byAge_.size() > capacity_) forgetOldest();
}

std::optional<EndedCall> EndedCalls::find(const std::string& id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? std::nullopt : std::optional(it->second);
}

void EndedCalls::expire(Instant now) {
  while (!byAge_.empty() && now - byAge_.front().endedAt > retention_) forgetOldest();
}

void EndedCalls::forgetOldest() {
  calls_.erase(byAge_.front().id);
  byAge_.pop_front();
}

}  // namespace thistlefold::platform
