#include "zones/lease.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thistlefold::zones {
namespace {

std::int64_t microseconds(Instant at) { return std::llround((at - Instant()).ms() * 1000); }
Instant instant(std::int64_t us) { return Instant::ms(static_cast<double>(us) / 1000); }

// Beside the drift of clocks: what a clock's resolution and rounding can make.
constexpr Span kGrain = Span::ms(10);

}  // namespace

LeasedBudget::LeasedBudget(std::vector<ServiceProfile> kinds, int place, std::vector<int> zonePeers, int towards,
                           Instant now, LeaseTiming spans)
    : kinds_(kinds),
      place_(place),
      towards_(towards),
      count_(std::max<std::size_t>(zonePeers.size(), 1)),
      spans_(spans),
      mark_(static_cast<std::uint64_t>(microseconds(now))),
      started_(now),
      part_(kinds),
      allowance_(kinds),
      own_(none()),
      lately_(3) {
  Span longest;
  for (const ServiceProfile& kind : kinds_) longest = std::max(longest, kind.meanHold);
  spans_.writtenOffAfter = std::max(spans_.writtenOffAfter, longest * 3.0);
  sums_ = {none(), none(), none(), none()};
  for (Lately& one : lately_) one = {std::vector<int>(size()), std::vector<int>(size())};
  for (std::size_t i = 0; i < zonePeers.size(); ++i) {
    if (zonePeers[i] == place) {
      index_ = i;
      continue;
    }
    ZonePeer mate;
    mate.place = zonePeers[i];
    mate.lent = mate.ghost = mate.loan = mate.spare = mate.recalled = mate.ask = mate.back = none();
    // Serials of one that is started anew are above all it gave out before, as long as its clock runs on.
    mate.serial = mark_;
    peers_.push_back(std::move(mate));
  }
}

void LeasedBudget::setBudget(Instant now, const std::optional<Budget>& budget) {
  if (budget_ && budget && budget->circuits < budget_->circuits) loweredAt_ = now;
  budget_ = budget;
  stale_ = true;
  own_ = none();
  if (budget_) {
    const int index = static_cast<int>(index_), count = static_cast<int>(count_);
    own_[0] = equalPart(budget_->circuits, index, count);
    for (std::size_t i = 0; i < kinds_.size() && i < budget_->classes.size(); ++i) {
      const ClassShare& whole = budget_->classes[i];
      if (whole.most) own_[1 + i] = equalPart(*whole.most, index, count);
      own_[1 + kinds_.size() + i] = equalPart(whole.guaranteed, index, count);
    }
  }
  allowance_.set(now,
                 budget_ && budget_->circuitSeconds
                     ? std::optional(*budget_->circuitSeconds / static_cast<double>(count_))
                     : std::nullopt,
                 budget_ ? budget_->period : Span::ms(3600000));
  for (ZonePeer& mate : peers_) mate.wanted = true;
  bounds(now);
}

void LeasedBudget::beginStartupWait(Instant now) {
  waiting_ = budget_.has_value();
  bounds(now);
}

/// Whether the wait after a start is over.
void LeasedBudget::endWait(Instant now) {
  if (!waiting_) return;
  if (budget_ && now < started_ + spans_.settle) return;
  const bool all = std::all_of(peers_.begin(), peers_.end(), [](const ZonePeer& one) { return one.known; });
  if (talks() && !all && now < started_ + spans_.term * (1 + spans_.drift) + kGrain) return;
  waiting_ = false;
}

/// With equal parts there is nothing to say but what is left of earlier loans.
bool LeasedBudget::talks() const {
  if (!budget_) return false;
  if (budget_->division == Division::lending) return true;
  const auto any = [](const Units& units) {
    return std::any_of(units.begin(), units.end(), [](int one) { return one > 0; });
  };
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const ZonePeer& mate) { return any(mate.lent) || any(mate.ghost) || any(mate.loan); });
}

/// Sums over all mates. Added up anew after a change and when the next loan lapses: with 94 mates, a sum for each
/// question would cost most of what lending does.
void LeasedBudget::addUp(Instant now) const {
  if (!stale_ && now < lapses_) return;
  sums_ = {none(), none(), none(), none()};
  lapses_ = Instant::never();
  for (const ZonePeer& mate : peers_) {
    const bool valid = mate.loanUntil > now;
    if (valid) lapses_ = std::min(lapses_, mate.loanUntil);
    for (std::size_t unit = 0; unit < size(); ++unit) {
      (mate.writtenOff ? sums_.writtenOff : sums_.lent)[unit] += mate.lent[unit];
      sums_.lent[unit] += mate.ghost[unit];
      if (!valid) continue;
      sums_.borrowed[unit] += mate.loan[unit];
      sums_.recalled[unit] += std::min(mate.recalled[unit], mate.loan[unit]);
    }
  }
  stale_ = false;
}

int LeasedBudget::borrowed(Instant now) const {
  addUp(now);
  return sums_.borrowed[0];
}

int LeasedBudget::capacity(Instant now, std::size_t unit) const {
  addUp(now);
  return ownLeft(unit) + sums_.borrowed[unit];
}

int LeasedBudget::heldOf(std::size_t unit) const {
  const std::size_t services = kinds_.size();
  return unit == 0 ? part_.held() : part_.heldBy((unit - 1) % services);
}

/// What sessions may be let in on. What a lender wants back is not for new ones.
void LeasedBudget::bounds(Instant now) {
  if (!budget_) {
    part_.set(std::nullopt);
    overSince_ = Instant::never();
    return;
  }
  const auto usable = [&](std::size_t unit) { return std::max(0, capacity(now, unit) - sums_.recalled[unit]); };
  Bounds bounds;
  bounds.circuits = usable(0);
  bounds.classes.resize(kinds_.size());
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (i < budget_->classes.size() && budget_->classes[i].most) bounds.classes[i].most = usable(1 + i);
    bounds.classes[i].guaranteed = usable(1 + kinds_.size() + i);
  }
  if (!part_.bounds() || part_.bounds()->circuits != bounds.circuits) changed_ = true;
  part_.set(bounds);
  // Above what may be held even while lenders wait for their own: only by a loan that lapsed, or a lowered budget.
  if (part_.held() <= capacity(now, 0)) {
    overSince_ = Instant::never();
  } else if (overSince_ == Instant::never()) {
    overSince_ = now;
  }
}

int LeasedBudget::circuitsToEnd(Instant now) const {
  if (!budget_ || budget_->overrun != OverrunPolicy::end) return 0;
  // Lowered by the operator: those that stand on what lenders want back are ended too.
  if (loweredAt_ <= now && now - loweredAt_ < spans_.term) return part_.excess();
  // On a loan that lapsed: before the lender writes it off. Its wait began before ours at the latest by the way of
  // one word, and its clock may be the faster one.
  if (overSince_ == Instant::never() ||
      now - overSince_ < spans_.writtenOffAfter * (1 - 2 * spans_.drift) - spans_.word)
    return 0;
  return std::max(0, part_.held() - std::max(0, capacity(now, 0)));
}

// ---- Demand

void LeasedBudget::count(Instant now) {
  const std::int64_t third = std::max<std::int64_t>(1, microseconds(Instant() + spans_.demand) / 3);
  const std::int64_t number = microseconds(now) / third;
  for (; third_ < number; ++third_) {
    if (number - third_ > 3) third_ = number - 3;
    std::rotate(lately_.begin(), lately_.end() - 1, lately_.end());
    lately_[0] = {std::vector<int>(size()), std::vector<int>(size())};
  }
  for (std::size_t unit = 0; unit < size(); ++unit)
    lately_[0].most[unit] = std::max(lately_[0].most[unit], heldOf(unit));
}

/// What this office had better have. `close`: what it can't do without, for which it wants back what it lent: what
/// it holds, what it had to refuse, and room for one session more. Else the most it held of late and some above, by
/// which it borrows and keeps: sessions in a group go up and down by about the root of their count.
int LeasedBudget::needed(Instant now, std::size_t unit, bool close) const {
  const std::size_t services = kinds_.size();
  int most = heldOf(unit), refused = 0;
  for (const Lately& one : lately_) {
    if (!close) most = std::max(most, one.most[unit]);
    refused = std::max(refused, one.refused[unit]);
  }
  if (!budget_ || budget_->division != Division::lending) return 0;
  // A guarantee is only fallen back on when there is little room beside it.
  if (unit > services && refused == 0 && part_.free() >= 2 * part_.widest(now)) return 0;
  const int width = unit == 0 ? part_.widest(now) : kinds_[(unit - 1) % services].width;
  // What was refused is taken at its word for a start and measured from then on.
  const int more = std::min(refused, std::max(2 * width, most / 2));
  // With fewer left than the widest takes, all are refused.
  const int next = unit == 0 ? width : 1;
  const int above = close ? next : std::max(next, static_cast<int>(std::ceil(std::sqrt(static_cast<double>(most)))));
  return most + more + above;
}

/// Of the own part, what can be lent beside what is.
int LeasedBudget::spareOf(Instant now, std::size_t unit) const {
  if (waiting_ || budget_->division != Division::lending) return 0;
  addUp(now);
  int keep = needed(now, unit, true);
  if (unit == 0) {
    int kept = part_.held();
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      kept += std::max(0, ownLeft(1 + kinds_.size() + i) - part_.heldBy(i));
    }
    keep = std::max(keep, kept);
  }
  // Written off is not lent a second time: whoever has it may still be heard of.
  return std::max(0, ownLeft(unit) - keep - sums_.writtenOff[unit]);
}

bool LeasedBudget::admits(Instant now, std::size_t service) {
  if (!budget_) return true;
  bounds(now);
  part_.asked(now, service);
  allowance_.asked(now, service);
  return part_.admits(now, service) && allowance_.admits(now, service);
}

void LeasedBudget::seize(Instant now, std::size_t service) {
  part_.seize(service);
  allowance_.seize(now, service);
  count(now);
}

void LeasedBudget::release(Instant now, std::size_t service) {
  count(now);
  part_.release(service);
  allowance_.release(now, service);
  if (budget_) bounds(now);
}

void LeasedBudget::recordRefusal(Instant now, std::size_t service) {
  if (!budget_ || budget_->division != Division::lending) return;
  count(now);
  const int width = kinds_[service].width;
  lately_[0].refused[0] += width;
  lately_[0].refused[1 + service] += width;
  lately_[0].refused[1 + kinds_.size() + service] += width;
  ask(now);
}

// ---- Borrowing

void LeasedBudget::ask(Instant now) {
  for (std::size_t unit = 0; unit < size(); ++unit) {
    const bool service = unit > 0 && unit <= kinds_.size();
    if (service && !(unit - 1 < budget_->classes.size() && budget_->classes[unit - 1].most)) continue;
    int wanting = needed(now, unit, false) - std::max(0, capacity(now, unit));
    std::vector<ZonePeer*> lenders;
    for (ZonePeer& mate : peers_) {
      mate.ask[unit] = mate.loan[unit];
      if (wanting > 0 && mate.heardAt + spans_.term > now) lenders.push_back(&mate);
    }
    // Each office begins with its next one in the fleet file: all that want more at once would else ask the same.
    std::rotate(lenders.begin(),
                std::find_if(lenders.begin(), lenders.end(), [&](const ZonePeer* one) { return one->place > place_; }),
                lenders.end());
    for (ZonePeer* mate : lenders) {
      if (wanting <= 0) break;
      if (mate->spare[unit] == 0) continue;
      const int more = std::min(wanting, mate->spare[unit]);
      mate->ask[unit] = mate->loan[unit] + more;
      mate->wanted = true;
      wanting -= more;
    }
    // What nobody can spare one of them is asked for all the same: it tells its other borrowers to do with less.
    if (unit == 0 && wanting > 0 && !lenders.empty()) lenders.front()->ask[0] += wanting;
  }
}

/// Gives back what lenders want, what is not needed any more, and what lapsed and has come free.
void LeasedBudget::returnSurplus(Instant now) {
  const bool lapsed = std::any_of(peers_.begin(), peers_.end(), [&](const ZonePeer& mate) {
    return mate.loanUntil <= now && std::any_of(mate.loan.begin(), mate.loan.end(), [](int one) { return one > 0; });
  });
  const bool pressed = std::any_of(peers_.begin(), peers_.end(), [](const ZonePeer& mate) { return mate.pressed; });
  for (std::size_t unit = 0; unit < size(); ++unit) {
    const bool guarantee = unit > kinds_.size();
    int all = std::max(0, capacity(now, unit));
    int idle = guarantee ? all : all - heldOf(unit);
    int surplus = all - needed(now, unit, false), close = all - needed(now, unit, true);
    int over = guarantee ? 0 : std::max(0, -idle);
    if (surplus <= 0 && (close <= 0 || !pressed) && sums_.recalled[unit] == 0 && over == 0 && !lapsed) continue;
    for (ZonePeer& mate : peers_) {
      int& loan = mate.loan[unit];
      if (loan == 0) continue;
      int back = 0;
      if (mate.loanUntil <= now) {
        // Lapsed. What sessions still stand on is said to be held until they end.
        back = loan - std::min(loan, over);
        over -= loan - back;
      } else {
        back = std::min({loan, std::max(0, idle), std::max(mate.recalled[unit], mate.pressed ? close : surplus)});
        back = std::max(0, back);
        idle -= back;
        surplus -= back;
        close -= back;
        mate.recalled[unit] = std::max(0, mate.recalled[unit] - back);
      }
      if (back == 0) continue;
      stale_ = true;
      loan -= back;
      mate.ask[unit] = std::min(mate.ask[unit], loan);
      mate.wanted = true;
    }
  }
}

// ---- Lending

void LeasedBudget::grant(Instant now, ZonePeer& mate, const Units& asks) {
  const std::size_t services = kinds_.size();
  addUp(now);
  Units more = none();
  bool any = false;
  for (std::size_t unit = 0; unit < size(); ++unit) {
    more[unit] = std::clamp(asks[unit] - mate.lent[unit], 0, spareOf(now, unit));
  }
  // A guarantee goes with the circuits it stands for, never without.
  int with = 0;
  for (std::size_t i = 0; i < services; ++i) {
    int& guarantee = more[1 + services + i];
    const int room = std::max(0, ownLeft(0) - part_.held() - more[0] - with);
    guarantee = std::min(guarantee, room);
    with += guarantee;
  }
  more[0] += with;
  for (std::size_t unit = 0; unit < size(); ++unit) {
    if (more[unit] == 0) continue;
    mate.lent[unit] += more[unit];
    any = true;
  }
  if (!any) return;
  stale_ = true;
  ++mate.serial;
  mate.wanted = true;
}

bool LeasedBudget::receive(Instant now, const LeaseMessage& word) {
  if (word.zone != towards_ || !budget_) return false;
  for (const Units* units : {&word.granted, &word.spare, &word.recalled, &word.holds, &word.asks}) {
    if (units->size() != size()) return false;
    for (const int one : *units) {
      if (one < 0 || one > 1000000) return false;
    }
  }
  const auto it =
      std::find_if(peers_.begin(), peers_.end(), [&](const ZonePeer& one) { return one.place == word.from; });
  if (it == peers_.end()) return false;
  ZonePeer& mate = *it;
  count(now);
  stale_ = true;
  if (word.mark != mate.mark) {
    // Of an earlier start than one heard of: late on its way. One whose clock went back is believed once the other
    // has been silent for a term.
    if (mate.known && word.mark < mate.mark && now - mate.heardAt < spans_.term) return true;
    if (mate.known) {
      // It holds nothing any more, but its sessions may still stand at their far ends for a while: mates are given up
      // after six seconds' silence, within the term.
      if (!mate.writtenOff) {
        for (std::size_t unit = 0; unit < size(); ++unit) mate.ghost[unit] += mate.lent[unit];
        mate.ghostUntil = std::max(mate.ghostUntil, now + spans_.term);
      }
      mate.lent = none();
      mate.writtenOff = false;
      ++mate.serial;
    }
    mate.mark = word.mark;
    mate.sent = 0;
  }
  if (word.sent <= mate.sent) return true;  // doubled, or overtaken by a later one
  mate.sent = word.sent;
  mate.heardAt = now;
  mate.lentUntil = now + spans_.term * (1 + spans_.drift) + kGrain;
  // Said to the one that went before this office, or before this one has said anything: it may be overtaken by what
  // the sender does once it knows. It is answered, and the answer to that counts.
  if (word.heard <= 0 || word.heard < static_cast<std::int64_t>(mark_) || word.heard > lastSent_) {
    mate.wanted = true;
    return true;
  }
  // It as a borrower. What it holds under the newest serial only becomes less until the next.
  if (!mate.known || word.seen > mate.serial) {
    // This office was started anew and learns what the one before it lent.
    for (std::size_t unit = 0; unit < size(); ++unit) mate.lent[unit] = std::max(mate.lent[unit], word.holds[unit]);
    mate.serial = std::max(mate.serial, word.seen) + 1;
  } else if (word.seen == mate.serial) {
    for (std::size_t unit = 0; unit < size(); ++unit) mate.lent[unit] = std::min(mate.lent[unit], word.holds[unit]);
  }
  mate.known = true;
  mate.writtenOff = false;
  endWait(now);
  stale_ = true;
  grant(now, mate, word.asks);
  mate.unmet = word.asks[0] > mate.lent[0];
  // It as a lender.
  if (word.serial > mate.seen) {
    mate.seen = word.serial;
    mate.loan = word.granted;
    mate.wanted = true;
  }
  // Valid from when the word was sent that the lender has answered: before the lender's own wait began.
  // Not by one that does not know yet what it has lent.
  if (word.serial > 0) mate.loanUntil = std::max(mate.loanUntil, std::min(now, instant(word.heard)) + spans_.term);
  mate.spare = word.spare;
  mate.recalled = word.recalled;
  mate.pressed = word.pressed;
  stale_ = true;
  // What follows from it is settled once for all words that came together, by speak().
  settleAt_ = now;
  return true;
}

/// The owner has the first claim: what it needs, and has not, it wants back from each mate in turn.
void LeasedBudget::wantBack(Instant now) {
  const std::size_t services = kinds_.size();
  for (std::size_t unit = size(); unit-- > 0;) {
    int missing = waiting_ ? 0 : std::max(0, needed(now, unit, true) - ownLeft(unit));
    // Lending has been switched off.
    if (budget_->division != Division::lending) missing = sums_.lent[unit];
    for (ZonePeer& mate : peers_) {
      int most = mate.writtenOff || now - mate.heardAt > spans_.word * 3.0 ? 0 : mate.lent[unit];
      // Not the circuits that a lent guarantee stands for: whatever floods here has no claim on those.
      for (std::size_t i = 0; unit == 0 && i < services; ++i) {
        most -= mate.lent[1 + services + i] - mate.back[1 + services + i];
      }
      const int back = std::clamp(missing, 0, std::max(0, most));
      if (back > mate.back[unit]) mate.wanted = true;
      mate.back[unit] = back;
      missing -= back;
    }
  }
}

LeaseMessage LeasedBudget::wordTo(Instant now, ZonePeer& mate) {
  LeaseMessage word;
  word.from = place_;
  word.zone = towards_;
  word.mark = mark_;
  word.sent = lastSent_;
  word.heard = mate.sent;
  // Until it has heard what that mate holds, an office that was started anew has nothing to say as its lender: "nothing
  // is granted" would be taken at its word.
  word.serial = mate.known ? mate.serial : 0;
  word.granted = mate.lent;
  word.spare = none();
  for (std::size_t unit = 0; unit < size(); ++unit) {
    word.spare[unit] = spareOf(now, unit);
  }
  word.recalled = mate.back;
  word.pressed = pressed_;
  word.seen = mate.seen;
  word.holds = mate.loan;
  word.asks = mate.ask;
  mate.spokenAt = now;
  mate.wanted = false;
  return word;
}

std::vector<std::pair<int, LeaseMessage>> LeasedBudget::process(Instant now) {
  std::vector<std::pair<int, LeaseMessage>> words;
  endWait(now);
  if (!talks()) {
    // The last of earlier loans may just have come back.
    settleAt_ = Instant::never();
    bounds(now);
    return words;
  }
  count(now);
  // This office stood still and could hear nobody: silence begins with now.
  if (now - ranAt_ > spans_.word * 3.0) {
    for (ZonePeer& mate : peers_) mate.lentUntil = std::max(mate.lentUntil, now);
  }
  ranAt_ = now;
  settleAt_ = Instant::never();
  for (ZonePeer& mate : peers_) {
    if (mate.ghostUntil <= now && mate.ghostUntil != Instant()) {
      mate.ghost = none();
      mate.ghostUntil = Instant();
      stale_ = true;
    }
    const bool lends = std::any_of(mate.lent.begin(), mate.lent.end(), [](int one) { return one > 0; });
    if (lends && !mate.writtenOff && now >= mate.lentUntil + spans_.writtenOffAfter) {
      mate.writtenOff = true;
      stale_ = true;
    }
  }
  bounds(now);
  returnSurplus(now);
  ask(now);
  bounds(now);
  wantBack(now);
  const bool unmet = std::any_of(peers_.begin(), peers_.end(), [&](const ZonePeer& mate) {
    return mate.unmet && now - mate.heardAt < spans_.word * 3.0;
  });
  if (unmet && !pressed_) {
    for (ZonePeer& mate : peers_) mate.wanted = mate.wanted || mate.lent[0] > 0;
  }
  pressed_ = unmet;
  for (ZonePeer& mate : peers_) {
    const Span since = now - mate.spokenAt;
    if (since < spans_.soonest || (!mate.wanted && since < spans_.word)) continue;
    if (words.empty()) lastSent_ = std::max(lastSent_ + 1, microseconds(now));
    words.emplace_back(mate.place, wordTo(now, mate));
  }
  return words;
}

Instant LeasedBudget::nextDeadline() const {
  if (settleAt_ != Instant::never()) return settleAt_;
  Instant due = Instant::never();
  // Once settled it waits for a word, or for the term to end; with a mate that is silent, due at once would be due for
  // ever.
  if (waiting_)
    due = ranAt_ < started_ + spans_.settle ? started_ + spans_.settle
                                            : started_ + spans_.term * (1 + spans_.drift) + kGrain;
  if (!talks()) return due;
  for (const ZonePeer& mate : peers_) due = std::min(due, mate.spokenAt + (mate.wanted ? spans_.soonest : spans_.word));
  return due;
}

}  // namespace thistlefold::zones
