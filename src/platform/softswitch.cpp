#include "platform/softswitch.hpp"

#include <algorithm>
#include <cmath>

#include "platform/message.hpp"

namespace thistlefold::platform {
namespace {

// ---- Bounds and spans of the transport; routes, waits, repeats and health are the module's ------------------------

// Connections to one exchange: one a set-up, so that a spoilt or silent one takes no other set-up with it. At the
// bound set-ups share the one with the fewest.
constexpr std::size_t kSidesOfPeer = 12;
// Shares of the descriptors; the rest is for the listener, the bulletin, logs and sockets that are being closed.
constexpr double kShareOfTrunks = 0.35;
constexpr double kShareOfCallers = 0.5;
// A usual caller speaks as soon as it has connected; the platform wants silent ones closed within three seconds.
constexpr Span kSpeakWithin = Span::ms(2000);
// In this time a caller that has connected is read, also in a flood.
constexpr Span kJustNow = Span::ms(100);
// Callers close after four seconds without a call; who keeps a connection for good is closed after this.
constexpr Span kIdleCaller = Span::ms(6000);
constexpr Span kIdleTrunk = Span::ms(10000);
constexpr std::size_t kSpareTrunks = 2;
// A connection on which a set-up went unanswered gets no other until it speaks, and is closed after this.
constexpr Span kDoubtful = Span::ms(2000);
// Set-ups open on one connection, and what may wait to go out on one.
constexpr std::size_t kOpenOfCaller = 512;
constexpr std::size_t kUnsent = 64 * 1024;
// Part of the memory that descriptions of open set-ups may fill; connections take about another quarter at worst.
constexpr std::size_t kPartOfDescriptions = 4;
constexpr int kFaultsOfCaller = 8;
// The bulletin sends an empty frame each second.
constexpr Span kBulletinSilent = Span::ms(1600);
constexpr Span kRedialBulletin = Span::ms(100);
constexpr Span kRedialFirst = Span::ms(50);
constexpr Span kRedialLast = Span::ms(800);
// An exchange that refuses connections for this long, with none standing, is dead and has cut its calls.
constexpr Span kDeadAfter = Span::ms(1000);
// An exchange at which calls stand and that says nothing is tried with a new connection: a machine that has vanished
// takes none, and nobody but us can tell its callers. The platform wants them told within eight seconds.
constexpr Span kQuiet = Span::ms(1500);
constexpr Span kTryEvery = Span::ms(800);
constexpr Span kVanished = Span::ms(5000);
// Calls that an exchange released before a caller named them, and releases that no caller could be told yet.
constexpr Span kRememberOver = Span::ms(15000);
constexpr std::size_t kOver = 2048;
constexpr Span kKeeping = Span::ms(20);
// A planned restart. SIGKILL comes no sooner than the longest limit, three seconds at most, and 0.7 s more after SIGTERM;
// until shortly before, calls in transit are carried on, so other offices keep their tandem.
constexpr Span kLongestLeave = Span::ms(3000);
constexpr Span kLeaveSpare = Span::ms(400);   // over that limit; the rest is for the last answers to go out
constexpr Span kLeaveTaking = Span::ms(300);  // before it ends, nothing more is taken

constexpr int kNormal = 16;
constexpr int kRefused = 34;
constexpr int kOverFull = 42;
constexpr int kFailed = 41;
constexpr int kUnusable = 100;

}  // namespace

struct Side {
  virtual ~Side() = default;
  enum class What { caller, trunk, bulletin } what = What::caller;
  Stream* stream = nullptr;  // nullptr: closed, or never was
};

struct CallerSide : Side {
  Lines lines;
  Instant since, brokenSince = Instant::never(), spoke;
  bool proven = false;   // sent something that can be used
  bool trusted = false;  // a call of it stood
  int faults = 0;
  std::size_t open = 0;  // set-ups without a final answer
};

struct TrunkSide : Side {
  Peer* peer = nullptr;
  Lines lines;
  bool up = false;
  bool doubtful = false;
  Instant dialled, heard, spokenTo;
  std::vector<Call*> ringing;
};

struct Peer : wire::ListedExchange {
  iax2::Address address;
  std::vector<std::unique_ptr<TrunkSide>> sides;
  std::vector<std::pair<std::string, int>> owed;  // releases to write on the next connection
  std::vector<Call*> standing;
  Instant nextDial = Instant::longAgo();
  Span redial = kRedialFirst;
  Instant refusedSince = Instant::never();  // none stands and connections are refused
  Instant alive = Instant::longAgo();       // it said something, or took a connection
  Instant triedAt = Instant::longAgo();
  int untaken = 0;  // connections that did not come up since it was alive
};

struct Call : Session {
  std::string id, key, description;
  std::size_t serviceAt = 0;
  enum class State { open, ringing, standing, done } state = State::open;
  bool ofModule = true;  // not one that stood before this softswitch started
  CallerSide* caller = nullptr;
  TrunkSide* trunk = nullptr;
  Peer* peer = nullptr;
  Instant giveUp, stoodAt;
};

struct Softswitch::Bulletin : Side {
  Frames frames;
  bool up = false;
  Instant heard;
  std::uint64_t last = 0;
  std::optional<std::uint64_t> gapAfter;  // the last event when one was found missing
  Instant nextDial = Instant::longAgo();
};

Softswitch::Softswitch(Deployment deployment, Instant now, Dialler& dialler, const OpenController& open,
                       std::function<void(std::string_view)> tell)
    : deployment_(std::move(deployment)),
      dialler_(&dialler),
      tell_(std::move(tell)),
      controller_(open(deployment_.data, deployment_.seed)),
      roster_(deployment_.here, [] { return std::make_unique<Peer>(); }),
      bulletin_(std::make_unique<Bulletin>()),
      now_(now) {
  bulletin_->what = Side::What::bulletin;
  apply(deployment_.known);
}

Softswitch::~Softswitch() = default;

// ---- Streams --------------------------------------------------------------------------------------------------------

void Softswitch::came(Instant now, Stream& stream) {
  now_ = now;
  const auto bound = static_cast<std::size_t>(kShareOfCallers * deployment_.descriptors);
  if (callers_.size() >= bound) {
    // Who carries no set-up makes room: first the mute, then who asked and stays, then who came or spoke only just now,
    // whose set-up may be on its way, last who had a call stand; the longest silent first. Where all carry one the new
    // one goes.
    const auto rank = [now](const CallerSide& side) {
      return std::pair(side.trusted ? 3 : now - side.spoke < kJustNow ? 2 : side.proven ? 1 : 0, side.spoke);
    };
    CallerSide* least = nullptr;
    for (const auto& side : callers_) {
      if (side->open > 0) continue;
      if (least == nullptr || rank(*side) < rank(*least)) least = side.get();
    }
    ++counts_.overBound;
    if (least == nullptr) return stream.cut();
    closeCaller(*least, true);
  }
  auto side = std::make_unique<CallerSide>();
  side->what = Side::What::caller;
  side->stream = &stream;
  side->since = side->spoke = now;
  stream.kept = side.get();
  callers_.push_back(std::move(side));
}

void Softswitch::up(Instant now, Stream& stream) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  if (side.what == Side::What::bulletin) {
    bulletin_->up = true;
    bulletin_->heard = now;
    ++counts_.asked;
    return stream.send(askAfter(bulletin_->last));
  }
  auto& trunk = static_cast<TrunkSide&>(side);
  trunk.up = true;
  trunk.heard = now;
  Peer& peer = *trunk.peer;
  peer.redial = kRedialFirst;
  peer.refusedSince = Instant::never();
  peer.alive = now;
  peer.untaken = 0;
  for (const auto& [id, cause] : peer.owed) stream.send(writeMessage(Kind::release, id, {}, cause));
  peer.owed.clear();
  const auto ringing = trunk.ringing;
  for (Call* call : ringing) write(trunk, *call);
}

void Softswitch::read(Instant now, Stream& stream, std::string_view bytes) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  if (side.what == Side::What::bulletin) return fromBulletin(bytes);
  const bool caller = side.what == Side::What::caller;
  Lines& lines = caller ? static_cast<CallerSide&>(side).lines : static_cast<TrunkSide&>(side).lines;
  bool readable = lines.add(bytes);
  while (side.stream != nullptr) {
    const auto line = lines.next();
    if (!line) break;
    if (line->size() > kLongestMessage) {
      readable = false;
      break;
    }
    if (caller) {
      fromCaller(static_cast<CallerSide&>(side), *line);
    } else {
      fromExchange(static_cast<TrunkSide&>(side), *line);
    }
  }
  if (side.stream == nullptr) return;
  if (caller) {
    auto& from = static_cast<CallerSide&>(side);
    if (!readable) {
      ++counts_.unusable;
      return closeCaller(from);
    }
    from.brokenSince = lines.broken() ? std::min(from.brokenSince, now) : Instant::never();
    if (stream.unsent() > kUnsent) closeCaller(from);
  } else if (!readable) {
    ++counts_.spoilt;
    lose(static_cast<TrunkSide&>(side), Ending::reset);
  }
}

void Softswitch::down(Instant now, Stream& stream, StreamEnd how) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  side.stream = nullptr;
  if (side.what == Side::What::bulletin) {
    bulletin_->up = false;
    bulletin_->nextDial = now + kRedialBulletin;
    return;
  }
  if (side.what == Side::What::caller) return closeCaller(static_cast<CallerSide&>(side));
  auto& trunk = static_cast<TrunkSide&>(side);
  Peer& peer = *trunk.peer;
  if (how == StreamEnd::refused) notUp(peer, true);
  lose(trunk, Ending::unreachable);
}

void Softswitch::notUp(Peer& peer, bool refused) {
  ++counts_.notUp;
  ++peer.untaken;
  // Nobody answers: only where the directory says so too is the machine taken for gone this soon.
  if (!refused && peer.readiness != Readiness::gone) return;
  const bool anyUp = std::any_of(peer.sides.begin(), peer.sides.end(), [](const auto& one) { return one->up; });
  if (!anyUp) peer.refusedSince = std::min(peer.refusedSince, now_);
}

// ---- Callers --------------------------------------------------------------------------------------------------------

void Softswitch::fromCaller(CallerSide& side, std::string_view line) {
  const auto message = readMessage(line);
  if (!message) {
    // What follows can't be trusted to begin where a message does.
    ++counts_.unusable;
    side.stream->send(writeMessage(Kind::release, "0000000000000000", {}, kUnusable));
    return closeCaller(side);
  }
  side.spoke = now_;
  switch (message->kind) {
    case Kind::setup:
      return setup(side, *message);
    case Kind::release: {
      const auto it = calls_.find(message->id);
      if (it == calls_.end() || it->second->state == Call::State::done) {
        if (message->id.empty()) return unusable(side, message->id);
        side.stream->send(writeMessage(Kind::released, message->id, {}));
        return;
      }
      side.proven = true;
      side.stream->send(writeMessage(Kind::released, message->id, {}));
      return releasedByCaller(*it->second, message->cause.value_or(kNormal));
    }
    case Kind::ping: {
      side.proven = true;
      const bool passes = stoppingSince_ == Instant::never();
      side.stream->send(writeMessage(Kind::pong, message->id, {}, passes ? 1 : 0));
      return;
    }
    case Kind::released:
    case Kind::progress:
      return;
    default:
      return unusable(side, message->id);
  }
}

void Softswitch::unusable(CallerSide& side, std::string_view id) {
  ++counts_.unusable;
  side.stream->send(writeMessage(Kind::release, id.empty() ? "0000000000000000" : id, {}, kUnusable));
  if (id.empty() || ++side.faults >= kFaultsOfCaller) closeCaller(side);
}

void Softswitch::overFull(CallerSide& side, std::string_view id) {
  ++counts_.overBound;
  Fields fields;
  if (deployment_.data.takesRetryAfter) fields.emplace_back("wait", milliseconds(deployment_.data.longestRetryAfter));
  side.stream->send(writeMessage(Kind::release, id, fields, kOverFull));
}

void Softswitch::setup(CallerSide& side, const Message& message) {
  const std::string_view extras = message.field("extras").value_or("");
  if (message.id.empty()) return unusable(side, message.id);
  if (const auto at = figure(extras, "at")) return standsAlready(side, message, *at);
  if (const auto held = calls_.find(message.id); held != calls_.end()) {
    // Whoever uses a number that is open is told so; the call that has it goes on.
    if (held->second->caller != &side) return unusable(side, message.id);
    ++counts_.unusable;
    if (held->second->state == Call::State::open || held->second->state == Call::State::ringing) {
      // Under one number on one connection there can be only one answer, and none would be for both.
      Call& call = *held->second;
      releasedByCaller(call, kNormal);
      side.stream->send(writeMessage(Kind::release, message.id, {}, kUnusable));
    }
    return;
  }
  const auto figureOf = [&](std::string_view name) -> std::optional<double> {
    const auto text = figure(extras, name);
    return text ? readNumber(*text) : std::nullopt;
  };
  const auto service = std::find(deployment_.services.begin(), deployment_.services.end(),
                                 message.field("class").value_or(""));
  const auto left = readNumber(message.field("left").value_or(""));
  const auto dest = figureOf("dest");
  const std::string_view key = message.field("key").value_or("");
  const auto number = readHex(key);
  const auto serviceAt = static_cast<std::size_t>(service - deployment_.services.begin());
  const bool known = service != deployment_.services.end();
  const double width = figureOf("width").value_or(known ? deployment_.widths[serviceAt] : 1);
  if (!known || !left || *left <= 0 || *left > 3.6e6 || !dest || *dest < 0 || *dest > 1e6 || !number || width <= 0 ||
      width > 1e4 || message.description.empty()) {
    return unusable(side, message.id);
  }
  side.proven = true;
  if (openCalls_ >= deployment_.openCalls || side.open >= kOpenOfCaller ||
      descriptions_ + message.description.size() > deployment_.memory / kPartOfDescriptions ||
      now_ > leaveAt_ - kLeaveTaking) {
    return overFull(side, message.id);
  }
  auto made = std::make_unique<Call>();
  Call& call = *made;
  call.id = message.id;
  call.key = key;
  call.description = message.description;
  descriptions_ += call.description.size();
  call.serviceAt = serviceAt;
  call.service = &deployment_.data.services[serviceAt];
  call.width = width;
  call.destination = roster_.at(*dest);
  call.timerLimit = std::min(now_ + Span::ms(*left), leaveAt_ - kLeaveTaking * 0.5);
  call.dialledNumber = *number;
  call.transit = figureOf("transit").value_or(0) == 1;
  call.wasCut = figureOf("again").value_or(0) == 1;
  call.caller = &side;
  ++side.open;
  ++openCalls_;
  ++counts_.taken;
  calls_.emplace(call.id, std::move(made));
  events_.push_back([&call](Controller& to) { to.incoming(call); });
}

// A call that stood before this softswitch started: it is the caller's and the exchange's already, so the module hears
// nothing of it; only its end is passed on.
void Softswitch::standsAlready(CallerSide& side, const Message& message, std::string_view at) {
  const auto id = readExchangeId(at);
  auto* peer = id ? static_cast<Peer*>(roster_.known(*id)) : nullptr;
  if (const auto held = calls_.find(message.id); held != calls_.end()) {
    if (held->second->state == Call::State::standing && held->second->peer == peer) {
      side.proven = side.trusted = true;
      if (held->second->caller == nullptr) held->second->caller = &side;
    }
    return;
  }
  const auto was = std::find_if(overUnknown_.begin(), overUnknown_.end(), [&](const Over& one) { return one.id == message.id; });
  if (was != overUnknown_.end()) {
    side.proven = side.trusted = true;
    side.stream->send(writeMessage(Kind::release, message.id, {}, was->cause));
    overUnknown_.erase(was);
    return;
  }
  if (peer == nullptr || calls_.size() >= 2 * deployment_.openCalls) return unusable(side, message.id);
  side.proven = side.trusted = true;
  auto made = std::make_unique<Call>();
  made->id = message.id;
  made->state = Call::State::standing;
  made->ofModule = false;
  made->caller = &side;
  made->peer = peer;
  made->stoodAt = now_;
  peer->standing.push_back(made.get());
  calls_.emplace(message.id, std::move(made));
}

void Softswitch::releasedByCaller(Call& call, int cause) {
  if (call.state == Call::State::standing) {
    release(*call.peer, nullptr, call.id, cause);
    std::erase(call.peer->standing, &call);
    if (call.ofModule) {
      events_.push_back([&call, at = call.peer](Controller& to) {
        to.ended(call, *at, Ending::cancelled, Reason::none, false, Span::none(), true);
      });
    }
    call.state = Call::State::done;
    finished_.push_back(call.id);
    return;
  }
  ++counts_.abandoned;
  const bool ringing = call.state == Call::State::ringing;
  Peer* peer = call.peer;
  if (ringing) {
    TrunkSide& side = *call.trunk;
    std::erase(side.ringing, &call);
    std::erase(ringing_, &call);
    call.trunk = nullptr;
    if (side.up) release(*peer, &side, call.id, kNormal);
  }
  events_.push_back([&call, ringing, peer](Controller& to) {
    to.abandoned(call);
    if (ringing) to.ended(call, *peer, Ending::cancelled, Reason::none, false, Span::none(), true);
  });
  if (call.caller != nullptr) --call.caller->open;
  --openCalls_;
  dropDescription(call);
  call.state = Call::State::done;
  call.caller = nullptr;
  finished_.push_back(call.id);
}

void Softswitch::dropDescription(Call& call) {
  descriptions_ -= call.description.size();
  std::string().swap(call.description);
}

/// Where this side closes, each set-up that is open on it gets its final answer first. `atOnce`: with none open nothing must
/// still go out, so its descriptor is free for the next at once.
void Softswitch::closeCaller(CallerSide& side, bool atOnce) {
  const bool owes = side.open > 0;
  for (auto& [id, call] : calls_) {
    if (call->caller != &side) continue;
    if (call->state == Call::State::open || call->state == Call::State::ringing) {
      if (side.stream != nullptr) side.stream->send(writeMessage(Kind::release, id, {}, kFailed));
      releasedByCaller(*call, kNormal);
    }
    call->caller = nullptr;  // a standing call belongs to no connection
  }
  if (side.stream != nullptr) {
    atOnce && !owes ? side.stream->cut() : side.stream->end();
    side.stream = nullptr;
  }
  const auto it = std::find_if(callers_.begin(), callers_.end(), [&](const auto& one) { return one.get() == &side; });
  dead_.push_back(std::move(*it));
  callers_.erase(it);
}

// Where a call's release goes: where its set-up came, else to whoever of the usual callers spoke last.
CallerSide* Softswitch::callerFor(const Call& call) {
  if (call.caller != nullptr) return call.caller;
  CallerSide* best = nullptr;
  for (const auto& side : callers_) {
    if (!side->trusted) continue;
    if (best == nullptr || side->spoke > best->spoke) best = side.get();
  }
  return best;
}

void Softswitch::tellCaller(Call& call, int cause) {
  if (CallerSide* side = callerFor(call)) {
    side->stream->send(writeMessage(Kind::release, call.id, {}, cause));
  } else if (owedToCallers_.size() < kOver) {
    owedToCallers_.push_back({call.id, now_, cause});
  }
}

// ---- Exchanges ------------------------------------------------------------------------------------------------------

TrunkSide* Softswitch::dial(Peer& peer) {
  if (static_cast<double>(trunkCount_) >= kShareOfTrunks * deployment_.descriptors) return nullptr;
  Stream* stream = dialler_->dial(peer.address);
  if (stream == nullptr) return nullptr;
  ++counts_.dialled;
  ++trunkCount_;
  auto side = std::make_unique<TrunkSide>();
  side->what = Side::What::trunk;
  side->stream = stream;
  side->peer = &peer;
  side->dialled = side->heard = side->spokenTo = now_;
  stream->kept = side.get();
  peer.sides.push_back(std::move(side));
  return peer.sides.back().get();
}

// The connection for a set-up: one without a set-up that spoke last, else a new one, else the one with the fewest.
TrunkSide* Softswitch::sideFor(Peer& peer) {
  TrunkSide* best = nullptr;
  for (const auto& side : peer.sides) {
    if (!side->up || side->doubtful || !side->ringing.empty()) continue;
    if (best == nullptr || side->heard > best->heard) best = side.get();
  }
  if (best != nullptr) return best;
  if (peer.sides.size() < kSidesOfPeer) {
    for (const auto& side : peer.sides) {
      if (!side->up && side->ringing.empty()) return side.get();
    }
    if (TrunkSide* side = dial(peer)) return side;
  }
  for (const auto& side : peer.sides) {
    if (side->doubtful) continue;
    if (best == nullptr || side->ringing.size() < best->ringing.size()) best = side.get();
  }
  return best;
}

void Softswitch::write(TrunkSide& side, Call& call) {
  // The description is kept: the module may send the call again.
  const Fields fields = {{"class", deployment_.services[call.serviceAt]},
                         {"key", call.key},
                         {"left", milliseconds(std::max(call.giveUp - now_, Span::ms(1)))}};
  side.spokenTo = now_;
  side.stream->send(writeMessage(Kind::setup, call.id, fields, -1, call.description));
}

void Softswitch::invite(const Session& session, const Exchange& to, Span giveUpAfter) {
  // Both are this softswitch's own; the module only reads them here.
  Call& call = const_cast<Call&>(static_cast<const Call&>(session));
  Peer& peer = const_cast<Peer&>(static_cast<const Peer&>(to));
  ++counts_.invites;
  call.peer = &peer;
  call.giveUp = std::min(now_ + giveUpAfter, call.timerLimit);
  std::erase_if(peer.owed, [&](const auto& one) { return one.first == call.id; });
  TrunkSide* side = sideFor(peer);
  if (side == nullptr) {
    // No descriptor is left and no connection stands: it never left.
    ++counts_.overBound;
    events_.push_back([&call, &peer](Controller& controller) {
      controller.ended(call, peer, Ending::moot, Reason::none, false, Span::none(), false);
    });
    return;
  }
  call.state = Call::State::ringing;
  call.trunk = side;
  side->ringing.push_back(&call);
  ringing_.push_back(&call);
  if (side->up) write(*side, call);
}

void Softswitch::release(Peer& peer, TrunkSide* side, const std::string& id, int cause) {
  if (side == nullptr || !side->up || side->stream == nullptr) {
    side = nullptr;
    for (const auto& one : peer.sides) {
      if (!one->up || one->stream == nullptr) continue;
      if (side == nullptr || std::pair(!one->doubtful, one->heard) > std::pair(!side->doubtful, side->heard)) side = one.get();
    }
  }
  if (side != nullptr) return side->stream->send(writeMessage(Kind::release, id, {}, cause));
  if (peer.owed.size() < kOver) peer.owed.emplace_back(id, cause);
}

void Softswitch::feedback(Peer& peer, const Message& message) {
  const auto load = message.field("load");
  if (!load) return;
  std::optional<double> free, size, canTake;
  for (const std::string& name : deployment_.reports) {
    // The settings name them in their own words, messages in the bench's.
    const bool isFree = name == "free" || name == "x0", isSize = name == "size" || name == "x1";
    const bool isRoom = name == "can_take" || name == "qps";
    auto text = figure(*load, name);
    if (!text) text = isFree ? figure(*load, "x0") : isSize ? figure(*load, "x1") : isRoom ? figure(*load, "qps") : text;
    if (!text) continue;
    const auto value = readNumber(*text);
    if (!value || *value < 0) continue;
    if (isFree) free = value;
    if (isSize) size = value;
    if (isRoom) canTake = value;
  }
  if (!(size || canTake)) return;
  events_.push_back([&peer, free, size, canTake](Controller& to) {
    if (size) to.circuits(peer, free.value_or(0), *size);
    if (canTake) to.reported(peer, *canTake);
  });
}

void Softswitch::fromExchange(TrunkSide& side, std::string_view line) {
  const auto message = readMessage(line);
  if (!message) {
    ++counts_.spoilt;
    return lose(side, Ending::reset);
  }
  side.heard = side.peer->alive = now_;
  side.peer->untaken = 0;
  side.doubtful = false;
  feedback(*side.peer, *message);
  if (message->kind != Kind::answer && message->kind != Kind::release) return;
  const auto it = calls_.find(message->id);
  Call* call = it == calls_.end() ? nullptr : it->second.get();
  if (call == nullptr || call->state == Call::State::done) {
    if (call == nullptr && message->kind == Kind::release && overUnknown_.size() < kOver) {
      overUnknown_.push_back({message->id, now_, message->cause.value_or(kFailed)});
    }
    return;
  }
  const bool ringsHere = call->state == Call::State::ringing && call->trunk == &side;
  const bool standsHere = call->state == Call::State::standing && call->peer == side.peer;
  if (message->kind == Kind::answer) {
    if (!ringsHere) return;  // a copy, or another's
    if (message->description.empty()) {
      ++counts_.spoilt;
      return lose(side, Ending::reset);
    }
    return answeredBy(side, *call, message->description);
  }
  if (ringsHere) return releasedBy(side, *call, *message);
  if (standsHere) {
    const int cause = message->cause.value_or(kFailed);
    over(*call, cause == kNormal ? Ending::ok : Ending::reset, cause);
  }
}

void Softswitch::answeredBy(TrunkSide& side, Call& call, const std::string& description) {
  ++counts_.answered;
  std::erase(side.ringing, &call);
  std::erase(ringing_, &call);
  call.trunk = nullptr;
  call.state = Call::State::standing;
  call.stoodAt = now_;
  dropDescription(call);
  call.peer->standing.push_back(&call);
  --openCalls_;
  if (call.caller != nullptr) {
    --call.caller->open;
    call.caller->trusted = true;
    call.caller->spoke = now_;
    call.caller->stream->send(writeMessage(Kind::answer, call.id, {}, -1, description));
  }
  events_.push_back([&call, delay = now_ - call.sentAt](Controller& to) { to.accepted(call, delay); });
}

void Softswitch::releasedBy(TrunkSide& side, Call& call, const Message& message) {
  std::erase(side.ringing, &call);
  const int cause = message.cause.value_or(kFailed);
  const std::string_view note = message.field("note").value_or("");
  const Reason reason = note == "atb"                     ? Reason::noCircuit
                        : note == "rtb" || note == "racc" ? Reason::turnedBack
                        : note == "acc"                   ? Reason::processorFull
                        : note == "sub"                   ? Reason::lineBusy
                                                          : Reason::none;
  const double waited = readNumber(message.field("waited").value_or("0")).value_or(0);
  const Span toldWait = reason == Reason::processorFull ? Span::ms(std::clamp(waited, 0.0, 60000.0)) : Span::none();
  const Ending ending = cause == 34                  ? Ending::full
                        : cause == 17 || cause == 47 ? Ending::fault
                        : cause == 102               ? Ending::moot
                                                     : Ending::reset;
  ended(call, ending, reason, note == "racc", toldWait);
}

/// An INVITE that is out has ended without an answer; the final answer is the module's to give.
void Softswitch::ended(Call& call, Ending ending, Reason reason, bool farProcessor, Span toldWait) {
  std::erase(ringing_, &call);
  call.trunk = nullptr;
  call.state = Call::State::open;
  events_.push_back([&call, at = call.peer, ending, reason, farProcessor, toldWait](Controller& to) {
    to.ended(call, *at, ending, reason, farProcessor, toldWait, false);
  });
}

/// A call that stood is over.
void Softswitch::over(Call& call, Ending ending, int cause) {
  if (ending != Ending::ok) ++counts_.cut;
  tellCaller(call, cause);
  std::erase(call.peer->standing, &call);
  if (call.ofModule) {
    events_.push_back([&call, at = call.peer, ending](Controller& to) {
      to.ended(call, *at, ending, Reason::none, false, Span::none(), true);
    });
  }
  call.state = Call::State::done;
  call.caller = nullptr;
  finished_.push_back(call.id);
}

/// A connection to an exchange is no more. What was written to it may have run, what was not has not.
void Softswitch::lose(TrunkSide& side, Ending unsent) {
  Peer& peer = *side.peer;
  const bool wasUp = side.up;
  side.up = false;
  if (side.stream != nullptr) side.stream->end();
  side.stream = nullptr;
  const auto ringing = std::move(side.ringing);
  side.ringing.clear();
  for (Call* call : ringing) {
    if (wasUp) release(peer, nullptr, call->id, kNormal);
    ended(*call, wasUp ? Ending::reset : unsent);
  }
  --trunkCount_;
  peer.nextDial = now_ + peer.redial;
  if (!wasUp) peer.redial = std::min(peer.redial * 2.0, kRedialLast);
  const auto it = std::find_if(peer.sides.begin(), peer.sides.end(), [&](const auto& one) { return one.get() == &side; });
  dead_.push_back(std::move(*it));
  peer.sides.erase(it);
}

/// The process of an exchange is no more: what stood there is over, and there is nobody to tell.
void Softswitch::leave(Peer& peer) {
  cutStanding(peer, Instant::never());
  peer.owed.clear();
  while (!peer.sides.empty()) lose(*peer.sides.back(), Ending::unreachable);
  peer.owed.clear();
  peer.address = {};
}

void Softswitch::cutStanding(Peer& peer, Instant before) {
  const auto standing = peer.standing;
  for (Call* call : standing) {
    if (call->stoodAt >= before) continue;
    release(peer, nullptr, call->id, kNormal);  // should it stand there all the same
    over(*call, Ending::reset, kFailed);
  }
}

// ---- The module's decisions -----------------------------------------------------------------------------------------

void Softswitch::finish(Call& call, Kind kind, const Fields& fields, int cause, std::string_view description) {
  if (call.caller != nullptr) {
    call.caller->stream->send(writeMessage(kind, call.id, fields, cause, description));
    --call.caller->open;
  }
  --openCalls_;
  dropDescription(call);
  call.state = Call::State::done;
  call.caller = nullptr;
  finished_.push_back(call.id);
}

void Softswitch::busy(const Session& session, Span retryAfter) {
  ++counts_.refused;
  Fields fields;
  if (retryAfter > Span::none()) fields.emplace_back("wait", milliseconds(retryAfter));
  finish(const_cast<Call&>(static_cast<const Call&>(session)), Kind::release, fields, kRefused);
}

void Softswitch::surrender(const Session& session) {
  ++counts_.failed;
  finish(const_cast<Call&>(static_cast<const Call&>(session)), Kind::release, {}, kFailed);
}

void Softswitch::wakeIn(Span delay) { wakeAt_ = now_ + delay; }

void Softswitch::deliver(Controller& controller) {
  for (const auto& event : delivered_) event(controller);
}

void Softswitch::round() {
  // A refusal within a round may leave a further event; each takes up one of the call's few INVITEs.
  while (!events_.empty() || wakeAt_ <= now_) {
    if (wakeAt_ <= now_) wakeAt_ = Instant::never();
    delivered_ = std::move(events_);
    events_.clear();
    controller_->round(now_, *this, *this);
    delivered_.clear();
  }
  for (const std::string& id : finished_) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second->state == Call::State::done) calls_.erase(it);
  }
  finished_.clear();
}

// ---- The bulletin ---------------------------------------------------------------------------------------------------

void Softswitch::apply(const std::vector<BulletinEvent>& events) {
  for (const BulletinEvent& event : events) {
    if (event.number <= bulletin_->last && bulletin_->last > 0) continue;
    bulletin_->last = event.number;
    // Who has the address of another took its place: the one before runs no more, and nothing must go there for it.
    for (const Place& place : event.places) {
      if (place.listing.readiness == Readiness::gone) continue;
      for (const auto& [id, listed] : roster_.all()) {
        auto& before = static_cast<Peer&>(*listed);
        if (id != place.listing.id && before.address == place.address) leave(before);
      }
    }
    std::vector<wire::Listing> lines;
    for (const Place& place : event.places) {
      lines.push_back(place.listing);
      auto& peer = static_cast<Peer&>(roster_.exchange(place.listing.id));
      const bool anew = place.listing.started > peer.started || !(peer.address == place.address);
      peer.address = place.address;
      if (anew) {
        peer.nextDial = Instant::longAgo();
        peer.redial = kRedialFirst;
        // Its processor is another now; what stood on the one before is over.
        if (place.listing.started > Instant::longAgo()) cutStanding(peer, place.listing.started);
      }
    }
    events_.push_back([this, lines, whole = event.whole](Controller& to) {
      roster_.list(to, lines, whole);
      // No group leads to the own exchange, which nothing else would tell: no connection goes there.
      for (const auto& [id, listed] : roster_.all()) {
        if (listed->own && listed->circuits < 0) to.circuits(*listed, 0, 0);
      }
    });
  }
}

void Softswitch::fromBulletin(std::string_view bytes) {
  Bulletin& from = *bulletin_;
  from.frames.add(bytes);
  while (const auto event = from.frames.next()) {
    from.heard = now_;
    if (event->places.empty() && !event->whole) continue;
    // What lies between was lost on the way; once asked for in vain it is not there.
    if (!event->whole && event->number > from.last + 1 && from.gapAfter != from.last) {
      from.gapAfter = from.last;
      tell_("bulletin: an event is missing; asked again");
      return askBulletin();
    }
    apply({*event});
  }
  if (!from.frames.readable()) {
    tell_("bulletin: what came is no frame; asked again");
    askBulletin();
  }
}

void Softswitch::askBulletin() {
  Bulletin& of = *bulletin_;
  if (of.stream != nullptr) of.stream->cut();
  of.frames = Frames();
  of.up = false;
  of.heard = now_;
  of.stream = dialler_->dial(deployment_.bulletin);
  of.nextDial = now_ + kRedialBulletin;
  if (of.stream != nullptr) of.stream->kept = static_cast<Side*>(&of);
}

void Softswitch::reconfigured(Instant now, const Deployment& deployment) {
  now_ = now;
  deployment_.bulletin = deployment.bulletin;
  apply(deployment.known);
  askBulletin();
}

// ---- What is due ----------------------------------------------------------------------------------------------------

void Softswitch::turn(Instant now) {
  now_ = now;
  const auto ringing = ringing_;
  for (Call* call : ringing) {
    if (call->giveUp > now) continue;
    TrunkSide& side = *call->trunk;
    std::erase(side.ringing, call);
    if (side.up) {
      release(*call->peer, &side, call->id, kNormal);
      if (side.heard <= call->sentAt) {
        side.doubtful = true;
        side.spokenTo = now;
      }
    }
    ended(*call, side.up ? Ending::timedOut : Ending::unreachable);
  }
  if (now - keptAt_ >= kKeeping) {
    keptAt_ = now;
    keepSides();
    keepCallers();
  }
  round();
  dead_.clear();
}

void Softswitch::keepSides() {
  if (bulletin_->stream == nullptr ? bulletin_->nextDial <= now_ : now_ - bulletin_->heard > kBulletinSilent) askBulletin();
  for (const auto& [id, listed] : roster_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    if (peer.own) continue;
    for (std::size_t i = peer.sides.size(); i-- > 0;) {
      TrunkSide& side = *peer.sides[i];
      if (!side.up && now_ - side.dialled > deployment_.connectWithin) {
        notUp(peer, false);
        lose(side, Ending::unreachable);
      } else if (side.doubtful && side.ringing.empty() && now_ - side.spokenTo > kDoubtful) {
        lose(side, Ending::unreachable);
        peer.nextDial = now_;
      } else if (side.up && side.ringing.empty() && peer.sides.size() > kSpareTrunks && now_ - side.heard > kIdleTrunk) {
        lose(side, Ending::unreachable);
      }
    }
    if (peer.refusedSince != Instant::never() && now_ - peer.refusedSince > kDeadAfter) cutStanding(peer, Instant::never());
    if (peer.address == iax2::Address{}) continue;
    const Span quiet = now_ - peer.alive;
    if (!peer.standing.empty() && quiet > kQuiet && now_ - peer.triedAt > kTryEvery) {
      peer.triedAt = now_;
      if (peer.sides.size() < kSidesOfPeer) dial(peer);
    }
    if (quiet > kVanished && peer.untaken >= 2) cutStanding(peer, Instant::never());
    const bool wanted = peer.readiness == Readiness::ready || !peer.standing.empty() || !peer.owed.empty();
    const bool usable = std::any_of(peer.sides.begin(), peer.sides.end(), [](const auto& side) { return !side->doubtful; });
    if (wanted && !usable && peer.sides.size() < kSidesOfPeer && peer.nextDial <= now_) dial(peer);
    if (peer.readiness == Readiness::gone && peer.standing.empty()) {
      peer.owed.clear();
      for (std::size_t i = peer.sides.size(); i-- > 0;) {
        if (peer.sides[i]->ringing.empty()) lose(*peer.sides[i], Ending::unreachable);
      }
    }
  }
}

void Softswitch::keepCallers() {
  for (std::size_t i = callers_.size(); i-- > 0;) {
    CallerSide& side = *callers_[i];
    const bool mute = !side.proven && now_ - side.since > kSpeakWithin;
    const bool stuck = side.brokenSince != Instant::never() && now_ - side.brokenSince > kSpeakWithin;
    const bool idle = side.open == 0 && now_ - side.spoke > kIdleCaller;
    if (mute || stuck || idle) closeCaller(side, true);
  }
  std::erase_if(overUnknown_, [&](const Over& one) { return now_ - one.at > kRememberOver; });
  if (!owedToCallers_.empty()) {
    Call nobody;
    if (CallerSide* side = callerFor(nobody)) {
      for (const Over& one : owedToCallers_) side->stream->send(writeMessage(Kind::release, one.id, {}, one.cause));
      owedToCallers_.clear();
    }
  }
}

Instant Softswitch::nextTurn() const {
  Instant next = std::min(wakeAt_, keptAt_ + kKeeping);
  for (const Call* call : ringing_) next = std::min(next, call->giveUp);
  return next;
}

void Softswitch::stop(Instant now) {
  if (stoppingSince_ != Instant::never()) return;
  stoppingSince_ = now;
  Span longest;
  for (const Service& service : deployment_.data.services) longest = std::max(longest, service.timerLimit);
  leaveAt_ = now + std::min(longest, kLongestLeave) + kLeaveSpare;
}

bool Softswitch::stopped(Instant now) const { return now >= leaveAt_ && openCalls_ == 0; }

std::string Softswitch::account() const {
  std::string out = "callers=" + std::to_string(callers_.size()) + " trunks=" + std::to_string(trunkCount_) +
                    " calls=" + std::to_string(calls_.size()) + " open=" + std::to_string(openCalls_) +
                    " taken=" + std::to_string(counts_.taken) + " answered=" + std::to_string(counts_.answered) +
                    " refused=" + std::to_string(counts_.refused) + " failed=" + std::to_string(counts_.failed) +
                    " abandoned=" + std::to_string(counts_.abandoned) + " invites=" + std::to_string(counts_.invites) +
                    " cut=" + std::to_string(counts_.cut) + " unusable=" + std::to_string(counts_.unusable) +
                    " spoilt=" + std::to_string(counts_.spoilt) + " dialled=" + std::to_string(counts_.dialled) +
                    " not-up=" + std::to_string(counts_.notUp) + " over-bound=" + std::to_string(counts_.overBound) +
                    " asked=" + std::to_string(counts_.asked) + " last-event=" + std::to_string(bulletin_->last) +
                    " listed=" + std::to_string(roster_.all().size());
  for (const auto& [id, listed] : roster_.all()) {
    const auto& peer = static_cast<const Peer&>(*listed);
    if (peer.readiness == Readiness::gone && peer.sides.empty()) continue;
    char text[160];
    std::snprintf(text, sizeof text, " | %08x place=%d %s free=%g/%g takes=%g sides=%zu ringing=%zu standing=%zu",
                  id, peer.place, peer.own ? "own" : peer.readiness == Readiness::ready ? "ready" : "leaving",
                  peer.freeCircuits, peer.circuits, peer.canTake.size() > 0 ? peer.canTake.last().value : -1.0,
                  peer.sides.size(), peer.ringing.size(), peer.standing.size());
    out += text;
  }
  return out;
}

}  // namespace thistlefold::platform
