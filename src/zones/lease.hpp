#pragma once

// One office's part of a budget between zones, and what the offices of its zone lend each other of theirs. Decides;
// free of I/O, instants are passed in. docs/zones.md has the proof that no two offices ever count on one circuit.
//
// Each office owns an equal part for good, and may lend of it to offices that want more. What is lent counts for the
// borrower alone, from the moment the lender has decided so, until the borrower has said that it holds it no longer
// or has been silent for long enough. Nothing depends on clocks that agree: each end measures with its own, and the
// lender's wait begins after the borrower's. Only owned circuits are lent, never borrowed ones.

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "zones/budget.hpp"

namespace thistlefold::zones {

/// Counts of what is lent. First circuits; then, by service, the right to go up to the most part; then, by service,
/// guaranteed circuits.
using Units = std::vector<int>;

/// What one office of a zone tells another about one budget. Each word holds the whole state between the two, so
/// that any may be lost, doubled or overtaken by a later one.
struct LeaseMessage {
  int from = 0;            // place of the sender
  int zone = 0;            // where the budget leads to
  std::uint64_t mark = 0;  // when the sender was started, on its own clock
  std::int64_t sent = 0;   // microseconds on the sender's clock; grows from word to word
  std::int64_t heard = 0;  // `sent` of the newest word that the sender has taken from the receiver
  // As a lender
  std::uint64_t serial = 0;  // grows with each grant; 0: does not know yet what it has lent
  Units granted;             // in all, under this serial
  Units spare;               // could be lent beside
  Units recalled;            // of what is granted, wanted back
  bool pressed = false;      // another asks for more than there is: whoever can do with less had better
  // As a borrower
  std::uint64_t seen = 0;  // the newest serial that the sender has taken
  Units holds;             // of what was granted under it
  Units asks;              // wants to hold in all
};

/// Spans of lending.
struct LeaseSpans {
  Span word = Span::ms(1000);    // a word goes to each peer so often ...
  Span soonest = Span::ms(50);   // ... and no sooner than this after the last, if there is need
  Span term = Span::ms(10000);   // a borrower takes nothing new on a loan when its lender has been silent so long
  Span demand = Span::ms(3000);  // what is needed is the most that was held within this
  /// After a start nothing is let in for so long: mates ask each other for a sign of life each second, and cut what
  /// stood over an office that was started anew.
  Span settle = Span::ms(1200);
  double drift = 0.01;  // clocks of two offices run alike to within this share
  /// After the term a lender waits this long before it writes a silent borrower's loan off. Sessions that stood on
  /// the loan have mostly ended by then: three mean holds of the longest service leave 5% of them.
  Span writtenOffAfter = Span::ms(30000);
};

/// One office's part of one budget.
class LeasedBudget {
 public:
  /// `place`: of this office; `zonePeers`: places of all offices of its zone, this one among them, in the fleet
  /// file's order.
  LeasedBudget(std::vector<Kind> kinds, int place, std::vector<int> zonePeers, int towards, Instant now,
               LeaseSpans spans = {});

  /// From now on. What stands, stands; what is lent is wanted back where the part has become less.
  void set(Instant now, const std::optional<Budget>& budget);
  /// Called after set() when the office has just been started. The own part is not used until what stood over an
  /// office that went before this one is over, and, with lending, until all mates have told what they hold of it or
  /// a term has passed.
  void wait(Instant now);
  bool bounded() const { return budget_.has_value(); }
  const std::optional<Budget>& budget() const { return budget_; }

  bool admits(Instant now, std::size_t service);
  void take(Instant now, std::size_t service);
  void release(Instant now, std::size_t service);
  /// A session was refused for want of room; with asked(), what is wanted.
  void refused(Instant now, std::size_t service);

  /// A word that came in. False: from no mate, or malformed; nothing was changed.
  bool hear(Instant now, const LeaseMessage& word);
  /// What is to be said now, and to whom. Also settles what has lapsed.
  std::vector<std::pair<int, LeaseMessage>> speak(Instant now);
  Instant nextDue() const;

  /// For the module and reports.
  const Part& part() const { return part_; }
  Allowance& allowance() { return allowance_; }
  int owned() const { return own_.empty() ? 0 : own_[0]; }
  int lent() const {
    addUp(ranAt_);
    return sums_.lent[0];
  }
  int borrowed(Instant now) const;
  int writtenOff() const {
    addUp(ranAt_);
    return sums_.writtenOff[0];
  }
  bool waiting() const { return waiting_; }
  /// Circuits of standing sessions that are to be ended now, by the operator's word.
  int mustEnd(Instant now) const;
  /// True once after the bounds have changed by themselves: the groups are to be shown anew.
  bool changed() { return std::exchange(changed_, false); }

 private:
  struct ZonePeer {
    int place = 0;
    std::uint64_t mark = 0;
    Instant heardAt = Instant::distantPast();
    std::int64_t sent = 0;  // of the newest word taken from it
    bool known = false;     // heard of since this office was started
    // It as a borrower
    std::uint64_t serial = 0;
    Units lent;
    Instant lentUntil;  // nothing new is let in on it after this
    bool writtenOff = false;
    Units back;          // of it, wanted back
    bool unmet = false;  // asked for more than could be lent
    Units ghost;         // lent to the one that went before it, until its sessions are sure to be over
    Instant ghostUntil;
    // It as a lender
    std::uint64_t seen = 0;
    Units loan;
    Instant loanUntil = Instant::distantPast();
    Units spare, recalled, ask;
    bool pressed = false;
    Instant spokenAt = Instant::distantPast();
    bool wanted = false;  // a word to it is wanted soon
  };

  std::size_t size() const { return 1 + 2 * kinds_.size(); }
  Units none() const { return Units(size(), 0); }
  bool talks() const;
  void endWait(Instant now);
  void bounds(Instant now);
  void returnSurplus(Instant now);
  void ask(Instant now);
  void grant(Instant now, ZonePeer& mate, const Units& asks);
  void wantBack(Instant now);
  void addUp(Instant now) const;
  int ownLeft(std::size_t unit) const { return waiting_ ? 0 : own_[unit] - sums_.lent[unit]; }
  int capacity(Instant now, std::size_t unit) const;
  int needed(Instant now, std::size_t unit, bool close) const;
  int spareOf(Instant now, std::size_t unit) const;
  int heldOf(std::size_t unit) const;
  void count(Instant now);
  LeaseMessage wordTo(Instant now, ZonePeer& mate);

  std::vector<Kind> kinds_;
  int place_, towards_;
  std::size_t index_ = 0, count_ = 1;
  LeaseSpans spans_;
  std::uint64_t mark_;
  Instant started_;
  std::optional<Budget> budget_;
  Part part_;
  Allowance allowance_;
  Units own_;
  std::vector<ZonePeer> peers_;
  bool waiting_ = false;
  bool changed_ = false;
  // Demand: the most held, and how often there was no room, in the running third of the span and the two before it.
  struct Lately {
    std::vector<int> most;
    std::vector<int> refused;
  };
  std::vector<Lately> lately_;
  std::int64_t third_ = 0;
  std::int64_t lastSent_ = 0;
  Instant overSince_ = Instant::never();
  struct Sums {
    Units lent, borrowed, recalled, writtenOff;
  };
  mutable Sums sums_;
  mutable bool stale_ = true;
  mutable Instant lapses_ = Instant::never();
  bool pressed_ = false;                 // some mate's asking is unmet
  Instant settleAt_ = Instant::never();  // words came in that speak() has not acted on
  Instant loweredAt_ = Instant::never();
  Instant ranAt_ = Instant::distantPast();
};

}  // namespace thistlefold::zones
