#include "simulators/callers.hpp"

#include <algorithm>
#include <cmath>

namespace thistlefold {

struct SimulatedCallers::Want : iax2::CallOwner {
  Want(SimulatedCallers& all, PlannedCall what) : callers(all), dial(std::move(what)) {}

  void onFrame(iax2::Call&, const iax2::Frame& frame) override {
    if (frame.is(iax2::Control::answer) && !standing) {
      standing = true;
      ++callers.served_[service()].answers;
      const Span delay = callers.now_ - firstDialled;
      callers.delays_.push_back(static_cast<float>(delay.ms()));
      inTime = delay <= callers.fleet_.config.services[service()].postDialTarget;
      callers.cancel(*this);
      callers.later(callers.now_ + dial.hold, *this, Act::hangUp);
    } else if (frame.is(iax2::Iax::HANGUP) || frame.is(iax2::Iax::REJECT)) {
      cause = frame.elements.causeCode.value_or(0);
      told = Span::ms(frame.elements.retryAfterMs.value_or(0));
    }
  }
  void onCallEnded(iax2::Call&, iax2::CallEnd how) override {
    call = nullptr;
    callers.cancel(*this);
    if (done) return callers.finish(*this);
    if (standing) {
      // Cut: it earned nothing, and the caller comes back with a new try that counts by itself.
      Served& served = callers.served_[service()];
      ++served.cut;
      wasCut = true;
      standing = false;
      inTime = false;
      firstDialled = callers.now_ + callers.behaviour_.returnsWithin * callers.lot();
      tries = 0;
      dial.hold = dial.hold * 0.5;
      return callers.later(firstDialled, *this, Act::dial);
    }
    callers.tried(*this, how == iax2::CallEnd::remoteHangUp, cause, told);
  }
  std::size_t service() const { return static_cast<std::size_t>(dial.service); }

  SimulatedCallers& callers;
  PlannedCall dial;
  iax2::Call* call = nullptr;
  Instant firstDialled;
  Instant acts = Instant::never();
  std::size_t second = 0;
  int tries = 0;
  int cause = 0;
  Span told;
  bool standing = false, inTime = false, wasCut = false, done = false, refused = false;
  std::list<Want>::iterator self;
};

SimulatedCallers::SimulatedCallers(const Fleet& fleet, CallerBehaviour behaviour, std::uint64_t seed, Instant now)
    : fleet_(fleet),
      behaviour_(behaviour),
      now_(now),
      begin_(now),
      endpoint_(*this, seed),
      chance_(static_cast<std::uint32_t>(seed) | 1u),
      served_(fleet.offeredServices.size()) {}

SimulatedCallers::~SimulatedCallers() = default;

void SimulatedCallers::plan(std::vector<PlannedCall> dials) {
  for (PlannedCall& dial : dials) planned_.push_back(std::move(dial));
}

void SimulatedCallers::plan(PlannedCall dial) { planned_.push_back(std::move(dial)); }

void SimulatedCallers::receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) {
  now_ = now;
  endpoint_.receive(now, from, datagram);
}

void SimulatedCallers::process(Instant now, const DatagramSender& out) {
  now_ = now;
  endpoint_.expire(now);
  while (!planned_.empty() && planned_.front().at <= now) {
    PlannedCall next = std::move(planned_.front());
    planned_.pop_front();
    start(std::move(next));
  }
  while (!acts_.empty() && acts_.begin()->first <= now) {
    const auto [want, act] = acts_.begin()->second;
    acts_.erase(acts_.begin());
    want->acts = Instant::never();
    if (act == Act::dial) {
      dial(*want);
    } else if (want->call != nullptr) {
      // Talked out, or out of patience: then the caller knows only that nothing came.
      iax2::Elements e;
      e.causeCode = std::uint8_t{16};
      want->done = act == Act::hangUp;
      iax2::Call& call = *want->call;
      if (act == Act::giveUp) {
        call.setOwner(nullptr);
        want->call = nullptr;
        endpoint_.hangUp(now_, call, iax2::Iax::HANGUP, e);
        tried(*want, false, 0, Span::none());
      } else {
        endpoint_.hangUp(now_, call, iax2::Iax::HANGUP, e);
      }
    }
  }
  endpoint_.flush(now, out);
}

Instant SimulatedCallers::nextDeadline() const {
  Instant next = endpoint_.nextDue();
  if (!planned_.empty()) next = std::min(next, planned_.front().at);
  if (!acts_.empty()) next = std::min(next, acts_.begin()->first);
  return next;
}

void SimulatedCallers::start(PlannedCall what) {
  const auto self = wants_.emplace(wants_.end(), *this, std::move(what));
  Want& want = *self;
  want.self = self;
  want.firstDialled = now_;
  Served& served = served_[want.service()];
  ++served.offered;
  const double value = fleet_.config.services[want.service()].value;
  served.value += value;
  want.second = static_cast<std::size_t>(std::max(0.0, (now_ - begin_).ms() / 1000));
  if (seconds_.size() <= want.second) seconds_.resize(want.second + 1);
  seconds_[want.second].value += value;
  ++seconds_[want.second].offered;
  dial(want);
}

void SimulatedCallers::dial(Want& want) {
  ++want.tries;
  ++served_[want.service()].tries;
  want.cause = 0;
  want.told = Span::none();
  const Service& service = fleet_.config.services[want.service()];
  const Span limit = service.timerLimit * behaviour_.tryShare;
  iax2::Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = want.dial.number;
  // Some call far more than others: of 500 users an office has, a tenth make half of the calls.
  const double lot = static_cast<double>((want.dial.at - Instant()).ms() * 1000);
  const double share = std::fmod(lot * 0.6180339887, 1.0);
  const std::string user =
      std::to_string(want.dial.office) + "-" + std::to_string(static_cast<int>(500 * std::pow(share, 3.3)));
  e.callingNumber = user;
  e.calledContext = fleet_.offeredServices[want.service()].name;
  e.timeLeftMs = static_cast<std::uint32_t>(limit.ms());
  if (want.wasCut) e.wasCut = true;
  const auto office = static_cast<std::size_t>(want.dial.office);
  want.call = endpoint_.open(now_, fleet_.places[office].office, &want, e);
  if (want.call == nullptr) return tried(want, false, 0, Span::none());
  later(now_ + limit, want, Act::giveUp);
}

void SimulatedCallers::tried(Want& want, bool refused, int cause, Span told) {
  want.refused = refused;
  if (refused) ++refusals_[cause];
  if (want.tries <= behaviour_.redials) {
    const Span wait = told > Span::none() && lot() < behaviour_.honour ? told : behaviour_.backoff * (0.5 + lot());
    return later(now_ + wait, want, Act::dial);
  }
  finish(want);
}

void SimulatedCallers::finish(Want& want) {
  Served& served = served_[want.service()];
  const Service& service = fleet_.config.services[want.service()];
  Second& second = seconds_[want.second];
  if (want.standing) {
    const double earned = want.inTime ? service.value : service.value * service.lateValue;
    ++(want.inTime ? served.stood : served.late);
    served.earned += earned;
    second.earned += earned;
    ++second.stood;
  } else {
    ++(want.refused ? served.refused : served.failed);
  }
  cancel(want);
  wants_.erase(want.self);
}

void SimulatedCallers::later(Instant at, Want& want, Act act) {
  want.acts = at;
  acts_.emplace(at, std::pair(&want, act));
}

void SimulatedCallers::cancel(Want& want) {
  if (want.acts == Instant::never()) return;
  for (auto [it, end] = acts_.equal_range(want.acts); it != end; ++it) {
    if (it->second.first != &want) continue;
    acts_.erase(it);
    break;
  }
  want.acts = Instant::never();
}

double SimulatedCallers::lot() { return std::generate_canonical<double, 24>(chance_); }

}  // namespace thistlefold
