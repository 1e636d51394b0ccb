#include "simulators/directory.hpp"

#include <algorithm>

namespace thistlefold {
namespace {

// Changes may be lost on the way; a full list heals that within this.
constexpr Span kFullEvery = Span::ms(1000);

// Long enough that everything is warm.
constexpr Span kLongStarted = Span::ms(3.6e6);

}  // namespace

SimulatedDirectory::SimulatedDirectory(std::vector<iax2::Address> offices, std::size_t exchanges, Instant now)
    : offices_(std::move(offices)), fullAt_(now), id_(static_cast<std::uint64_t>((now - Instant()).ms())) {
  Known known;
  known.started = now - kLongStarted;
  told_.assign(exchanges, known);
}

void SimulatedDirectory::receive(Instant, iax2::Address from, std::span<const std::uint8_t> datagram) {
  if (std::equal(datagram.begin(), datagram.end(), kListRequest.begin(), kListRequest.end())) asked_.push_back(from);
}

void SimulatedDirectory::learns(Instant now, int place, Readiness readiness, std::uint64_t start, Span notice) {
  Later later{place, {readiness, start, now}};
  const Known& known = told_[static_cast<std::size_t>(place)];
  if (known.start == start) later.known.started = known.started;
  later_.emplace(now + notice, later);
}

void SimulatedDirectory::resized(Instant now, GroupSize group) {
  std::erase_if(groups_, [&](const GroupSize& one) { return one.a == group.a && one.b == group.b; });
  groups_.push_back(group);
  fullAt_ = now;
}

void SimulatedDirectory::process(Instant now, const DatagramSender& out) {
  std::vector<int> changed;
  while (!later_.empty() && later_.begin()->first <= now) {
    Later& later = later_.begin()->second;
    told_[static_cast<std::size_t>(later.place)] = later.known;
    changed.push_back(later.place);
    later_.erase(later_.begin());
  }
  if (now < failedUntil_) {
    asked_.clear();
    if (fullAt_ <= now) fullAt_ = failedUntil_;
    return;
  }
  if (!changed.empty()) push(now, out, changed);
  if (fullAt_ <= now || !asked_.empty()) {
    ExchangeList list{id_, ++version_, true, {}, groups_};
    for (std::size_t i = 0; i < told_.size(); ++i) list.entries.push_back(entry(static_cast<int>(i), now));
    const std::string text = encode(list);
    const auto& to = fullAt_ <= now ? offices_ : asked_;
    for (const iax2::Address office : to) {
      out(office, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    }
    if (fullAt_ <= now) fullAt_ = now + kFullEvery;
    asked_.clear();
  }
}

Instant SimulatedDirectory::nextDeadline() const {
  return later_.empty() ? fullAt_ : std::min(fullAt_, later_.begin()->first);
}

ListEntry SimulatedDirectory::entry(int place, Instant now) const {
  const Known& known = told_[static_cast<std::size_t>(place)];
  return {place, known.readiness, known.start, std::max(now - known.started, Span::none())};
}

void SimulatedDirectory::push(Instant now, const DatagramSender& out, const std::vector<int>& changed) {
  ExchangeList list{id_, ++version_, false, {}, {}};
  for (const int place : changed) list.entries.push_back(entry(place, now));
  const std::string text = encode(list);
  for (const iax2::Address office : offices_) {
    out(office, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }
}

}  // namespace thistlefold
