#include "model/zone_model.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

namespace thistlefold::model {
namespace {

using zones::LeasedBudget;
using zones::LeaseMessage;

// The far ends drop the sessions of a killed office within one heartbeat interval plus the transit time after the
// office is back.
constexpr Span kFarEndsDropAfterRestart = Span::ms(1100);
// The far ends drop the sessions of an office that stays away or does not run after six missed heartbeats.
constexpr Span kFarEndsDropAfterSilence = Span::ms(6000);

struct Session {
  std::size_t service;
  std::uint64_t id;
  Instant since;
};

struct Office {
  std::unique_ptr<LeasedBudget> budget;
  std::vector<Session> sessions;  // established
  std::uint64_t incarnation = 0;  // changes with each start
  bool isAlive = true, isFrozen = false, isIsolated = false;
  double clockOffset = 0, clockRate = 1;
  double loadShare = 1;              // share of the zone's load
  std::vector<LeaseMessage> queued;  // received while the office was frozen
  int loweredOver = 0;            // circuits above its part that were in use when the budget was lowered and still are
  std::vector<int> reportedHeld;  // by place: circuits that the office last reported to hold
  Instant refusingSince = Instant::never();
  Instant wakeAt = Instant::never();
};

class Zone {
 public:
  explicit Zone(const ZoneScenario& scenario)
      : scenario_(scenario), random_(scenario.seed), budget_(scenario.circuits) {
    result_.offeredBy.resize(scenario.services.size());
    result_.refusedBy.resize(scenario.services.size());
  }

  ZoneResult run() {
    for (int i = 0; i < scenario_.offices; ++i) places_.push_back(i);
    offices_.resize(static_cast<std::size_t>(scenario_.offices));
    for (Office& one : offices_) {
      one.clockOffset = uniform() * 1e7;
      one.clockRate = 1 + scenario_.clockDrift * (2 * uniform() - 1);
      one.reportedHeld.assign(offices_.size(), 0);
    }
    for (int i = 0; i < scenario_.offices; ++i) start(i);
    drawLoadShares();
    double circuitSeconds = 0, shareSum = 0;  // mean circuit-seconds per session, times the sum of the shares
    for (std::size_t s = 0; s < scenario_.services.size(); ++s) {
      circuitSeconds += scenario_.shares[s] * scenario_.services[s].width * scenario_.services[s].meanHold.ms() / 1000;
      shareSum += scenario_.shares[s];
    }
    arrivalRate_ = scenario_.load * scenario_.circuits * shareSum / circuitSeconds;
    at(Span::ms(2000), [this] { arrival(); });
    for (const ZoneFault& one : scenario_.faults) at(one.at, [this, &one] { injectFault(one); });
    if (scenario_.redrawInterval > Span::none()) at(scenario_.redrawInterval, [this] { redrawShares(); });
    while (!events_.empty() && events_.top().when <= Instant() + scenario_.duration) {
      const Event event = events_.top();
      events_.pop();
      advanceTo(event.when);
      event.what();
      recordState();
    }
    result_.overBudgetShare = overBudgetMs_ / scenario_.duration.ms();
    if (refusals_ > 0) result_.meanIdleShare = idleShareSum_ / static_cast<double>(refusals_);
    result_.messagesPerSecond =
        static_cast<double>(result_.messages) / scenario_.offices / (scenario_.duration.ms() / 1000);
    return result_;
  }

 private:
  struct Event {
    Instant when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const { return when != other.when ? when > other.when : order > other.order; }
  };

  double uniform() { return std::generate_canonical<double, 53>(random_); }
  double exponential(double mean) { return -mean * std::log(1 - uniform()); }
  void at(Span in, std::function<void()> what) { events_.push({now_ + in, ++order_, std::move(what)}); }
  Office& office(int i) { return offices_[static_cast<std::size_t>(i)]; }
  /// The time by the office's own clock, which differs from all other clocks.
  Instant clock(const Office& one) const {
    return Instant::ms(one.clockOffset + (now_ - Instant()).ms() * one.clockRate);
  }

  zones::Budget budget() const {
    zones::Budget budget;
    budget.to = 1;
    budget.circuits = budget_;
    budget.classes = scenario_.classes;
    budget.division = scenario_.scheme == DivisionScheme::lending ? zones::Division::lending : zones::Division::equal;
    budget.overrun = scenario_.overrun;
    return budget;
  }

  void start(int i) {
    Office& one = office(i);
    one.isAlive = true;
    one.incarnation = ++incarnations_;
    one.budget = std::make_unique<LeasedBudget>(scenario_.services, i, places_, 1, clock(one), scenario_.leaseTiming);
    if (scenario_.scheme != DivisionScheme::randomAdmission) {
      one.budget->setBudget(clock(one), budget());
      one.budget->beginStartupWait(clock(one));
    }
    processOffice(i);
    if (scenario_.scheme == DivisionScheme::randomAdmission)
      at(Span::ms(1000 * uniform()), [this, i, incarnation = one.incarnation] { reportHeld(i, incarnation); });
  }

  // ---- Messages

  void processOffice(int i) {
    Office& one = office(i);
    if (!one.isAlive || one.isFrozen) return;
    for (auto& [to, message] : one.budget->process(clock(one))) {
      ++result_.messages;
      transmit(i, to, message);
    }
    endSelectedSessions(i);
    const Instant due = one.budget->nextDeadline();
    if (due >= Instant::never()) return;
    const double wait = std::max(0.05, (due - clock(one)).ms() / one.clockRate);
    const Instant when = now_ + Span::ms(wait);
    if (one.wakeAt > now_ && one.wakeAt <= when) return;
    one.wakeAt = when;
    at(Span::ms(wait), [this, i, incarnation = one.incarnation] {
      if (office(i).incarnation == incarnation) processOffice(i);
    });
  }

  bool isPartitioned(int a, int b) { return office(a).isIsolated != office(b).isIsolated; }

  void transmit(int from, int to, const LeaseMessage& message) {
    if (isPartitioned(from, to)) return;
    if (uniform() < scenario_.loss) return;
    const int copies = uniform() < scenario_.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Span delay = scenario_.delay * (0.5 + uniform());
      if (uniform() < scenario_.lateness) delay = delay + scenario_.maxExtraDelay * uniform();
      at(delay, [this, to, message] { deliver(to, message); });
    }
  }

  void deliver(int to, const LeaseMessage& message) {
    Office& one = office(to);
    if (!one.isAlive) return;
    if (one.isFrozen) {
      // The socket's receive buffer keeps messages up to its size.
      if (one.queued.size() < 1000) one.queued.push_back(message);
      return;
    }
    one.budget->receive(clock(one), message);
    processOffice(to);
  }

  void reportHeld(int i, std::uint64_t incarnation) {
    Office& one = office(i);
    if (one.incarnation != incarnation || !one.isAlive) return;
    if (!one.isFrozen) {
      const int held = one.budget->part().held();
      for (int to : places_) {
        if (to == i || isPartitioned(i, to) || uniform() < scenario_.loss) continue;
        ++result_.messages;
        at(scenario_.delay, [this, i, to, held] { office(to).reportedHeld[static_cast<std::size_t>(i)] = held; });
      }
    }
    at(Span::ms(1000), [this, i, incarnation] { reportHeld(i, incarnation); });
  }

  // ---- Sessions

  void drawLoadShares() {
    std::normal_distribution<double> normal(0, scenario_.loadSpread);
    double shareSum = 0;
    for (Office& one : offices_) shareSum += one.loadShare = std::exp(normal(random_));
    for (Office& one : offices_) one.loadShare /= shareSum;
  }
  void redrawShares() {
    drawLoadShares();
    at(scenario_.redrawInterval, [this] { redrawShares(); });
  }

  bool admits(Office& one, std::size_t service) {
    if (scenario_.scheme != DivisionScheme::randomAdmission) return one.budget->admits(clock(one), service);
    int sum = one.budget->part().held();
    for (const int held : one.reportedHeld) sum += held;
    const double freeCircuits = budget_ - sum;
    // All offices see the same number of free circuits. Each admits at a rate at which all together fill them within
    // the second between reports, given the offered rate.
    const double offeredRate = arrivalRate_ * 1.3;
    return freeCircuits >= scenario_.services[service].width &&
           uniform() < std::min(1.0, freeCircuits / std::max(1.0, offeredRate));
  }

  void arrival() {
    at(Span::ms(exponential(1000 / arrivalRate_)), [this] { arrival(); });
    double officeDraw = uniform();
    int i = 0;
    while (i + 1 < scenario_.offices && (officeDraw -= office(i).loadShare) > 0) ++i;
    double serviceDraw = uniform();
    std::size_t s = 0;
    while (s + 1 < scenario_.services.size() && (serviceDraw -= scenario_.shares[s]) > 0) ++s;
    Office& one = office(i);
    // Callers of an office that is down get no service whatever the budget, so they do not count.
    if (!one.isAlive || one.isFrozen) return;
    ++result_.offered;
    ++result_.offeredBy[s];
    if (!admits(one, s)) {
      ++result_.refused;
      ++result_.refusedBy[s];
      one.budget->recordRefusal(clock(one), s);
      const int freeCircuits = budget_ - circuitsInUse();
      if (getenv("TRACE") && now_ > Instant::ms(30000)) {
        printf("%.1f refused at %d width %d room %d:", (now_ - Instant()).ms() / 1000, i, scenario_.services[s].width,
               freeCircuits);
        for (Office& o : offices_)
          printf(" [%d cap %d held %d lent %d borrowed %d sh %.2f]", o.budget->owned(), o.budget->part().circuits(),
                 o.budget->part().held(), o.budget->lent(), o.budget->borrowed(clock(o)), o.loadShare);
        puts("");
      }
      if (freeCircuits >= scenario_.services[s].width * 2) {
        ++refusals_;
        idleShareSum_ += static_cast<double>(freeCircuits) / std::max(1, budget_);
        if (one.refusingSince == Instant::never()) one.refusingSince = now_;
        result_.longestIdle = std::max(result_.longestIdle, now_ - one.refusingSince);
      } else {
        ++refusals_;
        one.refusingSince = Instant::never();
      }
      processOffice(i);
      return;
    }
    one.refusingSince = Instant::never();
    one.budget->seize(clock(one), s);
    one.sessions.push_back({s, ++sessions_, now_});
    at(Span::ms(exponential(scenario_.services[s].meanHold.ms())),
       [this, i, id = sessions_, incarnation = one.incarnation] { end(i, id, incarnation); });
  }

  void end(int i, std::uint64_t id, std::uint64_t incarnation) {
    Office& one = office(i);
    if (one.incarnation != incarnation || !one.isAlive) return;
    const auto it =
        std::find_if(one.sessions.begin(), one.sessions.end(), [&](const Session& s) { return s.id == id; });
    if (it == one.sessions.end()) return;
    if (one.isFrozen) {
      // The office handles the end of the session when it runs again.
      at(Span::ms(100), [this, i, id, incarnation] { end(i, id, incarnation); });
      return;
    }
    one.budget->release(clock(one), it->service);
    one.sessions.erase(it);
    processOffice(i);
  }

  void endSelectedSessions(int i) {
    Office& one = office(i);
    std::vector<zones::EstablishedSession> established;
    for (const Session& session : one.sessions) established.push_back({session.service, session.since});
    auto ending = zones::selectSessionsToEnd(scenario_.services, established, one.budget->circuitsToEnd(clock(one)));
    std::sort(ending.rbegin(), ending.rend());
    for (const std::size_t which : ending) {
      one.budget->release(clock(one), one.sessions[which].service);
      one.sessions.erase(one.sessions.begin() + static_cast<std::ptrdiff_t>(which));
      ++result_.ended;
    }
  }

  // ---- Faults

  void injectFault(const ZoneFault& fault) {
    switch (fault.kind) {
      case ZoneFault::Kind::kill:
        for (const int i : fault.offices) {
          Office& killed = office(i);
          const int held = killed.budget->part().held();
          killed.isAlive = false;
          killed.sessions.clear();
          killed.budget =
              std::make_unique<LeasedBudget>(scenario_.services, i, places_, 1, clock(killed), scenario_.leaseTiming);
          orphanedCircuits_ += held;
          const Span dropAfter = std::min(kFarEndsDropAfterSilence, fault.duration + kFarEndsDropAfterRestart);
          at(dropAfter, [this, held] { orphanedCircuits_ -= held; });
          at(fault.duration, [this, i] { start(i); });
        }
        break;
      case ZoneFault::Kind::freeze:
        for (const int i : fault.offices) {
          office(i).isFrozen = true;
          at(fault.duration, [this, i] {
            Office& resumed = office(i);
            resumed.isFrozen = false;
            for (const LeaseMessage& message : std::exchange(resumed.queued, {}))
              resumed.budget->receive(clock(resumed), message);
            processOffice(i);
          });
        }
        break;
      case ZoneFault::Kind::partition:
        for (const int i : fault.offices) office(i).isIsolated = true;
        at(fault.duration, [this, &fault] {
          for (const int i : fault.offices) office(i).isIsolated = false;
        });
        break;
      case ZoneFault::Kind::budget:
        budget_ = fault.circuits;
        lowered_ = true;
        for (int i = 0; i < scenario_.offices; ++i) {
          at(fault.duration * (static_cast<double>(i) / scenario_.offices), [this, i] {
            Office& informed = office(i);
            if (scenario_.scheme == DivisionScheme::randomAdmission || !informed.isAlive) return;
            informed.budget->setBudget(clock(informed), budget());
            informed.loweredOver = informed.budget->part().excess();
            processOffice(i);
          });
        }
        // Until all offices know the new budget, sessions that the uninformed ones admit do not count as over budget.
        toleratedUntil_ = now_ + fault.duration + Span::ms(1);
        break;
    }
  }

  // ---- Measurement

  int circuitsInUse() const {
    int sum = orphanedCircuits_;
    for (const Office& one : offices_) sum += one.budget->part().held();
    return sum;
  }
  void advanceTo(Instant when) {
    if (overBudget_ > 0) overBudgetMs_ += (when - now_).ms();
    now_ = when;
  }
  void recordState() {
    const int now = circuitsInUse();
    result_.maxInUse = std::max(result_.maxInUse, now);
    const int over = std::max(0, now - budget_);
    // Circuits above the parts that were in use when the budget was lowered, or that are lent beyond what the lender
    // owns, are tolerated. So are those that offices have admitted which do not know the new budget yet.
    int tolerated = now_ <= toleratedUntil_ ? over : 0, lent = 0;
    for (Office& one : offices_) {
      one.loweredOver = std::min(one.loweredOver, one.budget->part().excess());
      tolerated += one.loweredOver;
      lent += one.budget->lent();
      if (lowered_) tolerated += std::max(0, one.budget->lent() - one.budget->owned());
    }
    overBudget_ = std::max(0, over - tolerated);
    result_.maxLent = std::max(result_.maxLent, lent);
    result_.maxOverBudget = std::max(result_.maxOverBudget, overBudget_);
  }

  const ZoneScenario& scenario_;
  std::mt19937_64 random_;
  int budget_;
  ZoneResult result_;
  std::vector<Office> offices_;
  std::vector<int> places_;
  std::priority_queue<Event> events_;
  Instant now_;
  Instant toleratedUntil_ = Instant::distantPast();
  std::uint64_t order_ = 0, incarnations_ = 0, sessions_ = 0, refusals_ = 0;
  double arrivalRate_ = 1, overBudgetMs_ = 0, idleShareSum_ = 0;
  int orphanedCircuits_ = 0, overBudget_ = 0;
  bool lowered_ = false;
};

}  // namespace

ZoneResult simulate(const ZoneScenario& scenario) { return Zone(scenario).run(); }

}  // namespace thistlefold::model
