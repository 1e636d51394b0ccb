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

// What a processor said it can take is passed on for so long; a hung one says nothing more.
constexpr Span kRoomFresh = Span::ms(1000);

// Numbers are ITU-T E.164's fifteen digits at most; twice that leaves room for prefixes of an own plan.
constexpr std::size_t kLongestNumber = 32;

// Of so many users an office keeps sums by zone. A user of more than 1% of what crosses is then sure to be told.
constexpr std::size_t kUsers = 128;

// So many changes of budgets are remembered, for plots.
constexpr std::size_t kBudgetChanges = 64;

// An office that waits for a list this long asks again.
constexpr Span kListWithin = Span::ms(1000);

// A directory sends its list each second. One of an earlier start that still speaks after the newer has been silent for
// so long has taken its place, with a clock that is behind; a datagram that was late is never that late.
constexpr Span kDirectoryTerm = Span::ms(10000);

// A terminating session is ended here this much after its sender should have ended it.
constexpr Span kSenderFirst = Span::ms(500);

std::uint32_t milliseconds(Span span) { return static_cast<std::uint32_t>(std::max(0.0, span.ms())); }

}  // namespace

/// Another office with the exchange behind it, or (the own place) the own exchange.
struct Office::Peer : Exchange {
  Peer(const ExchangeSite& at, TrunkGroup group) : site(at), trunk(group) {}

  const ExchangeSite& site;
  TrunkGroup trunk;
  Readiness told = Readiness::gone;
  std::uint64_t start = 0;               // the directory's mark of its processor
  std::uint64_t mark = 0;                // its own mark, from PONG
  Instant aliveAt = Instant::longAgo();  // when the newest POKE was sent that it has answered
  Instant heardAt = Instant::longAgo();  // silence counts from here: aliveAt, or when this office could listen again
  Instant pokedAt = Instant::longAgo();
  bool silent = false;
  double canTake = -1;
  Instant canTakeAt = Instant::longAgo();
  bool isChanged = false;
  int shownFree = -1, shownSize = -1;  // what the module was told of the group last
  bool shut = false;  // shown without circuits for one round: the budget has none for a service that was sent here
};

/// One session. The Session part is the module's, the rest the engine's.
struct Office::Held : Session {
  enum class Kind { dialled, transit, terminating };
  enum class State { asked, ringing, standing, over };

  std::uint64_t id = 0;
  Kind kind = Kind::dialled;
  State state = State::asked;
  Leg* in = nullptr;
  Leg* out = nullptr;
  Peer* at = nullptr;                // where the INVITE went
  zones::UsageCell* cell = nullptr;  // of the account, while it stands over a leg that crosses zones
  std::string called, calling;
  std::size_t offer = 0;
  Instant giveUpAt = Instant::never();
  bool acceptedIn = false;
  bool rang = false;  // RINGING or PROCEEDING has been passed on
  BlockingReason lastReason = BlockingReason::none;
  InviteOutcome lastEnding = InviteOutcome::released;
  bool queued = false;  // in done_
  std::list<Held>::iterator self;
};

bool Office::Sooner::operator()(const Held* a, const Held* b) const {
  return a->giveUpAt != b->giveUpAt ? a->giveUpAt < b->giveUpAt : a->id != b->id ? a->id < b->id : a < b;
}

/// One call of a session: to its caller, to another office, or into the own exchange. Outlives the session's
/// interest in it until the far end has confirmed the end, and holds the circuits until then.
struct Office::Leg : iax2::CallOwner {
  Leg(Office& at, Held* of, iax2::Call& on, Peer* towards, int wide, bool outgoing)
      : office(at), held(of), call(&on), peer(towards), circuits(wide), out(outgoing), inDoubt(outgoing) {}
  void onFrame(iax2::Call&, const iax2::Frame& frame) override { office.onFrame(*this, frame); }
  void onCallEnded(iax2::Call&, iax2::CallEnd how) override { office.onCallEnded(*this, how); }

  Office& office;
  Held* held;
  iax2::Call* call;
  Peer* peer;    // null: a caller
  int circuits;  // of the group to `peer`; 0 where none are held
  bool out;
  bool inDoubt;  // not answered by the far end yet
  Instant openedAt;
  zones::UsageCell* cell = nullptr;  // of the account, where the leg goes out and crosses zones
  std::size_t service = 0;
  std::string user;                    // of a leg that goes out across zones
  std::optional<zones::Key> mirrored;  // a leg that came in across zones
  std::uint64_t mark = 0;              // of the office that sent it
  std::list<Leg>::iterator self;
};

struct Office::Event {
  enum class Kind { incoming, accepted, ended, abandoned, listed, reported, listFailed };
  explicit Event(Kind what, Held* whose = nullptr, Peer* where = nullptr, InviteOutcome how = InviteOutcome::released,
                 BlockingReason why = BlockingReason::none)
      : kind(what), held(whose), peer(where), ending(how), reason(why) {}

  Kind kind;
  Held* held;
  Peer* peer;
  InviteOutcome ending;
  BlockingReason reason;
  bool beyond = false;  // ended: the reason lies with the far processor
  Span span;            // ended: told wait; accepted: delay
  bool final = false;
  Readiness readiness = Readiness::gone;
  Instant instant;
  double number = 0;
};

Office::Office(const Fleet& fleet, OfficeOptions setting, Instant now, const ControllerFactory& make,
               OfficeObserver observer)
    : fleet_(fleet),
      setting_(setting),
      observer_(std::move(observer)),
      now_(now),
      started_(now),
      endpoint_(*this, setting.seed ^ static_cast<std::uint64_t>((now - Instant()).ms() * 1000), setting.timing),
      startMark_(static_cast<std::uint64_t>((now - Instant()).ms() * 1000)) {
  controller_ = make(fleet.config, setting.seed);
  for (const ExchangeSite& place : fleet.places) {
    const auto known = std::find(zoneNames_.begin(), zoneNames_.end(), place.zone);
    zoneOf_.push_back(static_cast<int>(known - zoneNames_.begin()));
    if (known == zoneNames_.end()) zoneNames_.push_back(place.zone);
  }
  std::vector<zones::Kind> kinds;
  for (std::size_t i = 0; i < fleet.offeredServices.size(); ++i) {
    const Service& service = fleet.config.services[i];
    const double circuitSeconds = fleet.offeredServices[i].width * std::max(1.0, service.meanHold.ms()) / 1000;
    kinds.push_back({fleet.offeredServices[i].width, service.value / circuitSeconds, service.meanHold});
  }
  const int here = zoneOf_[static_cast<std::size_t>(setting.place)];
  std::vector<int> zonePeers;
  for (std::size_t i = 0; i < zoneOf_.size(); ++i) {
    if (zoneOf_[i] == here) zonePeers.push_back(static_cast<int>(i));
  }
  for (std::size_t zone = 0; zone < zoneNames_.size(); ++zone) {
    pools_.push_back(
        std::make_unique<zones::LeasedBudget>(kinds, setting.place, zonePeers, static_cast<int>(zone), now));
  }
  for (std::size_t i = 0; i < fleet.places.size(); ++i) {
    const int place = static_cast<int>(i);
    peers_.push_back(std::make_unique<Peer>(fleet.places[i],
                                            TrunkGroup(fleet.circuits(setting.place, place), setting.place < place)));
    Peer& peer = *peers_.back();
    peer.place = place;
    peer.own = place == setting.place;
    peer.heardAt = now;
    if (peer.own) {
      own_ = &peer;
    } else {
      byOffice_[peer.site.office] = &peer;
      changed(peer);
    }
  }
  users_.assign(zoneNames_.size(), zones::TopUsers(kUsers));
  setBudgets(fleet.budgets);
  for (const auto& pool : pools_) pool->wait(now);
}

Office::~Office() = default;

// ---- What comes in ---------------------------------------------------------------------------------------

void Office::receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) {
  now_ = now;
  if (from == fleet_.directory && !datagram.empty() && datagram[0] == 't') {
    if (const auto read = decodeList(datagram)) {
      list(*read);
    } else {
      ++counters_.unreadable;
    }
    return;
  }
  if (!datagram.empty() && datagram[0] == 't' && byOffice_.contains(from)) {
    const auto word = zones::decodeLeaseMessage(datagram);
    const Peer& peer = *byOffice_[from];
    // Others speak for themselves only.
    const bool taken =
        word && word->from == peer.place && word->zone >= 0 && static_cast<std::size_t>(word->zone) < pools_.size() &&
        zoneOf_[static_cast<std::size_t>(peer.place)] == zoneOf_[static_cast<std::size_t>(setting_.place)];
    if (taken) {
      pools_[static_cast<std::size_t>(word->zone)]->hear(now, *word);
    } else {
      ++counters_.unreadable;
    }
    return;
  }
  endpoint_.receive(now, from, datagram);
}

void Office::onIncomingCall(iax2::Call& call, const iax2::Frame& frame) {
  const auto peer = byOffice_.find(call.peer());
  if (stopping_) return reject(call, ReleaseReason::none, kOutOfOrder, "going out of service", Span::ms(1000));
  if (held_.size() >= setting_.maxSessions) {
    ++counters_.overFull;
    return reject(call, ReleaseReason::processorFull, kCongestion, "office full", Span::ms(1000));
  }
  peer == byOffice_.end() ? fromCaller(call, frame) : fromPeer(*peer->second, call, frame);
}

void Office::fromCaller(iax2::Call& call, const iax2::Frame& frame) {
  const iax2::Elements& e = frame.elements;
  const int service = e.calledContext.empty() ? 0 : fleet_.service(e.calledContext);
  if (service < 0) return reject(call, ReleaseReason::noRoute, kNoRoute, "no such service", Span::none());
  // A NEW that was cut short on the way has lost what comes last. It is left unanswered, and the sender repeats it
  // whole.
  if (e.calledNumber.empty()) {
    ++counters_.unreadable;
    return;
  }
  if (e.calledNumber.size() > kLongestNumber) {
    return reject(call, ReleaseReason::noRoute, kNoRoute, "a called number of 1 to 32 digits is wanted", Span::none());
  }
  const std::uint64_t id = std::uint64_t{static_cast<std::uint32_t>(setting_.place + 1) & 0xfff} << 52 |
                           (startMark_ / 1000 & 0xfffff) << 32 | ++serial_;
  Held& held = newHeld(id, frame, static_cast<std::size_t>(service));
  held.kind = Held::Kind::dialled;
  held.width = fleet_.offeredServices[held.offer].width;
  const int destination = fleet_.destination(held.called);
  held.destination = destination < 0 ? nullptr : peers_[static_cast<std::size_t>(destination)].get();
  held.wasCut = e.wasCut.value_or(false);
  held.in = &newLeg(held, call, nullptr, 0, false);
  ++counters_.dialled;
  tell(OfficeEvent::Kind::taken, &held, nullptr, "");
  event(Event(Event::Kind::incoming, &held));
}

void Office::fromPeer(Peer& peer, iax2::Call& call, const iax2::Frame& frame) {
  const iax2::Elements& e = frame.elements;
  const int service = fleet_.service(e.calledContext);
  if (!e.session || !e.destinationPlace || !e.width || !e.timeLeftMs || !e.incarnation) {
    ++counters_.unreadable;  // cut short, as above
    return;
  }
  if (*e.width == 0 || *e.width > 1000 || service < 0 || *e.destinationPlace >= peers_.size() ||
      *e.destinationPlace == peer.place) {
    return reject(call, ReleaseReason::noRoute, kInvalid, "not a session of this fleet", Span::none());
  }
  const int width = *e.width;
  const std::uint64_t mark = *e.incarnation;
  std::optional<zones::Key> mirrored;
  if (const int there = zoneOf_[static_cast<std::size_t>(peer.place)],
      here = zoneOf_[static_cast<std::size_t>(setting_.place)];
      there != here) {
    // Whose session it is stands in its number's highest bits.
    const bool own = *e.session >> 52 == static_cast<std::uint64_t>(peer.place + 1);
    const zones::LegKind way = !own                                    ? zones::LegKind::second
                               : *e.destinationPlace == setting_.place ? zones::LegKind::direct
                                                                       : zones::LegKind::first;
    mirrored = zones::Key{there, here, service, way};
    ++peerUsage_.of(peer.place, mark, *mirrored).invites;
  }
  if (!peer.trunk.admit(width)) {
    ++counters_.noCircuit;
    return reject(call, ReleaseReason::noCircuit, kNoCircuit, "no circuit", Span::none());
  }
  changed(peer);
  Held& held = newHeld(*e.session, frame, static_cast<std::size_t>(service));
  held.width = width;
  held.destination = peers_[*e.destinationPlace].get();
  held.transit = true;
  held.in = &newLeg(held, call, &peer, width, false);
  held.in->mirrored = mirrored;
  held.in->mark = mark;
  if (held.destination == own_) {
    held.kind = Held::Kind::terminating;
    ++counters_.terminating;
    terminate(held);
  } else {
    held.kind = Held::Kind::transit;
    ++counters_.transit;
    event(Event(Event::Kind::incoming, &held));
  }
}

Office::Held& Office::newHeld(std::uint64_t id, const iax2::Frame& frame, std::size_t service) {
  const auto self = held_.emplace(held_.end());
  Held& held = *self;
  held.self = self;
  held.id = id;
  held.offer = service;
  held.service = &fleet_.config.services[service];
  held.called = frame.elements.calledNumber;
  held.calling = frame.elements.callingNumber.substr(0, kLongestNumber);
  Span limit = held.service->timerLimit;
  if (frame.elements.timeLeftMs) limit = std::min(limit, Span::ms(*frame.elements.timeLeftMs));
  held.timerLimit = now_ + limit;
  // The module only compares numbers; those that are no plain digits still differ from each other.
  for (const char c : held.called) {
    held.dialledNumber = held.dialledNumber * 131 + static_cast<std::uint8_t>(c);
  }
  return held;
}

// The last step: into the own exchange. There is one way and it is taken, unless the directory has said that the
// exchange takes nothing new (rule 3) or the sender has no time left.
void Office::terminate(Held& held) {
  if (own_->told != Readiness::ready) {
    return answerNo(held, ReleaseReason::processorFull, false, kRoomFresh, kOutOfOrder, "exchange not in service");
  }
  iax2::Call* call =
      endpoint_.open(now_, own_->site.processor, nullptr, opening(held, setting_.place, held.timerLimit - now_));
  if (call == nullptr)
    return answerNo(held, ReleaseReason::processorFull, false, kRoomFresh, kCongestion, "no call number");
  held.out = &newLeg(held, *call, own_, 0, true);
  held.at = own_;
  held.state = Held::State::ringing;
  due(held, held.timerLimit + kSenderFirst);
}

/// What a NEW of this session says.
iax2::Elements Office::opening(const Held& held, int towards, Span timeLeft) const {
  iax2::Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = held.called;
  e.callingNumber = held.calling;
  e.calledContext = fleet_.offeredServices[held.offer].name;
  e.session = held.id;
  e.origin = static_cast<std::uint16_t>(setting_.place);
  e.destinationPlace = static_cast<std::uint16_t>(towards);
  e.width = static_cast<std::uint16_t>(held.width);
  e.timeLeftMs = milliseconds(timeLeft);
  // With its last element gone, a NEW that was cut short is known as such; and the far end's account knows whose it is.
  e.incarnation = startMark_;
  return e;
}

void Office::onFrame(Leg& leg, const iax2::Frame& frame) {
  Held* held = leg.held;
  const iax2::Elements& e = frame.elements;
  if (leg.peer != nullptr && leg.inDoubt && leg.out) {
    leg.inDoubt = false;
    leg.peer->trunk.answered(leg.circuits);
  }
  if (leg.peer != nullptr && leg.out && e.capacityPer1000s) {
    const double canTake = *e.capacityPer1000s / 1000.0;
    if (leg.peer->own) {
      own_->canTake = canTake;
      own_->canTakeAt = now_;
    }
    Event reported(Event::Kind::reported);
    reported.peer = leg.peer;
    reported.number = canTake;
    event(reported);
  }
  const bool bye = frame.is(iax2::Iax::HANGUP) || frame.is(iax2::Iax::REJECT);
  if (held == nullptr) return endpoint_.hangUp(now_, *leg.call, iax2::Iax::HANGUP, {});
  if (!leg.out) {
    if (!bye) return;
    unlink(leg);
    if (held->state == Held::State::standing) return over(*held, false, &leg);
    return callerLeft(*held);
  }
  if (frame.is(iax2::Iax::ACCEPT)) {
    if (held->kind == Held::Kind::terminating && !held->acceptedIn && held->in != nullptr) {
      held->acceptedIn = true;
      endpoint_.send(now_, *held->in->call, iax2::Iax::ACCEPT, withRoom(held));
    }
    return;
  }
  if (frame.is(iax2::Control::ringing) || frame.is(iax2::Control::proceeding)) {
    // Once: each frame that is passed on waits for its acknowledgement, and sequence numbers have eight bits.
    if (held->state == Held::State::ringing && held->acceptedIn && held->in != nullptr &&
        !std::exchange(held->rang, true)) {
      endpoint_.send(now_, *held->in->call, static_cast<iax2::Control>(frame.subclass));
    }
    return;
  }
  if (frame.is(iax2::Control::answer)) {
    if (held->state == Held::State::ringing) answered(*held);
    return;
  }
  const bool busyTone = frame.is(iax2::Control::busy);
  if (!bye && !busyTone && !frame.is(iax2::Control::congestion)) return;
  if (held->state == Held::State::standing) {
    if (!bye) return;
    unlink(leg);
    return over(*held, e.releaseReason == ReleaseReason::reset || e.causeCode == kOutOfOrder, &leg);
  }
  if (!bye) hangUp(leg, ReleaseReason::none, kNormal);
  unlink(leg);
  const Span wait = Span::ms(e.retryAfterMs.value_or(0));
  const std::uint8_t code = e.causeCode.value_or(0);
  switch (e.releaseReason.value_or(ReleaseReason::none)) {
    case ReleaseReason::noCircuit:
      return failed(*held, InviteOutcome::overloaded, BlockingReason::noCircuit, false, Span::none());
    case ReleaseReason::turnedBack:
      return failed(*held, InviteOutcome::overloaded, BlockingReason::turnedBack, e.beyond.value_or(false),
                    Span::none());
    case ReleaseReason::processorFull:
      return failed(*held, InviteOutcome::overloaded, BlockingReason::processorFull, false, wait);
    case ReleaseReason::lineBusy:
      return failed(*held, InviteOutcome::failed, BlockingReason::lineBusy, false, Span::none());
    case ReleaseReason::reset:
      return failed(*held, InviteOutcome::reset, BlockingReason::none, false, Span::none());
    case ReleaseReason::noRoute:
      return failed(*held, InviteOutcome::failed, BlockingReason::none, false, Span::none());
    case ReleaseReason::none:
      break;
  }
  // A peer that does not know the private elements.
  if (code == kBusy || busyTone)
    return failed(*held, InviteOutcome::failed, BlockingReason::lineBusy, false, Span::none());
  if (code == kNoCircuit)
    return failed(*held, InviteOutcome::overloaded, BlockingReason::noCircuit, false, Span::none());
  if (code == kCongestion || !bye) {
    return failed(*held, InviteOutcome::overloaded, BlockingReason::processorFull, false, Span::none());
  }
  failed(*held, InviteOutcome::failed, BlockingReason::none, false, Span::none());
}

void Office::onCallEnded(Leg& leg, iax2::CallEnd how) {
  Held* held = leg.held;
  const bool out = leg.out;
  const bool cut = how != iax2::CallEnd::localHangUp && how != iax2::CallEnd::remoteHangUp;
  unlink(leg);
  settle(leg);
  if (held == nullptr) return;
  if (held->state == Held::State::standing) return over(*held, cut, nullptr);
  if (held->state == Held::State::over) return;
  if (!out) return callerLeft(*held);
  failed(*held, how == iax2::CallEnd::unacknowledged ? InviteOutcome::timedOut : InviteOutcome::reset,
         BlockingReason::none, false, Span::none());
}

// ---- The course of a session -----------------------------------------------------------------------------

void Office::answered(Held& held) {
  held.state = Held::State::standing;
  ++standing_;
  due(held, Instant::never());
  if (held.in != nullptr) {
    if (!held.acceptedIn) endpoint_.send(now_, *held.in->call, iax2::Iax::ACCEPT, withRoom(&held));
    held.acceptedIn = true;
    endpoint_.send(now_, *held.in->call, iax2::Control::answer);
    if (held.in->mirrored) ++peerUsage_.of(held.in->peer->place, held.in->mark, *held.in->mirrored).stood;
  }
  if (held.kind == Held::Kind::terminating) return;
  held.cell = held.out->cell;
  if (held.cell != nullptr) held.cell->stood(now_);
  if (held.kind == Held::Kind::dialled) ++counters_.established;
  tell(OfficeEvent::Kind::stood, &held, held.at, "");
  Event accepted(Event::Kind::accepted, &held);
  accepted.span = now_ - held.sentAt;
  event(accepted);
}

void Office::failed(Held& held, InviteOutcome ending, BlockingReason reason, bool beyond, Span wait) {
  due(held, Instant::never());
  held.state = Held::State::asked;
  if (ending == InviteOutcome::timedOut) ++counters_.timedOut;
  if (ending == InviteOutcome::reset) ++counters_.reset;
  if (reason == BlockingReason::turnedBack) ++counters_.turnedBack;
  if (held.kind == Held::Kind::terminating) {
    switch (reason) {
      case BlockingReason::processorFull:
        return answerNo(held, ReleaseReason::processorFull, false, wait, kCongestion, "processor full");
      case BlockingReason::lineBusy:
        return answerNo(held, ReleaseReason::lineBusy, false, Span::none(), kBusy, "all lines busy");
      default:
        if (ending == InviteOutcome::reset) {
          return answerNo(held, ReleaseReason::reset, false, Span::none(), kOutOfOrder, "exchange reset");
        }
        return answerNo(held, ReleaseReason::none, false, Span::none(), kTimer, "exchange silent");
    }
  }
  held.lastReason = reason;
  held.lastEnding = ending;
  tell(OfficeEvent::Kind::ended, &held, held.at,
       ending == InviteOutcome::timedOut         ? "timed out"
       : ending == InviteOutcome::reset          ? "reset"
       : reason == BlockingReason::noCircuit     ? "no circuit"
       : reason == BlockingReason::turnedBack    ? "turned back"
       : reason == BlockingReason::processorFull ? "processor full"
       : reason == BlockingReason::lineBusy      ? "line busy"
                                                 : "failed");
  Event ended(Event::Kind::ended, &held, held.at, ending, reason);
  ended.beyond = beyond;
  ended.span = wait;
  event(ended);
}

/// A standing session ends; `by` is the leg over which the end came, if it has not been settled yet.
void Office::over(Held& held, bool cut, const Leg* by) {
  held.state = Held::State::over;
  --standing_;
  if (cut && held.cell != nullptr) held.cell->cut(now_);
  if (cut && held.in != nullptr && held.in->mirrored) {
    ++peerUsage_.of(held.in->peer->place, held.in->mark, *held.in->mirrored).cut;
  }
  if (cut && held.kind == Held::Kind::dialled) ++counters_.cut;
  for (Leg* leg : {held.in, held.out}) {
    if (leg == nullptr || leg == by) continue;
    hangUp(*leg, cut ? ReleaseReason::reset : ReleaseReason::none, cut ? kOutOfOrder : kNormal);
  }
  if (held.kind != Held::Kind::terminating) {
    tell(cut ? OfficeEvent::Kind::dropped : OfficeEvent::Kind::ended, &held, held.at, cut ? "cut" : "");
    Event ended(Event::Kind::ended, &held, held.at, cut ? InviteOutcome::reset : InviteOutcome::released);
    ended.final = true;
    event(ended);
  }
}

void Office::callerLeft(Held& held) {
  const bool ringing = held.state == Held::State::ringing;
  held.state = Held::State::over;
  due(held, Instant::never());
  if (held.kind == Held::Kind::dialled) ++counters_.abandoned;
  if (held.out != nullptr) hangUp(*held.out, ReleaseReason::none, kNormal);
  if (held.kind != Held::Kind::terminating) {
    event(Event(Event::Kind::abandoned, &held));
    if (ringing) {
      Event ended(Event::Kind::ended, &held, held.at, InviteOutcome::cancelled);
      ended.final = true;
      event(ended);
    }
  }
  if (!std::exchange(held.queued, true)) done_.push_back(&held);
}

void Office::giveUp(Held& held) {
  if (held.out != nullptr) hangUp(*held.out, ReleaseReason::none, kTimer);
  failed(held, InviteOutcome::timedOut, BlockingReason::none, false, Span::none());
}

void Office::answerNo(Held& held, ReleaseReason why, bool beyond, Span wait, std::uint8_t code, std::string_view text) {
  held.state = Held::State::over;
  if (Leg* leg = held.in) {
    iax2::Elements e = withRoom(&held);
    e.cause = text;
    e.causeCode = code;
    e.releaseReason = why;
    if (beyond) e.beyond = true;
    if (wait > Span::none()) e.retryAfterMs = milliseconds(wait);
    endpoint_.hangUp(now_, *leg->call, held.acceptedIn ? iax2::Iax::HANGUP : iax2::Iax::REJECT, e);
    unlink(*leg);
  }
  if (!std::exchange(held.queued, true)) done_.push_back(&held);
}

void Office::reject(iax2::Call& call, ReleaseReason why, std::uint8_t code, std::string_view text, Span wait) {
  iax2::Elements e = withRoom(nullptr);
  e.cause = text;
  e.causeCode = code;
  e.releaseReason = why;
  if (wait > Span::none()) e.retryAfterMs = milliseconds(wait);
  endpoint_.hangUp(now_, call, iax2::Iax::REJECT, e);
}

/// Ends a leg on the wire. The session lets go of it; its circuits are held until the far end confirms.
void Office::hangUp(Leg& leg, ReleaseReason why, std::uint8_t code) {
  iax2::Elements e;
  e.causeCode = code;
  if (why != ReleaseReason::none) e.releaseReason = why;
  endpoint_.hangUp(now_, *leg.call, iax2::Iax::HANGUP, e);
  unlink(leg);
}

void Office::unlink(Leg& leg) {
  if (leg.held == nullptr) return;
  (leg.out ? leg.held->out : leg.held->in) = nullptr;
  Held& held = *std::exchange(leg.held, nullptr);
  if (held.in == nullptr && held.out == nullptr && !std::exchange(held.queued, true)) done_.push_back(&held);
}

/// The far end knows that the leg is over, or never will: its circuits are free.
void Office::settle(Leg& leg) {
  if (leg.circuits > 0) {
    if (leg.inDoubt) leg.peer->trunk.answered(leg.circuits);
    leg.peer->trunk.release(leg.circuits);
    if (leg.mirrored) {
      peerUsage_.of(leg.peer->place, leg.mark, *leg.mirrored).circuitMicroseconds +=
          static_cast<std::uint64_t>(std::max(0.0, (now_ - leg.openedAt).ms()) * 1000) *
          static_cast<std::uint64_t>(leg.circuits);
    }
    if (leg.cell != nullptr) {
      leg.cell->released(now_, leg.circuits);
      users_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(leg.peer->place)])].add(
          leg.user, static_cast<std::uint64_t>(std::max(0.0, (now_ - leg.openedAt).ms()) * leg.circuits));
      zones::LeasedBudget& pool = *poolOf(*leg.peer);
      pool.release(now_, leg.service);
      budgetChanged(pool);
    }
    changed(*leg.peer);
  }
  legs_.erase(leg.self);
}

Office::Leg& Office::newLeg(Held& held, iax2::Call& call, Peer* peer, int circuits, bool out) {
  const auto self = legs_.emplace(legs_.end(), *this, &held, call, peer, circuits, out);
  self->self = self;
  self->openedAt = now_;
  call.setOwner(&*self);
  return *self;
}

void Office::due(Held& held, Instant at) {
  if (held.giveUpAt != Instant::never()) giveUps_.erase(&held);
  held.giveUpAt = at;
  if (at != Instant::never()) giveUps_.insert(&held);
}

void Office::event(Event event) { events_.push_back(event); }

void Office::changed(Peer& peer) {
  if (!std::exchange(peer.isChanged, true)) changed_.push_back(&peer);
}

/// What the own processor can take, as far as it is known; and the session, so that the far end can name it.
iax2::Elements Office::withRoom(const Held* held) const {
  iax2::Elements elements;
  if (held != nullptr) elements.session = held->id;
  if (own_->canTake >= 0 && now_ - own_->canTakeAt <= kRoomFresh) {
    elements.capacityPer1000s = static_cast<std::uint32_t>(own_->canTake * 1000);
  }
  return elements;
}

// ---- The module ------------------------------------------------------------------------------------------

void Office::deliver(Controller& controller) {
  for (Peer* peer : std::exchange(changed_, {})) {
    peer->isChanged = false;
    told(*peer, controller);
  }
  for (const Event& one : std::exchange(events_, {})) {
    switch (one.kind) {
      case Event::Kind::incoming:
        controller.sessionArrived(*one.held);
        break;
      case Event::Kind::accepted:
        controller.inviteAccepted(*one.held, one.span);
        break;
      case Event::Kind::ended:
        controller.inviteEnded(*one.held, *one.peer, one.ending, one.reason, one.beyond, one.span, one.final);
        break;
      case Event::Kind::abandoned:
        controller.sessionAbandoned(*one.held);
        break;
      case Event::Kind::listed:
        controller.exchangeListed(*one.peer, one.readiness, one.instant);
        break;
      case Event::Kind::reported:
        controller.capacityReported(*one.peer, one.number);
        break;
      case Event::Kind::listFailed:
        controller.listFailed();
        break;
    }
  }
}

/// A group that crosses zones is shown as the tighter of its circuits and the budget's part, so that its price rises as
/// the budget fills. Without a budget it is shown as it is.
std::pair<int, int> Office::shown(const Peer& peer) {
  const int free = peer.trunk.free(), size = peer.trunk.size();
  const zones::LeasedBudget* pool = poolOf(peer);
  if (pool == nullptr || !pool->bounded()) return {free, size};
  return {std::min(free, pool->part().left()), std::min(size, pool->part().circuits())};
}

void Office::told(Peer& peer, Controller& controller) {
  std::tie(peer.shownFree, peer.shownSize) = shown(peer);
  if (peer.shut) peer.shownFree = 0;
  controller.circuitsChanged(peer, peer.shownFree, peer.shownSize);
  // As it is again, from the next round on.
  if (std::exchange(peer.shut, false)) changed(peer);
}

zones::LeasedBudget* Office::poolOf(const Peer& to) {
  const int there = zoneOf_[static_cast<std::size_t>(to.place)];
  return there == zoneOf_[static_cast<std::size_t>(setting_.place)] ? nullptr
                                                                    : pools_[static_cast<std::size_t>(there)].get();
}

/// All groups that share a budget are shown anew, where it makes a difference: while the budget is the wider of the two
/// it makes none, and telling the module of every group at every session cost half as much as the session.
void Office::budgetChanged(const zones::LeasedBudget& pool) {
  if (!pool.bounded()) return;
  for (const auto& peer : peers_) {
    if (peer->own || poolOf(*peer) != &pool) continue;
    if (shown(*peer) != std::pair(peer->shownFree, peer->shownSize)) changed(*peer);
  }
}

void Office::updateBudgets(Instant now, const std::vector<zones::Budget>& budgets) {
  now_ = now;
  setBudgets(budgets);
}

void Office::setBudgets(const std::vector<zones::Budget>& budgets) {
  const int here = zoneOf_[static_cast<std::size_t>(setting_.place)];
  for (std::size_t zone = 0; zone < pools_.size(); ++zone) {
    const auto one = std::find_if(budgets.begin(), budgets.end(), [&](const zones::Budget& budget) {
      return budget.from == here && budget.to == static_cast<int>(zone);
    });
    const auto& before = pools_[zone]->budget();
    const int circuits = one == budgets.end() ? -1 : one->circuits;
    if (circuits != (before ? before->circuits : -1)) {
      if (budgetChanges_.size() == kBudgetChanges) budgetChanges_.erase(budgetChanges_.begin());
      budgetChanges_.push_back({now_, static_cast<int>(zone), circuits});
    }
    pools_[zone]->set(now_, one == budgets.end() ? std::nullopt : std::optional(*one));
  }
  for (const auto& peer : peers_) {
    if (!peer->own && poolOf(*peer) != nullptr) changed(*peer);
  }
}

/// What budgets have to say and to do: words to offices of the zone, sessions that are to make way.
void Office::tendPools() {
  for (const auto& pool : pools_) {
    for (const auto& [place, word] : pool->speak(now_)) {
      texts_.emplace_back(peers_[static_cast<std::size_t>(place)]->site.office, zones::encode(word));
    }
    if (const int circuits = pool->mustEnd(now_); circuits > 0) endCheapest(*pool, circuits);
    if (pool->changed()) budgetChanged(*pool);
  }
}

/// Ends standing sessions over a budget. Their circuits count until the far end has confirmed, so what is being ended
/// already is not ended again.
void Office::endCheapest(const zones::LeasedBudget& pool, int circuits) {
  std::vector<Leg*> legs;
  std::vector<zones::Standing> standing;
  for (Leg& leg : legs_) {
    if (leg.cell == nullptr || poolOf(*leg.peer) != &pool) continue;
    if (leg.held == nullptr) {
      circuits -= leg.circuits;
    } else if (leg.held->state == Held::State::standing) {
      legs.push_back(&leg);
      standing.push_back({leg.service, leg.openedAt});
    }
  }
  for (const std::size_t i : zones::whoMakesWay(pool.part().kinds(), standing, circuits)) cutLeg(*legs[i]);
}

void Office::invite(const Session& session, const Exchange& to, Span giveUpAfter) {
  Held& held = const_cast<Held&>(static_cast<const Held&>(session));
  Peer& peer = const_cast<Peer&>(static_cast<const Peer&>(to));
  const int width = static_cast<int>(held.width);
  // The module never has two INVITEs out (rule 2). A controller that does is let do so, for the audit to see; the
  // earlier leg is no longer the session's.
  if (held.out != nullptr) std::exchange(held.out, nullptr)->held = nullptr;
  held.at = &peer;
  held.state = Held::State::ringing;
  iax2::Call* call = nullptr;
  zones::LeasedBudget* pool = poolOf(peer);
  if (pool != nullptr && !pool->admits(now_, held.offer)) {
    // No circuit for this service: the module looks for another way, as with any leg without one.
    cellOf(held, peer)->refused(now_);
    pool->refused(now_, held.offer);
    // All ways that the same budget bounds: each that is tried in vain costs the session one of its INVITEs.
    for (const auto& one : peers_) {
      if (one->own || poolOf(*one) != pool) continue;
      one->shut = true;
      changed(*one);
    }
  } else if (peer.trunk.seize(width)) {
    changed(peer);
    call = endpoint_.open(now_, peer.site.office, nullptr, opening(held, held.destination->place, giveUpAfter));
    if (call == nullptr) {
      peer.trunk.answered(width);
      peer.trunk.release(width);
    }
  }
  if (call == nullptr) {
    // Nothing was sent, so there is nothing to wait for.
    held.state = Held::State::asked;
    held.lastReason = BlockingReason::noCircuit;
    return event(Event(Event::Kind::ended, &held, &peer, InviteOutcome::notSent, BlockingReason::noCircuit));
  }
  held.out = &newLeg(held, *call, &peer, width, true);
  if (zones::UsageCell* cell = cellOf(held, peer)) {
    held.out->cell = cell;
    held.out->service = held.offer;
    held.out->user = held.calling.empty() ? "unknown" : held.calling;
    cell->invited(now_, width);
    pool->take(now_, held.offer);
    budgetChanged(*pool);
  }
  due(held, now_ + giveUpAfter);
  ++counters_.invites;
  if (&peer != held.destination) ++counters_.twoLeg;
  tell(OfficeEvent::Kind::invited, &held, &peer, "");
  if (!held.acceptedIn && held.in != nullptr) {
    held.acceptedIn = true;
    endpoint_.send(now_, *held.in->call, iax2::Iax::ACCEPT, withRoom(&held));
  }
}

void Office::rejectBusy(const Session& session, Span retryAfter) {
  refuse(const_cast<Held&>(static_cast<const Held&>(session)), retryAfter);
}

void Office::failUncertain(const Session& session) {
  refuse(const_cast<Held&>(static_cast<const Held&>(session)), Span::none());
}

void Office::refuse(Held& held, Span retryAfter) {
  if (held.state == Held::State::over) return;
  if (held.transit) {
    // Whoever sent it here must know three things apart: that all lines of the number are busy, that what was
    // sent beyond was reset and may still be taken (rule 5 holds for the session, not for one office), and all
    // else, which is a turn-back.
    if (held.lastReason == BlockingReason::lineBusy) {
      return answerNo(held, ReleaseReason::lineBusy, false, Span::none(), kBusy, "all lines busy");
    }
    if (held.lastEnding == InviteOutcome::reset || held.lastEnding == InviteOutcome::timedOut) {
      return answerNo(held, ReleaseReason::reset, false, Span::none(), kOutOfOrder, "reset beyond");
    }
    return answerNo(held, ReleaseReason::turnedBack, held.lastReason == BlockingReason::processorFull, Span::none(),
                    kNoCircuit, "turned back");
  }
  ++counters_.refused;
  // A group that is shown without circuits is not tried, so that its budget would never hear that it is wanted.
  if (held.destination != nullptr && held.lastReason != BlockingReason::lineBusy) {
    if (zones::LeasedBudget* pool = poolOf(static_cast<const Peer&>(*held.destination));
        pool != nullptr && !pool->admits(now_, held.offer)) {
      pool->refused(now_, held.offer);
    }
  }
  tell(OfficeEvent::Kind::refused, &held, held.at,
       held.destination == nullptr                   ? "no such number"
       : held.lastReason == BlockingReason::lineBusy ? "line busy"
       : held.lastEnding == InviteOutcome::timedOut  ? "no answer in time"
       : held.lastEnding == InviteOutcome::reset     ? "reset"
                                                     : "no way in time");
  if (held.destination == nullptr) {
    return answerNo(held, ReleaseReason::noRoute, false, Span::none(), kNoRoute, "no such number");
  }
  if (held.lastReason == BlockingReason::lineBusy) {
    return answerNo(held, ReleaseReason::lineBusy, false, retryAfter, kBusy, "all lines busy");
  }
  if (held.lastEnding == InviteOutcome::timedOut || held.lastEnding == InviteOutcome::reset) {
    return answerNo(held, ReleaseReason::none, false, retryAfter, kTemporary, "not set up in time");
  }
  answerNo(
      held, held.lastReason == BlockingReason::processorFull ? ReleaseReason::processorFull : ReleaseReason::noCircuit,
      false, retryAfter, held.lastReason == BlockingReason::processorFull ? kCongestion : kNoCircuit, "no way now");
}

void Office::scheduleWakeUp(Span delay) { wakeAt_ = now_ + delay; }

void Office::subscribe() {
  texts_.emplace_back(fleet_.directory, std::string(kListRequest));
  askedAt_ = now_;
}

void Office::tell(OfficeEvent::Kind what, const Held* held, const Peer* peer, std::string_view reason) const {
  if (!observer_) return;
  observer_({what, held == nullptr ? 0 : held->id, peer == nullptr ? std::string_view() : peer->site.name, reason});
}

// ---- Rounds ----------------------------------------------------------------------------------------------

void Office::process(Instant now, const DatagramSender& out) {
  now_ = now;
  endpoint_.expire(now);
  while (!giveUps_.empty() && (*giveUps_.begin())->giveUpAt <= now) {
    Held& held = **giveUps_.begin();
    due(held, Instant::never());
    giveUp(held);
  }
  if (pokeAt_ <= now) pokeWhoIsDue();
  if (askedAt_ != Instant::never() && now - askedAt_ > kListWithin) {
    askedAt_ = Instant::never();
    event(Event(Event::Kind::listFailed));
  }
  if (!stopping_) tendPools();
  // An INVITE that finds no circuit comes back at once and is decided on again; each costs the session one of
  // its INVITEs, so this ends by itself.
  while (!stopping_ && (!events_.empty() || !changed_.empty() || wakeAt_ <= now)) {
    ++counters_.rounds;
    if (wakeAt_ <= now) wakeAt_ = Instant::never();
    controller_->round(now, *this, *this);
  }
  if (stopping_) {
    events_.clear();
    changed_.clear();
  }
  sweep();
  endpoint_.flush(now, out);
  for (const auto& [to, text] : std::exchange(texts_, {})) {
    out(to, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }
}

Instant Office::nextDeadline() const {
  Instant next = std::min(endpoint_.nextDue(), pokeAt_);
  if (!stopping_) {
    next = std::min(next, wakeAt_);
    for (const auto& pool : pools_) next = std::min(next, pool->nextDue());
  }
  if (!giveUps_.empty()) next = std::min(next, (*giveUps_.begin())->giveUpAt);
  if (askedAt_ != Instant::never()) next = std::min(next, askedAt_ + kListWithin + Span::ms(1));
  return next;
}

/// Frees sessions that are over. The module holds none of them any more: it has heard of their end.
void Office::sweep() {
  for (Held* held : std::exchange(done_, {})) {
    held->queued = false;
    if (held->state == Held::State::over && held->in == nullptr && held->out == nullptr) {
      due(*held, Instant::never());
      held_.erase(held->self);
    }
  }
}

void Office::stop(Instant now) {
  if (stopping_) return;
  now_ = now;
  stopping_ = true;
  for (auto it = held_.begin(); it != held_.end();) {
    Held& held = *it++;
    due(held, Instant::never());
    if (held.state == Held::State::over) continue;
    if (held.state == Held::State::standing) --standing_;
    if (held.out != nullptr) hangUp(*held.out, ReleaseReason::reset, kOutOfOrder);
    answerNo(held, held.transit ? ReleaseReason::reset : ReleaseReason::none, false, Span::ms(1000), kOutOfOrder,
             "going out of service");
  }
}

// ---- Other offices, the own exchange, the directory ------------------------------------------------------

iax2::Elements Office::pongElements(iax2::Address) {
  iax2::Elements e = withRoom(nullptr);
  e.origin = static_cast<std::uint16_t>(setting_.place);
  e.incarnation = startMark_;
  return e;
}

void Office::pokeWhoIsDue() {
  pokeAt_ = Instant::never();
  for (const auto& peer : peers_) {
    if (!peer->own && peer->trunk.size() == 0) continue;
    const Span every = peer->own ? setting_.exchangePokeInterval : setting_.peerPokeInterval;
    if (now_ - peer->pokedAt >= every) {
      // Silence counts from the first POKE that could have been answered: an office that was not run itself has
      // asked nobody.
      if (now_ - peer->pokedAt > every * 3.0) peer->heardAt = now_;
      peer->pokedAt = now_;
      endpoint_.poke(now_, peer->own ? peer->site.processor : peer->site.office);
      if (!peer->silent && now_ - peer->heardAt > setting_.peerSilenceLimit) lose(*peer, false);
    }
    pokeAt_ = std::min(pokeAt_, peer->pokedAt + every);
  }
}

void Office::onPong(iax2::Address from, const iax2::Frame& frame) {
  Peer* peer = nullptr;
  if (from == own_->site.processor) {
    peer = own_;
  } else if (const auto it = byOffice_.find(from); it != byOffice_.end()) {
    peer = it->second;
  }
  if (peer == nullptr || !frame.elements.incarnation) return;
  // It was alive when the POKE was sent that this answers; when this came in says less, as it may have waited on the
  // way or here. One that answers an earlier POKE than has been answered is late, maybe of one that was started anew
  // since: marks alone don't tell which came first, as clocks may begin again. One that is as late as a silence is long
  // says nothing.
  const auto ago = static_cast<std::int32_t>(iax2::pokeStamp(now_) - frame.timestamp);
  const Instant aliveAt = now_ - Span::ms(ago);
  if (ago < 0 || now_ - aliveAt > setting_.peerSilenceLimit || aliveAt + Span::ms(1) < peer->aliveAt) return;
  if (peer->silent) tell(OfficeEvent::Kind::peerBack, nullptr, peer, "");
  peer->silent = false;
  const std::uint64_t mark = *frame.elements.incarnation;
  if (peer != own_) peerUsage_.started(peer->place, mark);
  if (peer->mark != 0 && mark != peer->mark) lose(*peer, true);
  peer->mark = mark;
  peer->aliveAt = aliveAt;
  peer->heardAt = std::max(peer->heardAt, aliveAt);
  if (peer == own_ && frame.elements.capacityPer1000s) {
    own_->canTake = *frame.elements.capacityPer1000s / 1000.0;
    own_->canTakeAt = now_;
  }
}

/// A peer was started anew and knows none of its sessions, or has been silent for too long.
void Office::lose(Peer& peer, bool restarted) {
  tell(OfficeEvent::Kind::peerLost, nullptr, &peer, restarted ? "started anew" : "silent");
  peer.silent = !restarted;
  // What it could take was said of the processor before.
  if (&peer == own_) own_->canTake = -1;
  std::vector<Leg*> lost;
  for (Leg& leg : legs_) {
    if (leg.peer == &peer) lost.push_back(&leg);
  }
  for (Leg* leg : lost) {
    // Opened after the last POKE that was answered under the old mark: it may belong to the new one. A probe tells, as
    // it is answered INVAL by one that does not know the call.
    if (restarted && leg->openedAt > peer.aliveAt) {
      endpoint_.send(now_, *leg->call, iax2::Iax::PING);
      continue;
    }
    if (restarted) {
      endpoint_.forget(*leg->call);
      onCallEnded(*leg, iax2::CallEnd::unknownCall);
    } else {
      cutLeg(*leg);
    }
  }
}

/// The circuits under a leg are gone.
void Office::cutLeg(Leg& leg) {
  Held* held = leg.held;
  if (held == nullptr) return;  // it is being ended already
  const bool out = leg.out;
  hangUp(leg, ReleaseReason::reset, kOutOfOrder);
  if (held->state == Held::State::standing) {
    over(*held, true, nullptr);
  } else if (!out) {
    callerLeft(*held);
  } else {
    failed(*held, InviteOutcome::reset, BlockingReason::none, false, Span::none());
  }
}

/// Where more is held than is left, the controlling end cuts the newest sessions; the other end hears of each.
void Office::resize(Peer& peer, int circuits) {
  if (peer.trunk.size() == circuits) return;
  peer.trunk.resize(circuits);
  changed(peer);
  if (!peer.trunk.controlling()) return;
  int over = peer.trunk.over();
  for (auto leg = legs_.rbegin(); leg != legs_.rend() && over > 0; ++leg) {
    if (leg->peer != &peer || leg->circuits == 0) continue;
    over -= leg->circuits;
    cutLeg(*leg);
  }
}

void Office::list(const ExchangeList& list) {
  const bool older = std::pair(list.directory, list.version) <= std::pair(listFrom_, listVersion_);
  if (older && (list.directory == listFrom_ || now_ - listAt_ <= kDirectoryTerm)) {
    ++counters_.listsStale;
    return;
  }
  listFrom_ = list.directory;
  listVersion_ = list.version;
  listAt_ = now_;
  askedAt_ = Instant::never();
  ++counters_.listsTaken;
  const auto tellModule = [&](Peer& peer, Readiness readiness, Instant started) {
    if (peer.told == readiness && peer.started == started) return;
    peer.told = readiness;
    if (&peer == own_) own_->canTake = -1;
    tell(OfficeEvent::Kind::listed, nullptr, &peer,
         readiness == Readiness::ready      ? "ready"
         : readiness == Readiness::draining ? "draining"
                                            : "gone");
    Event listed(Event::Kind::listed);
    listed.peer = &peer;
    listed.readiness = readiness;
    listed.instant = started;
    event(listed);
  };
  std::vector<bool> named(peers_.size());
  for (const ListEntry& one : list.entries) {
    if (static_cast<std::size_t>(one.place) >= peers_.size()) continue;
    Peer& peer = *peers_[static_cast<std::size_t>(one.place)];
    named[static_cast<std::size_t>(one.place)] = true;
    const bool same = peer.start == one.start;
    peer.start = one.start;
    tellModule(peer, one.readiness, same ? peer.started : now_ - one.age);
  }
  for (const GroupSize& group : list.groups) {
    const int other = group.a == setting_.place ? group.b : group.b == setting_.place ? group.a : -1;
    if (other < 0 || static_cast<std::size_t>(other) >= peers_.size() || other == setting_.place) continue;
    resize(*peers_[static_cast<std::size_t>(other)], group.circuits);
  }
  if (!list.full) return;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (!named[i]) tellModule(*peers_[i], Readiness::gone, peers_[i]->started);
  }
}

/// The account's cell for a leg of this session to that office; null where it stays in its zone.
zones::UsageCell* Office::cellOf(const Held& held, const Peer& to) {
  const int from = zoneOf_[static_cast<std::size_t>(setting_.place)];
  const int there = zoneOf_[static_cast<std::size_t>(to.place)];
  if (from == there) return nullptr;
  const zones::LegKind way = held.transit              ? zones::LegKind::second
                             : &to == held.destination ? zones::LegKind::direct
                                                       : zones::LegKind::first;
  return &ledger_.cell({from, there, static_cast<int>(held.offer), way});
}

const TrunkGroup* Office::trunkGroup(int place) const {
  const Peer& peer = *peers_[static_cast<std::size_t>(place)];
  return peer.own || peer.trunk.size() == 0 ? nullptr : &peer.trunk;
}

Readiness Office::told(int place) const { return peers_[static_cast<std::size_t>(place)]->told; }

std::string Office::report(Instant now) const {
  std::ostringstream out;
  out << "{\"office\":\"" << own_->site.name << "\",\"up_ms\":" << static_cast<std::int64_t>((now - started_).ms())
      << ",\"stopping\":" << (stopping_ ? "true" : "false") << ",\"sessions\":" << held_.size()
      << ",\"standing\":" << standing_ << ",\"legs\":" << legs_.size();
  const std::pair<const char*, std::uint64_t> counts[] = {{"dialled", counters_.dialled},
                                                          {"transit", counters_.transit},
                                                          {"terminating", counters_.terminating},
                                                          {"invites", counters_.invites},
                                                          {"two_leg", counters_.twoLeg},
                                                          {"stood", counters_.established},
                                                          {"refused", counters_.refused},
                                                          {"abandoned", counters_.abandoned},
                                                          {"cut", counters_.cut},
                                                          {"turned_back", counters_.turnedBack},
                                                          {"no_circuit", counters_.noCircuit},
                                                          {"timed_out", counters_.timedOut},
                                                          {"reset", counters_.reset},
                                                          {"over_full", counters_.overFull},
                                                          {"rounds", counters_.rounds},
                                                          {"lists", counters_.listsTaken},
                                                          {"lists_stale", counters_.listsStale},
                                                          {"unreadable", counters_.unreadable},
                                                          {"datagrams_in", wire().received},
                                                          {"datagrams_out", wire().sent},
                                                          {"malformed", wire().malformed},
                                                          {"retransmitted", wire().retransmitted},
                                                          {"unknown_call", wire().unknownCall},
                                                          {"repeated", wire().repeated}};
  for (const auto& [name, count] : counts) out << ",\"" << name << "\":" << count;
  out << ",\"exchanges\":[";
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = *peers_[i];
    out << (i > 0 ? "," : "") << "{\"exchange\":\"" << peer.site.name << "\",\"listed\":\""
        << (peer.told == Readiness::ready      ? "ready"
            : peer.told == Readiness::draining ? "draining"
                                               : "gone")
        << "\",\"own\":" << (peer.own ? "true" : "false") << ",\"circuits\":" << peer.trunk.size()
        << ",\"free\":" << peer.trunk.free() << ",\"silent\":" << (peer.silent ? "true" : "false")
        << ",\"doubtful\":" << (peer.suspectedAt != Instant::longAgo() ? "true" : "false")
        << ",\"ringing\":" << peer.pendingInvites.size() << '}';
  }
  out << "]}";
  return out.str();
}

}  // namespace thistlefold
