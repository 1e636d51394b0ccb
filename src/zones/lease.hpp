#pragma once

// One office's part of a budget between zones, and the leases of circuits between the offices of its zone. This is the
// decision core: it does no I/O, and every instant is passed in. docs/zones.md proves that no two offices ever count on
// the same circuit.
//
// Each office permanently owns an equal part of the budget and may lend from it to offices that want more. Lent units
// count for the borrower alone, from the moment the lender grants them until the borrower reports that it no longer
// holds them, or until the borrower has been silent for long enough. Clocks need not agree: each end measures with its
// own clock, and the lender's waiting time begins after the borrower's. Only owned circuits are lent, never borrowed
// ones.

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "zones/budget.hpp"

namespace thistlefold::zones {

/// Counts of what can be lent, for n services 1 + 2n entries: first circuits; then, by service, the right to use
/// circuits up to the service's `most`; then, by service, guaranteed circuits.
using Units = std::vector<int>;

/// What one office of a zone reports to another about one budget. Each message holds the whole state between the two
/// offices, so that any message may be lost, duplicated or overtaken by a later one.
struct LeaseMessage {
  int from = 0;                   // place of the sender
  int zone = 0;                   // zone that the budget leads to
  std::uint64_t incarnation = 0;  // when the sender's process started, in microseconds on its own clock
  std::int64_t sentAt = 0;        // microseconds on the sender's clock; grows from message to message
  std::int64_t echoedSentAt = 0;  // `sentAt` of the newest message that the sender has received from the receiver
  // The sender as a lender.
  std::uint64_t grantSerial = 0;  // grows with each grant; 0: the sender does not know yet what it has lent
  Units granted;                  // total granted to the receiver under `grantSerial`
  Units spare;                    // could be lent in addition
  Units recalled;                 // part of `granted` that the lender wants back
  bool contended = false;         // another borrower asks for more than can be lent: return what can be spared
  // The sender as a borrower.
  std::uint64_t seenSerial = 0;  // newest `grantSerial` that the sender has received
  Units borrowed;                // what the sender holds of the grant with that serial
  Units requested;               // total that the sender wants to hold
};

/// Intervals and time limits of lending.
struct LeaseTiming {
  Span messageInterval = Span::ms(1000);   // each peer is sent a message at least this often
  Span minMessageInterval = Span::ms(50);  // messages to one peer are at least this far apart
  Span leaseTerm = Span::ms(10000);        // after this much silence of the lender no new session uses its loan
  Span demandWindow = Span::ms(3000);      // demand is the maximum held within this window
  /// No session is admitted for this long after a start: peers send each other heartbeats every second, and drop the
  /// sessions that were established over an office that has restarted.
  Span startupDelay = Span::ms(1200);
  double maxClockDrift = 0.01;  // rates of two offices' clocks differ by no more than this share
  /// After the lease term a lender waits this long before it writes off a silent borrower's loan. By then most
  /// sessions that were established on the loan have ended: after three mean hold times of the longest service 5% of
  /// them are left, and the constructor raises the delay to that span.
  Span writeOffDelay = Span::ms(30000);
};

/// One office's part of one budget: what it owns, less what it has lent, plus what it has borrowed.
class LeasedBudget {
 public:
  /// `place`: of this office. `zonePeers`: places of all offices of its zone, this office included, in the order of
  /// the fleet file. `towards`: the zone that the budget leads to. `now` serves as this office's incarnation.
  LeasedBudget(const std::vector<ServiceProfile>& services, int place, std::vector<int> zonePeers, int towards,
               Instant now, LeaseTiming timing = {});

  /// Replaces the budget; `std::nullopt` removes it. Established sessions stay; loans are recalled where the owned part
  /// has become smaller.
  void setBudget(Instant now, const std::optional<Budget>& budget);
  /// To be called after setBudget() when the office has just started. The owned part is not used until the sessions of
  /// an earlier incarnation of this office are over and, with lending, until all peers have reported what they hold of
  /// it or a lease term has passed.
  void beginStartupWait(Instant now);
  /// Whether there is a budget.
  bool isBounded() const { return budget_.has_value(); }
  /// The whole budget, of which this office has a part; `std::nullopt` if there is none.
  const std::optional<Budget>& budget() const { return budget_; }

  /// Whether a session of this service may use circuits of the budget now. Also records that it was requested.
  bool admits(Instant now, std::size_t service);
  /// Takes the circuits of one session of this service, which admits() has allowed.
  void seize(Instant now, std::size_t service);
  /// Returns the circuits of one session of this service.
  void release(Instant now, std::size_t service);
  /// Records that a session was refused for lack of circuits, which raises what is requested from lenders.
  void recordRefusal(Instant now, std::size_t service);

  /// Handles a message. Returns false, with nothing changed, if it is not from a peer, is about another zone or is
  /// malformed, or if there is no budget.
  bool receive(Instant now, const LeaseMessage& message);
  /// Handles everything that has become due, such as leases that have lapsed, and returns the messages to send now,
  /// each with the place of its receiver.
  std::vector<std::pair<int, LeaseMessage>> process(Instant now);
  /// When process() is to be called next.
  Instant nextDeadline() const;

  /// This office's part of the circuits, for the controller and reports.
  const BudgetPart& part() const { return part_; }
  /// This office's part of the circuit-seconds, for the controller and reports.
  Allowance& allowance() { return allowance_; }
  /// Circuits that this office owns, whether or not they are lent.
  int owned() const { return own_.empty() ? 0 : own_[0]; }
  /// Circuits lent to peers, without those written off, as of the last process().
  int lent() const {
    updateTotals(lastProcessedAt_);
    return totals_.lent[0];
  }
  /// Circuits borrowed on leases that are valid at `now`.
  int borrowed(Instant now) const;
  /// Circuits lent to peers that have been silent for too long, as of the last process().
  int writtenOff() const {
    updateTotals(lastProcessedAt_);
    return totals_.writtenOff[0];
  }
  /// Whether the owned part is not used yet because the wait that beginStartupWait() began is not over.
  bool inStartupWait() const { return inStartupWait_; }
  /// Circuits of established sessions that are to be ended now, as the budget's overrun policy demands.
  int circuitsToEnd(Instant now) const;
  /// True once after the bounds of part() have changed: the caller then passes the groups' free circuits to the
  /// controller again.
  bool consumeBoundsChanged() { return std::exchange(boundsChanged_, false); }

 private:
  /// Lending between this office and one other office of the zone.
  struct ZonePeer {
    int place = 0;
    std::uint64_t incarnation = 0;
    Instant lastReceivedAt = Instant::distantPast();
    std::int64_t newestSentAt = 0;  // `sentAt` of the newest message received from it
    bool isKnown = false;           // has reported what it holds since this office started
    // The peer as a borrower.
    std::uint64_t grantSerial = 0;
    Units lent;
    Instant lentUntil;  // the peer admits nothing new on the loan after this
    bool isWrittenOff = false;
    Units recalledFromPeer;        // part of `lent` that this office wants back
    bool hasUnmetRequest = false;  // has requested more than could be lent
    Units lentToPrevious;          // lent to its earlier incarnation; kept until those sessions are certainly over
    Instant lentToPreviousUntil;
    // The peer as a lender.
    std::uint64_t seenSerial = 0;
    Units loan;
    Instant loanUntil = Instant::distantPast();
    Units offered, recalledByPeer, requested;
    bool contended = false;
    Instant lastSentAt = Instant::distantPast();
    bool messageDue = false;  // a message to it is to be sent as soon as the minimum interval allows
  };

  std::size_t size() const { return 1 + 2 * services_.size(); }
  Units noUnits() const { return Units(size(), 0); }
  bool exchangesMessages() const;
  void updateStartupWait(Instant now);
  void updateBounds(Instant now);
  void returnSurplus(Instant now);
  void updateRequests(Instant now);
  void grant(Instant now, ZonePeer& peer, const Units& requested);
  void updateRecalls(Instant now);
  void updateTotals(Instant now) const;
  int ownRemaining(std::size_t unit) const { return inStartupWait_ ? 0 : own_[unit] - totals_.lent[unit]; }
  int capacity(Instant now, std::size_t unit) const;
  int needed(Instant now, std::size_t unit, bool minimumOnly) const;
  int lendable(Instant now, std::size_t unit) const;
  int heldUnits(std::size_t unit) const;
  void recordDemand(Instant now);
  LeaseMessage makeMessage(Instant now, ZonePeer& peer);

  std::vector<ServiceProfile> services_;
  int place_, towards_;
  std::size_t indexInZone_ = 0, zoneSize_ = 1;
  LeaseTiming timing_;
  std::uint64_t incarnation_;
  Instant startedAt_;
  std::optional<Budget> budget_;
  BudgetPart part_;
  Allowance allowance_;
  Units own_;
  std::vector<ZonePeer> peers_;
  bool inStartupWait_ = false;
  bool boundsChanged_ = false;
  // Demand in a third of the demand window: the maximum held, and the units that were refused.
  struct DemandPeriod {
    std::vector<int> most;
    std::vector<int> refused;
  };
  std::vector<DemandPeriod> recentDemand_;  // the current third of the window, then the two before it
  std::int64_t currentThird_ = 0;           // number of the current third since the clock's zero
  std::int64_t lastSentAt_ = 0;             // `sentAt` of the last messages, in microseconds
  Instant overCapacitySince_ = Instant::never();
  // Sums over all peers, kept until a change or until the next loan lapses.
  struct Totals {
    Units lent, borrowed, recalled, writtenOff;
  };
  mutable Totals totals_;
  mutable bool totalsStale_ = true;
  mutable Instant totalsValidUntil_ = Instant::never();
  bool hasUnmetRequests_ = false;                // some peer's request is unmet
  Instant unprocessedSince_ = Instant::never();  // messages were received that process() has not acted on yet
  Instant loweredAt_ = Instant::never();
  Instant lastProcessedAt_ = Instant::distantPast();
};

}  // namespace thistlefold::zones
