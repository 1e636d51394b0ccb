#include "simulators/callers.hpp"

#include <algorithm>
#include <cmath>

namespace thistlefold {

/// A session that a caller wants, over all its call attempts.
struct SimulatedCallers::CallerSession : iax2::CallOwner {
  CallerSession(SimulatedCallers& simulator, PlannedCall wanted) : callers(simulator), planned(std::move(wanted)) {}

  void onFrame(iax2::Call&, const iax2::Frame& frame) override {
    if (frame.is(iax2::Control::answer) && !established) {
      established = true;
      ++callers.serviceCounts_[service()].answers;
      const Span delay = callers.now_ - firstDialledAt;
      callers.delays_.push_back(static_cast<float>(delay.ms()));
      onTime = delay <= callers.fleet_.config.services[service()].postDialTarget;
      callers.cancelAction(*this);
      callers.scheduleAction(callers.now_ + planned.hold, *this, Action::hangUp);
    } else if (frame.is(iax2::Iax::HANGUP) || frame.is(iax2::Iax::REJECT)) {
      cause = frame.elements.causeCode.value_or(0);
      retryAfter = Span::ms(frame.elements.retryAfterMs.value_or(0));
    }
  }
  void onCallEnded(iax2::Call&, iax2::CallEnd how) override {
    call = nullptr;
    callers.cancelAction(*this);
    if (hungUpByCaller) return callers.finish(*this);
    if (established) {
      // Aborted: it earns nothing so far. The caller dials again, with a new count of attempts and a new start of the
      // post-dial delay.
      ServiceCounts& counts = callers.serviceCounts_[service()];
      ++counts.aborted;
      wasAborted = true;
      established = false;
      onTime = false;
      firstDialledAt = callers.now_ + callers.behaviour_.maxRedialDelayAfterAbort * callers.drawUniform();
      attempts = 0;
      planned.hold = planned.hold * 0.5;
      return callers.scheduleAction(firstDialledAt, *this, Action::dial);
    }
    callers.attemptFailed(*this, how == iax2::CallEnd::remoteHangUp, cause, retryAfter);
  }
  std::size_t service() const { return static_cast<std::size_t>(planned.service); }

  SimulatedCallers& callers;
  PlannedCall planned;
  iax2::Call* call = nullptr;
  Instant firstDialledAt;
  Instant actionAt = Instant::never();
  std::size_t firstSecond = 0;
  int attempts = 0;
  int cause = 0;
  Span retryAfter;
  bool established = false, onTime = false, wasAborted = false, hungUpByCaller = false, lastRefused = false;
  std::list<CallerSession>::iterator self;
};

SimulatedCallers::SimulatedCallers(const Fleet& fleet, CallerBehaviour behaviour, std::uint64_t seed, Instant now)
    : fleet_(fleet),
      behaviour_(behaviour),
      now_(now),
      begin_(now),
      endpoint_(*this, seed),
      generator_(static_cast<std::uint32_t>(seed) | 1u),
      serviceCounts_(fleet.offeredServices.size()) {}

SimulatedCallers::~SimulatedCallers() = default;

void SimulatedCallers::plan(std::vector<PlannedCall> calls) {
  for (PlannedCall& call : calls) planned_.push_back(std::move(call));
}

void SimulatedCallers::plan(PlannedCall call) { planned_.push_back(std::move(call)); }

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
    startSession(std::move(next));
  }
  while (!actions_.empty() && actions_.begin()->first <= now) {
    const auto [session, action] = actions_.begin()->second;
    actions_.erase(actions_.begin());
    session->actionAt = Instant::never();
    if (action == Action::dial) {
      dial(*session);
    } else if (session->call != nullptr) {
      // The caller ends the conversation, or gives up an attempt; it then only knows that no answer was received.
      iax2::Elements e;
      e.causeCode = std::uint8_t{16};
      session->hungUpByCaller = action == Action::hangUp;
      iax2::Call& call = *session->call;
      if (action == Action::giveUp) {
        call.setOwner(nullptr);
        session->call = nullptr;
        endpoint_.hangUp(now_, call, iax2::Iax::HANGUP, e);
        attemptFailed(*session, false, 0, Span::none());
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
  if (!actions_.empty()) next = std::min(next, actions_.begin()->first);
  return next;
}

void SimulatedCallers::startSession(PlannedCall call) {
  const auto self = sessions_.emplace(sessions_.end(), *this, std::move(call));
  CallerSession& session = *self;
  session.self = self;
  session.firstDialledAt = now_;
  ServiceCounts& counts = serviceCounts_[session.service()];
  ++counts.offered;
  const double value = fleet_.config.services[session.service()].value;
  counts.value += value;
  session.firstSecond = static_cast<std::size_t>(std::max(0.0, (now_ - begin_).ms() / 1000));
  if (seconds_.size() <= session.firstSecond) seconds_.resize(session.firstSecond + 1);
  seconds_[session.firstSecond].value += value;
  ++seconds_[session.firstSecond].offered;
  dial(session);
}

void SimulatedCallers::dial(CallerSession& session) {
  ++session.attempts;
  ++serviceCounts_[session.service()].attempts;
  session.cause = 0;
  session.retryAfter = Span::none();
  const Service& service = fleet_.config.services[session.service()];
  const Span limit = service.timerLimit * behaviour_.attemptTimeoutShare;
  iax2::Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = session.planned.number;
  // Users call unequally often: of the 500 users of an office, a tenth make half of the calls. The user is derived from
  // the planned time, so that no random number is drawn for it.
  const double microseconds = static_cast<double>((session.planned.at - Instant()).ms() * 1000);
  const double position = std::fmod(microseconds * 0.6180339887, 1.0);
  const std::string user =
      std::to_string(session.planned.office) + "-" + std::to_string(static_cast<int>(500 * std::pow(position, 3.3)));
  e.callingNumber = user;
  e.calledContext = fleet_.offeredServices[session.service()].name;
  e.timeLeftMs = static_cast<std::uint32_t>(limit.ms());
  if (session.wasAborted) e.wasCut = true;
  const auto office = static_cast<std::size_t>(session.planned.office);
  session.call = endpoint_.open(now_, fleet_.places[office].office, &session, e);
  if (session.call == nullptr) return attemptFailed(session, false, 0, Span::none());
  scheduleAction(now_ + limit, session, Action::giveUp);
}

void SimulatedCallers::attemptFailed(CallerSession& session, bool refused, int cause, Span retryAfter) {
  session.lastRefused = refused;
  if (refused) ++refusals_[cause];
  if (session.attempts <= behaviour_.redials) {
    const Span delay = retryAfter > Span::none() && drawUniform() < behaviour_.retryAfterCompliance
                           ? retryAfter
                           : behaviour_.backoff * (0.5 + drawUniform());
    return scheduleAction(now_ + delay, session, Action::dial);
  }
  finish(session);
}

void SimulatedCallers::finish(CallerSession& session) {
  ServiceCounts& counts = serviceCounts_[session.service()];
  const Service& service = fleet_.config.services[session.service()];
  SecondCounts& second = seconds_[session.firstSecond];
  if (session.established) {
    const double earned = session.onTime ? service.value : service.value * service.lateValue;
    ++(session.onTime ? counts.established : counts.late);
    counts.earned += earned;
    second.earned += earned;
    ++second.established;
  } else {
    ++(session.lastRefused ? counts.refused : counts.failed);
  }
  cancelAction(session);
  sessions_.erase(session.self);
}

void SimulatedCallers::scheduleAction(Instant at, CallerSession& session, Action action) {
  session.actionAt = at;
  actions_.emplace(at, std::pair(&session, action));
}

void SimulatedCallers::cancelAction(CallerSession& session) {
  if (session.actionAt == Instant::never()) return;
  for (auto [it, end] = actions_.equal_range(session.actionAt); it != end; ++it) {
    if (it->second.first != &session) continue;
    actions_.erase(it);
    break;
  }
  session.actionAt = Instant::never();
}

double SimulatedCallers::drawUniform() { return std::generate_canonical<double, 24>(generator_); }

}  // namespace thistlefold
