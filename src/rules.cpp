// All decisions of one office. The interface is include/thistlefold/controller.hpp: makeController() makes the
// decisions of one office from its OfficeConfig and a seed; call round() with the clock, all that came in and
// a DecisionSink. RoundEvents calls back what was seen; whatever is decided is in the DecisionSink when round()
// returns.
//
// Order of reading: round() collects, decide() takes each session in hand, place() and carry() are the
// mechanism of docs/design.md, invite() and refuse() are the only ways to act on a session.

#include <algorithm>
#include <cmath>
#include <random>

#include "thistlefold/controller.hpp"

namespace thistlefold {
namespace {

class Rules final : public Controller {
 public:
  Rules(const OfficeConfig& data, std::uint64_t seed)
      : data_(data),
        limits_(data.services.size()),
        chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24))) {}

  void round(Instant now, RoundEvents& events, DecisionSink& sink) override {
    now_ = now;
    sink_ = &sink;
    lateBy_ = beatAt_ == Instant::distantPast() || now_ < beatAt_ + kBeat ? Span::none() : now_ - beatAt_;
    if (data_.mustSubscribe && askAt_ <= now_) subscribe();
    events.deliver(*this);
    if (data_.mustSubscribe && askAt_ <= now_) subscribe();
    for (const auto& [session, retryAfter] : ended_) refuse(*session, retryAfter);
    ended_.clear();
    std::vector<Session*> inHand;
    std::erase_if(waiting_, [&](Session* session) {
      if (session->nextDecisionAt > now_) return false;
      inHand.push_back(session);
      return true;
    });
    // Where several come at once the dearer goes first.
    std::stable_sort(inHand.begin(), inHand.end(),
                     [&](const Session* a, const Session* b) { return worth(*a) > worth(*b); });
    for (Session* session : inHand) decide(*session);
    wakeForTheNext();
  }

  // The office asks for a beat of its own and so notices when it has not been run for a while. What comes in
  // with a late round lay waiting here, not at an exchange: neither delays nor silence in it are evidence,
  // and its sessions were dialled earlier. Guards against stalls of the host, long collections, clock steps;
  // could hurt only if alarms alone came late. A beat well above a round and well below any post-dial target.
  static constexpr Span kBeat = Span::ms(100);

  void exchangeListed(Exchange& exchange, Readiness readiness, Instant started) override {
    const bool known = std::find(exchanges_.begin(), exchanges_.end(), &exchange) != exchanges_.end();
    if (!known) exchanges_.push_back(&exchange);
    // A machine that took the own one's place may be told of before that one is told gone.
    if (exchange.own && (own_ == nullptr || readiness == Readiness::ready)) own_ = &exchange;
    // One that had gone and is back is another processor, and has just started, whether or not the list says when.
    const bool back = known && exchange.readiness == Readiness::gone && readiness == Readiness::ready;
    if (back && started <= exchange.started) started = now_;
    if (readiness == Readiness::ready && (exchange.readiness != readiness || started > exchange.started)) {
      // Another processor than the one that was judged.
      exchange.directOutcomes.clear();
      exchange.tandemOutcomes.clear();
      exchange.postDialDelays.clear();
      exchange.reportedCapacity.clear();
      exchange.suspectedAt = Instant::distantPast();
      exchange.blockedUntil = Instant::distantPast();
    }
    exchange.readiness = readiness;
    if (started > exchange.started) {
      exchange.started = started;
      const bool ranBefore = offered_.size() > 0 && started - offered_[0].at >= data_.overloadWindow;
      exchange.usualDemand = ranBefore ? usualUntil(started, exchange) : UsualDemand();
    }
  }

  void listFailed() override {
    // A quarter of the time after which silence counts as knowledge leaves room for two more failures.
    askAt_ = now_ + data_.listStaleAfter * (0.25 * std::generate_canonical<double, 24>(chance_));
  }

  void circuitsChanged(Exchange& exchange, double free, double size) override {
    exchange.freeCircuits = free;
    exchange.circuits = size;
  }

  void capacityReported(Exchange& exchange, double canTake) override { exchange.reportedCapacity.add(now_, canTake); }

  // Whatever is told twice, late, out of order or about something closed changes nothing that stands: a
  // session is taken once, an INVITE ends once, and what is not out can't be answered. Guards against
  // datagrams that come again and far ends that mix up their calls: each could have left a session here
  // twice, for two INVITEs or two answers, or freed while its INVITE was still looked up.
  void sessionArrived(Session& session) override {
    if (session.received || session.finished) return;
    session.received = true;
    session.firstDialledAt = session.transit ? now_ : firstDialled(session);
    const bool isRedial = session.firstDialledAt < now_;
    session.nextDecisionAt = now_;
    const Span limit = session.timerLimit - now_;
    if (!session.transit && !isRedial) {
      auto& limits = limits_[static_cast<std::size_t>(session.service - data_.services.data())];
      if (lateBy_ == Span::none()) limits.add(now_, limit);
      Span usual;
      for (std::size_t i = 0; i < limits.size(); ++i) usual = std::max(usual, limits[i].value);
      session.firstDialledAt = now_ - std::clamp(usual - limit, Span::none(), lateBy_);
    }
    waiting_.push_back(&session);
    session.admissionDraw = std::generate_canonical<double, 24>(chance_);
    if (session.transit) return;
    offered_.add(now_, {worth(session), inTime(session), !isRedial,
                        session.destination != nullptr ? session.destination->place : -1});
  }

  void inviteAccepted(Session& session, Span postDialDelay) override {
    Exchange* at = session.pendingAt;
    if (at == nullptr || session.established) return;
    session.established = true;
    std::erase(at->pendingInvites, &session);
    leftOwnLine(session);
    if (twoLegs(session, *at)) at->farLegs[session.destination].carried = true;
    judge(session, *at, true);
    // Sent to the processor before: the new one answered a repeat.
    if (lateBy_ > Span::none() || session.sentAt < at->started) return;
    if (at == session.destination) at->postDialDelays.add(now_, postDialDelay);
    delays_.add(now_, postDialDelay);
  }

  void inviteEnded(Session& session, Exchange& at, InviteOutcome ending, BlockingReason reason, bool farProcessor,
                   Span toldWait, bool final) override {
    if (session.pendingAt != &at) {
      if (final) sessionAbandoned(session);
      return;
    }
    std::erase(at.pendingInvites, &session);
    if (ending == InviteOutcome::overloaded || ending == InviteOutcome::failed || ending == InviteOutcome::released)
      leftOwnLine(session);
    std::erase(ownLine_, &session);
    session.pendingAt = nullptr;
    const bool stood = session.established;
    session.established = false;
    if (!stood) learn(session, at, ending, reason, farProcessor, toldWait);
    if (ending == InviteOutcome::reset && !twoLegs(session, at)) at.suspectedAt = now_;
    if (final || session.finished) {
      session.finished = true;
      return;
    }
    if (ending != InviteOutcome::overloaded && ending != InviteOutcome::notSent &&
        ending != InviteOutcome::unreachable) {
      session.mayHaveExecuted = true;
    }
    if (session.transit) return refuseLater(session, Span::none());
    const bool mayBeHeld =
        ending == InviteOutcome::timedOut || ending == InviteOutcome::reset || ending == InviteOutcome::cancelled;
    session.nextDecisionAt = mayBeHeld ? now_ + data_.releaseTime : now_;
    if (session.mayHaveExecuted && !session.service->repeatable) return refuseLater(session, comeBack());
    const Instant target = session.firstDialledAt + session.service->postDialTarget;
    if (session.nextDecisionAt >= std::min(target, session.timerLimit)) return refuseLater(session, comeBack());
    if (reason == BlockingReason::lineBusy) return refuseLater(session, comeBack());
    waiting_.push_back(&session);
  }

  void sessionAbandoned(Session& session) override {
    session.finished = true;
    std::erase(waiting_, &session);
  }

 private:
  // ---- The ordinary path -------------------------------------------------------------------------------

  void decide(Session& session) {
    if (session.finished) return;
    if (session.destination == nullptr || now_ >= session.timerLimit) return refuse(session, comeBack());
    mayWait_ = mayWait(session);
    everywhere_ = delayEverywhere();
    session.transit ? carry(session) : place(session);
  }

  void place(Session& session) {
    Exchange& destination = *session.destination;
    if (!data_.usesPools && !sound(session, destination)) return refuse(session, comeBack());
    if (!data_.usesPools && pressed(session, destination)) return refuse(session, comeBackSoon(session));
    if (!data_.usesPools && lessThanUsual(session, destination)) return refuse(session, comeBackSoon(session));
    if (!data_.usesPools && !withinColdPart(session, destination)) return refuse(session, comeBackSoon(session));
    if (own_ != nullptr && !withinColdPart(session, *own_)) return refuse(session, comeBackSoon(session));
    if (linesBusy(session)) return refuse(session, comeBackSoon(session));
    const bool direct = !data_.usesPools || (fit(session, destination) && !tried(session, destination));
    if (direct && hasRoom(session, destination)) {
      if (invite(session, destination)) return;
      return refuse(session, comeBack());
    }
    while (Exchange* tandem = cheapestTandem(session)) {
      if (invite(session, *tandem)) return;
      session.tried.push_back(tandem);
    }
    refuse(session, comeBackSoon(session));
  }

  void carry(Session& session) {
    Exchange& destination = *session.destination;
    if (busyShare(destination) + share(session, destination) <= kCap && fit(session, destination) &&
        invite(session, destination)) {
      return;
    }
    refuse(session, Span::none());
  }

  // No two-leg session takes a leg past this share: what is above it is kept for direct sessions. The best of
  // 0.8, 0.9 and 0.95 that still keeps circuits free on a group of some twenty.
  static constexpr double kCap = 0.9;

  // Base of the cost curve, 1 + 1/gamma with gamma above one. gamma = 2 is the middle of the range; near one
  // measured no better.
  static constexpr double kBase = 1.5;

  // A far leg that turned a session back is taken for empty again after this. The best of 2, 5, 10, 20 and 40
  // s over all deployments: it keeps the leg shut for about two seconds.
  static constexpr Span kFading = Span::ms(40000);

  static double cost(double busy, double add) { return std::pow(kBase, busy + add) - std::pow(kBase, busy); }
  // A group that was not told of yet is taken for empty: an INVITE that finds no circuit costs nothing.
  static bool hasRoom(const Session& session, const Exchange& leg) {
    return leg.circuits < 0 || leg.freeCircuits >= session.width;
  }
  static double busyShare(const Exchange& leg) {
    return leg.circuits > 0 ? (leg.circuits - leg.freeCircuits) / leg.circuits : leg.circuits < 0 ? 0 : 1;
  }
  static double share(const Session& session, const Exchange& leg) {
    return leg.circuits > 0 ? session.width / leg.circuits : leg.circuits < 0 ? 0 : 1;
  }

  double farShare(const Exchange& tandem, const Exchange& destination) const {
    const auto entry = tandem.farLegs.find(&destination);
    if (entry == tandem.farLegs.end()) return 0;
    const FarLeg& leg = entry->second;
    return kCap * std::max(0.0, 1.0 - (now_ - leg.turnedBack) / (leg.carried ? kFading : kFading * 10));
  }

  Exchange* cheapestTandem(const Session& session) const {
    Exchange* best = nullptr;
    double least = 0;
    for (Exchange* tandem : exchanges_) {
      if (tandem == session.destination || tandem->own || tried(session, *tandem)) continue;
      if (data_.usesPools && !skilled(session, *tandem)) continue;
      if (!hasRoom(session, *tandem)) continue;
      // What a cold processor can do is kept for the sessions that start or end there: its groups are empty
      // and so the cheapest to everyone at once.
      if (!data_.usesPools && cold(*tandem)) continue;
      const double add = share(session, *tandem);
      const double far = data_.usesPools ? 0 : farShare(*tandem, *session.destination);
      if (busyShare(*tandem) + add > kCap || (!data_.usesPools && far + add > kCap)) continue;
      const double price = cost(busyShare(*tandem), add) + (data_.usesPools ? 0 : cost(far, add));
      if ((best != nullptr && price >= least) || !fit(session, *tandem)) continue;
      best = tandem;
      least = price;
    }
    return best;
  }

  bool skilled(const Session& session, const Exchange& pool) const {
    const auto& pools = session.service->pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), pool.place) != pools.end();
  }

  static bool tried(const Session& session, const Exchange& exchange) {
    return std::find(session.tried.begin(), session.tried.end(), &exchange) != session.tried.end();
  }

  // ---- Acting on a session -----------------------------------------------------------------------------

  // The only place that sends. Rules 2 to 5 are checked here whatever led to it.
  bool invite(Session& session, Exchange& to) {
    if (session.finished || session.pendingAt != nullptr || session.invites >= data_.maxInvites) return false;
    if (now_ < session.nextDecisionAt || now_ >= session.timerLimit) return false;
    if (to.readiness != Readiness::ready || to.own) return false;
    if (session.transit && &to != session.destination) return false;
    if (!withinColdPart(session, to)) return false;
    if (twoLegs(session, to) && !withinColdPart(session, *session.destination)) return false;
    if (own_ != nullptr && !session.transit && !withinColdPart(session, *own_)) return false;
    to.inviteTimes.add(now_, now_);
    if (&to != session.destination && !data_.usesPools) session.destination->inviteTimes.add(now_, now_);
    if (own_ != nullptr && !session.transit) own_->inviteTimes.add(now_, now_);
    ++session.invites;
    session.pendingAt = &to;
    session.sentAt = now_;
    session.tried.push_back(&to);
    to.pendingInvites.push_back(&session);
    ownLine_.push_back(&session);
    to.freeCircuits -= session.width;
    if (condemned(to.directOutcomes) || condemned(to.tandemOutcomes)) to.lastProbe = now_;
    sink_->invite(session, to, patience(session));
    return true;
  }

  // An ending that leaves nothing but a refusal: given in this round, once all that came in was heard. Guards against
  // an answer to a caller whose give-up came in with it.
  void refuseLater(Session& session, Span retryAfter) { ended_.push_back({&session, retryAfter}); }

  // The only place that gives a final answer; it is given at once.
  void refuse(Session& session, Span retryAfter) {
    if (session.finished) return;
    session.finished = true;
    if (!session.transit) {
      if (refused_.size() == kNumbers) refused_.erase(refused_.begin());
      refused_.push_back({session.dialledNumber, session.service, session.firstDialledAt});
    }
    if (session.mayHaveExecuted && !session.service->repeatable) return sink_->failUncertain(session);
    sink_->rejectBusy(session, data_.honoursRetryAfter ? std::min(retryAfter, data_.longestRetryAfter) : Span::none());
  }

  // A caller that met busy circuits or a pressed processor can still be served in time if it is back before
  // its target is up. Six tenths was the best of a quarter, four and six tenths over all deployments; to say
  // so only once lost.
  Span comeBackSoon(const Session& session) const {
    const Span left = session.firstDialledAt + session.service->postDialTarget - now_;
    return left > Span::none() ? left * 0.6 : data_.longestRetryAfter;
  }

  // All lines of a mass-called number are busy, which no price shows. With some ten lines one comes free
  // about every tenth of a mean hold; until then an INVITE is work for two processors that sets up nothing.
  // Guards also against a dead set behind a number. Could hurt where a number has very many lines.
  bool linesBusy(const Session& session) const {
    const auto busy = busyNumbers_.find(session.dialledNumber);
    return busy != busyNumbers_.end() && now_ - busy->second < session.service->meanHold * 0.1;
  }

  // What callers dial can be anything. At the bound the oldest refusal is forgotten, and a further busy
  // number is not noted: either costs an INVITE. 450 refusals a second for nine seconds' timer limit fit.
  static constexpr std::size_t kNumbers = 4096;

  void rememberBusy(const Session& session) {
    if (busyNumbers_.size() >= kNumbers && !busyNumbers_.contains(session.dialledNumber)) {
      Span longest;
      for (const Service& service : data_.services) longest = std::max(longest, service.meanHold * 0.1);
      std::erase_if(busyNumbers_, [&](const auto& one) { return now_ - one.second >= longest; });
      if (busyNumbers_.size() >= kNumbers) return;
    }
    busyNumbers_[session.dialledNumber] = now_;
  }

  Span comeBack() const { return data_.longestRetryAfter; }

  Instant targetOf(const Session& session) const {
    const Instant target = session.firstDialledAt + session.service->postDialTarget;
    return now_ < target ? std::min(target, session.timerLimit) : session.timerLimit;
  }

  // Callers redial by themselves and are seldom marked, and a redial is owed what is left of its first try's
  // post-dial target. It is known by the number that this office refused lately for the same service; one
  // refusal is matched by one redial. Guards against late redials crowding out sessions that can still
  // earn their full value. At a mass-called number it may take one caller for another: both wait there.
  Instant firstDialled(const Session& session) {
    std::erase_if(refused_, [&](const Refused& was) { return now_ - was.dialled > was.service->timerLimit; });
    const auto was = std::find_if(refused_.begin(), refused_.end(), [&](const Refused& one) {
      return one.number == session.dialledNumber && one.service == session.service;
    });
    if (session.isReconnect || was == refused_.end()) return now_;
    const Instant dialled = was->dialled;
    refused_.erase(was);
    return dialled;
  }

  // An INVITE is given up when it can no longer earn the full value: what is late earns little and its
  // work is the next session's wait.
  Span patience(const Session& session) const {
    const Instant end = session.transit ? session.timerLimit : targetOf(session);
    return std::max(end - now_, Span::ms(1));
  }

  // ---- Health ------------------------------------------------------------------------------------------

  void learn(const Session& session, Exchange& at, InviteOutcome ending, BlockingReason reason, bool farProcessor,
             Span toldWait) {
    switch (ending) {
      case InviteOutcome::released:
      case InviteOutcome::failed:
        judge(session, at, true);
        if (reason == BlockingReason::lineBusy) rememberBusy(session);
        break;
      case InviteOutcome::overloaded:
        judge(session, at, true);
        if (reason == BlockingReason::turnedBack && !farProcessor) at.farLegs[session.destination].turnedBack = now_;
        if (reason == BlockingReason::turnedBack && farProcessor) hold(*session.destination, Span::none());
        if (reason == BlockingReason::processorFull) {
          hold(at, toldWait);
          tooLate(std::max(toldWait, session.service->postDialTarget));
        }
        break;
      case InviteOutcome::timedOut:
        // Through a tandem it may have met an office that stands still.
        if (!twoLegs(session, at)) tooLate(now_ - session.sentAt);
        [[fallthrough]];
      case InviteOutcome::unreachable:
        judge(session, at, false);
        break;
      default:
        break;
    }
  }

  // An INVITE that timed out or met a full processor waited, or would have, at one of two processors, and one
  // of them is the own. If it is the own, all are late whatever the exchange: so it is a delay of the office,
  // and a single bad exchange is outvoted there. Guards against a slow, hung or dead processor here and
  // rushes that this office made itself. Could hurt where many exchanges fail at once and the office sends to
  // few others.
  void tooLate(Span delay) {
    if (lateBy_ == Span::none()) delays_.add(now_, delay);
  }

  void hold(Exchange& at, Span toldWait) {
    // A processor that is full says how long; where it does not, one clear-wait lets its line move.
    at.blockedUntil = std::max(at.blockedUntil, now_ + std::max(toldWait, data_.releaseTime));
  }

  // The processor of a destination and the office behind a tandem fail apart, so each is judged by its own
  // outcomes.
  void judge(const Session& session, Exchange& at, bool answered) {
    if (!answered && (lateBy_ > Span::none() || session.sentAt < at.started)) return;
    if (!answered && answeredSince(at, session.sentAt)) return;
    const bool relay = twoLegs(session, at);
    (relay ? at.tandemOutcomes : at.directOutcomes).add(now_, answered);
    if (!relay) at.suspectedAt = answered ? Instant::distantPast() : now_;
  }

  // Who answers others in the meantime is slow, not silent: that is for the delays to tell. Guards against
  // condemning everyone after a rush that this office made itself.
  static bool answeredSince(const Exchange& at, Instant sent) {
    for (std::size_t i = at.directOutcomes.size(); i-- > 0 && at.directOutcomes[i].at > sent;) {
      if (at.directOutcomes[i].value) return true;
    }
    return false;
  }

  // Page's CUSUM over the last outcomes: a sound exchange leaves 1 INVITE in 20 unanswered, a sick one 4
  // in 5.
  static bool condemned(const Samples<bool, 12>& outcomes) {
    static const double good = std::log(0.2 / 0.95);
    static const double bad = std::log(0.8 / 0.05);
    double sum = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      sum = std::clamp(sum + (outcomes[i].value ? good : bad), 0.0, kThreshold + 1.0);
    }
    return sum > kThreshold;
  }
  // Two silent INVITEs in a row condemn, one never does. The sum goes little past the threshold, so that the
  // first answer acquits however long the silence was.
  static constexpr double kThreshold = 4.0;

  bool fit(const Session& session, const Exchange& at) const {
    return sound(session, at) && !pressed(session, at) && !lessThanUsual(session, at);
  }

  // Where exchanges report what they can take, one that fell below half of what it took at its best of late
  // is thinned out by lot, and one that can take nothing gets nothing until the report is old. Answers of
  // sessions that end there tell it long before delays or silence do to an office that seldom sends there.
  // Guards against slow, ageing and hung processors; could hurt where reports tell of load, not of ability.
  bool lessThanUsual(const Session& session, const Exchange& at) const {
    if (at.reportedCapacity.size() == 0 || now_ - at.reportedCapacity.last().at > kFresh * 2) return false;
    double usual = 0;
    for (std::size_t i = 0; i < at.reportedCapacity.size(); ++i) usual = std::max(usual, at.reportedCapacity[i].value);
    // At seven tenths a slowdown of all shut too many two-leg routes.
    return at.reportedCapacity.last().value < 0.5 * usual * session.admissionDraw;
  }

  bool sound(const Session& session, const Exchange& at) const {
    if (at.readiness != Readiness::ready || now_ < at.blockedUntil) return false;
    // Whoever left a direct INVITE unanswered or cut a direct session is no tandem until a direct one is
    // answered: there are others, and its empty groups would draw two-leg sessions before the directory
    // tells. Believed no longer than a far leg's turn-back: where few dial it direct nobody would acquit it.
    if (twoLegs(session, at) && now_ - at.suspectedAt < kFading) return false;
    const bool sick = condemned(at.directOutcomes) || (twoLegs(session, at) && condemned(at.tandemOutcomes));
    return !sick || trialDue(session, at);
  }

  bool pressed(const Session& session, const Exchange& at) const {
    // A two-leg session is work for a third processor, so it stands back first.
    return std::max(everywhere_, delayAt(at)) > mayWait_ * (twoLegs(session, at) ? 1.0 / 3.0 : 1.0);
  }

  Span mayWait(const Session& session) const {
    Span left = std::min(targetOf(session) - now_, session.service->postDialTarget);
    // A set-up that waits longer than this is repeated, and each repeat is work for who waits already.
    if (data_.retransmitAfter > Span::none()) left = std::min(left, data_.retransmitAfter);
    return left * patienceShare(session);
  }

  bool twoLegs(const Session& session, const Exchange& at) const {
    return !session.transit && &at != session.destination && !data_.usesPools;
  }

  bool trialDue(const Session& session, const Exchange& at) const {
    return at.pendingInvites.empty() && now_ - at.lastProbe >= session.service->postDialTarget;
  }

  // ---- Processors --------------------------------------------------------------------------------------

  bool inTime(const Session& session) const { return now_ < session.firstDialledAt + session.service->postDialTarget; }

  double worth(const Session& session) const {
    return session.service->value * (inTime(session) ? 1 : session.service->lateValue);
  }

  // Share of the post-dial target that an expected delay may take: the dearer the session against the usual
  // one, the more, so that a pressed processor is left to the dearer ones. Twice the usual was the best of
  // half, once and twice over all deployments.
  double patienceShare(const Session& session) const {
    double sum = 0;
    for (std::size_t i = 0; i < offered_.size(); ++i) sum += offered_[i].value.worth;
    const double usual = offered_.size() > 0 ? sum / static_cast<double>(offered_.size()) : worth(session);
    return worth(session) / (worth(session) + 2.0 * usual);
  }

  // The own processor works in turn, so whoever was sent before one that was answered has passed it. Guards
  // against INVITEs that wait at slow or silent exchanges being counted as a line here. Could hurt where an
  // office has several processors.
  void leftOwnLine(const Session& session) {
    const auto it = std::find(ownLine_.begin(), ownLine_.end(), &session);
    if (it != ownLine_.end()) ownLine_.erase(ownLine_.begin(), it + 1);
  }

  Span delayEverywhere() const {
    // Three at least, so that one slow or silent exchange does not shut the others.
    const Span delay = quantile(delays_, 0.25, 3);
    // What this office has under way passes its own processor first. A set-up, its answer and its release at
    // both ends make up the shortest delay seen, and the rest of it is the way there and back; so seven
    // tenths of it each are the line of one who comes now. Better than half and the whole on all six
    // deployments together.
    Span shortest = Span::none();
    for (std::size_t i = 0; i < delays_.size(); ++i) {
      shortest = i == 0 ? delays_[i].value : std::min(shortest, delays_[i].value);
    }
    return std::max(delay, std::min(shortest * 0.7, mostEach()) * static_cast<double>(ownLine_.size()));
  }

  // A processor works in turn, so an INVITE that one sent after it has overtaken waits in no line there: it or
  // its answer is lost. Guards against one such INVITE shutting an exchange until it times out.
  // Where the way is long it is nearly all of the shortest delay. Where exchanges report what they can take,
  // the best of them tells what a set-up is to a processor; twice that leaves room for its answer and release
  // (four times was no better). Guards against an office far from all others taking what is on its way for a
  // line. Could hurt where the own processor is much slower than the best; delays seen tell of that.
  Span mostEach() const {
    double room = 0;
    for (const Exchange* at : exchanges_) {
      if (at->reportedCapacity.size() > 0) room = std::max(room, at->reportedCapacity.last().value);
    }
    return room > 0 ? Span::ms(2 * 1000.0 / room) : Span::ms(1e9);
  }

  Span delayAt(const Exchange& at) const {
    const Span delay = quantile(at.postDialDelays, 0.5, 1);
    Instant passed = at.started;  // nor is what the processor before left unanswered a line of this one
    for (std::size_t i = 0; i < at.postDialDelays.size(); ++i) {
      passed = std::max(passed, at.postDialDelays[i].at - at.postDialDelays[i].value);
    }
    for (const Session* session : at.pendingInvites) {
      if (session->sentAt >= passed) return std::max(delay, now_ - session->sentAt);
    }
    return delay;
  }

  // Samples older than this tell of another state of the processor. About the longest post-dial target.
  static constexpr Span kFresh = Span::ms(2000);

  // A line that nobody adds to gets shorter by as much as goes by; half of that, as others go on sending.
  static constexpr double kDrain = 0.5;

  template <std::size_t N>
  Span quantile(const Samples<Span, N>& samples, double at, std::size_t least) const {
    std::vector<Span> fresh;
    for (std::size_t i = 0; i < samples.size(); ++i) {
      const Span age = now_ - samples[i].at;
      if (age <= kFresh) fresh.push_back(std::max(samples[i].value - age * kDrain, Span::none()));
    }
    if (fresh.size() < least) return Span::none();
    std::sort(fresh.begin(), fresh.end());
    return fresh[static_cast<std::size_t>(at * static_cast<double>(fresh.size() - 1))];
  }

  // ---- Cold starts -------------------------------------------------------------------------------------

  bool cold(const Exchange& at) const { return now_ - at.started < data_.warmUpTime; }

  // This office's part of what a cold processor can take, so that the parts of all offices come to no more than it can.
  // A warm one bears its usual load: what its own subscribers dial, and what all others dial to it. A cold one bears
  // coldCapacityShare of that at least, and overloadFactor times as much for one tip window. So each office may send it
  // as much of the usual load as it has of it; the sum is within what the settings allow, however many offices and
  // however uneven their traffic. What is dialled beyond the part is thinned out by lot: offices that know nothing of
  // each other then keep to the sum on average, and the rest is chance. Sessions past their target are the first to go.
  // Never more than the part and what chance adds to it, for a rush that the average does not show yet: a floor of two
  // an office, as it was here, is in a fleet of thirty more than any cold processor can take. Guards against restarts
  // of many at once, mass returns, and fleets too large for a floor an office; hurts where a processor starts far above
  // coldCapacityShare, or where subscribers suddenly dial elsewhere. tests/cold_fleet.cpp counts the sum; shapes 1 and
  // 2, windows 2 to 4, 0 to 1 roots for chance: these are the least strict of them that keep the sum in a threefold
  // rush and in a threefold return.
  bool withinColdPart(const Session& session, const Exchange& to) const {
    if (!cold(to)) return true;
    const double part = data_.coldCapacityShare * data_.overloadFactor * kSpare * usual(to).toExchange;
    double sent = 0;
    for (std::size_t i = 0; i < to.inviteTimes.size(); ++i) sent += now_ - to.inviteTimes[i].at <= data_.overloadWindow;
    if (sent > std::min(part + std::sqrt(part), to.inviteTimes.room() - 1.0)) return false;
    if (session.transit) return true;  // its own office has drawn the lot
    const double wanted = std::max(beyondChance(sent), dialledOfLate(to));
    return wanted <= part || (inTime(session) && session.admissionDraw * wanted < part);
  }

  // Processors are planned to be busy for some three quarters of their time with the usual load: near nine tenths the
  // line before them is nine set-ups long in the mean.
  static constexpr double kSpare = 1 / 0.75;

  static double beyondChance(double count) { return count - 0.2 * std::sqrt(count); }

  // Sessions in a tip window that this office dials there by now, the one in hand not counted. Over the last few
  // windows, as the mean of what is usual and what is seen; and what the last one alone has beyond chance, there and to
  // all exchanges.
  double dialledOfLate(const Exchange& to) const {
    static constexpr double kWindows = 3, kShape = 2;
    double there = 0, thereLately = 0, lately = 0;
    for (std::size_t i = 0; i + 1 < offered_.size(); ++i) {
      const Span age = now_ - offered_[i].at;
      const bool goesThere = to.own || offered_[i].value.place == to.place, late = age <= data_.overloadWindow;
      there += goesThere && age <= data_.overloadWindow * kWindows;
      thereLately += goesThere && late;
      lately += late && offered_[i].value.inTime;
    }
    const auto [each, usuallyThere] = usual(to);
    if (usuallyThere <= 0) return 1;
    const double known = std::min(kWindows, (now_ - offered_[0].at) / data_.overloadWindow);
    const double slow = usuallyThere * (there + kShape) / (usuallyThere * known + kShape);
    return std::max({slow, beyondChance(thereLately), beyondChance(lately) * usuallyThere / each});
  }

  // What this office usually dials, and of it to that exchange. Where it dialled little, an even part of it goes there.
  // Redials are left out: they come the faster the less can be taken.
  UsualDemand usualUntil(Instant until, const Exchange& to) const {
    double first = 0, there = 0, others = 0;
    for (std::size_t i = 0; i < offered_.size() && offered_[i].at <= until; ++i) {
      first += offered_[i].value.first;
      there += offered_[i].value.first && offered_[i].value.place == to.place;
    }
    if (first == 0) return {0, 0};
    const double each = first / std::max(1.0, (until - offered_[0].at) / data_.overloadWindow);
    if (to.own) return {each, each};
    for (const Exchange* exchange : exchanges_) others += exchange->readiness == Readiness::ready && !exchange->own;
    if (data_.usesPools) return {each, each / std::max(1.0, others)};
    others = std::max({1.0, others, data_.fleetSize - 1.0});
    return {each, each * (there + 1) / (first + others)};
  }

  // Before that exchange started, as what comes then may be a rush that its start has made. Where the office had not
  // run for a tip window by then, all that it knows.
  UsualDemand usual(const Exchange& to) const {
    return to.usualDemand.perWindow < 0 ? usualUntil(now_, to) : to.usualDemand;
  }

  // ---- Alarms and the directory ------------------------------------------------------------------------

  void wakeForTheNext() {
    beatAt_ = now_ + kBeat;
    Instant next = data_.mustSubscribe ? std::min(askAt_, beatAt_) : beatAt_;
    for (const Session* session : waiting_) next = std::min(next, session->nextDecisionAt);
    if (wakeAt_ > now_ && wakeAt_ <= next) return;
    wakeAt_ = next;
    sink_->scheduleWakeUp(std::max(next - now_, Span::ms(1)));
  }

  void subscribe() {
    sink_->subscribe();
    askAt_ = Instant::never();
  }

  const OfficeConfig& data_;
  std::vector<Samples<Span, 16>> limits_;  // by service: what callers' own timer limits lately were
  std::ranlux24_base chance_;
  Instant now_;
  DecisionSink* sink_ = nullptr;
  std::vector<Exchange*> exchanges_;  // in the order they were first listed
  Exchange* own_ = nullptr;
  std::vector<Session*> waiting_;
  std::vector<std::pair<Session*, Span>> ended_;  // to be refused in this round
  struct Dialled {
    double worth;
    bool inTime;
    bool first;  // no redial
    int place;   // dialled; exchanges come and go there
  };
  Samples<Dialled, 256> offered_;  // sessions that subscribers of this office dialled
  Samples<Span, 16> delays_;       // post-dial delays, wherever they went
  struct Refused {
    std::uint64_t number;
    const Service* service;
    Instant dialled;
  };
  std::vector<Refused> refused_;
  std::unordered_map<std::uint64_t, Instant> busyNumbers_;
  Instant askAt_ = Instant::distantPast();
  std::vector<const Session*> ownLine_;  // INVITEs out that may not have passed the own processor yet
  Span mayWait_;                         // of the session in hand: the longest delay it may be sent into
  Span everywhere_;                      // the delay that one in hand meets whatever the exchange
  Instant wakeAt_ = Instant::distantPast();
  Instant beatAt_ = Instant::distantPast();
  Span lateBy_;
};

}  // namespace

std::unique_ptr<Controller> makeController(const OfficeConfig& data, std::uint64_t seed) {
  return std::make_unique<Rules>(data, seed);
}

}  // namespace thistlefold
