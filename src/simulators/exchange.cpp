#include "simulators/exchange.hpp"

#include <algorithm>

namespace thistlefold {

/// A session from the NEW until its release has been processed.
struct SimulatedExchange::IncomingSession : iax2::CallOwner {
  IncomingSession(SimulatedExchange& of, std::uint64_t id, iax2::Call& incoming)
      : exchange(of), key(id), call(&incoming) {}
  void onFrame(iax2::Call&, const iax2::Frame&) override {}
  void onCallEnded(iax2::Call&, iax2::CallEnd) override {
    call = nullptr;
    if (established) {
      established = false;
      --exchange.established_;
      ++exchange.counters_.ended;
    }
    if (!heldLine.empty()) {
      const auto inUse = exchange.linesInUse_.find(heldLine);
      if (inUse != exchange.linesInUse_.end()) --inUse->second;
    }
    // Work in progress is completed. A set-up that is still queued is dropped; the release of an accepted session is a
    // job of its own.
    if (wasSetUp) {
      exchange.enqueue({Work::release, key});
    } else {
      exchange.sessions_.erase(key);
    }
  }

  SimulatedExchange& exchange;
  std::uint64_t key;
  iax2::Call* call;
  std::string heldLine;  // the number, while the session holds one of its limited lines; else empty
  std::string calledNumber;
  bool established = false;
  bool wasSetUp = false;
};

SimulatedExchange::SimulatedExchange(ProcessorModel model, std::uint64_t seed, Instant now, bool warm)
    : model_(std::move(model)),
      now_(now),
      started_(warm ? now - model_.warmUpTime : now),
      incarnation_(static_cast<std::uint64_t>((now - Instant()).ms() * 1000) + seed % 1000),
      endpoint_(*this, seed ^ incarnation_) {}

SimulatedExchange::~SimulatedExchange() = default;

void SimulatedExchange::receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) {
  now_ = now;
  if (!silent_ && !collapsed_) endpoint_.receive(now, from, datagram);
}

void SimulatedExchange::process(Instant now, const DatagramSender& out) {
  // Jobs are finished at the instant at which they are done, even if this is called later.
  while (busy_ && doneAt_ <= now) {
    now_ = doneAt_;
    const Job job = currentJob_;
    busy_ = false;
    doneAt_ = Instant::never();
    finishJob(job);
    startNext();
  }
  now_ = now;
  startNext();
  endpoint_.expire(now);
  endpoint_.flush(now, [&](iax2::Address to, std::span<const std::uint8_t> datagram) {
    if (!silent_ && !collapsed_) out(to, datagram);
  });
}

Instant SimulatedExchange::nextDeadline() const { return std::min(doneAt_, endpoint_.nextDue()); }

void SimulatedExchange::setHung(Instant now, bool hung) {
  now_ = now;
  hung_ = hung;
  if (hung) {
    // The job in progress is lost, as in a processor that loops.
    busy_ = false;
    doneAt_ = Instant::never();
  }
}

void SimulatedExchange::abortEstablished(Instant now, double share) {
  now_ = now;
  std::vector<std::uint64_t> keys;
  for (const auto& [key, session] : sessions_) {
    if (session->established) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  double fraction = 0;
  for (const std::uint64_t key : keys) {
    fraction += share;
    if (fraction < 1) continue;
    fraction -= 1;
    IncomingSession& session = *sessions_[key];
    ++counters_.aborted;
    iax2::Elements e;
    e.causeCode = std::uint8_t{38};
    e.releaseReason = iax2::ReleaseReason::reset;
    endpoint_.hangUp(now, *session.call, iax2::Iax::HANGUP, e);
  }
}

void SimulatedExchange::onIncomingCall(iax2::Call& call, const iax2::Frame& frame) {
  ++counters_.setUps;
  recentSetUps_.push_back(now_);
  while (now_ - recentSetUps_.front() > model_.overloadWindow) recentSetUps_.pop_front();
  const double capacity = 1000.0 / model_.setUpWork * speed() * model_.overloadWindow.ms() / 1000;
  if (now_ - started_<model_.warmUpTime&& static_cast<double>(recentSetUps_.size())> model_.overloadFactor * capacity) {
    collapsed_ = true;
    return;
  }
  const std::uint64_t key = ++lastKey_;
  auto session = std::make_unique<IncomingSession>(*this, key, call);
  session->calledNumber = frame.elements.calledNumber;
  call.setOwner(session.get());
  sessions_[key] = std::move(session);
  enqueue({queueDelay() > model_.maxQueueDelay ? Work::reject : Work::setUp, key});
}

iax2::Elements SimulatedExchange::pongElements(iax2::Address) {
  iax2::Elements e = hung_ ? iax2::Elements() : capacityElements();
  e.incarnation = incarnation_;
  return e;
}

double SimulatedExchange::speed() const {
  const double age = std::clamp((now_ - started_) / model_.warmUpTime, 0.0, 1.0);
  return (model_.coldCapacityShare + (1 - model_.coldCapacityShare) * age) / slowdown_;
}

double SimulatedExchange::cost(Work work) const {
  const double warm = work == Work::setUp    ? model_.setUpWork
                      : work == Work::reject ? model_.rejectWork
                                             : model_.followUpWork;
  return warm / speed();
}

void SimulatedExchange::enqueue(Job job) {
  (job.work == Work::setUp ? queuedSetUps_ : priorityJobs_).push_back(job);
  startNext();
}

void SimulatedExchange::startNext() {
  while (!busy_ && !hung_ && (!priorityJobs_.empty() || !queuedSetUps_.empty())) {
    std::deque<Job>& queue = priorityJobs_.empty() ? queuedSetUps_ : priorityJobs_;
    currentJob_ = queue.front();
    queue.pop_front();
    if (currentJob_.work == Work::setUp && !sessions_.contains(currentJob_.session)) {
      ++counters_.abandoned;
      continue;
    }
    busy_ = true;
    const Span duration = Span::ms(cost(currentJob_.work));
    doneAt_ = now_ + duration;
    recentWork_.emplace_back(doneAt_, duration.ms());
    while (now_ - recentWork_.front().first > Span::ms(1000)) recentWork_.pop_front();
  }
}

void SimulatedExchange::finishJob(const Job& job) {
  const auto it = sessions_.find(job.session);
  if (it == sessions_.end()) return;
  IncomingSession& session = *it->second;
  switch (job.work) {
    case Work::setUp: {
      const auto limited = model_.lineCounts.find(session.calledNumber);
      if (limited != model_.lineCounts.end() && linesInUse_[session.calledNumber] >= limited->second) {
        ++counters_.linesBusy;
        return refuse(session, iax2::ReleaseReason::lineBusy, 17, Span::none());
      }
      if (limited != model_.lineCounts.end()) {
        ++linesInUse_[session.calledNumber];
        session.heldLine = session.calledNumber;
      }
      session.wasSetUp = true;
      endpoint_.send(now_, *session.call, iax2::Iax::ACCEPT, capacityElements());
      enqueue({Work::answer, job.session});
      return;
    }
    case Work::reject:
      ++counters_.rejected;
      return refuse(session, iax2::ReleaseReason::processorFull, 42, queueDelay());
    case Work::answer:
      if (session.call == nullptr) return;
      session.established = true;
      ++established_;
      ++counters_.established;
      endpoint_.send(now_, *session.call, iax2::Control::answer);
      return;
    case Work::release:
      sessions_.erase(it);
      return;
  }
}

void SimulatedExchange::refuse(IncomingSession& session, iax2::ReleaseReason reason, std::uint8_t cause,
                               Span retryAfter) {
  if (session.call == nullptr) return;
  iax2::Elements e = capacityElements();
  e.releaseReason = reason;
  e.causeCode = cause;
  if (retryAfter > Span::none()) e.retryAfterMs = static_cast<std::uint32_t>(retryAfter.ms());
  endpoint_.hangUp(now_, *session.call, iax2::Iax::REJECT, e);
}

Span SimulatedExchange::queueDelay() const {
  double ms = busy_ ? std::max(0.0, (doneAt_ - now_).ms()) : 0;
  for (const Job& job : priorityJobs_) ms += cost(job.work);
  ms += static_cast<double>(queuedSetUps_.size()) * cost(Work::setUp);
  return Span::ms(ms);
}

iax2::Elements SimulatedExchange::capacityElements() const {
  double busyMs = 0;
  for (const auto& [at, ms] : recentWork_) busyMs += now_ - at <= Span::ms(1000) ? ms : 0;
  const double fullCapacity = speed() * 1000 / (model_.setUpWork + 2 * model_.followUpWork);
  iax2::Elements e;
  e.capacityPer1000s = static_cast<std::uint32_t>(1000 * fullCapacity * std::clamp(1 - busyMs / 1000, 0.0, 1.0));
  return e;
}

}  // namespace thistlefold
