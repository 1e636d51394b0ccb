#include "office/office.hpp"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

#include "zones/lease_message.hpp"

namespace thistlefold {

using iax2::ReleaseReason;

namespace {

// ITU-T Q.850 cause codes, as RFC 5456 section 8.6.33 carries them.
constexpr std::uint8_t kNoRoute = 3, kNormal = 16, kBusy = 17, kNoCircuit = 34, kOutOfOrder = 38, kTemporary = 41,
                       kCongestion = 42, kInvalid = 95, kTimer = 102;

// For this long the capacity that the own processor reported is passed on to other offices. The limit is needed because
// a processor that hangs sends no further reports.
constexpr Span kCapacityReportLifetime = Span::ms(1000);

// ITU-T E.164 numbers have at most 15 digits; twice that leaves room for the prefixes of a private numbering plan.
constexpr std::size_t kMaxNumberLength = 32;

// Users whose circuit time is tracked by zone. With this many, every user of more than 1% of it is sure to be reported.
constexpr std::size_t kTrackedUsers = 128;

// Most recent changes of budgets that are kept for plots.
constexpr std::size_t kMaxBudgetChanges = 64;

// If a request for a list is unanswered for this long, the failure is reported to the module, which requests it again.
constexpr Span kListTimeout = Span::ms(1000);

// A directory sends its list each second. If the newest directory has been silent for this long and lists arrive with
// an older incarnation, another directory has replaced it whose clock is behind: no datagram is delayed for that long.
constexpr Span kDirectorySilenceLimit = Span::ms(10000);

// The office that sent a terminating session is to end it at its time limit. If it has not, this office does so, this
// much later.
constexpr Span kSenderTimeoutMargin = Span::ms(500);

std::uint32_t milliseconds(Span span) { return static_cast<std::uint32_t>(std::max(0.0, span.ms())); }

}  // namespace

/// Another office together with its exchange; for the own place, the own exchange alone.
struct Office::Peer : Exchange {
  Peer(const ExchangeSite& at, TrunkGroup group) : site(at), trunk(group) {}

  const ExchangeSite& site;
  TrunkGroup trunk;
  Readiness listedReadiness = Readiness::gone;   // from the directory's list
  std::uint64_t processorIncarnation = 0;        // of the exchange's processor, from the directory's list
  std::uint64_t incarnation = 0;                 // of the office (or the own exchange), from PONG; 0: not known yet
  Instant aliveAt = Instant::distantPast();      // when the newest POKE was sent that has been answered
  Instant silentSince = Instant::distantPast();  // aliveAt, or when this office could receive again after a pause
  Instant pokedAt = Instant::distantPast();
  bool isSilent = false;
  // Set-ups a second that the processor reported it can take, and when; below zero: not known. Own exchange only.
  double processorCapacity = -1;
  Instant processorCapacityAt = Instant::distantPast();
  bool groupChanged = false;                     // is in changedGroups_
  int advertisedFree = -1, advertisedSize = -1;  // the circuits of the group as last reported to the module
  // The group is reported to the module without free circuits for one round, because the budget has none for the
  // service of a session that the module tried to send here.
  bool isWithheld = false;
};

/// One session. The base class is shared with the module; the members here belong to the engine.
struct Office::HeldSession : Session {
  enum class Kind {
    originated,  // received from a caller
    transit,     // received from another office, to be sent on to a third
    terminating  // received from another office, for the own exchange
  };
  enum class State {
    deciding,     // no call towards the destination; the module decides what is next
    inviting,     // a call towards the destination has not been answered yet
    established,  // the far end has answered
    ended         // destroyed once it has no leg
  };

  std::uint64_t id = 0;  // the same on all legs; the highest bits identify the office where it was dialled
  Kind kind = Kind::originated;
  State state = State::deciding;
  Leg* incomingLeg = nullptr;
  Leg* outgoingLeg = nullptr;
  Peer* invitedPeer = nullptr;            // where the latest INVITE went
  zones::UsageCell* usageCell = nullptr;  // set once established over a leg that crosses zones
  std::string calledNumber, callingNumber;
  std::size_t serviceIndex = 0;
  Instant deadline = Instant::never();  // when the pending INVITE times out
  bool acceptSent = false;
  bool ringingForwarded = false;  // RINGING or PROCEEDING has been passed on
  BlockingReason lastReason = BlockingReason::none;
  InviteOutcome lastOutcome = InviteOutcome::released;
  bool inReleaseQueue = false;
  std::list<HeldSession>::iterator self;
};

bool Office::EarlierDeadline::operator()(const HeldSession* a, const HeldSession* b) const {
  return a->deadline != b->deadline ? a->deadline < b->deadline : a->id != b->id ? a->id < b->id : a < b;
}

/// One call of a session: to its caller, to another office, or into the own exchange. It keeps its circuits until the
/// far end has confirmed the end of the call, and may therefore outlive the session.
struct Office::Leg : iax2::CallOwner {
  Leg(Office& owner, HeldSession* ofSession, iax2::Call& iaxCall, Peer* toPeer, int circuitCount, bool outgoing)
      : office(owner),
        session(ofSession),
        call(&iaxCall),
        peer(toPeer),
        circuits(circuitCount),
        isOutgoing(outgoing),
        isUnconfirmed(outgoing) {}
  void onFrame(iax2::Call&, const iax2::Frame& frame) override { office.onFrame(*this, frame); }
  void onCallEnded(iax2::Call&, iax2::CallEnd how) override { office.onCallEnded(*this, how); }

  Office& office;
  HeldSession* session;  // null once the session no longer uses this leg
  iax2::Call* call;
  Peer* peer;          // null: a caller
  int circuits;        // held in the group to `peer`; 0 if none are
  bool isOutgoing;     // opened by this office
  bool isUnconfirmed;  // outgoing and not yet answered by the far end
  Instant openedAt;
  zones::UsageCell* usageCell = nullptr;  // of an outgoing leg that crosses zones
  std::size_t service = 0;
  std::string user;                           // calling number, of an outgoing leg that crosses zones
  std::optional<zones::UsageKey> replicaKey;  // of an incoming leg that crosses zones: under which it is accounted here
  std::uint64_t peerIncarnation = 0;          // of the office that sent an incoming leg
  std::list<Leg>::iterator self;
};

/// One event that waits to be delivered to the module in its next round.
struct Office::ModuleEvent {
  enum class Kind {
    sessionArrived,
    inviteAccepted,
    inviteEnded,
    sessionAbandoned,
    exchangeListed,
    capacityReported,
    listFailed
  };
  explicit ModuleEvent(Kind eventKind, HeldSession* ofSession = nullptr, Peer* atPeer = nullptr,
                       InviteOutcome inviteOutcome = InviteOutcome::released,
                       BlockingReason blockingReason = BlockingReason::none)
      : kind(eventKind), session(ofSession), peer(atPeer), outcome(inviteOutcome), reason(blockingReason) {}

  Kind kind;
  HeldSession* session;
  Peer* peer;
  InviteOutcome outcome;
  BlockingReason reason;
  bool failedBeyond = false;  // inviteEnded: the reason lies with the exchange beyond the invited office
  Span duration;              // inviteEnded: retry-after as received; inviteAccepted: post-dial delay
  bool final = false;         // inviteEnded: the session is over, not only the INVITE
  Readiness readiness = Readiness::gone;
  Instant startedAt;    // exchangeListed
  double capacity = 0;  // capacityReported: set-ups a second
};

Office::Office(const Fleet& fleet, OfficeOptions options, Instant now, const ControllerFactory& make,
               OfficeObserver observer)
    : fleet_(fleet),
      options_(options),
      observer_(std::move(observer)),
      now_(now),
      started_(now),
      endpoint_(*this, options.seed ^ static_cast<std::uint64_t>((now - Instant()).ms() * 1000), options.timing),
      incarnation_(static_cast<std::uint64_t>((now - Instant()).ms() * 1000)) {
  controller_ = make(fleet.config, options.seed);
  for (const ExchangeSite& place : fleet.places) {
    const auto known = std::find(zoneNames_.begin(), zoneNames_.end(), place.zone);
    zoneOf_.push_back(static_cast<int>(known - zoneNames_.begin()));
    if (known == zoneNames_.end()) zoneNames_.push_back(place.zone);
  }
  std::vector<zones::ServiceProfile> kinds;
  for (std::size_t i = 0; i < fleet.offeredServices.size(); ++i) {
    const Service& service = fleet.config.services[i];
    const double circuitSeconds = fleet.offeredServices[i].width * std::max(1.0, service.meanHold.ms()) / 1000;
    kinds.push_back({fleet.offeredServices[i].width, service.value / circuitSeconds, service.meanHold});
  }
  const int here = zoneOf_[static_cast<std::size_t>(options.place)];
  std::vector<int> zonePeers;
  for (std::size_t i = 0; i < zoneOf_.size(); ++i) {
    if (zoneOf_[i] == here) zonePeers.push_back(static_cast<int>(i));
  }
  for (std::size_t zone = 0; zone < zoneNames_.size(); ++zone) {
    leasedBudgets_.push_back(
        std::make_unique<zones::LeasedBudget>(kinds, options.place, zonePeers, static_cast<int>(zone), now));
  }
  for (std::size_t i = 0; i < fleet.places.size(); ++i) {
    const int place = static_cast<int>(i);
    peers_.push_back(std::make_unique<Peer>(fleet.places[i],
                                            TrunkGroup(fleet.circuits(options.place, place), options.place < place)));
    Peer& peer = *peers_.back();
    peer.place = place;
    peer.own = place == options.place;
    peer.silentSince = now;
    if (peer.own) {
      ownExchange_ = &peer;
    } else {
      peersByAddress_[peer.site.office] = &peer;
      markGroupChanged(peer);
    }
  }
  topUsers_.assign(zoneNames_.size(), zones::TopUsers(kTrackedUsers));
  applyBudgets(fleet.budgets);
  for (const auto& leasedBudget : leasedBudgets_) leasedBudget->beginStartupWait(now);
}

Office::~Office() = default;

// ---- Received datagrams and frames ----------------------------------------------------------------------

void Office::receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) {
  now_ = now;
  if (from == fleet_.directory && !datagram.empty() && datagram[0] == 't') {
    if (const auto decoded = decodeList(datagram)) {
      applyList(*decoded);
    } else {
      ++counters_.unreadable;
    }
    return;
  }
  if (!datagram.empty() && datagram[0] == 't' && peersByAddress_.contains(from)) {
    const auto message = zones::decodeLeaseMessage(datagram);
    const Peer& peer = *peersByAddress_[from];
    // An office may send messages about its own leases only.
    const bool isAcceptable =
        message && message->from == peer.place && message->zone >= 0 &&
        static_cast<std::size_t>(message->zone) < leasedBudgets_.size() &&
        zoneOf_[static_cast<std::size_t>(peer.place)] == zoneOf_[static_cast<std::size_t>(options_.place)];
    if (isAcceptable) {
      leasedBudgets_[static_cast<std::size_t>(message->zone)]->receive(now, *message);
    } else {
      ++counters_.unreadable;
    }
    return;
  }
  endpoint_.receive(now, from, datagram);
}

void Office::onIncomingCall(iax2::Call& call, const iax2::Frame& frame) {
  const auto peer = peersByAddress_.find(call.peer());
  if (stopping_) return rejectCall(call, ReleaseReason::none, kOutOfOrder, "going out of service", Span::ms(1000));
  if (sessions_.size() >= options_.maxSessions) {
    ++counters_.overSessionLimit;
    return rejectCall(call, ReleaseReason::processorFull, kCongestion, "office full", Span::ms(1000));
  }
  peer == peersByAddress_.end() ? handleCallerNew(call, frame) : handlePeerNew(*peer->second, call, frame);
}

/// Creates a session for a NEW from a caller.
void Office::handleCallerNew(iax2::Call& call, const iax2::Frame& frame) {
  const iax2::Elements& e = frame.elements;
  const int service = e.calledContext.empty() ? 0 : fleet_.service(e.calledContext);
  if (service < 0) return rejectCall(call, ReleaseReason::noRoute, kNoRoute, "no such service", Span::none());
  // A NEW that was truncated on the way lacks its last elements. It is left unanswered, so that the sender retransmits
  // it whole.
  if (e.calledNumber.empty()) {
    ++counters_.unreadable;
    return;
  }
  if (e.calledNumber.size() > kMaxNumberLength) {
    return rejectCall(call, ReleaseReason::noRoute, kNoRoute, "a called number of 1 to 32 digits is wanted",
                      Span::none());
  }
  const std::uint64_t id = std::uint64_t{static_cast<std::uint32_t>(options_.place + 1) & 0xfff} << 52 |
                           (incarnation_ / 1000 & 0xfffff) << 32 | ++lastSessionSerial_;
  HeldSession& session = newSession(id, frame, static_cast<std::size_t>(service));
  session.kind = HeldSession::Kind::originated;
  session.width = fleet_.offeredServices[session.serviceIndex].width;
  const int destination = fleet_.destination(session.calledNumber);
  session.destination = destination < 0 ? nullptr : peers_[static_cast<std::size_t>(destination)].get();
  session.isReconnect = e.wasCut.value_or(false);
  session.incomingLeg = &newLeg(session, call, nullptr, 0, false);
  ++counters_.originated;
  notifyObserver(OfficeEvent::Kind::received, &session, nullptr, "");
  queueEvent(ModuleEvent(ModuleEvent::Kind::sessionArrived, &session));
}

/// Creates a session for a NEW from another office, for the own exchange or in transit.
void Office::handlePeerNew(Peer& peer, iax2::Call& call, const iax2::Frame& frame) {
  const iax2::Elements& e = frame.elements;
  const int service = fleet_.service(e.calledContext);
  if (!e.session || !e.destinationPlace || !e.width || !e.timeLeftMs || !e.incarnation) {
    ++counters_.unreadable;  // truncated, as above
    return;
  }
  if (*e.width == 0 || *e.width > 1000 || service < 0 || *e.destinationPlace >= peers_.size() ||
      *e.destinationPlace == peer.place) {
    return rejectCall(call, ReleaseReason::noRoute, kInvalid, "not a session of this fleet", Span::none());
  }
  const int width = *e.width;
  const std::uint64_t incarnation = *e.incarnation;
  std::optional<zones::UsageKey> replicaKey;
  if (const int there = zoneOf_[static_cast<std::size_t>(peer.place)],
      here = zoneOf_[static_cast<std::size_t>(options_.place)];
      there != here) {
    // The highest bits of a session number identify the office where the session was dialled.
    const bool dialledThere = *e.session >> 52 == static_cast<std::uint64_t>(peer.place) + 1;
    const zones::LegKind legKind = !dialledThere                           ? zones::LegKind::second
                                   : *e.destinationPlace == options_.place ? zones::LegKind::direct
                                                                           : zones::LegKind::first;
    replicaKey = zones::UsageKey{there, here, service, legKind};
    ++peerUsage_.totalsFor(peer.place, incarnation, *replicaKey).invites;
  }
  if (!peer.trunk.seizeIncoming(width)) {
    ++counters_.noCircuit;
    return rejectCall(call, ReleaseReason::noCircuit, kNoCircuit, "no circuit", Span::none());
  }
  markGroupChanged(peer);
  HeldSession& session = newSession(*e.session, frame, static_cast<std::size_t>(service));
  session.width = width;
  session.destination = peers_[*e.destinationPlace].get();
  session.transit = true;
  session.incomingLeg = &newLeg(session, call, &peer, width, false);
  session.incomingLeg->replicaKey = replicaKey;
  session.incomingLeg->peerIncarnation = incarnation;
  if (session.destination == ownExchange_) {
    session.kind = HeldSession::Kind::terminating;
    ++counters_.terminating;
    callOwnExchange(session);
  } else {
    session.kind = HeldSession::Kind::transit;
    ++counters_.transit;
    queueEvent(ModuleEvent(ModuleEvent::Kind::sessionArrived, &session));
  }
}

Office::HeldSession& Office::newSession(std::uint64_t id, const iax2::Frame& frame, std::size_t service) {
  const auto self = sessions_.emplace(sessions_.end());
  HeldSession& session = *self;
  session.self = self;
  session.id = id;
  session.serviceIndex = service;
  session.service = &fleet_.config.services[service];
  session.calledNumber = frame.elements.calledNumber;
  session.callingNumber = frame.elements.callingNumber.substr(0, kMaxNumberLength);
  Span limit = session.service->timerLimit;
  if (frame.elements.timeLeftMs) limit = std::min(limit, Span::ms(*frame.elements.timeLeftMs));
  session.timerLimit = now_ + limit;
  // The module only compares numbers, so a hash will do; it also tells numbers apart that hold more than digits.
  for (const char c : session.calledNumber) {
    session.dialledNumber = session.dialledNumber * 131 + static_cast<std::uint8_t>(c);
  }
  return session;
}

/// The last step, into the own exchange. There is only one way, and it is used unless the directory has listed the
/// exchange as not ready for new sessions (rule 3) or no call can be opened.
void Office::callOwnExchange(HeldSession& session) {
  if (ownExchange_->listedReadiness != Readiness::ready) {
    return rejectIncomingLeg(session, ReleaseReason::processorFull, false, kCapacityReportLifetime, kOutOfOrder,
                             "exchange not in service");
  }
  iax2::Call* call = endpoint_.open(now_, ownExchange_->site.processor, nullptr,
                                    newElements(session, options_.place, session.timerLimit - now_));
  if (call == nullptr)
    return rejectIncomingLeg(session, ReleaseReason::processorFull, false, kCapacityReportLifetime, kCongestion,
                             "no call number");
  session.outgoingLeg = &newLeg(session, *call, ownExchange_, 0, true);
  session.invitedPeer = ownExchange_;
  session.state = HeldSession::State::inviting;
  setDeadline(session, session.timerLimit + kSenderTimeoutMargin);
}

/// The elements of a NEW for this session.
iax2::Elements Office::newElements(const HeldSession& session, int destinationPlace, Span timeLeft) const {
  iax2::Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = session.calledNumber;
  e.callingNumber = session.callingNumber;
  e.calledContext = fleet_.offeredServices[session.serviceIndex].name;
  e.session = session.id;
  e.originPlace = static_cast<std::uint16_t>(options_.place);
  e.destinationPlace = static_cast<std::uint16_t>(destinationPlace);
  e.width = static_cast<std::uint16_t>(session.width);
  e.timeLeftMs = milliseconds(timeLeft);
  // Must be the last element: a NEW without it is recognised as truncated. The far end also accounts the session under
  // this incarnation.
  e.incarnation = incarnation_;
  return e;
}

void Office::onFrame(Leg& leg, const iax2::Frame& frame) {
  HeldSession* session = leg.session;
  const iax2::Elements& e = frame.elements;
  if (leg.peer != nullptr && leg.isUnconfirmed && leg.isOutgoing) {
    leg.isUnconfirmed = false;
    leg.peer->trunk.confirmOutgoing(leg.circuits);
  }
  if (leg.peer != nullptr && leg.isOutgoing && e.capacityPer1000s) {
    const double processorCapacity = *e.capacityPer1000s / 1000.0;
    if (leg.peer->own) {
      ownExchange_->processorCapacity = processorCapacity;
      ownExchange_->processorCapacityAt = now_;
    }
    ModuleEvent reported(ModuleEvent::Kind::capacityReported);
    reported.peer = leg.peer;
    reported.capacity = processorCapacity;
    queueEvent(reported);
  }
  const bool isHangUp = frame.is(iax2::Iax::HANGUP) || frame.is(iax2::Iax::REJECT);
  if (session == nullptr) return endpoint_.hangUp(now_, *leg.call, iax2::Iax::HANGUP, {});
  if (!leg.isOutgoing) {
    if (!isHangUp) return;
    detachLeg(leg);
    if (session->state == HeldSession::State::established) return endEstablished(*session, false, &leg);
    return onCallerReleased(*session);
  }
  if (frame.is(iax2::Iax::ACCEPT)) {
    if (session->kind == HeldSession::Kind::terminating && !session->acceptSent && session->incomingLeg != nullptr) {
      session->acceptSent = true;
      endpoint_.send(now_, *session->incomingLeg->call, iax2::Iax::ACCEPT, responseElements(session));
    }
    return;
  }
  if (frame.is(iax2::Control::ringing) || frame.is(iax2::Control::proceeding)) {
    // Only the first is passed on: each frame waits for its acknowledgement, and sequence numbers have only eight bits.
    if (session->state == HeldSession::State::inviting && session->acceptSent && session->incomingLeg != nullptr &&
        !std::exchange(session->ringingForwarded, true)) {
      endpoint_.send(now_, *session->incomingLeg->call, static_cast<iax2::Control>(frame.subclass));
    }
    return;
  }
  if (frame.is(iax2::Control::answer)) {
    if (session->state == HeldSession::State::inviting) onInviteAnswered(*session);
    return;
  }
  const bool busyTone = frame.is(iax2::Control::busy);
  if (!isHangUp && !busyTone && !frame.is(iax2::Control::congestion)) return;
  if (session->state == HeldSession::State::established) {
    if (!isHangUp) return;
    detachLeg(leg);
    return endEstablished(*session, e.releaseReason == ReleaseReason::reset || e.causeCode == kOutOfOrder, &leg);
  }
  if (!isHangUp) hangUp(leg, ReleaseReason::none, kNormal);
  detachLeg(leg);
  const Span retryAfter = Span::ms(e.retryAfterMs.value_or(0));
  const std::uint8_t causeCode = e.causeCode.value_or(0);
  switch (e.releaseReason.value_or(ReleaseReason::none)) {
    case ReleaseReason::noCircuit:
      return onInviteFailed(*session, InviteOutcome::overloaded, BlockingReason::noCircuit, false, Span::none());
    case ReleaseReason::turnedBack:
      return onInviteFailed(*session, InviteOutcome::overloaded, BlockingReason::turnedBack,
                            e.failedBeyond.value_or(false), Span::none());
    case ReleaseReason::processorFull:
      return onInviteFailed(*session, InviteOutcome::overloaded, BlockingReason::processorFull, false, retryAfter);
    case ReleaseReason::lineBusy:
      return onInviteFailed(*session, InviteOutcome::failed, BlockingReason::lineBusy, false, Span::none());
    case ReleaseReason::reset:
      return onInviteFailed(*session, InviteOutcome::reset, BlockingReason::none, false, Span::none());
    case ReleaseReason::noRoute:
      return onInviteFailed(*session, InviteOutcome::failed, BlockingReason::none, false, Span::none());
    case ReleaseReason::none:
      break;
  }
  // The far end does not use the private elements.
  if (causeCode == kBusy || busyTone)
    return onInviteFailed(*session, InviteOutcome::failed, BlockingReason::lineBusy, false, Span::none());
  if (causeCode == kNoCircuit)
    return onInviteFailed(*session, InviteOutcome::overloaded, BlockingReason::noCircuit, false, Span::none());
  if (causeCode == kCongestion || !isHangUp) {
    return onInviteFailed(*session, InviteOutcome::overloaded, BlockingReason::processorFull, false, Span::none());
  }
  onInviteFailed(*session, InviteOutcome::failed, BlockingReason::none, false, Span::none());
}

/// The call of a leg has ended: its circuits are free, and the session reacts according to its state.
void Office::onCallEnded(Leg& leg, iax2::CallEnd how) {
  HeldSession* session = leg.session;
  const bool wasOutgoing = leg.isOutgoing;
  const bool dropped = how != iax2::CallEnd::localHangUp && how != iax2::CallEnd::remoteHangUp;
  detachLeg(leg);
  releaseLeg(leg);
  if (session == nullptr) return;
  if (session->state == HeldSession::State::established) return endEstablished(*session, dropped, nullptr);
  if (session->state == HeldSession::State::ended) return;
  if (!wasOutgoing) return onCallerReleased(*session);
  onInviteFailed(*session, how == iax2::CallEnd::unacknowledged ? InviteOutcome::timedOut : InviteOutcome::reset,
                 BlockingReason::none, false, Span::none());
}

// ---- Progress of a session -----------------------------------------------------------------------------

void Office::onInviteAnswered(HeldSession& session) {
  session.state = HeldSession::State::established;
  ++establishedSessions_;
  setDeadline(session, Instant::never());
  if (session.incomingLeg != nullptr) {
    if (!session.acceptSent)
      endpoint_.send(now_, *session.incomingLeg->call, iax2::Iax::ACCEPT, responseElements(&session));
    session.acceptSent = true;
    endpoint_.send(now_, *session.incomingLeg->call, iax2::Control::answer);
    if (session.incomingLeg->replicaKey)
      ++peerUsage_
            .totalsFor(session.incomingLeg->peer->place, session.incomingLeg->peerIncarnation,
                       *session.incomingLeg->replicaKey)
            .established;
  }
  if (session.kind == HeldSession::Kind::terminating) return;
  session.usageCell = session.outgoingLeg->usageCell;
  if (session.usageCell != nullptr) session.usageCell->established(now_);
  if (session.kind == HeldSession::Kind::originated) ++counters_.established;
  notifyObserver(OfficeEvent::Kind::established, &session, session.invitedPeer, "");
  ModuleEvent accepted(ModuleEvent::Kind::inviteAccepted, &session);
  accepted.duration = now_ - session.sentAt;
  queueEvent(accepted);
}

/// The call towards the destination failed, and the session is still undecided: a terminating session is rejected, for
/// any other the module decides again.
void Office::onInviteFailed(HeldSession& session, InviteOutcome outcome, BlockingReason reason, bool failedBeyond,
                            Span retryAfter) {
  setDeadline(session, Instant::never());
  session.state = HeldSession::State::deciding;
  if (outcome == InviteOutcome::timedOut) ++counters_.timedOut;
  if (outcome == InviteOutcome::reset) ++counters_.reset;
  if (reason == BlockingReason::turnedBack) ++counters_.turnedBack;
  if (session.kind == HeldSession::Kind::terminating) {
    switch (reason) {
      case BlockingReason::processorFull:
        return rejectIncomingLeg(session, ReleaseReason::processorFull, false, retryAfter, kCongestion,
                                 "processor full");
      case BlockingReason::lineBusy:
        return rejectIncomingLeg(session, ReleaseReason::lineBusy, false, Span::none(), kBusy, "all lines busy");
      default:
        if (outcome == InviteOutcome::reset) {
          return rejectIncomingLeg(session, ReleaseReason::reset, false, Span::none(), kOutOfOrder, "exchange reset");
        }
        return rejectIncomingLeg(session, ReleaseReason::none, false, Span::none(), kTimer, "exchange silent");
    }
  }
  session.lastReason = reason;
  session.lastOutcome = outcome;
  notifyObserver(OfficeEvent::Kind::ended, &session, session.invitedPeer,
                 outcome == InviteOutcome::timedOut        ? "timed out"
                 : outcome == InviteOutcome::reset         ? "reset"
                 : reason == BlockingReason::noCircuit     ? "no circuit"
                 : reason == BlockingReason::turnedBack    ? "turned back"
                 : reason == BlockingReason::processorFull ? "processor full"
                 : reason == BlockingReason::lineBusy      ? "line busy"
                                                           : "failed");
  ModuleEvent ended(ModuleEvent::Kind::inviteEnded, &session, session.invitedPeer, outcome, reason);
  ended.failedBeyond = failedBeyond;
  ended.duration = retryAfter;
  queueEvent(ended);
}

/// Ends an established session. `dropped`: by a fault, not by either party. `endedBy` is the leg whose far end ended
/// it, which is not hung up again; null if that leg is already released.
void Office::endEstablished(HeldSession& session, bool dropped, const Leg* endedBy) {
  session.state = HeldSession::State::ended;
  --establishedSessions_;
  if (dropped && session.usageCell != nullptr) session.usageCell->dropped(now_);
  if (dropped && session.incomingLeg != nullptr && session.incomingLeg->replicaKey) {
    ++peerUsage_
          .totalsFor(session.incomingLeg->peer->place, session.incomingLeg->peerIncarnation,
                     *session.incomingLeg->replicaKey)
          .dropped;
  }
  if (dropped && session.kind == HeldSession::Kind::originated) ++counters_.dropped;
  for (Leg* leg : {session.incomingLeg, session.outgoingLeg}) {
    if (leg == nullptr || leg == endedBy) continue;
    hangUp(*leg, dropped ? ReleaseReason::reset : ReleaseReason::none, dropped ? kOutOfOrder : kNormal);
  }
  if (session.kind != HeldSession::Kind::terminating) {
    notifyObserver(dropped ? OfficeEvent::Kind::dropped : OfficeEvent::Kind::ended, &session, session.invitedPeer,
                   dropped ? "cut" : "");
    ModuleEvent ended(ModuleEvent::Kind::inviteEnded, &session, session.invitedPeer,
                      dropped ? InviteOutcome::reset : InviteOutcome::released);
    ended.final = true;
    queueEvent(ended);
  }
}

/// The caller, or the office that sent the session here, has ended it before an answer.
void Office::onCallerReleased(HeldSession& session) {
  const bool wasInviting = session.state == HeldSession::State::inviting;
  session.state = HeldSession::State::ended;
  setDeadline(session, Instant::never());
  if (session.kind == HeldSession::Kind::originated) ++counters_.abandoned;
  if (session.outgoingLeg != nullptr) hangUp(*session.outgoingLeg, ReleaseReason::none, kNormal);
  if (session.kind != HeldSession::Kind::terminating) {
    queueEvent(ModuleEvent(ModuleEvent::Kind::sessionAbandoned, &session));
    if (wasInviting) {
      ModuleEvent ended(ModuleEvent::Kind::inviteEnded, &session, session.invitedPeer, InviteOutcome::cancelled);
      ended.final = true;
      queueEvent(ended);
    }
  }
  if (!std::exchange(session.inReleaseQueue, true)) releaseQueue_.push_back(&session);
}

void Office::onInviteTimeout(HeldSession& session) {
  if (session.outgoingLeg != nullptr) hangUp(*session.outgoingLeg, ReleaseReason::none, kTimer);
  onInviteFailed(session, InviteOutcome::timedOut, BlockingReason::none, false, Span::none());
}

/// Ends a session that is not established with its final negative answer.
void Office::rejectIncomingLeg(HeldSession& session, ReleaseReason reason, bool failedBeyond, Span retryAfter,
                               std::uint8_t causeCode, std::string_view text) {
  session.state = HeldSession::State::ended;
  if (Leg* leg = session.incomingLeg) {
    iax2::Elements e = responseElements(&session);
    e.cause = text;
    e.causeCode = causeCode;
    e.releaseReason = reason;
    if (failedBeyond) e.failedBeyond = true;
    if (retryAfter > Span::none()) e.retryAfterMs = milliseconds(retryAfter);
    endpoint_.hangUp(now_, *leg->call, session.acceptSent ? iax2::Iax::HANGUP : iax2::Iax::REJECT, e);
    detachLeg(*leg);
  }
  if (!std::exchange(session.inReleaseQueue, true)) releaseQueue_.push_back(&session);
}

/// Rejects an incoming call for which no session is created.
void Office::rejectCall(iax2::Call& call, ReleaseReason reason, std::uint8_t causeCode, std::string_view text,
                        Span retryAfter) {
  iax2::Elements e = responseElements(nullptr);
  e.cause = text;
  e.causeCode = causeCode;
  e.releaseReason = reason;
  if (retryAfter > Span::none()) e.retryAfterMs = milliseconds(retryAfter);
  endpoint_.hangUp(now_, call, iax2::Iax::REJECT, e);
}

/// Hangs a leg up and detaches it from its session. Its circuits stay in use until the far end confirms.
void Office::hangUp(Leg& leg, ReleaseReason reason, std::uint8_t causeCode) {
  iax2::Elements e;
  e.causeCode = causeCode;
  if (reason != ReleaseReason::none) e.releaseReason = reason;
  endpoint_.hangUp(now_, *leg.call, iax2::Iax::HANGUP, e);
  detachLeg(leg);
}

/// Separates a leg from its session; a session without legs is queued for release.
void Office::detachLeg(Leg& leg) {
  if (leg.session == nullptr) return;
  (leg.isOutgoing ? leg.session->outgoingLeg : leg.session->incomingLeg) = nullptr;
  HeldSession& session = *std::exchange(leg.session, nullptr);
  if (session.incomingLeg == nullptr && session.outgoingLeg == nullptr && !std::exchange(session.inReleaseQueue, true))
    releaseQueue_.push_back(&session);
}

/// Frees the circuits of a leg and destroys it, once the far end has confirmed its end or is no longer expected to.
void Office::releaseLeg(Leg& leg) {
  if (leg.circuits > 0) {
    if (leg.isUnconfirmed) leg.peer->trunk.confirmOutgoing(leg.circuits);
    leg.peer->trunk.release(leg.circuits);
    if (leg.replicaKey) {
      peerUsage_.totalsFor(leg.peer->place, leg.peerIncarnation, *leg.replicaKey).circuitMicroseconds +=
          static_cast<std::uint64_t>(std::max(0.0, (now_ - leg.openedAt).ms()) * 1000) *
          static_cast<std::uint64_t>(leg.circuits);
    }
    if (leg.usageCell != nullptr) {
      leg.usageCell->released(now_, leg.circuits);
      topUsers_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(leg.peer->place)])].add(
          leg.user, static_cast<std::uint64_t>(std::max(0.0, (now_ - leg.openedAt).ms()) * leg.circuits));
      zones::LeasedBudget& leasedBudget = *budgetTowards(*leg.peer);
      leasedBudget.release(now_, leg.service);
      refreshBudgetedGroups(leasedBudget);
    }
    markGroupChanged(*leg.peer);
  }
  legs_.erase(leg.self);
}

Office::Leg& Office::newLeg(HeldSession& session, iax2::Call& call, Peer* peer, int circuits, bool isOutgoing) {
  const auto self = legs_.emplace(legs_.end(), *this, &session, call, peer, circuits, isOutgoing);
  self->self = self;
  self->openedAt = now_;
  call.setOwner(&*self);
  return *self;
}

/// Sets when the pending INVITE of a session times out; Instant::never() removes the deadline.
void Office::setDeadline(HeldSession& session, Instant at) {
  if (session.deadline != Instant::never()) sessionsByDeadline_.erase(&session);
  session.deadline = at;
  if (at != Instant::never()) sessionsByDeadline_.insert(&session);
}

void Office::queueEvent(ModuleEvent event) { events_.push_back(event); }

void Office::markGroupChanged(Peer& peer) {
  if (!std::exchange(peer.groupChanged, true)) changedGroups_.push_back(&peer);
}

/// The elements of a response: the own processor's capacity if it is known, and the session number, by which the far
/// end can identify the session.
iax2::Elements Office::responseElements(const HeldSession* session) const {
  iax2::Elements elements;
  if (session != nullptr) elements.session = session->id;
  if (ownExchange_->processorCapacity >= 0 && now_ - ownExchange_->processorCapacityAt <= kCapacityReportLifetime) {
    elements.capacityPer1000s = static_cast<std::uint32_t>(ownExchange_->processorCapacity * 1000);
  }
  return elements;
}

// ---- The module ------------------------------------------------------------------------------------------

void Office::deliver(Controller& controller) {
  for (Peer* peer : std::exchange(changedGroups_, {})) {
    peer->groupChanged = false;
    reportCircuits(*peer, controller);
  }
  for (const ModuleEvent& one : std::exchange(events_, {})) {
    switch (one.kind) {
      case ModuleEvent::Kind::sessionArrived:
        controller.sessionArrived(*one.session);
        break;
      case ModuleEvent::Kind::inviteAccepted:
        controller.inviteAccepted(*one.session, one.duration);
        break;
      case ModuleEvent::Kind::inviteEnded:
        controller.inviteEnded(*one.session, *one.peer, one.outcome, one.reason, one.failedBeyond, one.duration,
                               one.final);
        break;
      case ModuleEvent::Kind::sessionAbandoned:
        controller.sessionAbandoned(*one.session);
        break;
      case ModuleEvent::Kind::exchangeListed:
        controller.exchangeListed(*one.peer, one.readiness, one.startedAt);
        break;
      case ModuleEvent::Kind::capacityReported:
        controller.capacityReported(*one.peer, one.capacity);
        break;
      case ModuleEvent::Kind::listFailed:
        controller.listFailed();
        break;
    }
  }
}

/// Free circuits and size of a group as reported to the module. For a group that crosses zones these are the lesser of
/// its circuits and of the budget's part, so that the price of the group rises as the budget fills.
std::pair<int, int> Office::advertisedCircuits(const Peer& peer) {
  const int free = peer.trunk.free(), size = peer.trunk.size();
  const zones::LeasedBudget* leasedBudget = budgetTowards(peer);
  if (leasedBudget == nullptr || !leasedBudget->isBounded()) return {free, size};
  return {std::min(free, leasedBudget->part().free()), std::min(size, leasedBudget->part().circuits())};
}

void Office::reportCircuits(Peer& peer, Controller& controller) {
  std::tie(peer.advertisedFree, peer.advertisedSize) = advertisedCircuits(peer);
  if (peer.isWithheld) peer.advertisedFree = 0;
  controller.circuitsChanged(peer, peer.advertisedFree, peer.advertisedSize);
  // From the next round on it is reported as it is.
  if (std::exchange(peer.isWithheld, false)) markGroupChanged(peer);
}

/// The budget that bounds legs to `to`; null if they do not cross zones.
zones::LeasedBudget* Office::budgetTowards(const Peer& to) {
  const int there = zoneOf_[static_cast<std::size_t>(to.place)];
  return there == zoneOf_[static_cast<std::size_t>(options_.place)]
             ? nullptr
             : leasedBudgets_[static_cast<std::size_t>(there)].get();
}

/// Queues the groups that share a budget for a new report to the module, but only those for which the report would
/// differ. While the budget is the wider limit it does not, and reporting every group at every session takes half as
/// much time as the session itself.
void Office::refreshBudgetedGroups(const zones::LeasedBudget& leasedBudget) {
  if (!leasedBudget.isBounded()) return;
  for (const auto& peer : peers_) {
    if (peer->own || budgetTowards(*peer) != &leasedBudget) continue;
    if (advertisedCircuits(*peer) != std::pair(peer->advertisedFree, peer->advertisedSize)) markGroupChanged(*peer);
  }
}

void Office::updateBudgets(Instant now, const std::vector<zones::Budget>& budgets) {
  now_ = now;
  applyBudgets(budgets);
}

void Office::applyBudgets(const std::vector<zones::Budget>& budgets) {
  const int here = zoneOf_[static_cast<std::size_t>(options_.place)];
  for (std::size_t zone = 0; zone < leasedBudgets_.size(); ++zone) {
    const auto one = std::find_if(budgets.begin(), budgets.end(), [&](const zones::Budget& budget) {
      return budget.from == here && budget.to == static_cast<int>(zone);
    });
    const auto& before = leasedBudgets_[zone]->budget();
    const int circuits = one == budgets.end() ? -1 : one->circuits;
    if (circuits != (before ? before->circuits : -1)) {
      if (budgetChanges_.size() == kMaxBudgetChanges) budgetChanges_.erase(budgetChanges_.begin());
      budgetChanges_.push_back({now_, static_cast<int>(zone), circuits});
    }
    leasedBudgets_[zone]->setBudget(now_, one == budgets.end() ? std::nullopt : std::optional(*one));
  }
  for (const auto& peer : peers_) {
    if (!peer->own && budgetTowards(*peer) != nullptr) markGroupChanged(*peer);
  }
}

/// Sends the lease messages that are due to offices of the zone, ends sessions over a budget that demands it, and
/// reports budgets that have changed.
void Office::processBudgets() {
  for (const auto& leasedBudget : leasedBudgets_) {
    for (const auto& [place, message] : leasedBudget->process(now_)) {
      outgoingMessages_.emplace_back(peers_[static_cast<std::size_t>(place)]->site.office, zones::encode(message));
    }
    if (const int circuits = leasedBudget->circuitsToEnd(now_); circuits > 0)
      endLowestValueSessions(*leasedBudget, circuits);
    if (leasedBudget->consumeBoundsChanged()) refreshBudgetedGroups(*leasedBudget);
  }
}

/// Ends the established sessions of the lowest value, so that `circuits` circuits of the budget become free. Circuits
/// stay in use until the far end has confirmed, so those of sessions that are being ended already count towards that.
void Office::endLowestValueSessions(const zones::LeasedBudget& leasedBudget, int circuits) {
  std::vector<Leg*> legs;
  std::vector<zones::EstablishedSession> established;
  for (Leg& leg : legs_) {
    if (leg.usageCell == nullptr || budgetTowards(*leg.peer) != &leasedBudget) continue;
    if (leg.session == nullptr) {
      circuits -= leg.circuits;
    } else if (leg.session->state == HeldSession::State::established) {
      legs.push_back(&leg);
      established.push_back({leg.service, leg.openedAt});
    }
  }
  for (const std::size_t i : zones::selectSessionsToEnd(leasedBudget.part().services(), established, circuits))
    dropLeg(*legs[i]);
}

void Office::invite(const Session& moduleSession, const Exchange& to, Span giveUpAfter) {
  HeldSession& session = const_cast<HeldSession&>(static_cast<const HeldSession&>(moduleSession));
  Peer& peer = const_cast<Peer&>(static_cast<const Peer&>(to));
  const int width = static_cast<int>(session.width);
  // The module never has two INVITEs of a session pending (rule 2). A test controller that breaks this rule is not
  // prevented, so that the audit can detect it; the earlier leg is detached from the session.
  if (session.outgoingLeg != nullptr) std::exchange(session.outgoingLeg, nullptr)->session = nullptr;
  session.invitedPeer = &peer;
  session.state = HeldSession::State::inviting;
  iax2::Call* call = nullptr;
  zones::LeasedBudget* leasedBudget = budgetTowards(peer);
  if (leasedBudget != nullptr && !leasedBudget->admits(now_, session.serviceIndex)) {
    // The budget has no circuit for this service; the module looks for another way, as without a free circuit.
    usageCellOf(session, peer)->refused(now_);
    leasedBudget->recordRefusal(now_, session.serviceIndex);
    // The same budget bounds other groups too. All are withheld, since each further attempt would cost the session one
    // of its INVITEs in vain.
    for (const auto& one : peers_) {
      if (one->own || budgetTowards(*one) != leasedBudget) continue;
      one->isWithheld = true;
      markGroupChanged(*one);
    }
  } else if (peer.trunk.seizeOutgoing(width)) {
    markGroupChanged(peer);
    call =
        endpoint_.open(now_, peer.site.office, nullptr, newElements(session, session.destination->place, giveUpAfter));
    if (call == nullptr) {
      peer.trunk.confirmOutgoing(width);
      peer.trunk.release(width);
    }
  }
  if (call == nullptr) {
    // Nothing was sent, so no response is pending.
    session.state = HeldSession::State::deciding;
    session.lastReason = BlockingReason::noCircuit;
    return queueEvent(ModuleEvent(ModuleEvent::Kind::inviteEnded, &session, &peer, InviteOutcome::notSent,
                                  BlockingReason::noCircuit));
  }
  session.outgoingLeg = &newLeg(session, *call, &peer, width, true);
  if (zones::UsageCell* usageCell = usageCellOf(session, peer)) {
    session.outgoingLeg->usageCell = usageCell;
    session.outgoingLeg->service = session.serviceIndex;
    session.outgoingLeg->user = session.callingNumber.empty() ? "unknown" : session.callingNumber;
    usageCell->invited(now_, width);
    leasedBudget->seize(now_, session.serviceIndex);
    refreshBudgetedGroups(*leasedBudget);
  }
  setDeadline(session, now_ + giveUpAfter);
  ++counters_.invites;
  if (&peer != session.destination) ++counters_.twoLeg;
  notifyObserver(OfficeEvent::Kind::inviteSent, &session, &peer, "");
  if (!session.acceptSent && session.incomingLeg != nullptr) {
    session.acceptSent = true;
    endpoint_.send(now_, *session.incomingLeg->call, iax2::Iax::ACCEPT, responseElements(&session));
  }
}

void Office::rejectBusy(const Session& moduleSession, Span retryAfter) {
  refuseSession(const_cast<HeldSession&>(static_cast<const HeldSession&>(moduleSession)), retryAfter);
}

void Office::failUncertain(const Session& moduleSession) {
  refuseSession(const_cast<HeldSession&>(static_cast<const HeldSession&>(moduleSession)), Span::none());
}

/// Carries out the module's decision to give a session up.
void Office::refuseSession(HeldSession& session, Span retryAfter) {
  if (session.state == HeldSession::State::ended) return;
  if (session.transit) {
    // The office that sent the session here must be able to distinguish three cases: all lines of the number are busy;
    // the INVITE sent on from here was reset and may still be executed (rule 5 holds for the session as a whole, not
    // for one office); anything else, which is a turn-back.
    if (session.lastReason == BlockingReason::lineBusy) {
      return rejectIncomingLeg(session, ReleaseReason::lineBusy, false, Span::none(), kBusy, "all lines busy");
    }
    if (session.lastOutcome == InviteOutcome::reset || session.lastOutcome == InviteOutcome::timedOut) {
      return rejectIncomingLeg(session, ReleaseReason::reset, false, Span::none(), kOutOfOrder, "reset beyond");
    }
    return rejectIncomingLeg(session, ReleaseReason::turnedBack, session.lastReason == BlockingReason::processorFull,
                             Span::none(), kNoCircuit, "turned back");
  }
  ++counters_.refused;
  // The module does not try a group that is reported without free circuits, so the budget would not learn of the
  // demand.
  if (session.destination != nullptr && session.lastReason != BlockingReason::lineBusy) {
    if (zones::LeasedBudget* leasedBudget = budgetTowards(static_cast<const Peer&>(*session.destination));
        leasedBudget != nullptr && !leasedBudget->admits(now_, session.serviceIndex)) {
      leasedBudget->recordRefusal(now_, session.serviceIndex);
    }
  }
  notifyObserver(OfficeEvent::Kind::refused, &session, session.invitedPeer,
                 session.destination == nullptr                   ? "no such number"
                 : session.lastReason == BlockingReason::lineBusy ? "line busy"
                 : session.lastOutcome == InviteOutcome::timedOut ? "no answer in time"
                 : session.lastOutcome == InviteOutcome::reset    ? "reset"
                                                                  : "no way in time");
  if (session.destination == nullptr) {
    return rejectIncomingLeg(session, ReleaseReason::noRoute, false, Span::none(), kNoRoute, "no such number");
  }
  if (session.lastReason == BlockingReason::lineBusy) {
    return rejectIncomingLeg(session, ReleaseReason::lineBusy, false, retryAfter, kBusy, "all lines busy");
  }
  if (session.lastOutcome == InviteOutcome::timedOut || session.lastOutcome == InviteOutcome::reset) {
    return rejectIncomingLeg(session, ReleaseReason::none, false, retryAfter, kTemporary, "not set up in time");
  }
  rejectIncomingLeg(
      session,
      session.lastReason == BlockingReason::processorFull ? ReleaseReason::processorFull : ReleaseReason::noCircuit,
      false, retryAfter, session.lastReason == BlockingReason::processorFull ? kCongestion : kNoCircuit, "no way now");
}

void Office::scheduleWakeUp(Span delay) { wakeUpAt_ = now_ + delay; }

void Office::subscribe() {
  outgoingMessages_.emplace_back(fleet_.directory, std::string(kListRequest));
  listRequestedAt_ = now_;
}

void Office::notifyObserver(OfficeEvent::Kind kind, const HeldSession* session, const Peer* peer,
                            std::string_view reason) const {
  if (!observer_) return;
  observer_(
      {kind, session == nullptr ? 0 : session->id, peer == nullptr ? std::string_view() : peer->site.name, reason});
}

// ---- Rounds and deadlines -------------------------------------------------------------------------------

void Office::process(Instant now, const DatagramSender& out) {
  now_ = now;
  endpoint_.expire(now);
  while (!sessionsByDeadline_.empty() && (*sessionsByDeadline_.begin())->deadline <= now) {
    HeldSession& session = **sessionsByDeadline_.begin();
    setDeadline(session, Instant::never());
    onInviteTimeout(session);
  }
  if (nextPokeAt_ <= now) pokeDuePeers();
  if (listRequestedAt_ != Instant::never() && now - listRequestedAt_ > kListTimeout) {
    listRequestedAt_ = Instant::never();
    queueEvent(ModuleEvent(ModuleEvent::Kind::listFailed));
  }
  if (!stopping_) processBudgets();
  // An INVITE that finds no circuit ends at once, and the module decides again in another round. Each costs the session
  // one of its INVITEs, so the loop terminates.
  while (!stopping_ && (!events_.empty() || !changedGroups_.empty() || wakeUpAt_ <= now)) {
    ++counters_.rounds;
    if (wakeUpAt_ <= now) wakeUpAt_ = Instant::never();
    controller_->round(now, *this, *this);
  }
  if (stopping_) {
    events_.clear();
    changedGroups_.clear();
  }
  releaseEndedSessions();
  endpoint_.flush(now, out);
  for (const auto& [to, text] : std::exchange(outgoingMessages_, {})) {
    out(to, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }
}

Instant Office::nextDeadline() const {
  Instant next = std::min(endpoint_.nextDue(), nextPokeAt_);
  if (!stopping_) {
    next = std::min(next, wakeUpAt_);
    for (const auto& leasedBudget : leasedBudgets_) next = std::min(next, leasedBudget->nextDeadline());
  }
  if (!sessionsByDeadline_.empty()) next = std::min(next, (*sessionsByDeadline_.begin())->deadline);
  if (listRequestedAt_ != Instant::never()) next = std::min(next, listRequestedAt_ + kListTimeout + Span::ms(1));
  return next;
}

/// Destroys sessions that have ended. The module no longer refers to them, as their end has been delivered to it.
void Office::releaseEndedSessions() {
  for (HeldSession* session : std::exchange(releaseQueue_, {})) {
    session->inReleaseQueue = false;
    if (session->state == HeldSession::State::ended && session->incomingLeg == nullptr &&
        session->outgoingLeg == nullptr) {
      setDeadline(*session, Instant::never());
      sessions_.erase(session->self);
    }
  }
}

void Office::stop(Instant now) {
  if (stopping_) return;
  now_ = now;
  stopping_ = true;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    HeldSession& session = *it++;
    setDeadline(session, Instant::never());
    if (session.state == HeldSession::State::ended) continue;
    if (session.state == HeldSession::State::established) --establishedSessions_;
    if (session.outgoingLeg != nullptr) hangUp(*session.outgoingLeg, ReleaseReason::reset, kOutOfOrder);
    rejectIncomingLeg(session, session.transit ? ReleaseReason::reset : ReleaseReason::none, false, Span::ms(1000),
                      kOutOfOrder, "going out of service");
  }
}

// ---- Other offices, the own exchange, the directory ------------------------------------------------------

iax2::Elements Office::pongElements(iax2::Address) {
  iax2::Elements e = responseElements(nullptr);
  e.originPlace = static_cast<std::uint16_t>(options_.place);
  e.incarnation = incarnation_;
  return e;
}

/// Sends the POKEs that are due and gives up peers that have been silent for too long.
void Office::pokeDuePeers() {
  nextPokeAt_ = Instant::never();
  for (const auto& peer : peers_) {
    if (!peer->own && peer->trunk.size() == 0) continue;
    const Span interval = peer->own ? options_.exchangePokeInterval : options_.peerPokeInterval;
    if (now_ - peer->pokedAt >= interval) {
      // Silence is measured from the first POKE that could have been answered: while this office itself was paused, it
      // sent none.
      if (now_ - peer->pokedAt > interval * 3.0) peer->silentSince = now_;
      peer->pokedAt = now_;
      endpoint_.poke(now_, peer->own ? peer->site.processor : peer->site.office);
      if (!peer->isSilent && now_ - peer->silentSince > options_.peerSilenceLimit) onPeerLost(*peer, false);
    }
    nextPokeAt_ = std::min(nextPokeAt_, peer->pokedAt + interval);
  }
}

void Office::onPong(iax2::Address from, const iax2::Frame& frame) {
  Peer* peer = nullptr;
  if (from == ownExchange_->site.processor) {
    peer = ownExchange_;
  } else if (const auto it = peersByAddress_.find(from); it != peersByAddress_.end()) {
    peer = it->second;
  }
  if (peer == nullptr || !frame.elements.incarnation) return;
  // The PONG proves that the peer was alive when the POKE was sent. The time of receipt proves less, as the PONG may
  // have been delayed on the way or in this office's queue. A PONG to an earlier POKE than one already answered is
  // ignored: it may come from an earlier incarnation, and incarnations alone don't show which was first, since clocks
  // may be set back. A PONG that is older than the silence limit is ignored too.
  const auto ageMs = static_cast<std::int32_t>(iax2::pokeStamp(now_) - frame.timestamp);
  const Instant aliveAt = now_ - Span::ms(ageMs);
  if (ageMs < 0 || now_ - aliveAt > options_.peerSilenceLimit || aliveAt + Span::ms(1) < peer->aliveAt) return;
  if (peer->isSilent) notifyObserver(OfficeEvent::Kind::peerRecovered, nullptr, peer, "");
  peer->isSilent = false;
  const std::uint64_t incarnation = *frame.elements.incarnation;
  if (peer != ownExchange_) peerUsage_.recordIncarnation(peer->place, incarnation);
  if (peer->incarnation != 0 && incarnation != peer->incarnation) onPeerLost(*peer, true);
  peer->incarnation = incarnation;
  peer->aliveAt = aliveAt;
  peer->silentSince = std::max(peer->silentSince, aliveAt);
  if (peer == ownExchange_ && frame.elements.capacityPer1000s) {
    ownExchange_->processorCapacity = *frame.elements.capacityPer1000s / 1000.0;
    ownExchange_->processorCapacityAt = now_;
  }
}

/// Handles a peer that was restarted and has lost its sessions, or that has been silent for too long.
void Office::onPeerLost(Peer& peer, bool restarted) {
  notifyObserver(OfficeEvent::Kind::peerLost, nullptr, &peer, restarted ? "started anew" : "silent");
  peer.isSilent = !restarted;
  // The capacity was reported by the earlier incarnation.
  if (&peer == ownExchange_) ownExchange_->processorCapacity = -1;
  std::vector<Leg*> lostLegs;
  for (Leg& leg : legs_) {
    if (leg.peer == &peer) lostLegs.push_back(&leg);
  }
  for (Leg* leg : lostLegs) {
    // Opened after the last POKE that the earlier incarnation answered, so the leg may belong to the new one. A PING
    // settles it: a peer that does not know the call answers INVAL.
    if (restarted && leg->openedAt > peer.aliveAt) {
      endpoint_.send(now_, *leg->call, iax2::Iax::PING);
      continue;
    }
    if (restarted) {
      endpoint_.discard(*leg->call);
      onCallEnded(*leg, iax2::CallEnd::unknownCall);
    } else {
      dropLeg(*leg);
    }
  }
}

/// Ends a leg whose circuits are lost or that must make way, and the session or INVITE on it.
void Office::dropLeg(Leg& leg) {
  HeldSession* session = leg.session;
  if (session == nullptr) return;  // it is already being ended
  const bool wasOutgoing = leg.isOutgoing;
  hangUp(leg, ReleaseReason::reset, kOutOfOrder);
  if (session->state == HeldSession::State::established) {
    endEstablished(*session, true, nullptr);
  } else if (!wasOutgoing) {
    onCallerReleased(*session);
  } else {
    onInviteFailed(*session, InviteOutcome::reset, BlockingReason::none, false, Span::none());
  }
}

/// Sets the size of a group. If more circuits are in use than are left, the controlling end drops the newest sessions;
/// the other end learns of each by its HANGUP.
void Office::resizeGroup(Peer& peer, int circuits) {
  if (peer.trunk.size() == circuits) return;
  peer.trunk.resize(circuits);
  markGroupChanged(peer);
  if (!peer.trunk.controlling()) return;
  int excess = peer.trunk.excess();
  for (auto leg = legs_.rbegin(); leg != legs_.rend() && excess > 0; ++leg) {
    if (leg->peer != &peer || leg->circuits == 0) continue;
    excess -= leg->circuits;
    dropLeg(*leg);
  }
}

void Office::applyList(const ExchangeList& list) {
  const bool isOlder =
      std::pair(list.directoryIncarnation, list.version) <= std::pair(directoryIncarnation_, listVersion_);
  if (isOlder &&
      (list.directoryIncarnation == directoryIncarnation_ || now_ - listReceivedAt_ <= kDirectorySilenceLimit)) {
    ++counters_.staleLists;
    return;
  }
  directoryIncarnation_ = list.directoryIncarnation;
  listVersion_ = list.version;
  listReceivedAt_ = now_;
  listRequestedAt_ = Instant::never();
  ++counters_.listsAccepted;
  const auto queueExchangeListed = [&](Peer& peer, Readiness readiness, Instant started) {
    if (peer.listedReadiness == readiness && peer.started == started) return;
    peer.listedReadiness = readiness;
    if (&peer == ownExchange_) ownExchange_->processorCapacity = -1;
    notifyObserver(OfficeEvent::Kind::listed, nullptr, &peer,
                   readiness == Readiness::ready      ? "ready"
                   : readiness == Readiness::draining ? "draining"
                                                      : "gone");
    ModuleEvent listed(ModuleEvent::Kind::exchangeListed);
    listed.peer = &peer;
    listed.readiness = readiness;
    listed.startedAt = started;
    queueEvent(listed);
  };
  std::vector<bool> named(peers_.size());
  for (const ListEntry& one : list.entries) {
    if (static_cast<std::size_t>(one.place) >= peers_.size()) continue;
    Peer& peer = *peers_[static_cast<std::size_t>(one.place)];
    named[static_cast<std::size_t>(one.place)] = true;
    const bool sameProcessor = peer.processorIncarnation == one.processorIncarnation;
    peer.processorIncarnation = one.processorIncarnation;
    queueExchangeListed(peer, one.readiness, sameProcessor ? peer.started : now_ - one.age);
  }
  for (const GroupSize& group : list.groups) {
    const int other = group.a == options_.place ? group.b : group.b == options_.place ? group.a : -1;
    if (other < 0 || static_cast<std::size_t>(other) >= peers_.size() || other == options_.place) continue;
    resizeGroup(*peers_[static_cast<std::size_t>(other)], group.circuits);
  }
  if (!list.full) return;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (!named[i]) queueExchangeListed(*peers_[i], Readiness::gone, peers_[i]->started);
  }
}

/// The ledger's cell for a leg of this session to `to`; null if the leg does not cross zones.
zones::UsageCell* Office::usageCellOf(const HeldSession& session, const Peer& to) {
  const int from = zoneOf_[static_cast<std::size_t>(options_.place)];
  const int there = zoneOf_[static_cast<std::size_t>(to.place)];
  if (from == there) return nullptr;
  const zones::LegKind legKind = session.transit              ? zones::LegKind::second
                                 : &to == session.destination ? zones::LegKind::direct
                                                              : zones::LegKind::first;
  return &ledger_.cell({from, there, static_cast<int>(session.serviceIndex), legKind});
}

const TrunkGroup* Office::trunkGroup(int place) const {
  const Peer& peer = *peers_[static_cast<std::size_t>(place)];
  return peer.own || peer.trunk.size() == 0 ? nullptr : &peer.trunk;
}

Readiness Office::listedReadiness(int place) const { return peers_[static_cast<std::size_t>(place)]->listedReadiness; }

std::string Office::statusReport(Instant now) const {
  std::ostringstream out;
  out << "{\"office\":\"" << ownExchange_->site.name
      << "\",\"up_ms\":" << static_cast<std::int64_t>((now - started_).ms())
      << ",\"stopping\":" << (stopping_ ? "true" : "false") << ",\"sessions\":" << sessions_.size()
      << ",\"standing\":" << establishedSessions_ << ",\"legs\":" << legs_.size();
  const std::pair<const char*, std::uint64_t> counts[] = {{"dialled", counters_.originated},
                                                          {"transit", counters_.transit},
                                                          {"terminating", counters_.terminating},
                                                          {"invites", counters_.invites},
                                                          {"two_leg", counters_.twoLeg},
                                                          {"stood", counters_.established},
                                                          {"refused", counters_.refused},
                                                          {"abandoned", counters_.abandoned},
                                                          {"cut", counters_.dropped},
                                                          {"turned_back", counters_.turnedBack},
                                                          {"no_circuit", counters_.noCircuit},
                                                          {"timed_out", counters_.timedOut},
                                                          {"reset", counters_.reset},
                                                          {"over_full", counters_.overSessionLimit},
                                                          {"rounds", counters_.rounds},
                                                          {"lists", counters_.listsAccepted},
                                                          {"lists_stale", counters_.staleLists},
                                                          {"unreadable", counters_.unreadable},
                                                          {"datagrams_in", signallingCounters().received},
                                                          {"datagrams_out", signallingCounters().sent},
                                                          {"malformed", signallingCounters().malformed},
                                                          {"retransmitted", signallingCounters().retransmitted},
                                                          {"unknown_call", signallingCounters().unknownCall},
                                                          {"repeated", signallingCounters().duplicates}};
  for (const auto& [name, count] : counts) out << ",\"" << name << "\":" << count;
  out << ",\"exchanges\":[";
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = *peers_[i];
    out << (i > 0 ? "," : "") << "{\"exchange\":\"" << peer.site.name << "\",\"listed\":\""
        << (peer.listedReadiness == Readiness::ready      ? "ready"
            : peer.listedReadiness == Readiness::draining ? "draining"
                                                          : "gone")
        << "\",\"own\":" << (peer.own ? "true" : "false") << ",\"circuits\":" << peer.trunk.size()
        << ",\"free\":" << peer.trunk.free() << ",\"silent\":" << (peer.isSilent ? "true" : "false")
        << ",\"doubtful\":" << (peer.suspectedAt != Instant::distantPast() ? "true" : "false")
        << ",\"ringing\":" << peer.pendingInvites.size() << '}';
  }
  out << "]}";
  return out.str();
}

}  // namespace thistlefold
