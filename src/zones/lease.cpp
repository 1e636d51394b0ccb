#include "zones/lease.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thistlefold::zones {
namespace {

std::int64_t microseconds(Instant at) { return std::llround((at - Instant()).ms() * 1000); }
Instant instant(std::int64_t us) { return Instant::ms(static_cast<double>(us) / 1000); }

// Added to spans that allow for clock drift: covers the resolution of clocks and rounding.
constexpr Span kClockGranularity = Span::ms(10);

}  // namespace

LeasedBudget::LeasedBudget(const std::vector<ServiceProfile>& services, int place, std::vector<int> zonePeers,
                           int towards, Instant now, LeaseTiming timing)
    : services_(services),
      place_(place),
      towards_(towards),
      zoneSize_(std::max<std::size_t>(zonePeers.size(), 1)),
      timing_(timing),
      incarnation_(static_cast<std::uint64_t>(microseconds(now))),
      startedAt_(now),
      part_(services),
      allowance_(services),
      own_(noUnits()),
      recentDemand_(3) {
  Span longest;
  for (const ServiceProfile& service : services_) longest = std::max(longest, service.meanHold);
  timing_.writeOffDelay = std::max(timing_.writeOffDelay, longest * 3.0);
  totals_ = {noUnits(), noUnits(), noUnits(), noUnits()};
  for (DemandPeriod& one : recentDemand_) one = {std::vector<int>(size()), std::vector<int>(size())};
  for (std::size_t i = 0; i < zonePeers.size(); ++i) {
    if (zonePeers[i] == place) {
      indexInZone_ = i;
      continue;
    }
    ZonePeer peer;
    peer.place = zonePeers[i];
    peer.lent = peer.lentToPrevious = peer.loan = peer.offered = peer.recalledByPeer = peer.requested =
        peer.recalledFromPeer = noUnits();
    // After a restart the serials are above all that were sent before, as long as the clock has not gone back.
    peer.grantSerial = incarnation_;
    peers_.push_back(std::move(peer));
  }
}

void LeasedBudget::setBudget(Instant now, const std::optional<Budget>& budget) {
  if (budget_ && budget && budget->circuits < budget_->circuits) loweredAt_ = now;
  budget_ = budget;
  totalsStale_ = true;
  own_ = noUnits();
  if (budget_) {
    const int index = static_cast<int>(indexInZone_), count = static_cast<int>(zoneSize_);
    own_[0] = equalPart(budget_->circuits, index, count);
    for (std::size_t i = 0; i < services_.size() && i < budget_->classes.size(); ++i) {
      const ClassShare& whole = budget_->classes[i];
      if (whole.most) own_[1 + i] = equalPart(*whole.most, index, count);
      own_[1 + services_.size() + i] = equalPart(whole.guaranteed, index, count);
    }
  }
  allowance_.setLimit(now,
                      budget_ && budget_->circuitSeconds
                          ? std::optional(*budget_->circuitSeconds / static_cast<double>(zoneSize_))
                          : std::nullopt,
                      budget_ ? budget_->period : Span::ms(3600000));
  for (ZonePeer& peer : peers_) peer.messageDue = true;
  updateBounds(now);
}

void LeasedBudget::beginStartupWait(Instant now) {
  inStartupWait_ = budget_.has_value();
  updateBounds(now);
}

/// Ends the wait after a start once its conditions are met.
void LeasedBudget::updateStartupWait(Instant now) {
  if (!inStartupWait_) return;
  if (budget_ && now < startedAt_ + timing_.startupDelay) return;
  const bool all = std::all_of(peers_.begin(), peers_.end(), [](const ZonePeer& one) { return one.isKnown; });
  if (exchangesMessages() && !all &&
      now < startedAt_ + timing_.leaseTerm * (1 + timing_.maxClockDrift) + kClockGranularity)
    return;
  inStartupWait_ = false;
}

/// Whether messages are exchanged. With equal parts they only settle what is left of earlier loans.
bool LeasedBudget::exchangesMessages() const {
  if (!budget_) return false;
  if (budget_->division == Division::lending) return true;
  const auto any = [](const Units& units) {
    return std::any_of(units.begin(), units.end(), [](int one) { return one > 0; });
  };
  return std::any_of(peers_.begin(), peers_.end(), [&](const ZonePeer& peer) {
    return any(peer.lent) || any(peer.lentToPrevious) || any(peer.loan);
  });
}

/// Adds up the totals over all peers, only after a change and when the next loan lapses: with 94 peers, a sum for each
/// query would be most of the cost of lending.
void LeasedBudget::updateTotals(Instant now) const {
  if (!totalsStale_ && now < totalsValidUntil_) return;
  totals_ = {noUnits(), noUnits(), noUnits(), noUnits()};
  totalsValidUntil_ = Instant::never();
  for (const ZonePeer& peer : peers_) {
    const bool valid = peer.loanUntil > now;
    if (valid) totalsValidUntil_ = std::min(totalsValidUntil_, peer.loanUntil);
    for (std::size_t unit = 0; unit < size(); ++unit) {
      (peer.isWrittenOff ? totals_.writtenOff : totals_.lent)[unit] += peer.lent[unit];
      totals_.lent[unit] += peer.lentToPrevious[unit];
      if (!valid) continue;
      totals_.borrowed[unit] += peer.loan[unit];
      totals_.recalled[unit] += std::min(peer.recalledByPeer[unit], peer.loan[unit]);
    }
  }
  totalsStale_ = false;
}

int LeasedBudget::borrowed(Instant now) const {
  updateTotals(now);
  return totals_.borrowed[0];
}

int LeasedBudget::capacity(Instant now, std::size_t unit) const {
  updateTotals(now);
  return ownRemaining(unit) + totals_.borrowed[unit];
}

int LeasedBudget::heldUnits(std::size_t unit) const {
  const std::size_t serviceCount = services_.size();
  return unit == 0 ? part_.held() : part_.heldBy((unit - 1) % serviceCount);
}

/// Sets the bounds under which sessions are admitted. What a lender recalls is not available to new sessions.
void LeasedBudget::updateBounds(Instant now) {
  if (!budget_) {
    part_.setBounds(std::nullopt);
    overCapacitySince_ = Instant::never();
    return;
  }
  const auto usable = [&](std::size_t unit) { return std::max(0, capacity(now, unit) - totals_.recalled[unit]); };
  Bounds bounds;
  bounds.circuits = usable(0);
  bounds.classes.resize(services_.size());
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (i < budget_->classes.size() && budget_->classes[i].most) bounds.classes[i].most = usable(1 + i);
    bounds.classes[i].guaranteed = usable(1 + services_.size() + i);
  }
  if (!part_.bounds() || part_.bounds()->circuits != bounds.circuits) boundsChanged_ = true;
  part_.setBounds(bounds);
  // More is held than even recalled circuits allow. Only a lapsed loan or a lowered budget causes this.
  if (part_.held() <= capacity(now, 0)) {
    overCapacitySince_ = Instant::never();
  } else if (overCapacitySince_ == Instant::never()) {
    overCapacitySince_ = now;
  }
}

int LeasedBudget::circuitsToEnd(Instant now) const {
  if (!budget_ || budget_->overrun != OverrunPolicy::end) return 0;
  // The operator has lowered the budget: sessions on circuits that lenders recall are ended too.
  if (loweredAt_ <= now && now - loweredAt_ < timing_.leaseTerm) return part_.excess();
  // A loan has lapsed: its sessions end before the lender writes it off. The lender's wait began before this office's,
  // at most by the transit time of one message, and the lender's clock may be the faster one.
  if (overCapacitySince_ == Instant::never() ||
      now - overCapacitySince_ < timing_.writeOffDelay * (1 - 2 * timing_.maxClockDrift) - timing_.messageInterval)
    return 0;
  return std::max(0, part_.held() - std::max(0, capacity(now, 0)));
}

// ---- Demand

void LeasedBudget::recordDemand(Instant now) {
  const std::int64_t third = std::max<std::int64_t>(1, microseconds(Instant() + timing_.demandWindow) / 3);
  const std::int64_t number = microseconds(now) / third;
  for (; currentThird_ < number; ++currentThird_) {
    if (number - currentThird_ > 3) currentThird_ = number - 3;
    std::rotate(recentDemand_.begin(), recentDemand_.end() - 1, recentDemand_.end());
    recentDemand_[0] = {std::vector<int>(size()), std::vector<int>(size())};
  }
  for (std::size_t unit = 0; unit < size(); ++unit)
    recentDemand_[0].most[unit] = std::max(recentDemand_[0].most[unit], heldUnits(unit));
}

/// Units of one kind that this office needs. With `minimumOnly` this is what it cannot do without and for which it
/// recalls loans: what it holds, what it had to refuse, and circuits for one more session. Otherwise it is the maximum
/// held recently plus headroom, which decides how much it borrows and keeps: the number of sessions in a group varies
/// by about the square root of its mean.
int LeasedBudget::needed(Instant now, std::size_t unit, bool minimumOnly) const {
  const std::size_t serviceCount = services_.size();
  int most = heldUnits(unit), refused = 0;
  for (const DemandPeriod& period : recentDemand_) {
    if (!minimumOnly) most = std::max(most, period.most[unit]);
    refused = std::max(refused, period.refused[unit]);
  }
  if (!budget_ || budget_->division != Division::lending) return 0;
  // A guarantee is needed only when few other circuits are free.
  if (unit > serviceCount && refused == 0 && part_.free() >= 2 * part_.widestRequested(now)) return 0;
  const int width = unit == 0 ? part_.widestRequested(now) : services_[(unit - 1) % serviceCount].width;
  // Refusals raise the demand at first by no more than this; after that the units held measure it.
  const int extra = std::min(refused, std::max(2 * width, most / 2));
  // With fewer free circuits than the widest session takes, all sessions are refused.
  const int oneMore = unit == 0 ? width : 1;
  const int headroom =
      minimumOnly ? oneMore : std::max(oneMore, static_cast<int>(std::ceil(std::sqrt(static_cast<double>(most)))));
  return most + extra + headroom;
}

/// Units of the owned part that can be lent in addition to what is already lent.
int LeasedBudget::lendable(Instant now, std::size_t unit) const {
  if (inStartupWait_ || budget_->division != Division::lending) return 0;
  updateTotals(now);
  int keep = needed(now, unit, true);
  if (unit == 0) {
    int reserved = part_.held();
    for (std::size_t i = 0; i < services_.size(); ++i) {
      reserved += std::max(0, ownRemaining(1 + services_.size() + i) - part_.heldBy(i));
    }
    keep = std::max(keep, reserved);
  }
  // Written-off units are not lent a second time: their borrower may reappear.
  return std::max(0, ownRemaining(unit) - keep - totals_.writtenOff[unit]);
}

bool LeasedBudget::admits(Instant now, std::size_t service) {
  if (!budget_) return true;
  updateBounds(now);
  part_.recordRequest(now, service);
  allowance_.recordRequest(now, service);
  return part_.admits(now, service) && allowance_.admits(now, service);
}

void LeasedBudget::seize(Instant now, std::size_t service) {
  part_.seize(service);
  allowance_.seize(now, service);
  recordDemand(now);
}

void LeasedBudget::release(Instant now, std::size_t service) {
  recordDemand(now);
  part_.release(service);
  allowance_.release(now, service);
  if (budget_) updateBounds(now);
}

void LeasedBudget::recordRefusal(Instant now, std::size_t service) {
  if (!budget_ || budget_->division != Division::lending) return;
  recordDemand(now);
  const int width = services_[service].width;
  recentDemand_[0].refused[0] += width;
  recentDemand_[0].refused[1 + service] += width;
  recentDemand_[0].refused[1 + services_.size() + service] += width;
  updateRequests(now);
}

// ---- Borrowing

void LeasedBudget::updateRequests(Instant now) {
  for (std::size_t unit = 0; unit < size(); ++unit) {
    const bool isServiceLimit = unit > 0 && unit <= services_.size();
    if (isServiceLimit && !(unit - 1 < budget_->classes.size() && budget_->classes[unit - 1].most)) continue;
    int missing = needed(now, unit, false) - std::max(0, capacity(now, unit));
    std::vector<ZonePeer*> lenders;
    for (ZonePeer& peer : peers_) {
      peer.requested[unit] = peer.loan[unit];
      if (missing > 0 && peer.lastReceivedAt + timing_.leaseTerm > now) lenders.push_back(&peer);
    }
    // Each office begins with the one after it in the fleet file, so that offices which want more at the same time do
    // not all ask the same lender.
    std::rotate(lenders.begin(),
                std::find_if(lenders.begin(), lenders.end(), [&](const ZonePeer* one) { return one->place > place_; }),
                lenders.end());
    for (ZonePeer* peer : lenders) {
      if (missing <= 0) break;
      if (peer->offered[unit] == 0) continue;
      const int extra = std::min(missing, peer->offered[unit]);
      peer->requested[unit] = peer->loan[unit] + extra;
      peer->messageDue = true;
      missing -= extra;
    }
    // Circuits that no lender can spare are requested from the first lender nevertheless: it then marks its messages as
    // contended, and its other borrowers return what they can.
    if (unit == 0 && missing > 0 && !lenders.empty()) lenders.front()->requested[0] += missing;
  }
}

/// Returns what lenders recall, what is not needed any more, and what has lapsed and is free.
void LeasedBudget::returnSurplus(Instant now) {
  const bool anyLapsed = std::any_of(peers_.begin(), peers_.end(), [&](const ZonePeer& peer) {
    return peer.loanUntil <= now && std::any_of(peer.loan.begin(), peer.loan.end(), [](int one) { return one > 0; });
  });
  const bool contended = std::any_of(peers_.begin(), peers_.end(), [](const ZonePeer& peer) { return peer.contended; });
  for (std::size_t unit = 0; unit < size(); ++unit) {
    const bool isGuarantee = unit > services_.size();
    int available = std::max(0, capacity(now, unit));
    int idle = isGuarantee ? available : available - heldUnits(unit);
    int surplus = available - needed(now, unit, false), minimumSurplus = available - needed(now, unit, true);
    int overCapacity = isGuarantee ? 0 : std::max(0, -idle);
    if (surplus <= 0 && (minimumSurplus <= 0 || !contended) && totals_.recalled[unit] == 0 && overCapacity == 0 &&
        !anyLapsed)
      continue;
    for (ZonePeer& peer : peers_) {
      int& loan = peer.loan[unit];
      if (loan == 0) continue;
      int returned = 0;
      if (peer.loanUntil <= now) {
        // The loan has lapsed. Units that sessions still use are reported as borrowed until those sessions end.
        returned = loan - std::min(loan, overCapacity);
        overCapacity -= loan - returned;
      } else {
        returned = std::min(
            {loan, std::max(0, idle), std::max(peer.recalledByPeer[unit], peer.contended ? minimumSurplus : surplus)});
        returned = std::max(0, returned);
        idle -= returned;
        surplus -= returned;
        minimumSurplus -= returned;
        peer.recalledByPeer[unit] = std::max(0, peer.recalledByPeer[unit] - returned);
      }
      if (returned == 0) continue;
      totalsStale_ = true;
      loan -= returned;
      peer.requested[unit] = std::min(peer.requested[unit], loan);
      peer.messageDue = true;
    }
  }
}

// ---- Lending

void LeasedBudget::grant(Instant now, ZonePeer& peer, const Units& requested) {
  const std::size_t serviceCount = services_.size();
  updateTotals(now);
  Units extra = noUnits();
  bool anyGranted = false;
  for (std::size_t unit = 0; unit < size(); ++unit) {
    extra[unit] = std::clamp(requested[unit] - peer.lent[unit], 0, lendable(now, unit));
  }
  // A guarantee is lent together with its circuits, never without them.
  int guaranteedTotal = 0;
  for (std::size_t i = 0; i < serviceCount; ++i) {
    int& extraGuaranteed = extra[1 + serviceCount + i];
    const int available = std::max(0, ownRemaining(0) - part_.held() - extra[0] - guaranteedTotal);
    extraGuaranteed = std::min(extraGuaranteed, available);
    guaranteedTotal += extraGuaranteed;
  }
  extra[0] += guaranteedTotal;
  for (std::size_t unit = 0; unit < size(); ++unit) {
    if (extra[unit] == 0) continue;
    peer.lent[unit] += extra[unit];
    anyGranted = true;
  }
  if (!anyGranted) return;
  totalsStale_ = true;
  ++peer.grantSerial;
  peer.messageDue = true;
}

bool LeasedBudget::receive(Instant now, const LeaseMessage& message) {
  if (message.zone != towards_ || !budget_) return false;
  for (const Units* units :
       {&message.granted, &message.spare, &message.recalled, &message.borrowed, &message.requested}) {
    if (units->size() != size()) return false;
    for (const int one : *units) {
      if (one < 0 || one > 1000000) return false;
    }
  }
  const auto it =
      std::find_if(peers_.begin(), peers_.end(), [&](const ZonePeer& one) { return one.place == message.from; });
  if (it == peers_.end()) return false;
  ZonePeer& peer = *it;
  recordDemand(now);
  totalsStale_ = true;
  if (message.incarnation != peer.incarnation) {
    // A message from an earlier incarnation than the known one was delayed in transit and is ignored. An incarnation
    // whose clock went back is accepted once the known one has been silent for a lease term.
    if (peer.isKnown && message.incarnation < peer.incarnation && now - peer.lastReceivedAt < timing_.leaseTerm)
      return true;
    if (peer.isKnown) {
      // The peer has restarted and holds nothing any more, but the far ends of its sessions may keep them for a while:
      // a peer is given up after six seconds of silence, which is within the lease term.
      if (!peer.isWrittenOff) {
        for (std::size_t unit = 0; unit < size(); ++unit) peer.lentToPrevious[unit] += peer.lent[unit];
        peer.lentToPreviousUntil = std::max(peer.lentToPreviousUntil, now + timing_.leaseTerm);
      }
      peer.lent = noUnits();
      peer.isWrittenOff = false;
      ++peer.grantSerial;
    }
    peer.incarnation = message.incarnation;
    peer.newestSentAt = 0;
  }
  if (message.sentAt <= peer.newestSentAt) return true;  // a duplicate, or overtaken by a later message
  peer.newestSentAt = message.sentAt;
  peer.lastReceivedAt = now;
  peer.lentUntil = now + timing_.leaseTerm * (1 + timing_.maxClockDrift) + kClockGranularity;
  // The sender has not received a message of this incarnation yet, so what it reports may change once it knows of the
  // restart. It is answered, and its reply to that answer counts.
  if (message.echoedSentAt <= 0 || message.echoedSentAt < static_cast<std::int64_t>(incarnation_) ||
      message.echoedSentAt > lastSentAt_) {
    peer.messageDue = true;
    return true;
  }
  // The peer as a borrower. What it holds under the newest serial only decreases until the next grant.
  if (!peer.isKnown || message.seenSerial > peer.grantSerial) {
    // This office has restarted and learns what its earlier incarnation lent.
    for (std::size_t unit = 0; unit < size(); ++unit)
      peer.lent[unit] = std::max(peer.lent[unit], message.borrowed[unit]);
    peer.grantSerial = std::max(peer.grantSerial, message.seenSerial) + 1;
  } else if (message.seenSerial == peer.grantSerial) {
    for (std::size_t unit = 0; unit < size(); ++unit)
      peer.lent[unit] = std::min(peer.lent[unit], message.borrowed[unit]);
  }
  peer.isKnown = true;
  peer.isWrittenOff = false;
  updateStartupWait(now);
  totalsStale_ = true;
  grant(now, peer, message.requested);
  peer.hasUnmetRequest = message.requested[0] > peer.lent[0];
  // The peer as a lender.
  if (message.grantSerial > peer.seenSerial) {
    peer.seenSerial = message.grantSerial;
    peer.loan = message.granted;
    peer.messageDue = true;
  }
  // The lease is valid from the instant at which this office sent the message that the lender has answered, which is
  // before the lender's own wait began. A lender that does not know yet what it has lent extends no lease.
  if (message.grantSerial > 0)
    peer.loanUntil = std::max(peer.loanUntil, std::min(now, instant(message.echoedSentAt)) + timing_.leaseTerm);
  peer.offered = message.spare;
  peer.recalledByPeer = message.recalled;
  peer.contended = message.contended;
  totalsStale_ = true;
  // process() acts on the message, once for all messages that were received together.
  unprocessedSince_ = now;
  return true;
}

/// The owner has the first claim: what it needs and lacks is recalled from each peer in turn.
void LeasedBudget::updateRecalls(Instant now) {
  const std::size_t serviceCount = services_.size();
  for (std::size_t unit = size(); unit-- > 0;) {
    int missing = inStartupWait_ ? 0 : std::max(0, needed(now, unit, true) - ownRemaining(unit));
    // Lending has been switched off: all loans are recalled.
    if (budget_->division != Division::lending) missing = totals_.lent[unit];
    for (ZonePeer& peer : peers_) {
      int recallable =
          peer.isWrittenOff || now - peer.lastReceivedAt > timing_.messageInterval * 3.0 ? 0 : peer.lent[unit];
      // The circuits of a lent guarantee are not recalled: a flood of other sessions here has no claim on them.
      for (std::size_t i = 0; unit == 0 && i < serviceCount; ++i) {
        recallable -= peer.lent[1 + serviceCount + i] - peer.recalledFromPeer[1 + serviceCount + i];
      }
      const int recalled = std::clamp(missing, 0, std::max(0, recallable));
      if (recalled > peer.recalledFromPeer[unit]) peer.messageDue = true;
      peer.recalledFromPeer[unit] = recalled;
      missing -= recalled;
    }
  }
}

LeaseMessage LeasedBudget::makeMessage(Instant now, ZonePeer& peer) {
  LeaseMessage message;
  message.from = place_;
  message.zone = towards_;
  message.incarnation = incarnation_;
  message.sentAt = lastSentAt_;
  message.echoedSentAt = peer.newestSentAt;
  // Until the peer has reported what it holds, an office that has restarted does not act as its lender: the peer would
  // take an empty grant as the new state.
  message.grantSerial = peer.isKnown ? peer.grantSerial : 0;
  message.granted = peer.lent;
  message.spare = noUnits();
  for (std::size_t unit = 0; unit < size(); ++unit) {
    message.spare[unit] = lendable(now, unit);
  }
  message.recalled = peer.recalledFromPeer;
  message.contended = hasUnmetRequests_;
  message.seenSerial = peer.seenSerial;
  message.borrowed = peer.loan;
  message.requested = peer.requested;
  peer.lastSentAt = now;
  peer.messageDue = false;
  return message;
}

std::vector<std::pair<int, LeaseMessage>> LeasedBudget::process(Instant now) {
  std::vector<std::pair<int, LeaseMessage>> messages;
  updateStartupWait(now);
  if (!exchangesMessages()) {
    // The last of earlier loans may just have been returned.
    unprocessedSince_ = Instant::never();
    updateBounds(now);
    return messages;
  }
  recordDemand(now);
  // This office did not run and could receive nothing, so the silence of its peers is counted from now.
  if (now - lastProcessedAt_ > timing_.messageInterval * 3.0) {
    for (ZonePeer& peer : peers_) peer.lentUntil = std::max(peer.lentUntil, now);
  }
  lastProcessedAt_ = now;
  unprocessedSince_ = Instant::never();
  for (ZonePeer& peer : peers_) {
    if (peer.lentToPreviousUntil <= now && peer.lentToPreviousUntil != Instant()) {
      peer.lentToPrevious = noUnits();
      peer.lentToPreviousUntil = Instant();
      totalsStale_ = true;
    }
    const bool lends = std::any_of(peer.lent.begin(), peer.lent.end(), [](int one) { return one > 0; });
    if (lends && !peer.isWrittenOff && now >= peer.lentUntil + timing_.writeOffDelay) {
      peer.isWrittenOff = true;
      totalsStale_ = true;
    }
  }
  updateBounds(now);
  returnSurplus(now);
  updateRequests(now);
  updateBounds(now);
  updateRecalls(now);
  const bool unmet = std::any_of(peers_.begin(), peers_.end(), [&](const ZonePeer& peer) {
    return peer.hasUnmetRequest && now - peer.lastReceivedAt < timing_.messageInterval * 3.0;
  });
  if (unmet && !hasUnmetRequests_) {
    for (ZonePeer& peer : peers_) peer.messageDue = peer.messageDue || peer.lent[0] > 0;
  }
  hasUnmetRequests_ = unmet;
  for (ZonePeer& peer : peers_) {
    const Span since = now - peer.lastSentAt;
    if (since < timing_.minMessageInterval || (!peer.messageDue && since < timing_.messageInterval)) continue;
    if (messages.empty()) lastSentAt_ = std::max(lastSentAt_ + 1, microseconds(now));
    messages.emplace_back(peer.place, makeMessage(now, peer));
  }
  return messages;
}

Instant LeasedBudget::nextDeadline() const {
  if (unprocessedSince_ != Instant::never()) return unprocessedSince_;
  Instant due = Instant::never();
  // After the startup delay only a message or the end of the lease term can end the wait. A deadline that stayed in the
  // past while a peer is silent would keep the caller busy without end.
  if (inStartupWait_)
    due = lastProcessedAt_ < startedAt_ + timing_.startupDelay
              ? startedAt_ + timing_.startupDelay
              : startedAt_ + timing_.leaseTerm * (1 + timing_.maxClockDrift) + kClockGranularity;
  if (!exchangesMessages()) return due;
  for (const ZonePeer& peer : peers_)
    due = std::min(due, peer.lastSentAt + (peer.messageDue ? timing_.minMessageInterval : timing_.messageInterval));
  return due;
}

}  // namespace thistlefold::zones
