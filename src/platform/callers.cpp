// The callers' side of a softswitch: set-ups, give-ups, tests, and who may stay connected.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Share of the connections; exchanges have 35%, the rest is for the bulletin and for connections that are being closed.
constexpr double kShareOfCallers = 0.5;
// The platform wants whoever says nothing usable told so or closed within three seconds of connecting. Until shortly
// before that a set-up may come in pieces.
constexpr Span kSpeakWithin = Span::ms(2700);
// In this time a caller that has connected is read, also in a flood.
constexpr Span kJustNow = Span::ms(100);
// Callers close after four seconds without a call; who keeps a connection for good is closed after this.
constexpr Span kIdleCaller = Span::ms(6000);
// Set-ups open on one connection, and messages that can't be used before it is closed.
constexpr std::size_t kOpenOfCaller = 512;
constexpr int kFaultsOfCaller = 8;
// Part of the memory that descriptions of open set-ups may fill; connections take about another quarter at worst.
constexpr std::size_t kPartOfDescriptions = 4;
// Calls that an exchange released before a caller named them, and releases that no caller could be told yet.
constexpr Span kRememberOver = Span::ms(15000);
// For this long before a planned restart ends nothing more is taken, so that all can have its answer.
constexpr Span kLeaveTaking = Span::ms(300);

constexpr int kOverFull = 42;
constexpr int kUnusable = 100;

}  // namespace

void Softswitch::came(Instant now, Stream& stream) {
  now_ = now;
  const auto bound = static_cast<std::size_t>(kShareOfCallers * deployment_.connections);
  if (callers_.size() >= bound) {
    // Who carries no set-up makes room: first the mute, then who asked and stays, then who came or spoke only just now
    // or is halfway through a message, whose set-up may be on its way, last who had a call stand; the longest silent
    // first. A set-up that lies unread is taken already. Where all carry one the new one goes.
    const auto rank = [now](const CallerSide& side) {
      const bool coming = now - side.spoke < kJustNow || side.lines.broken();
      return std::pair(side.trusted ? 3 : coming ? 2 : side.proven ? 1 : 0, side.spoke);
    };
    std::vector<CallerSide*> idle;
    for (const auto& side : callers_) {
      if (side->open == 0) idle.push_back(side.get());
    }
    CallerSide* least = nullptr;
    while (least == nullptr && !idle.empty()) {
      const auto next = std::min_element(idle.begin(), idle.end(),
                                         [&](const CallerSide* a, const CallerSide* b) { return rank(*a) < rank(*b); });
      if (!(*next)->stream->unread()) least = *next;
      idle.erase(next);
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
  if (deployment_.data.honoursRetryAfter) fields.emplace_back("wait", milliseconds(deployment_.data.longestRetryAfter));
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
  const auto service =
      std::find(deployment_.services.begin(), deployment_.services.end(), message.field("class").value_or(""));
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
  call.destination = registry_.at(*dest);
  call.timerLimit = std::min(now_ + Span::ms(*left), leaveAt_ - kLeaveTaking * 0.5);
  call.dialledNumber = *number;
  call.transit = figureOf("transit").value_or(0) == 1;
  call.wasCut = figureOf("again").value_or(0) == 1;
  call.caller = &side;
  ++side.open;
  ++openCalls_;
  ++counts_.taken;
  calls_.emplace(call.id, std::move(made));
  events_.push_back([&call](Controller& to) { to.sessionArrived(call); });
}

// A call that stood before this softswitch started: it is the caller's and the exchange's already, so the module hears
// nothing of it; only its end is passed on.
void Softswitch::standsAlready(CallerSide& side, const Message& message, std::string_view at) {
  const auto id = readExchangeId(at);
  auto* peer = id ? static_cast<Peer*>(registry_.known(*id)) : nullptr;
  if (const auto held = calls_.find(message.id); held != calls_.end()) {
    if (held->second->state == Call::State::standing && held->second->peer == peer) {
      side.proven = side.trusted = true;
      if (held->second->caller == nullptr) held->second->caller = &side;
    }
    return;
  }
  const auto was =
      std::find_if(overUnknown_.begin(), overUnknown_.end(), [&](const Over& one) { return one.id == message.id; });
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
        to.inviteEnded(call, *at, InviteOutcome::cancelled, BlockingReason::none, false, Span::none(), true);
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
    to.sessionAbandoned(call);
    if (ringing) to.inviteEnded(call, *peer, InviteOutcome::cancelled, BlockingReason::none, false, Span::none(), true);
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

/// Where this side closes, each set-up that is open on it gets its final answer first. `atOnce`: where nothing must
/// still go out, its descriptor is free for the next at once. A caller that closes its own direction alone is taken for
/// gone like one that closes both: the platform's callers give up what is open by closing, and from here the two look
/// the same.
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
    // A close with something unread is a reset, and takes along what is still on its way to the caller.
    const bool clean = !owes && side.stream->unsent() == 0 && !side.stream->unread();
    atOnce&& clean ? side.stream->cut() : side.stream->end();
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

void Softswitch::keepCallers() {
  for (std::size_t i = callers_.size(); i-- > 0;) {
    CallerSide& side = *callers_[i];
    const bool mute = !side.proven && now_ - side.since > kSpeakWithin;
    const bool stuck = side.brokenSince != Instant::never() && now_ - side.brokenSince > kSpeakWithin;
    const bool idle = side.open == 0 && now_ - side.spoke > kIdleCaller;
    if ((mute || stuck || idle) && !side.stream->unread()) closeCaller(side, true);
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

}  // namespace thistlefold::platform
