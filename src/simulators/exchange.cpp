#include "simulators/exchange.hpp"

#include <algorithm>

namespace thistlefold {

struct SimulatedExchange::Taken : iax2::CallOwner {
  Taken(SimulatedExchange& at, std::uint64_t k, iax2::Call& on) : exchange(at), key(k), call(&on) {}
  void onFrame(iax2::Call&, const iax2::Frame&) override {}
  void onCallEnded(iax2::Call&, iax2::CallEnd) override {
    call = nullptr;
    if (stands) {
      stands = false;
      --exchange.standing_;
      ++exchange.counters_.ended;
    }
    if (!called.empty()) {
      const auto lines = exchange.inUse_.find(called);
      if (lines != exchange.inUse_.end()) --lines->second;
    }
    // Work in progress runs on; a set-up that still waits is dropped, a release is work of its own.
    if (wasUp) {
      exchange.enqueue({Work::release, key});
    } else {
      exchange.taken_.erase(key);
    }
  }

  SimulatedExchange& exchange;
  std::uint64_t key;
  iax2::Call* call;
  std::string called;  // set while it holds one of few lines
  std::string number;
  bool stands = false;
  bool wasUp = false;
};

SimulatedExchange::SimulatedExchange(ProcessorModel model, std::uint64_t seed, Instant now, bool warm)
    : model_(std::move(model)),
      now_(now),
      started_(warm ? now - model_.warmUpTime : now),
      mark_(static_cast<std::uint64_t>((now - Instant()).ms() * 1000) + seed % 1000),
      endpoint_(*this, seed ^ mark_) {}

SimulatedExchange::~SimulatedExchange() = default;

void SimulatedExchange::receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) {
  now_ = now;
  if (!silent_ && !fallen_) endpoint_.receive(now, from, datagram);
}

void SimulatedExchange::process(Instant now, const DatagramSender& out) {
  // Work finishes at its own instant, whenever this is called.
  while (busy_ && doneAt_ <= now) {
    now_ = doneAt_;
    const Job job = current_;
    busy_ = false;
    doneAt_ = Instant::never();
    finishJob(job);
    startNext();
  }
  now_ = now;
  startNext();
  endpoint_.expire(now);
  endpoint_.flush(now, [&](iax2::Address to, std::span<const std::uint8_t> datagram) {
    if (!silent_ && !fallen_) out(to, datagram);
  });
}

Instant SimulatedExchange::nextDeadline() const { return std::min(doneAt_, endpoint_.nextDue()); }

void SimulatedExchange::hang(Instant now, bool hung) {
  now_ = now;
  hung_ = hung;
  if (hung) {
    // What was in work is lost, as with a processor that loops.
    busy_ = false;
    doneAt_ = Instant::never();
  }
}

void SimulatedExchange::lose(Instant now, double share) {
  now_ = now;
  std::vector<std::uint64_t> keys;
  for (const auto& [key, taken] : taken_) {
    if (taken->stands) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  double owed = 0;
  for (const std::uint64_t key : keys) {
    owed += share;
    if (owed < 1) continue;
    owed -= 1;
    Taken& taken = *taken_[key];
    ++counters_.cut;
    iax2::Elements e;
    e.causeCode = std::uint8_t{38};
    e.releaseReason = iax2::ReleaseReason::reset;
    endpoint_.hangUp(now, *taken.call, iax2::Iax::HANGUP, e);
  }
}

void SimulatedExchange::onIncomingCall(iax2::Call& call, const iax2::Frame& frame) {
  ++counters_.setUps;
  sent_.push_back(now_);
  while (now_ - sent_.front() > model_.overloadWindow) sent_.pop_front();
  const double canDo = 1000.0 / model_.setUpWork * speed() * model_.overloadWindow.ms() / 1000;
  if (now_ - started_<model_.warmUpTime&& static_cast<double>(sent_.size())> model_.overloadFactor * canDo) {
    fallen_ = true;
    return;
  }
  const std::uint64_t key = ++serial_;
  auto made = std::make_unique<Taken>(*this, key, call);
  made->number = frame.elements.calledNumber;
  call.setOwner(made.get());
  taken_[key] = std::move(made);
  enqueue({wait() > model_.longestWait ? Work::turnAway : Work::setUp, key});
}

iax2::Elements SimulatedExchange::pongElements(iax2::Address) {
  iax2::Elements e = hung_ ? iax2::Elements() : told();
  e.incarnation = mark_;
  return e;
}

double SimulatedExchange::speed() const {
  const double age = std::clamp((now_ - started_) / model_.warmUpTime, 0.0, 1.0);
  return (model_.coldCapacityShare + (1 - model_.coldCapacityShare) * age) / slow_;
}

double SimulatedExchange::cost(Work work) const {
  const double warm = work == Work::setUp      ? model_.setUpWork
                      : work == Work::turnAway ? model_.turnAwayWork
                                               : model_.followWork;
  return warm / speed();
}

void SimulatedExchange::enqueue(Job job) {
  (job.work == Work::setUp ? waiting_ : urgent_).push_back(job);
  startNext();
}

void SimulatedExchange::startNext() {
  while (!busy_ && !hung_ && (!urgent_.empty() || !waiting_.empty())) {
    std::deque<Job>& line = urgent_.empty() ? waiting_ : urgent_;
    current_ = line.front();
    line.pop_front();
    if (current_.work == Work::setUp && !taken_.contains(current_.session)) {
      ++counters_.dropped;
      continue;
    }
    busy_ = true;
    const Span takes = Span::ms(cost(current_.work));
    doneAt_ = now_ + takes;
    worked_.emplace_back(doneAt_, takes.ms());
    while (now_ - worked_.front().first > Span::ms(1000)) worked_.pop_front();
  }
}

void SimulatedExchange::finishJob(const Job& job) {
  const auto it = taken_.find(job.session);
  if (it == taken_.end()) return;
  Taken& taken = *it->second;
  switch (job.work) {
    case Work::setUp: {
      const auto few = model_.lines.find(taken.number);
      if (few != model_.lines.end() && inUse_[taken.number] >= few->second) {
        ++counters_.linesBusy;
        return refuse(taken, iax2::ReleaseReason::lineBusy, 17, Span::none());
      }
      if (few != model_.lines.end()) {
        ++inUse_[taken.number];
        taken.called = taken.number;
      }
      taken.wasUp = true;
      endpoint_.send(now_, *taken.call, iax2::Iax::ACCEPT, told());
      enqueue({Work::answer, job.session});
      return;
    }
    case Work::turnAway:
      ++counters_.turnedAway;
      return refuse(taken, iax2::ReleaseReason::processorFull, 42, wait());
    case Work::answer:
      if (taken.call == nullptr) return;
      taken.stands = true;
      ++standing_;
      ++counters_.stood;
      endpoint_.send(now_, *taken.call, iax2::Control::answer);
      return;
    case Work::release:
      taken_.erase(it);
      return;
  }
}

void SimulatedExchange::refuse(Taken& taken, iax2::ReleaseReason why, std::uint8_t code, Span wait) {
  if (taken.call == nullptr) return;
  iax2::Elements e = told();
  e.releaseReason = why;
  e.causeCode = code;
  if (wait > Span::none()) e.retryAfterMs = static_cast<std::uint32_t>(wait.ms());
  endpoint_.hangUp(now_, *taken.call, iax2::Iax::REJECT, e);
}

Span SimulatedExchange::wait() const {
  double ms = busy_ ? std::max(0.0, (doneAt_ - now_).ms()) : 0;
  for (const Job& job : urgent_) ms += cost(job.work);
  ms += static_cast<double>(waiting_.size()) * cost(Work::setUp);
  return Span::ms(ms);
}

iax2::Elements SimulatedExchange::told() const {
  double used = 0;
  for (const auto& [at, ms] : worked_) used += now_ - at <= Span::ms(1000) ? ms : 0;
  const double whole = speed() * 1000 / (model_.setUpWork + 2 * model_.followWork);
  iax2::Elements e;
  e.capacityPer1000s = static_cast<std::uint32_t>(1000 * whole * std::clamp(1 - used / 1000, 0.0, 1.0));
  return e;
}

}  // namespace thistlefold
