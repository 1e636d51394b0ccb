#include "day/play.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <random>
#include <set>
#include <sstream>

#include "simulators/directory.hpp"

namespace thistlefold::day {
namespace {

// Time before callers dial, for the offices to start and to receive lists.
constexpr Span kStartUpTime = Span::ms(1500);

// Time after the last session, for releases to be confirmed and retransmissions to be given up.
constexpr Span kSettleTime = Span::ms(9000);

// If sessions have not ended this long after callers have stopped dialling, the day is stopped and they count as
// unfinished.
constexpr Span kMaxOvertime = Span::ms(120000);

// Time from lowering a budget until the sessions that the office ends for it have been confirmed. The office learns of
// the budget by a signal; the time is enough for a network that loses one datagram in ten.
constexpr Span kBudgetEndTime = Span::ms(3000);

// One-way network delay to and from the directory. It is also the directory's delay in announcing that an exchange
// drains, because that is planned beforehand.
constexpr Span kDirectoryDelay = Span::ms(5);

/// Plays one day: creates the simulators, injects the faults and collects the results.
class DayRunner {
 public:
  DayRunner(const DayPlan& plan, Testbed& testbed, const std::string& capturePath)
      : plan_(plan),
        testbed_(testbed),
        capture_(capturePath),
        generator_(plan.seed * 104729 + 3),
        fleet_(withIdentityAddresses(plan.fleet)),
        callers_(testbed.fleet(), plan.behaviour, plan.seed + 11, Instant()) {
    for (std::size_t i = 0; i < fleet_.places.size(); ++i) {
      const int place = static_cast<int>(i);
      placeOf_[officeIdentity(place)] = place;
      placeOf_[processorIdentity(place)] = place;
    }
  }

  Report run(const std::string& capturePath) {
    testbed_.setImpairment([this](iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes) {
      return impairment(from, to, bytes);
    });
    testbed_.setTap(
        [this](Instant at, iax2::Address from, iax2::Address to, std::span<const std::uint8_t> bytes, bool delivered) {
          capture_.write({at, delivered, from, to, bytes});
        });
    const std::size_t count = fleet_.places.size();
    std::vector<iax2::Address> offices;
    for (const ExchangeSite& place : testbed_.fleet().places) offices.push_back(place.office);
    directory_ = std::make_unique<SimulatedDirectory>(
        plan_.fleet.config.mustSubscribe ? std::vector<iax2::Address>() : offices, count, testbed_.now());
    testbed_.attach(kDirectoryIdentity, *directory_);
    processors_.resize(count);
    for (std::size_t i = 0; i < count; ++i) startProcessor(static_cast<int>(i), true);
    for (std::size_t i = 0; i < count; ++i) testbed_.startOffice(static_cast<int>(i), plan_.seed + i);
    testbed_.runUntil(testbed_.now() + kStartUpTime);

    begin_ = testbed_.now();
    note("begin");
    callers_.begin(begin_);
    std::vector<PlannedCall> calls = drawTraffic(plan_);
    for (PlannedCall& call : calls) call.at = begin_ + (call.at - Instant());
    callers_.plan(std::move(calls));
    testbed_.attach(kCallersIdentity, callers_);
    for (const Fault& fault : plan_.faults) {
      testbed_.schedule(begin_ + fault.at, [this, &fault] { inject(fault); });
    }
    testbed_.runUntil(begin_ + plan_.length);
    const Instant latestEnd = testbed_.now() + kMaxOvertime;
    while (callers_.activeSessions() > 0 && testbed_.now() < latestEnd)
      testbed_.runUntil(testbed_.now() + Span::ms(250));
    testbed_.runUntil(testbed_.now() + kSettleTime);

    Report report;
    report.unfinishedSessions = callers_.activeSessions();
    for (std::size_t i = 0; i < count; ++i) {
      report.officeStatus.push_back(testbed_.query(static_cast<int>(i), "thistlefold status 1\n").value_or(""));
      report.zoneUsage.push_back(testbed_.query(static_cast<int>(i), "thistlefold zones 1\n").value_or(""));
    }
    // The last five minutes of usage to each zone, for reports of the run.
    for (std::size_t i = 0; i < count; ++i) {
      for (const std::string& zone : fleet_.zones()) {
        if (zone == fleet_.places[i].zone) continue;
        const auto series = testbed_.query(static_cast<int>(i), "thistlefold series 1 second " + zone + "\n");
        if (series) report.zoneSeries.push_back(*series);
      }
    }
    for (std::size_t i = 0; i < count; ++i) {
      note("stop " + fleet_.places[i].name);
      testbed_.stopOffice(static_cast<int>(i));
    }
    testbed_.runUntil(testbed_.now() + Span::ms(500));
    capture_.close();
    report.secondsTaken = (testbed_.now() - begin_).ms() / 1000;
    collectResults(report);
    report.findings = audit::audit(fleet_, capturePath, testbed_.tolerance());
    compareZoneLegs(report);
    return report;
  }

 private:
  void collectResults(Report& report) {
    report.day = plan_.name;
    for (const OfferedService& offer : fleet_.offeredServices) report.services.push_back(offer.name);
    report.serviceCounts = callers_.serviceCounts();
    report.seconds = callers_.seconds();
    report.refusals = callers_.refusals();
    report.faults = faultLog_;
    std::vector<float> delays = callers_.delays();
    std::sort(delays.begin(), delays.end());
    if (!delays.empty()) {
      report.delayP50Ms = delays[delays.size() / 2];
      report.delayP99Ms = delays[delays.size() * 99 / 100];
    }
    for (const auto& exchange : processors_)
      report.collapsedExchanges += exchange != nullptr && exchange->hasCollapsed();
    report.collapsedExchanges += collapsedBefore_;
    // Both ends of each trunk group, as their offices report them.
    std::map<std::pair<std::string, std::string>, std::int64_t> freeCircuits;
    for (const std::string& text : report.officeStatus) {
      if (text.empty()) continue;
      const auto status = boost::json::parse(text).as_object();
      for (const auto& exchange : status.at("exchanges").as_array()) {
        const auto& entry = exchange.as_object();
        freeCircuits[{std::string(status.at("office").as_string()), std::string(entry.at("exchange").as_string())}] =
            entry.at("free").to_number<std::int64_t>();
      }
    }
    for (const Group& group : fleet_.groups) {
      const std::string& a = fleet_.places[static_cast<std::size_t>(group.a)].name;
      const std::string& b = fleet_.places[static_cast<std::size_t>(group.b)].name;
      if (!freeCircuits.contains({a, b}) || !freeCircuits.contains({b, a})) continue;
      const auto freeAtA = freeCircuits[{a, b}], freeAtB = freeCircuits[{b, a}];
      if (freeAtA != freeAtB || freeAtA != group.circuits) {
        std::string line = a;
        line.append(" and ").append(b).append(": ").append(std::to_string(freeAtA)).append(" and ");
        line.append(std::to_string(freeAtB)).append(" of ").append(std::to_string(group.circuits)).append(" free");
        report.groupDifferences.push_back(std::move(line));
      }
    }
  }

  /// Compares the offices' own counts of legs between zones with those in the capture, and the use of budgets with
  /// their limits.
  void compareZoneLegs(Report& report) const {
    for (const zones::Budget& budget : plan_.fleet.budgets) checkBudget(report, budget);
    report.zonesCompared = true;
    report.unaccountedInvites = report.findings.unaccountedInvites;
    std::map<audit::ZoneLeg, audit::ZoneLegCounts> reported;
    for (const std::string& text : report.zoneUsage) {
      if (text.empty()) report.zonesCompared = false;
      if (text.empty()) continue;
      const boost::json::value usage = boost::json::parse(text);
      for (const char* part : {"cells", "inherited"})
        for (const auto& cell : usage.at(part).as_array()) {
          const auto textOf = [&](const char* field) { return std::string(cell.at(field).as_string()); };
          audit::ZoneLegCounts& counts = reported[{textOf("from"), textOf("to"), textOf("service"), textOf("part")}];
          counts.invites += cell.at("invites").to_number<std::uint64_t>();
          counts.established += cell.at("stood").to_number<std::uint64_t>();
        }
    }
    if (!report.zonesCompared) return;
    auto captured = report.findings.accountableZoneLegs;
    for (const auto& [leg, counts] : reported) captured[leg];
    for (const auto& [leg, counts] : captured) {
      const audit::ZoneLegCounts& byOffices = reported[leg];
      if (byOffices == counts) continue;
      report.zoneDifferences.push_back(leg.from + " to " + leg.to + ", " + leg.service + ", " + leg.part +
                                       ": offices counted " + std::to_string(byOffices.invites) + " INVITEs and " +
                                       std::to_string(byOffices.established) + " established, the capture has " +
                                       std::to_string(counts.invites) + " and " + std::to_string(counts.established));
    }
  }

  /// Compares the circuits in use at any time with the budget at that time.
  void checkBudget(Report& report, const zones::Budget& budget) const {
    const auto names = fleet_.zones();
    const auto& from = names[static_cast<std::size_t>(budget.from)];
    const auto& to = names[static_cast<std::size_t>(budget.to)];
    const auto found = report.findings.circuitsInUse.find({from, to});
    int limit = budget.circuits, peak = 0, inUse = 0, tolerated = 0;
    Instant enforcedFrom = Instant::distantPast();
    std::size_t next = 0;
    static const std::vector<std::pair<Instant, int>> kNone;
    const auto& changes = found == report.findings.circuitsInUse.end() ? kNone : found->second;
    const auto reportPeak = [&] {
      report.budgetPeaks.push_back(
          from + " to " + to + ": " + std::to_string(peak) + " circuits in use at once at most, of " +
          std::to_string(limit) +
          (tolerated > limit ? ", with " + std::to_string(tolerated) + " in use when it was lowered" : ""));
    };
    bool exceeded = false;
    for (const auto& [at, circuits] : changes) {
      for (; next < budgetChanges_.size() && budgetChanges_[next].at <= at; ++next) {
        const BudgetChange& change = budgetChanges_[next];
        if (change.from != budget.from || change.to != budget.to) continue;
        reportPeak();
        // Established sessions are left to end by themselves or are ended by the office, which takes the confirmation
        // of the far end. Until then their circuits may exceed the lowered limit.
        tolerated = std::max(inUse, change.circuits);
        limit = change.circuits;
        peak = 0;
        enforcedFrom = budget.overrun == zones::OverrunPolicy::end ? change.at + kBudgetEndTime : Instant::never();
      }
      inUse = circuits;
      if (at >= enforcedFrom && enforcedFrom != Instant::distantPast()) tolerated = 0;
      peak = std::max(peak, circuits);
      if (circuits > std::max(limit, tolerated) && !std::exchange(exceeded, true)) {
        std::string line = "budget exceeded: ";
        line.append(from).append(" to ").append(to).append(": ").append(std::to_string(circuits));
        line.append(" circuits in use, of ").append(std::to_string(limit)).append(", ");
        line.append(std::to_string((at - begin_).ms())).append(" ms into the day");
        report.zoneDifferences.push_back(std::move(line));
      }
    }
    reportPeak();
  }

  void note(const std::string& text) { capture_.note(testbed_.now(), text); }
  void logFault(const std::string& text) {
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << (testbed_.now() - begin_).ms() / 1000 << " s  " << text;
    faultLog_.push_back(line.str());
  }
  const std::string& name(int place) const { return fleet_.places[static_cast<std::size_t>(place)].name; }
  SimulatedExchange& processor(int place) { return *processors_[static_cast<std::size_t>(place)]; }
  double drawUniform() { return std::generate_canonical<double, 53>(generator_); }

  // ---- Exchanges

  void startProcessor(int place, bool warm) {
    ProcessorModel model = plan_.processor;
    model.setUpWork = 1000 / fleet_.places[static_cast<std::size_t>(place)].setUpsPerSecond;
    model.followUpWork *= model.setUpWork;
    model.rejectWork *= model.setUpWork;
    model.lineCounts[massCallNumber(fleet_, place)] = plan_.massCallLines;
    auto& exchange = processors_[static_cast<std::size_t>(place)];
    exchange = std::make_unique<SimulatedExchange>(model, plan_.seed + static_cast<std::uint64_t>(place),
                                                   testbed_.now(), warm);
    testbed_.attach(processorIdentity(place), *exchange);
    if (!warm) note("processor-started " + name(place));
  }
  void stopProcessor(int place) {
    auto& exchange = processors_[static_cast<std::size_t>(place)];
    if (exchange == nullptr) return;
    testbed_.detach(processorIdentity(place));
    collapsedBefore_ += exchange->hasCollapsed();
    // Its coroutines may still refer to it until they have ended.
    testbed_.schedule(testbed_.now() + Span::ms(5),
                      [kept = std::shared_ptr<SimulatedExchange>(std::move(exchange))] {});
  }
  void updateDirectory(int place, Readiness readiness, Span delay) {
    const auto& exchange = processors_[static_cast<std::size_t>(place)];
    if (exchange != nullptr) incarnations_[place] = exchange->incarnation();
    directory_->setState(testbed_.now(), place, readiness, incarnations_[place], delay);
    testbed_.wakeUp(kDirectoryIdentity);
  }
  /// Stops a processor at once; it is back, cold, after `downTime`.
  void crashProcessor(int place, Span downTime) {
    stopProcessor(place);
    updateDirectory(place, Readiness::gone, plan_.directoryDelay);
    testbed_.schedule(testbed_.now() + downTime, [this, place] {
      if (processors_[static_cast<std::size_t>(place)] != nullptr) return;
      startProcessor(place, false);
      updateDirectory(place, Readiness::ready, plan_.directoryDelay * 0.5);
      logFault(name(place) + " back, cold");
    });
  }

  // ---- Faults

  void inject(const Fault& fault) {
    std::string placeNames;
    for (const int place : fault.places) placeNames += " " + name(place);
    logFault(fault.text + (placeNames.empty() ? "" : " at" + placeNames));
    note("trouble " + fault.text);
    const Instant end = testbed_.now() + fault.duration;
    const auto atEnd = [&](std::function<void()> action) { testbed_.schedule(end, std::move(action)); };
    switch (fault.kind) {
      case Fault::Kind::hang:
        forEachProcessor(fault, [&](int place) {
          processor(place).setHung(testbed_.now(), true);
          atEnd([this, place] { ifRunning(place, [&] { processor(place).setHung(testbed_.now(), false); }); });
        });
        break;
      case Fault::Kind::slow:
        forEachProcessor(fault, [&](int place) {
          processor(place).setSlowdown(fault.magnitude);
          atEnd([this, place] { ifRunning(place, [&] { processor(place).setSlowdown(1); }); });
        });
        break;
      case Fault::Kind::age:
        forEachProcessor(fault, [&](int place) {
          ageProcessor(place, Span::ms(fault.magnitude), end, 1, processor(place).incarnation());
        });
        break;
      case Fault::Kind::crash:
        forEachProcessor(fault, [&](int place) { crashProcessor(place, fault.duration); });
        break;
      case Fault::Kind::vanish:
        // The directory takes longer to notice that a machine is gone than that a process is.
        forEachProcessor(fault, [&](int place) {
          stopProcessor(place);
          updateDirectory(place, Readiness::gone, plan_.directoryDelay * 2.0);
          atEnd([this, place] {
            if (processors_[static_cast<std::size_t>(place)] != nullptr) return;
            startProcessor(place, false);
            updateDirectory(place, Readiness::ready, plan_.directoryDelay * 0.5);
            logFault(name(place) + " back, cold");
          });
        });
        break;
      case Fault::Kind::replace:
        forEachProcessor(fault, [&](int place) {
          updateDirectory(place, Readiness::draining, kDirectoryDelay);
          atEnd([this, place] {
            if (processors_[static_cast<std::size_t>(place)] == nullptr) return;
            stopProcessor(place);
            startProcessor(place, false);
            updateDirectory(place, Readiness::ready, plan_.directoryDelay * 0.5);
            logFault(name(place) + " replaced, cold");
          });
        });
        break;
      case Fault::Kind::cut:
        forEachProcessor(fault, [&](int place) { processor(place).abortEstablished(testbed_.now(), fault.magnitude); });
        for (const int place : fault.places) testbed_.wakeUp(processorIdentity(place));
        break;
      case Fault::Kind::freeze:
        for (const int place : fault.places) {
          if (killed_.contains(place) || !frozen_.insert(place).second) continue;
          note("freeze " + name(place));
          testbed_.freezeOffice(place, true);
          atEnd([this, place] {
            if (frozen_.erase(place) == 0) return;
            testbed_.freezeOffice(place, false);
            note("thaw " + name(place));
          });
        }
        break;
      case Fault::Kind::kill:
        for (const int place : fault.places) {
          if (!killed_.insert(place).second) continue;
          if (frozen_.erase(place) > 0) testbed_.freezeOffice(place, false);
          note("kill " + name(place));
          testbed_.killOffice(place);
          atEnd([this, place] {
            note("start " + name(place));
            testbed_.startOffice(place, plan_.seed + static_cast<std::uint64_t>(place) + 1000);
            killed_.erase(place);
            logFault("office " + name(place) + " started again");
          });
        }
        break;
      case Fault::Kind::network:
        networkFaults_.push_back(&fault);
        atEnd([this, &fault] { std::erase(networkFaults_, &fault); });
        break;
      case Fault::Kind::directory:
        directory_->failUntil(end);
        break;
      case Fault::Kind::budget:
        for (zones::Budget& budget : fleet_.budgets) {
          if (budget.from != fault.fromZone || budget.to != fault.toZone) continue;
          budget.circuits = static_cast<int>(fault.magnitude);
          // The guarantees are scaled down with the budget: if they exceeded it, all other services would be blocked.
          int guaranteed = 0;
          for (const zones::ClassShare& share : budget.classes) guaranteed += share.guaranteed;
          for (zones::ClassShare& share : budget.classes) {
            if (guaranteed > budget.circuits) share.guaranteed = share.guaranteed * budget.circuits / guaranteed;
            if (share.most) share.most = std::max(*share.most, share.guaranteed);
          }
        }
        budgetChanges_.push_back({testbed_.now(), fault.fromZone, fault.toZone, static_cast<int>(fault.magnitude)});
        testbed_.setBudgets(fleet_.budgets);
        break;
      case Fault::Kind::loseCircuits:
        loseCircuits(fault, fault.magnitude);
        atEnd([this, &fault] { loseCircuits(fault, 1); });
        break;
      case Fault::Kind::burst:
      case Fault::Kind::hotCaller:
      case Fault::Kind::massCall:
        break;  // part of the traffic, see drawTraffic()
    }
  }

  template <typename Body>
  void forEachProcessor(const Fault& fault, Body body) {
    for (const int place : fault.places) ifRunning(place, [&] { body(place); });
  }
  template <typename Body>
  void ifRunning(int place, Body body) {
    if (processors_[static_cast<std::size_t>(place)] == nullptr) return;
    body();
    testbed_.wakeUp(processorIdentity(place));
  }

  void ageProcessor(int place, Span doublingTime, Instant end, double factor, std::uint64_t incarnation) {
    const auto& exchange = processors_[static_cast<std::size_t>(place)];
    if (exchange == nullptr || exchange->incarnation() != incarnation) return;
    if (testbed_.now() >= end) return crashProcessor(place, Span::ms(1000));
    exchange->setSlowdown(factor);
    testbed_.schedule(std::min(end, testbed_.now() + doublingTime),
                      [this, place, doublingTime, end, factor, incarnation] {
                        ageProcessor(place, doublingTime, end, factor * 2, incarnation);
                      });
  }

  void loseCircuits(const Fault& fault, double keptShare) {
    for (const Group& group : fleet_.groups) {
      const auto isAffected = [&](int place) {
        return std::find(fault.places.begin(), fault.places.end(), place) != fault.places.end();
      };
      if (isAffected(group.a) == isAffected(group.b) && fault.places.size() > 1) continue;
      if (!isAffected(group.a) && !isAffected(group.b)) continue;
      directory_->setGroupSize(testbed_.now(),
                               {group.a, group.b, static_cast<int>(std::ceil(keptShare * group.circuits))});
    }
    testbed_.wakeUp(kDirectoryIdentity);
  }

  // ---- The network

  std::vector<Span> impairment(iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes) {
    const auto sender = placeOf_.find(from), receiver = placeOf_.find(to);
    const bool betweenPlaces = sender != placeOf_.end() && receiver != placeOf_.end();
    Span baseDelay = Span::ms(0.5);  // callers are close to their office
    if (betweenPlaces && sender->second == receiver->second)
      baseDelay = Span::ms(0.1);  // an office is close to its exchange
    if (betweenPlaces && sender->second != receiver->second) {
      const auto& places = fleet_.places;
      baseDelay = places[static_cast<std::size_t>(sender->second)].zone ==
                          places[static_cast<std::size_t>(receiver->second)].zone
                      ? plan_.network.sameZone
                      : plan_.network.crossZone;
    }
    if (from == kDirectoryIdentity || to == kDirectoryIdentity) baseDelay = kDirectoryDelay;
    double lossShare = plan_.network.loss, duplicateShare = 0, delayedShare = 0, truncatedShare = 0;
    Span maxExtraDelay;
    for (const Fault* fault : networkFaults_) {
      if (!fault->otherPlaces.empty()) {
        const auto isIn = [&](const std::vector<int>& side, auto it) {
          return it != placeOf_.end() && std::find(side.begin(), side.end(), it->second) != side.end();
        };
        const bool forward = isIn(fault->places, sender) && isIn(fault->otherPlaces, receiver);
        const bool backward = isIn(fault->places, receiver) && isIn(fault->otherPlaces, sender);
        if (!forward && !backward) continue;
      }
      lossShare = std::max(lossShare, fault->lossShare);
      duplicateShare = std::max(duplicateShare, fault->duplicateShare);
      delayedShare = std::max(delayedShare, fault->delayedShare);
      truncatedShare = std::max(truncatedShare, fault->truncatedShare);
      maxExtraDelay = std::max(maxExtraDelay, fault->maxExtraDelay);
    }
    const auto delay = [&] {
      Span span = baseDelay * (1 + plan_.network.jitter * drawUniform());
      if (delayedShare > 0 && drawUniform() < delayedShare) span = span + maxExtraDelay * drawUniform();
      return span;
    };
    if (lossShare > 0 && drawUniform() < lossShare) return {};
    if (truncatedShare > 0 && drawUniform() < truncatedShare && bytes.size() > 1) {
      bytes.resize(1 + static_cast<std::size_t>(drawUniform() * static_cast<double>(bytes.size() - 1)));
    }
    std::vector<Span> copies{delay()};
    if (duplicateShare > 0 && drawUniform() < duplicateShare) copies.push_back(delay());
    return copies;
  }

  const DayPlan& plan_;
  Testbed& testbed_;
  capture::Writer capture_;
  std::mt19937_64 generator_;
  Fleet fleet_;  // with identities as addresses
  SimulatedCallers callers_;
  std::unique_ptr<SimulatedDirectory> directory_;
  std::vector<std::unique_ptr<SimulatedExchange>> processors_;
  std::map<iax2::Address, int> placeOf_;
  std::map<int, std::uint64_t> incarnations_;
  std::set<int> frozen_, killed_;
  std::vector<const Fault*> networkFaults_;
  std::vector<std::string> faultLog_;
  struct BudgetChange {
    Instant at;
    int from, to, circuits;
  };
  std::vector<BudgetChange> budgetChanges_;
  std::size_t collapsedBefore_ = 0;  // exchanges that had collapsed when they were stopped
  Instant begin_;
};

}  // namespace

double Report::earnedShare() const {
  double value = 0, earned = 0;
  for (const auto& counts : serviceCounts) {
    value += counts.value;
    earned += counts.earned;
  }
  return value > 0 ? earned / value : 0;
}

Report play(const DayPlan& plan, Testbed& testbed, const std::string& capturePath) {
  auto runner = std::make_unique<DayRunner>(plan, testbed, capturePath);
  Report report = runner->run(capturePath);
  // The handlers are detached before they are destroyed.
  testbed.detach(kCallersIdentity);
  testbed.detach(kDirectoryIdentity);
  for (std::size_t i = 0; i < plan.fleet.places.size(); ++i) testbed.detach(processorIdentity(static_cast<int>(i)));
  testbed.runUntil(testbed.now() + Span::ms(20));
  return report;
}

std::string describe(const Report& report) {
  std::ostringstream out;
  out << "day " << report.day << " (simulated exchanges and callers)\n\n";
  for (const std::string& line : report.faults) out << "  " << line << '\n';
  out << '\n' << std::left << std::setw(18) << "service" << std::right;
  for (const char* head : {"offered", "in time", "late", "refused", "failed", "aborted", "attempts", "value"}) {
    out << std::setw(9) << head;
  }
  out << '\n' << std::fixed;
  for (std::size_t i = 0; i < report.serviceCounts.size(); ++i) {
    const auto& counts = report.serviceCounts[i];
    out << std::left << std::setw(18) << report.services[i] << std::right;
    for (const auto count : {counts.offered, counts.established, counts.late, counts.refused, counts.failed,
                             counts.aborted, counts.attempts}) {
      out << std::setw(9) << count;
    }
    out << std::setw(8) << std::setprecision(1) << (counts.value > 0 ? 100 * counts.earned / counts.value : 0) << "%\n";
  }
  out << "\nservice " << std::setprecision(3) << report.earnedShare() << "   post-dial delay p50 "
      << std::setprecision(1) << report.delayP50Ms << " ms, p99 " << report.delayP99Ms
      << " ms\nservice by second (value earned over offered, in tenths; . means none offered, * all earned)\n  ";
  for (std::size_t i = 0; i < report.seconds.size(); ++i) {
    const auto& second = report.seconds[i];
    out << (second.value <= 0 ? '.'
            : second.earned >= second.value * 0.995
                ? '*'
                : static_cast<char>('0' + static_cast<int>(10 * second.earned / second.value)));
    if (i % 60 == 59) out << "\n  ";
  }
  out << "\nrefusals by cause code:";
  for (const auto& [cause, count] : report.refusals) out << "  " << cause << ": " << count;
  std::map<std::string, std::int64_t> sums;
  for (const std::string& text : report.officeStatus) {
    if (text.empty()) continue;
    const boost::json::value status = boost::json::parse(text);
    for (const auto& [key, value] : status.as_object()) {
      if (value.is_int64()) sums[std::string(key)] += value.as_int64();
    }
  }
  out << "\ndecisions as counted by the offices (those running at the end):\n";
  for (const char* key : {"dialled", "invites", "two_leg", "turned_back", "no_circuit", "timed_out", "reset", "stood",
                          "refused", "abandoned", "cut"}) {
    out << "  " << key << ' ' << sums[key];
  }
  out << "\n\n" << audit::describe(report.findings);
  for (const std::string& line : report.groupDifferences) out << "trunk group ends differ: " << line << '\n';
  if (report.groupDifferences.empty()) out << "trunk groups: both ends agree, all circuits free\n";
  for (const std::string& line : report.budgetPeaks) out << "budget " << line << '\n';
  for (const std::string& line : report.zoneDifferences) out << "cross-zone counts differ: " << line << '\n';
  if (report.zoneDifferences.empty()) {
    out << "cross-zone counts: "
        << (report.zonesCompared ? "equal to the capture" : "not compared, an office did not report");
    if (report.unaccountedInvites > 0)
      out << "; " << report.unaccountedInvites << " INVITEs of killed offices are unknown to all offices still running";
    out << '\n';
  }
  if (report.unfinishedSessions > 0)
    out << report.unfinishedSessions << " sessions had not ended when the day was stopped\n";
  if (report.collapsedExchanges > 0) out << report.collapsedExchanges << " exchanges collapsed under overload\n";
  out << (report.good() ? "GOOD: no rule broken, all sessions accounted for\n" : "NOT GOOD\n");
  return out.str();
}

std::string json(const Report& report) {
  namespace json = boost::json;
  json::object out;
  out["day"] = report.day;
  out["good"] = report.good();
  out["service"] = report.earnedShare();
  out["p50_ms"] = report.delayP50Ms;
  out["p99_ms"] = report.delayP99Ms;
  json::array services;
  for (std::size_t i = 0; i < report.serviceCounts.size(); ++i) {
    const auto& counts = report.serviceCounts[i];
    services.push_back(json::object{{"service", report.services[i]},
                                    {"offered", counts.offered},
                                    {"stood", counts.established},
                                    {"late", counts.late},
                                    {"refused", counts.refused},
                                    {"failed", counts.failed},
                                    {"cut", counts.aborted},
                                    {"tries", counts.attempts},
                                    {"value", counts.value},
                                    {"earned", counts.earned}});
  }
  out["services"] = std::move(services);
  json::array seconds;
  for (const auto& second : report.seconds)
    seconds.push_back(second.value > 0 ? json::value(second.earned / second.value) : json::value(nullptr));
  out["by_second"] = std::move(seconds);
  json::array faults, groupDifferences, officeStatus, zoneUsage, zoneDifferences, zoneSeries;
  for (const auto& text : report.zoneSeries) zoneSeries.push_back(json::parse(text));
  out["series"] = std::move(zoneSeries);
  for (const auto& text : report.faults) faults.emplace_back(text);
  for (const auto& text : report.groupDifferences) groupDifferences.emplace_back(text);
  for (const auto& text : report.officeStatus)
    officeStatus.push_back(text.empty() ? json::value(nullptr) : json::parse(text));
  for (const auto& text : report.zoneUsage)
    zoneUsage.push_back(text.empty() ? json::value(nullptr) : json::parse(text));
  for (const auto& text : report.zoneDifferences) zoneDifferences.emplace_back(text);
  out["zones"] = std::move(zoneUsage);
  out["crossings_differ"] = std::move(zoneDifferences);
  out["crossings_checked"] = report.zonesCompared;
  out["troubles"] = std::move(faults);
  out["disagree"] = std::move(groupDifferences);
  out["offices"] = std::move(officeStatus);
  out["audit"] = json::parse(audit::json(report.findings));
  return json::serialize(out);
}

}  // namespace thistlefold::day
