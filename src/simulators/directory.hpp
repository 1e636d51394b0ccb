#pragma once

// Simulates the directory: it knows which processors run, notifies offices after a delay, and can fail.

#include <map>
#include <string>
#include <vector>

#include "datagram_handler.hpp"
#include "office/list.hpp"

namespace thistlefold {

/// The directory of a fleet. It sends a full list at intervals and on request, and changes when they are announced.
class SimulatedDirectory final : public DatagramHandler {
 public:
  /// `offices` are sent lists without asking; others get them on request. All exchanges are ready at first, and have
  /// been running for long enough to be warm.
  SimulatedDirectory(std::vector<iax2::Address> offices, std::size_t exchanges, Instant now);

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// Sets the state of an exchange from now on; it is announced after `delay`. `incarnation` is that of the processor
  /// that runs there.
  void setState(Instant now, int place, Readiness readiness, std::uint64_t incarnation, Span delay);
  /// Sets the number of circuits of a trunk group from now on; announced at once.
  void setGroupSize(Instant now, GroupSize group);
  /// The directory sends nothing before `until`.
  void failUntil(Instant until) { failedUntil_ = until; }

 private:
  struct ProcessorState {
    Readiness readiness = Readiness::ready;
    std::uint64_t incarnation = 1;
    Instant started;
  };
  struct PendingUpdate {
    int place;
    ProcessorState state;
  };
  ListEntry entry(int place, Instant now) const;
  void sendChanges(Instant now, const DatagramSender& out, const std::vector<int>& changed);

  std::vector<iax2::Address> offices_;
  std::vector<ProcessorState> announced_;
  std::multimap<Instant, PendingUpdate> pendingUpdates_;
  std::vector<GroupSize> groups_;  // those that differ from the fleet file
  std::vector<iax2::Address> requesters_;
  Instant nextFullListAt_;
  Instant failedUntil_ = Instant::distantPast();
  std::uint64_t id_;  // differs for each start of a directory
  std::uint64_t version_ = 0;
};

}  // namespace thistlefold
