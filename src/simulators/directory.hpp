#pragma once

// A stand-in for the directory: knows which processors run, tells offices seconds late, can fail.

#include <map>
#include <string>
#include <vector>

#include "datagram_handler.hpp"
#include "office/list.hpp"

namespace thistlefold {

class SimulatedDirectory final : public DatagramHandler {
 public:
  /// `offices`: whom it tells without being asked. All exchanges count as ready and long started.
  SimulatedDirectory(std::vector<iax2::Address> offices, std::size_t exchanges, Instant now);

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// What is true from now on; told after `notice`. `start` is the mark of the processor that runs there.
  void learns(Instant now, int place, Readiness readiness, std::uint64_t start, Span notice);
  /// A group has so many circuits from now on; told at once.
  void resized(Instant now, GroupSize group);
  /// Says nothing until then.
  void failUntil(Instant until) { failedUntil_ = until; }

 private:
  struct Known {
    Readiness readiness = Readiness::ready;
    std::uint64_t start = 1;
    Instant started;
  };
  struct Later {
    int place;
    Known known;
  };
  ListEntry entry(int place, Instant now) const;
  void push(Instant now, const DatagramSender& out, const std::vector<int>& changed);

  std::vector<iax2::Address> offices_;
  std::vector<Known> told_;
  std::multimap<Instant, Later> later_;
  std::vector<GroupSize> groups_;
  std::vector<iax2::Address> asked_;
  Instant fullAt_;
  Instant failedUntil_ = Instant::distantPast();
  std::uint64_t id_;
  std::uint64_t version_ = 0;
};

}  // namespace thistlefold
