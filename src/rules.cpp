// The routing decisions of one office, behind the interface of include/thistlefold/controller.hpp. makeController()
// creates the controller of one office from its OfficeConfig and a seed. The host calls round() with the current time,
// the events received since the last round and a DecisionSink; RoundEvents reports each event back to the controller,
// and every decision has been passed to the sink when round() returns.
//
// Reading order: round() collects the sessions that are due and decide() handles each of them; routeOriginating() and
// routeTransit() implement the routing mechanism of docs/design.md; invite() and refuse() are the only functions that
// act on a session.
//
// Every office has to keep five rules, which the comments refer to by number:
//   1. A session gets exactly one final answer, no later than its timer limit.
//   2. A session has at most one pending INVITE.
//   3. No INVITE goes to or through an exchange that is draining or gone.
//   4. All offices together do not overload a processor that has just started.
//   5. After an INVITE that may still hold circuits, no other is sent for the session until the release time has
//   passed.

#include <algorithm>
#include <cmath>
#include <random>

#include "thistlefold/controller.hpp"

namespace thistlefold {
namespace {

class RoutingController final : public Controller {
 public:
  RoutingController(const OfficeConfig& config, std::uint64_t seed)
      : config_(config),
        recentTimerLimits_(config.services.size()),
        random_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24))) {}

  void round(Instant now, RoundEvents& events, DecisionSink& sink) override {
    now_ = now;
    sink_ = &sink;
    stallTime_ =
        nextTickAt_ == Instant::distantPast() || now_ < nextTickAt_ + kTickInterval ? Span::none() : now_ - nextTickAt_;
    if (config_.mustSubscribe && subscribeAt_ <= now_) subscribe();
    events.deliver(*this);
    if (config_.mustSubscribe && subscribeAt_ <= now_) subscribe();
    for (const auto& [session, retryAfter] : deferredRefusals_) refuse(*session, retryAfter);
    deferredRefusals_.clear();
    std::vector<Session*> dueSessions;
    std::erase_if(openSessions_, [&](Session* session) {
      if (session->nextDecisionAt > now_) return false;
      dueSessions.push_back(session);
      return true;
    });
    // Sessions that are due in the same round are handled in order of decreasing value.
    std::stable_sort(dueSessions.begin(), dueSessions.end(),
                     [&](const Session* a, const Session* b) { return currentValue(*a) > currentValue(*b); });
    for (Session* session : dueSessions) decide(*session);
    scheduleNextRound();
  }

  // The controller schedules a periodic tick and detects from a late one that the office was not run for a while.
  // Events that are received in a late round were queued in this host, not at an exchange. Their delays and time-outs
  // are therefore no evidence against an exchange, and their sessions were dialled earlier than they were received.
  // Protects against stalls of the host, long garbage collections and clock steps; counterproductive only if timers
  // alone fire late. The interval is well above the length of a round and well below any post-dial target.
  static constexpr Span kTickInterval = Span::ms(100);

  void exchangeListed(Exchange& exchange, Readiness readiness, Instant startedAt) override {
    const bool isKnown = std::find(exchanges_.begin(), exchanges_.end(), &exchange) != exchanges_.end();
    if (!isKnown) exchanges_.push_back(&exchange);
    // The replacement of the own exchange may be listed before the one that it replaces is listed as gone.
    if (exchange.own && (ownExchange_ == nullptr || readiness == Readiness::ready)) ownExchange_ = &exchange;
    // An exchange that was gone and is ready again has a processor that has just started, even if the list does not
    // give a later start.
    const bool hasReturned = isKnown && exchange.readiness == Readiness::gone && readiness == Readiness::ready;
    if (hasReturned && startedAt <= exchange.started) startedAt = now_;
    if (readiness == Readiness::ready && (exchange.readiness != readiness || startedAt > exchange.started)) {
      // What was observed of the processor before the restart says nothing about this one.
      exchange.directOutcomes.clear();
      exchange.tandemOutcomes.clear();
      exchange.postDialDelays.clear();
      exchange.reportedCapacity.clear();
      exchange.suspectedAt = Instant::distantPast();
      exchange.blockedUntil = Instant::distantPast();
    }
    exchange.readiness = readiness;
    if (startedAt > exchange.started) {
      exchange.started = startedAt;
      const bool ranBefore =
          dialledSessions_.size() > 0 && startedAt - dialledSessions_[0].at >= config_.overloadWindow;
      exchange.usualDemand = ranBefore ? estimateUsualDemand(startedAt, exchange) : UsualDemand();
    }
  }

  void listFailed() override {
    // Random back-off of up to a quarter of the time after which the list counts as stale, which leaves time for two
    // more failures.
    subscribeAt_ = now_ + config_.listStaleAfter * (0.25 * std::generate_canonical<double, 24>(random_));
  }

  void circuitsChanged(Exchange& exchange, double freeCircuits, double circuits) override {
    exchange.freeCircuits = freeCircuits;
    exchange.circuits = circuits;
  }

  void capacityReported(Exchange& exchange, double setUpsPerSecond) override {
    exchange.reportedCapacity.add(now_, setUpsPerSecond);
  }

  // Events may be duplicated, late, out of order, or refer to a closed session. None of these changes any state: a
  // session is received once, an INVITE ends once, and only a pending INVITE can be answered. Protects against
  // duplicated datagrams and far ends that confuse their calls. Either could otherwise enter a session twice, give it
  // two INVITEs or two final answers, or free it while its INVITE can still be looked up.
  void sessionArrived(Session& session) override {
    if (session.received || session.finished) return;
    session.received = true;
    session.firstDialledAt = session.transit ? now_ : findFirstDialTime(session);
    const bool isRedial = session.firstDialledAt < now_;
    session.nextDecisionAt = now_;
    const Span timeLeft = session.timerLimit - now_;
    if (!session.transit && !isRedial) {
      // Callers of a service start with the same timer limit as a rule. In a late round, the time by which this session
      // has less left than recent ones had is the time for which it was queued in this host.
      auto& recentLimits = recentTimerLimits_[static_cast<std::size_t>(session.service - config_.services.data())];
      if (stallTime_ == Span::none()) recentLimits.add(now_, timeLeft);
      Span longestLimit;
      for (std::size_t i = 0; i < recentLimits.size(); ++i)
        longestLimit = std::max(longestLimit, recentLimits[i].value);
      session.firstDialledAt = now_ - std::clamp(longestLimit - timeLeft, Span::none(), stallTime_);
    }
    openSessions_.push_back(&session);
    session.admissionDraw = std::generate_canonical<double, 24>(random_);
    if (session.transit) return;
    dialledSessions_.add(now_, {currentValue(session), isWithinTarget(session), !isRedial,
                                session.destination != nullptr ? session.destination->place : -1});
  }

  void inviteAccepted(Session& session, Span postDialDelay) override {
    Exchange* exchange = session.pendingAt;
    if (exchange == nullptr || session.established) return;
    session.established = true;
    std::erase(exchange->pendingInvites, &session);
    leaveLocalQueue(session);
    if (hasTwoLegs(session, *exchange)) exchange->farLegs[session.destination].hasCarriedSession = true;
    recordOutcome(session, *exchange, true);
    // An INVITE sent before the processor restarted was answered only after a retransmission, so its delay is not that
    // of the new processor.
    if (stallTime_ > Span::none() || session.sentAt < exchange->started) return;
    if (exchange == session.destination) exchange->postDialDelays.add(now_, postDialDelay);
    officePostDialDelays_.add(now_, postDialDelay);
  }

  void inviteEnded(Session& session, Exchange& exchange, InviteOutcome outcome, BlockingReason reason,
                   bool farProcessorOverloaded, Span retryAfter, bool final) override {
    if (session.pendingAt != &exchange) {
      if (final) sessionAbandoned(session);
      return;
    }
    std::erase(exchange.pendingInvites, &session);
    if (outcome == InviteOutcome::overloaded || outcome == InviteOutcome::failed || outcome == InviteOutcome::released)
      leaveLocalQueue(session);
    std::erase(localQueue_, &session);
    session.pendingAt = nullptr;
    const bool wasEstablished = session.established;
    session.established = false;
    if (!wasEstablished) learnFromOutcome(session, exchange, outcome, reason, farProcessorOverloaded, retryAfter);
    if (outcome == InviteOutcome::reset && !hasTwoLegs(session, exchange)) exchange.suspectedAt = now_;
    if (final || session.finished) {
      session.finished = true;
      return;
    }
    if (outcome != InviteOutcome::overloaded && outcome != InviteOutcome::notSent &&
        outcome != InviteOutcome::unreachable) {
      session.mayHaveExecuted = true;
    }
    if (session.transit) return deferRefusal(session, Span::none());
    const bool mayHoldCircuits =
        outcome == InviteOutcome::timedOut || outcome == InviteOutcome::reset || outcome == InviteOutcome::cancelled;
    session.nextDecisionAt = mayHoldCircuits ? now_ + config_.releaseTime : now_;
    if (session.mayHaveExecuted && !session.service->repeatable) return deferRefusal(session, longestRetryAfter());
    const Instant target = session.firstDialledAt + session.service->postDialTarget;
    if (session.nextDecisionAt >= std::min(target, session.timerLimit))
      return deferRefusal(session, longestRetryAfter());
    if (reason == BlockingReason::lineBusy) return deferRefusal(session, longestRetryAfter());
    openSessions_.push_back(&session);
  }

  void sessionAbandoned(Session& session) override {
    session.finished = true;
    std::erase(openSessions_, &session);
  }

 private:
  // ---- Route selection ---------------------------------------------------------------------------------

  void decide(Session& session) {
    if (session.finished) return;
    if (session.destination == nullptr || now_ >= session.timerLimit) return refuse(session, longestRetryAfter());
    delayLimit_ = longestAcceptableDelay(session);
    officeDelay_ = expectedOfficeDelay();
    session.transit ? routeTransit(session) : routeOriginating(session);
  }

  void routeOriginating(Session& session) {
    Exchange& destination = *session.destination;
    if (!config_.usesPools && !isHealthy(session, destination)) return refuse(session, longestRetryAfter());
    if (!config_.usesPools && isOverloaded(session, destination))
      return refuse(session, retryAfterWithinTarget(session));
    if (!config_.usesPools && hasReducedCapacity(session, destination))
      return refuse(session, retryAfterWithinTarget(session));
    if (!config_.usesPools && !isWithinColdStartShare(session, destination))
      return refuse(session, retryAfterWithinTarget(session));
    if (ownExchange_ != nullptr && !isWithinColdStartShare(session, *ownExchange_))
      return refuse(session, retryAfterWithinTarget(session));
    if (isNumberBusy(session)) return refuse(session, retryAfterWithinTarget(session));
    const bool canGoDirect =
        !config_.usesPools || (isEligible(session, destination) && !wasTried(session, destination));
    if (canGoDirect && hasFreeCircuits(session, destination)) {
      if (invite(session, destination)) return;
      return refuse(session, longestRetryAfter());
    }
    while (Exchange* tandem = lowestCostTandem(session)) {
      if (invite(session, *tandem)) return;
      session.triedExchanges.push_back(tandem);
    }
    refuse(session, retryAfterWithinTarget(session));
  }

  void routeTransit(Session& session) {
    Exchange& destination = *session.destination;
    if (occupancy(destination) + addedOccupancy(session, destination) <= kTwoLegOccupancyLimit &&
        isEligible(session, destination) && invite(session, destination)) {
      return;
    }
    refuse(session, Span::none());
  }

  // Trunk reservation: no two-leg session may raise the occupancy of a leg above this share; the circuits above it are
  // reserved for direct sessions. Leaves free circuits for them even on a group of about 20.
  static constexpr double kTwoLegOccupancyLimit = 0.9;

  // Base of the exponential cost curve: 1 + 1/gamma, with gamma = 2. Gamma has to be above one.
  static constexpr double kCostBase = 1.5;

  // Time in which the assumed occupancy of a far leg that turned a session back decays to zero. On a far leg of about
  // 20 circuits this excludes the leg for about 2 s.
  static constexpr Span kTurnBackDecayTime = Span::ms(40000);

  // Cost of raising the occupancy of a leg by `added`.
  static double cost(double busyShare, double added) {
    return std::pow(kCostBase, busyShare + added) - std::pow(kCostBase, busyShare);
  }
  // A group whose size has not been reported yet is assumed to be empty: an INVITE that finds no circuit costs nothing.
  static bool hasFreeCircuits(const Session& session, const Exchange& exchange) {
    return exchange.circuits < 0 || exchange.freeCircuits >= session.width;
  }
  // Share of the circuits that are occupied. A group of unknown size counts as empty, one without circuits as full.
  static double occupancy(const Exchange& exchange) {
    return exchange.circuits > 0   ? (exchange.circuits - exchange.freeCircuits) / exchange.circuits
           : exchange.circuits < 0 ? 0
                                   : 1;
  }
  // Occupancy that the session would add to the group, by the same conventions.
  static double addedOccupancy(const Session& session, const Exchange& exchange) {
    return exchange.circuits > 0 ? session.width / exchange.circuits : exchange.circuits < 0 ? 0 : 1;
  }

  // Assumed occupancy of the group between tandem and destination, which this office does not see: the limit at the
  // time of a turn-back, from which it decays linearly. A leg that never carried a session may not exist, so its decay
  // takes ten times as long.
  double farLegOccupancy(const Exchange& tandem, const Exchange& destination) const {
    const auto entry = tandem.farLegs.find(&destination);
    if (entry == tandem.farLegs.end()) return 0;
    const FarLeg& leg = entry->second;
    return kTwoLegOccupancyLimit *
           std::max(0.0, 1.0 - (now_ - leg.turnedBackAt) /
                                   (leg.hasCarriedSession ? kTurnBackDecayTime : kTurnBackDecayTime * 10));
  }

  Exchange* lowestCostTandem(const Session& session) const {
    Exchange* best = nullptr;
    double lowestCost = 0;
    for (Exchange* tandem : exchanges_) {
      if (tandem == session.destination || tandem->own || wasTried(session, *tandem)) continue;
      if (config_.usesPools && !hasSkill(session, *tandem)) continue;
      if (!hasFreeCircuits(session, *tandem)) continue;
      // The capacity of a cold processor is reserved for sessions that start or end there. Its groups are empty, so it
      // would otherwise be the lowest-cost tandem for all offices at once.
      if (!config_.usesPools && isCold(*tandem)) continue;
      const double added = addedOccupancy(session, *tandem);
      const double farOccupancy = config_.usesPools ? 0 : farLegOccupancy(*tandem, *session.destination);
      if (occupancy(*tandem) + added > kTwoLegOccupancyLimit ||
          (!config_.usesPools && farOccupancy + added > kTwoLegOccupancyLimit))
        continue;
      const double routeCost = cost(occupancy(*tandem), added) + (config_.usesPools ? 0 : cost(farOccupancy, added));
      if ((best != nullptr && routeCost >= lowestCost) || !isEligible(session, *tandem)) continue;
      best = tandem;
      lowestCost = routeCost;
    }
    return best;
  }

  bool hasSkill(const Session& session, const Exchange& pool) const {
    const auto& pools = session.service->pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), pool.place) != pools.end();
  }

  static bool wasTried(const Session& session, const Exchange& exchange) {
    return std::find(session.triedExchanges.begin(), session.triedExchanges.end(), &exchange) !=
           session.triedExchanges.end();
  }

  // ---- Actions on a session ----------------------------------------------------------------------------

  // The only function that sends an INVITE. Rules 2 to 5 are checked here, whatever led to the call. Returns false if
  // one of them forbids the INVITE.
  bool invite(Session& session, Exchange& to) {
    if (session.finished || session.pendingAt != nullptr || session.invites >= config_.maxInvites) return false;
    if (now_ < session.nextDecisionAt || now_ >= session.timerLimit) return false;
    if (to.readiness != Readiness::ready || to.own) return false;
    if (session.transit && &to != session.destination) return false;
    if (!isWithinColdStartShare(session, to)) return false;
    if (hasTwoLegs(session, to) && !isWithinColdStartShare(session, *session.destination)) return false;
    if (ownExchange_ != nullptr && !session.transit && !isWithinColdStartShare(session, *ownExchange_)) return false;
    to.inviteTimes.add(now_, now_);
    if (&to != session.destination && !config_.usesPools) session.destination->inviteTimes.add(now_, now_);
    if (ownExchange_ != nullptr && !session.transit) ownExchange_->inviteTimes.add(now_, now_);
    ++session.invites;
    session.pendingAt = &to;
    session.sentAt = now_;
    session.triedExchanges.push_back(&to);
    to.pendingInvites.push_back(&session);
    localQueue_.push_back(&session);
    to.freeCircuits -= session.width;
    if (isUnresponsive(to.directOutcomes) || isUnresponsive(to.tandemOutcomes)) to.lastProbe = now_;
    sink_->invite(session, to, inviteTimeout(session));
    return true;
  }

  // Refuses the session later in this round, after all events were delivered. Protects against answering a caller whose
  // abandonment was received in the same round.
  void deferRefusal(Session& session, Span retryAfter) { deferredRefusals_.push_back({&session, retryAfter}); }

  // The only function that gives a final answer. The answer is passed to the sink at once.
  void refuse(Session& session, Span retryAfter) {
    if (session.finished) return;
    session.finished = true;
    if (!session.transit) {
      if (recentRefusals_.size() == kMaxRememberedNumbers) recentRefusals_.erase(recentRefusals_.begin());
      recentRefusals_.push_back({session.dialledNumber, session.service, session.firstDialledAt});
    }
    if (session.mayHaveExecuted && !session.service->repeatable) return sink_->failUncertain(session);
    sink_->rejectBusy(session,
                      config_.honoursRetryAfter ? std::min(retryAfter, config_.longestRetryAfter) : Span::none());
  }

  // Retry-after for a caller that met busy circuits or an overloaded processor. It can still be served in time if it
  // redials before its post-dial target has passed, so it is asked to redial after 0.6 of the time left. After the
  // target it gets the longest retry-after.
  Span retryAfterWithinTarget(const Session& session) const {
    const Span timeLeft = session.firstDialledAt + session.service->postDialTarget - now_;
    return timeLeft > Span::none() ? timeLeft * 0.6 : config_.longestRetryAfter;
  }

  // True for a tenth of a mean hold time after the dialled number was found busy. When a number is mass-called, all its
  // lines are busy, which no route cost reflects. With about ten lines, one becomes free about every tenth of a mean
  // hold time; until then an INVITE is work for two processors that establishes nothing. Also protects against a number
  // whose terminal is defective. Counterproductive if a number has very many lines.
  bool isNumberBusy(const Session& session) const {
    const auto busy = busyNumbers_.find(session.dialledNumber);
    return busy != busyNumbers_.end() && now_ - busy->second < session.service->meanHold * 0.1;
  }

  // Bound on remembered numbers, since callers can dial any number. At the bound the oldest refusal is dropped and a
  // further busy number is not remembered; either costs at most an INVITE. Holds 450 refusals a second over a timer
  // limit of 9 s.
  static constexpr std::size_t kMaxRememberedNumbers = 4096;

  void rememberBusyNumber(const Session& session) {
    if (busyNumbers_.size() >= kMaxRememberedNumbers && !busyNumbers_.contains(session.dialledNumber)) {
      Span longest;
      for (const Service& service : config_.services) longest = std::max(longest, service.meanHold * 0.1);
      std::erase_if(busyNumbers_, [&](const auto& entry) { return now_ - entry.second >= longest; });
      if (busyNumbers_.size() >= kMaxRememberedNumbers) return;
    }
    busyNumbers_[session.dialledNumber] = now_;
  }

  Span longestRetryAfter() const { return config_.longestRetryAfter; }

  // End of the post-dial target, but no later than the timer limit; the timer limit once the target has passed.
  Instant currentDeadline(const Session& session) const {
    const Instant target = session.firstDialledAt + session.service->postDialTarget;
    return now_ < target ? std::min(target, session.timerLimit) : session.timerLimit;
  }

  // Instant at which the caller first dialled for this session: that of a recent refusal for the same number and
  // service, otherwise now. Callers redial on their own and redials are seldom flagged as such; a redial has only what
  // is left of the post-dial target of its first try. Each refusal is matched with one redial. Protects against late
  // redials displacing sessions that can still earn their full value. At a mass-called number one caller may be taken
  // for another, which does little harm since both of them wait.
  Instant findFirstDialTime(const Session& session) {
    std::erase_if(recentRefusals_,
                  [&](const Refusal& refusal) { return now_ - refusal.firstDialledAt > refusal.service->timerLimit; });
    const auto match = std::find_if(recentRefusals_.begin(), recentRefusals_.end(), [&](const Refusal& refusal) {
      return refusal.number == session.dialledNumber && refusal.service == session.service;
    });
    if (session.isReconnect || match == recentRefusals_.end()) return now_;
    const Instant firstDialledAt = match->firstDialledAt;
    recentRefusals_.erase(match);
    return firstDialledAt;
  }

  // An INVITE times out when it can no longer earn the full value: a late session earns little, and its work delays the
  // sessions behind it.
  Span inviteTimeout(const Session& session) const {
    const Instant end = session.transit ? session.timerLimit : currentDeadline(session);
    return std::max(end - now_, Span::ms(1));
  }

  // ---- Health ------------------------------------------------------------------------------------------

  // Updates health and capacity state from an INVITE that ended before its session was established.
  void learnFromOutcome(const Session& session, Exchange& exchange, InviteOutcome outcome, BlockingReason reason,
                        bool farProcessorOverloaded, Span retryAfter) {
    switch (outcome) {
      case InviteOutcome::released:
      case InviteOutcome::failed:
        recordOutcome(session, exchange, true);
        if (reason == BlockingReason::lineBusy) rememberBusyNumber(session);
        break;
      case InviteOutcome::overloaded:
        recordOutcome(session, exchange, true);
        if (reason == BlockingReason::turnedBack && !farProcessorOverloaded)
          exchange.farLegs[session.destination].turnedBackAt = now_;
        if (reason == BlockingReason::turnedBack && farProcessorOverloaded)
          blockExchange(*session.destination, Span::none());
        if (reason == BlockingReason::processorFull) {
          blockExchange(exchange, retryAfter);
          recordOfficeDelay(std::max(retryAfter, session.service->postDialTarget));
        }
        break;
      case InviteOutcome::timedOut:
        // An INVITE through a tandem may have timed out because the tandem's office has stalled.
        if (!hasTwoLegs(session, exchange)) recordOfficeDelay(now_ - session.sentAt);
        [[fallthrough]];
      case InviteOutcome::unreachable:
        recordOutcome(session, exchange, false);
        break;
      default:
        break;
    }
  }

  // An INVITE that timed out or met a full processor waited, or would have waited, at one of two processors, one of
  // which is the local one. A slow local processor delays the INVITEs to every exchange. The delay is therefore
  // recorded for the whole office, where a single faulty exchange is outvoted by the others. Protects against a slow,
  // hung or dead local processor and against surges that this office caused itself. Counterproductive if many exchanges
  // fail at once and the office sends to few others.
  void recordOfficeDelay(Span delay) {
    if (stallTime_ == Span::none()) officePostDialDelays_.add(now_, delay);
  }

  void blockExchange(Exchange& exchange, Span retryAfter) {
    // A full processor names a wait; without one, the release time lets its queue advance.
    exchange.blockedUntil = std::max(exchange.blockedUntil, now_ + std::max(retryAfter, config_.releaseTime));
  }

  // Records whether the exchange answered an INVITE. The processor of a destination and the office behind a tandem fail
  // independently, so direct and tandem outcomes are kept apart.
  void recordOutcome(const Session& session, Exchange& exchange, bool answered) {
    if (!answered && (stallTime_ > Span::none() || session.sentAt < exchange.started)) return;
    if (!answered && hasAnsweredSince(exchange, session.sentAt)) return;
    const bool asTandem = hasTwoLegs(session, exchange);
    (asTandem ? exchange.tandemOutcomes : exchange.directOutcomes).add(now_, answered);
    if (!asTandem) exchange.suspectedAt = answered ? Instant::distantPast() : now_;
  }

  // An exchange that has answered another direct INVITE in the meantime is slow rather than unresponsive, which the
  // post-dial delays show. Protects against judging every exchange unresponsive after a surge that this office caused
  // itself.
  static bool hasAnsweredSince(const Exchange& exchange, Instant sentAt) {
    for (std::size_t i = exchange.directOutcomes.size(); i-- > 0 && exchange.directOutcomes[i].at > sentAt;) {
      if (exchange.directOutcomes[i].value) return true;
    }
    return false;
  }

  // Outlier ejection with Page's CUSUM test over the last outcomes. A healthy exchange is assumed to leave 1 INVITE in
  // 20 unanswered, an unhealthy one 4 in 5.
  static bool isUnresponsive(const Samples<bool, 12>& outcomes) {
    static const double answeredWeight = std::log(0.2 / 0.95);
    static const double unansweredWeight = std::log(0.8 / 0.05);
    double sum = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      sum = std::clamp(sum + (outcomes[i].value ? answeredWeight : unansweredWeight), 0.0, kCusumThreshold + 1.0);
    }
    return sum > kCusumThreshold;
  }
  // Two unanswered INVITEs in a row exceed the threshold, a single one never does. The sum is capped just above the
  // threshold, so that the first answer brings it below however long the exchange was silent.
  static constexpr double kCusumThreshold = 4.0;

  bool isEligible(const Session& session, const Exchange& exchange) const {
    return isHealthy(session, exchange) && !isOverloaded(session, exchange) && !hasReducedCapacity(session, exchange);
  }

  // Where exchanges report their capacity, sessions to one that has fallen below half of its recent maximum are
  // admitted at random in proportion, and one that reports zero gets no session until the report is stale. The reports
  // come with the answers to sessions that end there, so an office that seldom sends there learns of the loss of
  // capacity long before it sees delays or time-outs. Protects against slow, ageing and hung processors;
  // counterproductive if the reports give the current load instead of the capacity.
  bool hasReducedCapacity(const Session& session, const Exchange& exchange) const {
    if (exchange.reportedCapacity.size() == 0 || now_ - exchange.reportedCapacity.last().at > kSampleLifetime * 2)
      return false;
    double recentMaximum = 0;
    for (std::size_t i = 0; i < exchange.reportedCapacity.size(); ++i)
      recentMaximum = std::max(recentMaximum, exchange.reportedCapacity[i].value);
    // With 0.7 instead of 0.5, a slowdown of all processors would block too many two-leg routes.
    return exchange.reportedCapacity.last().value < 0.5 * recentMaximum * session.admissionDraw;
  }

  bool isHealthy(const Session& session, const Exchange& exchange) const {
    if (exchange.readiness != Readiness::ready || now_ < exchange.blockedUntil) return false;
    // An exchange that left a direct INVITE unanswered or reset a direct session is not used as a tandem until it has
    // answered a direct INVITE. There are other tandems, and its empty groups would attract two-leg sessions before the
    // directory reports the failure. The suspicion ends after the decay time of a turn-back, because an exchange that
    // is seldom dialled directly would otherwise never be cleared.
    if (hasTwoLegs(session, exchange) && now_ - exchange.suspectedAt < kTurnBackDecayTime) return false;
    const bool isUnhealthy = isUnresponsive(exchange.directOutcomes) ||
                             (hasTwoLegs(session, exchange) && isUnresponsive(exchange.tandemOutcomes));
    return !isUnhealthy || isProbeDue(session, exchange);
  }

  bool isOverloaded(const Session& session, const Exchange& exchange) const {
    // A two-leg session adds work for a third processor, so it yields first, at a third of the delay.
    return std::max(officeDelay_, expectedDelay(exchange)) >
           delayLimit_ * (hasTwoLegs(session, exchange) ? 1.0 / 3.0 : 1.0);
  }

  // Longest expected delay into which the session may be sent.
  Span longestAcceptableDelay(const Session& session) const {
    Span timeLeft = std::min(currentDeadline(session) - now_, session.service->postDialTarget);
    // A set-up that waits longer than this is retransmitted, and each retransmission is work for the processor that it
    // already waits for.
    if (config_.retransmitAfter > Span::none()) timeLeft = std::min(timeLeft, config_.retransmitAfter);
    return timeLeft * delayLimitShare(session);
  }

  // Whether an INVITE to this exchange would take two legs, with the exchange as the tandem.
  bool hasTwoLegs(const Session& session, const Exchange& exchange) const {
    return !session.transit && &exchange != session.destination && !config_.usesPools;
  }

  // An exchange that was judged unresponsive is probed with one INVITE at a time, at most once per post-dial target.
  bool isProbeDue(const Session& session, const Exchange& exchange) const {
    return exchange.pendingInvites.empty() && now_ - exchange.lastProbe >= session.service->postDialTarget;
  }

  // ---- Processor load ----------------------------------------------------------------------------------

  bool isWithinTarget(const Session& session) const {
    return now_ < session.firstDialledAt + session.service->postDialTarget;
  }

  // What the session earns if it is established now.
  double currentValue(const Session& session) const {
    return session.service->value * (isWithinTarget(session) ? 1 : session.service->lateValue);
  }

  // Share of the post-dial target that an expected delay may take. It grows with the value of the session relative to
  // twice the mean value of recent sessions, so that an overloaded processor is left to the higher-value ones.
  double delayLimitShare(const Session& session) const {
    double sum = 0;
    for (std::size_t i = 0; i < dialledSessions_.size(); ++i) sum += dialledSessions_[i].value.sessionValue;
    const double meanValue =
        dialledSessions_.size() > 0 ? sum / static_cast<double>(dialledSessions_.size()) : currentValue(session);
    return currentValue(session) / (currentValue(session) + 2.0 * meanValue);
  }

  // The local processor works in order, so every INVITE sent before an answered one has passed it too. Protects against
  // counting INVITEs that wait at slow or unresponsive exchanges as a queue of the local processor. Counterproductive
  // if an office has several processors.
  void leaveLocalQueue(const Session& session) {
    const auto it = std::find(localQueue_.begin(), localQueue_.end(), &session);
    if (it != localQueue_.end()) localQueue_.erase(localQueue_.begin(), it + 1);
  }

  // Delay that an INVITE of this office meets whatever the exchange: the lower quartile of the recent post-dial delays,
  // or the estimated delay in the queue of the local processor if that is longer.
  Span expectedOfficeDelay() const {
    // At least three samples, so that a single slow or unresponsive exchange does not block the others.
    const Span delay = quantile(officePostDialDelays_, 0.25, 3);
    // The pending INVITEs of this office pass the local processor first. The shortest delay seen consists of the
    // processing of a set-up, its answer and its release at both ends, and of the round-trip time. 0.7 of it is taken
    // as the time that each INVITE in the local queue adds.
    Span shortest = Span::none();
    for (std::size_t i = 0; i < officePostDialDelays_.size(); ++i) {
      shortest = i == 0 ? officePostDialDelays_[i].value : std::min(shortest, officePostDialDelays_[i].value);
    }
    return std::max(delay, std::min(shortest * 0.7, maxProcessingTime()) * static_cast<double>(localQueue_.size()));
  }

  // Upper bound on the time for which an INVITE occupies the local processor. With a long round-trip time, nearly all
  // of the shortest delay is propagation. Where exchanges report their capacity, the highest reported one gives the
  // processing time of a set-up; twice that leaves time for its answer and release. Protects against an office far from
  // all others taking INVITEs in transmission for a queue. Counterproductive if the local processor is much slower than
  // the fastest one; observed delays then show it.
  Span maxProcessingTime() const {
    double highestCapacity = 0;
    for (const Exchange* exchange : exchanges_) {
      if (exchange->reportedCapacity.size() > 0)
        highestCapacity = std::max(highestCapacity, exchange->reportedCapacity.last().value);
    }
    return highestCapacity > 0 ? Span::ms(2 * 1000.0 / highestCapacity) : Span::ms(1e9);
  }

  // Delay that an INVITE to this exchange is expected to meet there: the median of its recent post-dial delays, or the
  // age of its oldest pending INVITE if that is longer. A processor works in order, so an INVITE that a later one has
  // overtaken does not wait in a queue there: the INVITE or its answer is lost. Protects against one such INVITE
  // blocking an exchange until it times out.
  Span expectedDelay(const Exchange& exchange) const {
    const Span delay = quantile(exchange.postDialDelays, 0.5, 1);
    Instant processedUntil = exchange.started;  // INVITEs from before a restart are not queued at the new processor
    for (std::size_t i = 0; i < exchange.postDialDelays.size(); ++i) {
      processedUntil = std::max(processedUntil, exchange.postDialDelays[i].at - exchange.postDialDelays[i].value);
    }
    for (const Session* session : exchange.pendingInvites) {
      if (session->sentAt >= processedUntil) return std::max(delay, now_ - session->sentAt);
    }
    return delay;
  }

  // Older samples describe a former state of the processor. About the longest post-dial target.
  static constexpr Span kSampleLifetime = Span::ms(2000);

  // Rate at which a sampled delay is assumed to shrink with its age. A queue that nothing is added to drains by the
  // time that passes (1.0); half of that, as other offices continue to send.
  static constexpr double kQueueDrainRate = 0.5;

  // Quantile of the recent samples, corrected for their age; zero if there are fewer than `minimumCount`.
  template <std::size_t N>
  Span quantile(const Samples<Span, N>& samples, double fraction, std::size_t minimumCount) const {
    std::vector<Span> recent;
    for (std::size_t i = 0; i < samples.size(); ++i) {
      const Span age = now_ - samples[i].at;
      if (age <= kSampleLifetime) recent.push_back(std::max(samples[i].value - age * kQueueDrainRate, Span::none()));
    }
    if (recent.size() < minimumCount) return Span::none();
    std::sort(recent.begin(), recent.end());
    return recent[static_cast<std::size_t>(fraction * static_cast<double>(recent.size() - 1))];
  }

  // ---- Cold starts -------------------------------------------------------------------------------------

  bool isCold(const Exchange& exchange) const { return now_ - exchange.started < config_.warmUpTime; }

  // Slow start: whether the session is within this office's share of the capacity of a cold processor. The shares of
  // all offices together must not exceed that capacity. A warm processor carries its usual load: what its own
  // subscribers dial, and what all others dial to it. A cold one can carry at least coldCapacityShare of that, and
  // overloadFactor times as much for one overload window. Each office may therefore send it the same fraction of the
  // usual load that the office contributes; the sum stays within the configured limit however many offices there are
  // and however uneven their traffic is.
  //
  // Demand above the share is admitted at random: offices that do not communicate then keep to the sum on average, and
  // the rest is random variation. Sessions past their post-dial target are refused first. The number of INVITEs is
  // bounded by the share plus one standard deviation, which limits a surge that the average does not show yet. There is
  // no minimum per office, because two INVITEs per office are more than any cold processor can take in a fleet of 30.
  //
  // Protects against simultaneous restarts, mass returns, and fleets too large for a minimum per office.
  // Counterproductive if a processor starts far above coldCapacityShare, or if subscribers suddenly dial elsewhere.
  // tests/cold_fleet.cpp checks the sum. The averaging period and margins below are the least strict ones that keep the
  // sum within the limit when total demand, or demand for the restarted exchange, triples.
  bool isWithinColdStartShare(const Session& session, const Exchange& to) const {
    if (!isCold(to)) return true;
    const double share =
        config_.coldCapacityShare * config_.overloadFactor * kPlannedHeadroom * usualDemandFor(to).toExchange;
    double sent = 0;
    for (std::size_t i = 0; i < to.inviteTimes.size(); ++i)
      sent += now_ - to.inviteTimes[i].at <= config_.overloadWindow;
    if (sent > std::min(share + std::sqrt(share), static_cast<double>(to.inviteTimes.capacity()) - 1.0)) return false;
    if (session.transit) return true;  // the originating office has already made the random draw
    const double demand = std::max(lessRandomVariation(sent), recentDemand(to));
    return demand <= share || (isWithinTarget(session) && session.admissionDraw * demand < share);
  }

  // Processors are dimensioned to be busy for about three quarters of the time under the usual load: near 0.9 the mean
  // queue length would be nine set-ups.
  static constexpr double kPlannedHeadroom = 1 / 0.75;

  // A count of events less 0.2 standard deviations of a Poisson variable of that mean.
  static double lessRandomVariation(double count) { return count - 0.2 * std::sqrt(count); }

  // Sessions per overload window that this office currently dials to the exchange, without the session being decided:
  // the highest of three estimates. The first is the gamma-Poisson posterior mean over the last few windows, with the
  // usual demand as the prior mean. The others count the last window alone, less random variation: sessions to this
  // exchange, and sessions to all exchanges times the usual share of this one.
  double recentDemand(const Exchange& to) const {
    static constexpr double kAveragedWindows = 3, kPriorShape = 2;
    double countThere = 0, countThereInWindow = 0, countInWindow = 0;
    for (std::size_t i = 0; i + 1 < dialledSessions_.size(); ++i) {
      const Span age = now_ - dialledSessions_[i].at;
      const bool isThere = to.own || dialledSessions_[i].value.destinationPlace == to.place,
                 isInWindow = age <= config_.overloadWindow;
      countThere += isThere && age <= config_.overloadWindow * kAveragedWindows;
      countThereInWindow += isThere && isInWindow;
      countInWindow += isInWindow && dialledSessions_[i].value.isWithinTarget;
    }
    const auto [usualTotal, usualThere] = usualDemandFor(to);
    if (usualThere <= 0) return 1;
    const double observedWindows = std::min(kAveragedWindows, (now_ - dialledSessions_[0].at) / config_.overloadWindow);
    const double posteriorMean = usualThere * (countThere + kPriorShape) / (usualThere * observedWindows + kPriorShape);
    return std::max({posteriorMean, lessRandomVariation(countThereInWindow),
                     lessRandomVariation(countInWindow) * usualThere / usualTotal});
  }

  // Demand of this office until the given instant, in total and to one exchange. The latter is smoothed with an even
  // share for each exchange, which prevails if the office has dialled little. Redials are left out, because they become
  // more frequent the less is admitted.
  UsualDemand estimateUsualDemand(Instant until, const Exchange& to) const {
    double firstTries = 0, firstTriesThere = 0, otherExchanges = 0;
    for (std::size_t i = 0; i < dialledSessions_.size() && dialledSessions_[i].at <= until; ++i) {
      firstTries += dialledSessions_[i].value.isFirstTry;
      firstTriesThere += dialledSessions_[i].value.isFirstTry && dialledSessions_[i].value.destinationPlace == to.place;
    }
    if (firstTries == 0) return {0, 0};
    const double perWindow = firstTries / std::max(1.0, (until - dialledSessions_[0].at) / config_.overloadWindow);
    if (to.own) return {perWindow, perWindow};
    for (const Exchange* exchange : exchanges_)
      otherExchanges += exchange->readiness == Readiness::ready && !exchange->own;
    if (config_.usesPools) return {perWindow, perWindow / std::max(1.0, otherExchanges)};
    otherExchanges = std::max({1.0, otherExchanges, config_.fleetSize - 1.0});
    return {perWindow, perWindow * (firstTriesThere + 1) / (firstTries + otherExchanges)};
  }

  // The demand from before the exchange started, because its restart may have caused a surge since. If the office had
  // not run for an overload window by then, the demand up to now.
  UsualDemand usualDemandFor(const Exchange& to) const {
    return to.usualDemand.perWindow < 0 ? estimateUsualDemand(now_, to) : to.usualDemand;
  }

  // ---- Timers and the directory ------------------------------------------------------------------------

  void scheduleNextRound() {
    nextTickAt_ = now_ + kTickInterval;
    Instant next = config_.mustSubscribe ? std::min(subscribeAt_, nextTickAt_) : nextTickAt_;
    for (const Session* session : openSessions_) next = std::min(next, session->nextDecisionAt);
    if (wakeUpAt_ > now_ && wakeUpAt_ <= next) return;
    wakeUpAt_ = next;
    sink_->scheduleWakeUp(std::max(next - now_, Span::ms(1)));
  }

  void subscribe() {
    sink_->subscribe();
    subscribeAt_ = Instant::never();
  }

  const OfficeConfig& config_;
  std::vector<Samples<Span, 16>> recentTimerLimits_;  // by service: time to the timer limit of recent first tries
  std::ranlux24_base random_;
  Instant now_;
  DecisionSink* sink_ = nullptr;
  std::vector<Exchange*> exchanges_;  // in the order in which they were first listed
  Exchange* ownExchange_ = nullptr;
  std::vector<Session*> openSessions_;                       // without a pending INVITE or a final answer
  std::vector<std::pair<Session*, Span>> deferredRefusals_;  // refused in this round; with the retry-after
  struct DialledSession {
    double sessionValue;
    bool isWithinTarget;
    bool isFirstTry;       // not a redial
    int destinationPlace;  // the place that was dialled, since exchanges can be replaced; -1 if unknown
  };
  Samples<DialledSession, 256> dialledSessions_;  // by subscribers of this office
  Samples<Span, 16> officePostDialDelays_;        // to all exchanges
  struct Refusal {
    std::uint64_t number;
    const Service* service;
    Instant firstDialledAt;
  };
  std::vector<Refusal> recentRefusals_;                     // oldest first
  std::unordered_map<std::uint64_t, Instant> busyNumbers_;  // when each was last found busy
  Instant subscribeAt_ = Instant::distantPast();
  std::vector<const Session*> localQueue_;  // pending INVITEs that may not have passed the local processor yet
  Span delayLimit_;                         // longest expected delay into which the session being decided may be sent
  Span officeDelay_;                        // delay that the session being decided meets whatever the exchange
  Instant wakeUpAt_ = Instant::distantPast();
  Instant nextTickAt_ = Instant::distantPast();
  Span stallTime_;  // by how much this round is late; zero if it is not
};

}  // namespace

std::unique_ptr<Controller> makeController(const OfficeConfig& config, std::uint64_t seed) {
  return std::make_unique<RoutingController>(config, seed);
}

}  // namespace thistlefold
