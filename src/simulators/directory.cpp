#include "simulators/directory.hpp"

#include <algorithm>

namespace thistlefold {
namespace {

// Interval of full lists. A lost update is made good by the next full list.
constexpr Span kFullListInterval = Span::ms(1000);

// Time that all processors have been running at the start: longer than any warm-up time.
constexpr Span kInitialUpTime = Span::ms(3.6e6);

}  // namespace

SimulatedDirectory::SimulatedDirectory(std::vector<iax2::Address> offices, std::size_t exchanges, Instant now)
    : offices_(std::move(offices)), nextFullListAt_(now), id_(static_cast<std::uint64_t>((now - Instant()).ms())) {
  ProcessorState initial;
  initial.started = now - kInitialUpTime;
  announced_.assign(exchanges, initial);
}

void SimulatedDirectory::receive(Instant, iax2::Address from, std::span<const std::uint8_t> datagram) {
  if (std::equal(datagram.begin(), datagram.end(), kListRequest.begin(), kListRequest.end()))
    requesters_.push_back(from);
}

void SimulatedDirectory::setState(Instant now, int place, Readiness readiness, std::uint64_t incarnation, Span delay) {
  PendingUpdate update{place, {readiness, incarnation, now}};
  const ProcessorState& announced = announced_[static_cast<std::size_t>(place)];
  if (announced.incarnation == incarnation) update.state.started = announced.started;
  pendingUpdates_.emplace(now + delay, update);
}

void SimulatedDirectory::setGroupSize(Instant now, GroupSize group) {
  std::erase_if(groups_, [&](const GroupSize& size) { return size.a == group.a && size.b == group.b; });
  groups_.push_back(group);
  nextFullListAt_ = now;
}

void SimulatedDirectory::process(Instant now, const DatagramSender& out) {
  std::vector<int> changed;
  while (!pendingUpdates_.empty() && pendingUpdates_.begin()->first <= now) {
    PendingUpdate& update = pendingUpdates_.begin()->second;
    announced_[static_cast<std::size_t>(update.place)] = update.state;
    changed.push_back(update.place);
    pendingUpdates_.erase(pendingUpdates_.begin());
  }
  if (now < failedUntil_) {
    requesters_.clear();
    if (nextFullListAt_ <= now) nextFullListAt_ = failedUntil_;
    return;
  }
  if (!changed.empty()) sendChanges(now, out, changed);
  if (nextFullListAt_ <= now || !requesters_.empty()) {
    ExchangeList list{id_, ++version_, true, {}, groups_};
    for (std::size_t i = 0; i < announced_.size(); ++i) list.entries.push_back(entry(static_cast<int>(i), now));
    const std::string text = encode(list);
    const auto& to = nextFullListAt_ <= now ? offices_ : requesters_;
    for (const iax2::Address office : to) {
      out(office, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    }
    if (nextFullListAt_ <= now) nextFullListAt_ = now + kFullListInterval;
    requesters_.clear();
  }
}

Instant SimulatedDirectory::nextDeadline() const {
  return pendingUpdates_.empty() ? nextFullListAt_ : std::min(nextFullListAt_, pendingUpdates_.begin()->first);
}

ListEntry SimulatedDirectory::entry(int place, Instant now) const {
  const ProcessorState& state = announced_[static_cast<std::size_t>(place)];
  return {place, state.readiness, state.incarnation, std::max(now - state.started, Span::none())};
}

void SimulatedDirectory::sendChanges(Instant now, const DatagramSender& out, const std::vector<int>& changed) {
  ExchangeList list{id_, ++version_, false, {}, {}};
  for (const int place : changed) list.entries.push_back(entry(place, now));
  const std::string text = encode(list);
  for (const iax2::Address office : offices_) {
    out(office, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }
}

}  // namespace thistlefold
