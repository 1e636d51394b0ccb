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

// Offices and lists settle for so long before callers dial.
constexpr Span kWarmUp = Span::ms(1500);

// After the last session: releases are confirmed and repeated ones give up.
constexpr Span kSettle = Span::ms(9000);

// A day that has not come to its end so long after the last dial is cut off and counts as not accounted for.
constexpr Span kLongestEnd = Span::ms(120000);

// A lowered budget reaches an office by a signal, and what is ended by it is confirmed within this on a network that
// loses one datagram in ten.
constexpr Span kEndsWithin = Span::ms(3000);

// A cut processor that is back is up again this long after what cut it.
constexpr Span kDirectoryPath = Span::ms(5);

class Player {
 public:
  Player(const DayPlan& plan, Testbed& testbed, const std::string& capturePath)
      : plan_(plan),
        testbed_(testbed),
        capture_(capturePath),
        chance_(plan.seed * 104729 + 3),
        fleet_(identified(plan.fleet)),
        callers_(testbed.fleet(), plan.behaviour, plan.seed + 11, Instant()) {
    for (std::size_t i = 0; i < fleet_.places.size(); ++i) {
      const int place = static_cast<int>(i);
      placeOf_[officeIdentity(place)] = place;
      placeOf_[processorIdentity(place)] = place;
    }
  }

  Report play(const std::string& capturePath) {
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
    testbed_.place(kDirectory, *directory_);
    processors_.resize(count);
    for (std::size_t i = 0; i < count; ++i) startProcessor(static_cast<int>(i), true);
    for (std::size_t i = 0; i < count; ++i) testbed_.startOffice(static_cast<int>(i), plan_.seed + i);
    testbed_.runUntil(testbed_.now() + kWarmUp);

    begin_ = testbed_.now();
    note("begin");
    callers_.begin(begin_);
    std::vector<PlannedCall> dials = traffic(plan_);
    for (PlannedCall& dial : dials) dial.at = begin_ + (dial.at - Instant());
    callers_.plan(std::move(dials));
    testbed_.place(kCallers, callers_);
    for (const Fault& fault : plan_.faults) {
      testbed_.at(begin_ + fault.at, [this, &fault] { strike(fault); });
    }
    testbed_.runUntil(begin_ + plan_.length);
    const Instant cutOff = testbed_.now() + kLongestEnd;
    while (callers_.active() > 0 && testbed_.now() < cutOff) testbed_.runUntil(testbed_.now() + Span::ms(250));
    testbed_.runUntil(testbed_.now() + kSettle);

    Report report;
    report.unfinished = callers_.active();
    for (std::size_t i = 0; i < count; ++i) {
      report.offices.push_back(testbed_.ask(static_cast<int>(i), "thistlefold status 1\n").value_or(""));
      report.zones.push_back(testbed_.ask(static_cast<int>(i), "thistlefold zones 1\n").value_or(""));
    }
    // The last five minutes to each zone, for reports of the run.
    for (std::size_t i = 0; i < count; ++i) {
      for (const std::string& zone : fleet_.zones()) {
        if (zone == fleet_.places[i].zone) continue;
        const auto series = testbed_.ask(static_cast<int>(i), "thistlefold series 1 second " + zone + "\n");
        if (series) report.series.push_back(*series);
      }
    }
    for (std::size_t i = 0; i < count; ++i) {
      note("stop " + fleet_.places[i].name);
      testbed_.stopOffice(static_cast<int>(i));
    }
    testbed_.runUntil(testbed_.now() + Span::ms(500));
    capture_.close();
    report.seconds_taken = (testbed_.now() - begin_).ms() / 1000;
    gather(report);
    report.findings = audit::audit(fleet_, capturePath, testbed_.tolerance());
    compareCrossings(report);
    return report;
  }

 private:
  void gather(Report& report) {
    report.day = plan_.name;
    for (const OfferedService& offer : fleet_.offeredServices) report.services.push_back(offer.name);
    report.served = callers_.served();
    report.seconds = callers_.seconds();
    report.refusals = callers_.refusals();
    report.faults = told_;
    std::vector<float> delays = callers_.delays();
    std::sort(delays.begin(), delays.end());
    if (!delays.empty()) {
      report.p50 = delays[delays.size() / 2];
      report.p99 = delays[delays.size() * 99 / 100];
    }
    for (const auto& one : processors_) report.fallen += one != nullptr && one->fallen();
    report.fallen += fallenBefore_;
    // Both ends of each group, by their own accounts.
    std::map<std::pair<std::string, std::string>, std::int64_t> free;
    for (const std::string& account : report.offices) {
      if (account.empty()) continue;
      const auto read = boost::json::parse(account).as_object();
      for (const auto& exchange : read.at("exchanges").as_array()) {
        const auto& one = exchange.as_object();
        free[{std::string(read.at("office").as_string()), std::string(one.at("exchange").as_string())}] =
            one.at("free").to_number<std::int64_t>();
      }
    }
    for (const Group& group : fleet_.groups) {
      const std::string& a = fleet_.places[static_cast<std::size_t>(group.a)].name;
      const std::string& b = fleet_.places[static_cast<std::size_t>(group.b)].name;
      if (!free.contains({a, b}) || !free.contains({b, a})) continue;
      const auto here = free[{a, b}], there = free[{b, a}];
      if (here != there || here != group.circuits) {
        report.disagree.push_back(a + " and " + b + ": " + std::to_string(here) + " and " + std::to_string(there) +
                                  " of " + std::to_string(group.circuits) + " free");
      }
    }
  }

  /// What offices counted against what went over the sockets.
  void compareCrossings(Report& report) const {
    for (const zones::Budget& budget : plan_.fleet.budgets) compareBudget(report, budget);
    report.crossingsChecked = true;
    report.unaccounted = report.findings.unaccounted;
    std::map<audit::ZoneLeg, audit::ZoneLegCounts> told;
    for (const std::string& account : report.zones) {
      if (account.empty()) report.crossingsChecked = false;
      if (account.empty()) continue;
      const boost::json::value read = boost::json::parse(account);
      for (const char* part : {"cells", "inherited"})
        for (const auto& cell : read.at(part).as_array()) {
          const auto word = [&](const char* field) { return std::string(cell.at(field).as_string()); };
          audit::ZoneLegCounts& sums = told[{word("from"), word("to"), word("service"), word("part")}];
          sums.invites += cell.at("invites").to_number<std::uint64_t>();
          sums.stood += cell.at("stood").to_number<std::uint64_t>();
        }
    }
    if (!report.crossingsChecked) return;
    auto seen = report.findings.remembered;
    for (const auto& [crossing, sums] : told) seen[crossing];
    for (const auto& [crossing, sums] : seen) {
      const audit::ZoneLegCounts& counted = told[crossing];
      if (counted == sums) continue;
      report.crossings.push_back(crossing.from + " to " + crossing.to + ", " + crossing.service + ", " + crossing.part +
                                 ": offices counted " + std::to_string(counted.invites) + " INVITEs and " +
                                 std::to_string(counted.stood) + " stood, the capture has " +
                                 std::to_string(sums.invites) + " and " + std::to_string(sums.stood));
    }
  }

  /// What was out at any time against what the budget was then.
  void compareBudget(Report& report, const zones::Budget& budget) const {
    const auto names = fleet_.zones();
    const auto& from = names[static_cast<std::size_t>(budget.from)];
    const auto& to = names[static_cast<std::size_t>(budget.to)];
    const auto found = report.findings.out.find({from, to});
    int whole = budget.circuits, most = 0, out = 0, letBe = 0;
    Instant obeyedFrom = Instant::longAgo();
    std::size_t next = 0;
    static const std::vector<std::pair<Instant, int>> kNone;
    const auto& changes = found == report.findings.out.end() ? kNone : found->second;
    const auto tell = [&] {
      report.budgets.push_back(from + " to " + to + ": " + std::to_string(most) + " circuits out at once at most, of " +
                               std::to_string(whole) +
                               (letBe > whole ? ", with " + std::to_string(letBe) + " out when it was lowered" : ""));
    };
    bool passed = false;
    for (const auto& [at, now] : changes) {
      for (; next < changes_.size() && changes_[next].at <= at; ++next) {
        const Change& change = changes_[next];
        if (change.from != budget.from || change.to != budget.to) continue;
        tell();
        // What stood is left to end, or is ended, which takes the far ends' word.
        letBe = std::max(out, change.circuits);
        whole = change.circuits;
        most = 0;
        obeyedFrom = budget.overrun == zones::Overrun::end ? change.at + kEndsWithin : Instant::never();
      }
      out = now;
      if (at >= obeyedFrom && obeyedFrom != Instant::longAgo()) letBe = 0;
      most = std::max(most, now);
      if (now > std::max(whole, letBe) && !std::exchange(passed, true)) {
        report.crossings.push_back("budget passed: " + from + " to " + to + ": " + std::to_string(now) +
                                   " circuits out, of " + std::to_string(whole) + ", " +
                                   std::to_string((at - begin_).ms()) + " ms into the day");
      }
    }
    tell();
  }

  void note(const std::string& text) { capture_.note(testbed_.now(), text); }
  void tell(const std::string& text) {
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << (testbed_.now() - begin_).ms() / 1000 << " s  " << text;
    told_.push_back(line.str());
  }
  const std::string& name(int place) const { return fleet_.places[static_cast<std::size_t>(place)].name; }
  SimulatedExchange& processor(int place) { return *processors_[static_cast<std::size_t>(place)]; }
  double lot() { return std::generate_canonical<double, 53>(chance_); }

  // ---- Exchanges

  void startProcessor(int place, bool warm) {
    ProcessorModel model = plan_.processor;
    model.setUpWork = 1000 / fleet_.places[static_cast<std::size_t>(place)].setUpsPerSecond;
    model.followWork *= model.setUpWork;
    model.turnAwayWork *= model.setUpWork;
    model.lines[massCalled(fleet_, place)] = plan_.lines;
    auto& at = processors_[static_cast<std::size_t>(place)];
    at = std::make_unique<SimulatedExchange>(model, plan_.seed + static_cast<std::uint64_t>(place), testbed_.now(),
                                             warm);
    testbed_.place(processorIdentity(place), *at);
    if (!warm) note("processor-started " + name(place));
  }
  void stopProcessor(int place) {
    auto& at = processors_[static_cast<std::size_t>(place)];
    if (at == nullptr) return;
    testbed_.remove(processorIdentity(place));
    fallenBefore_ += at->fallen();
    // Its coroutines may still be about to end.
    testbed_.at(testbed_.now() + Span::ms(5), [gone = std::shared_ptr<SimulatedExchange>(std::move(at))] {});
  }
  void learns(int place, Readiness readiness, Span notice) {
    const auto& at = processors_[static_cast<std::size_t>(place)];
    if (at != nullptr) marks_[place] = at->mark();
    directory_->learns(testbed_.now(), place, readiness, marks_[place], notice);
    testbed_.wakeUp(kDirectory);
  }
  /// Dies now, is back cold after `down`.
  void crash(int place, Span down) {
    stopProcessor(place);
    learns(place, Readiness::gone, plan_.notice);
    testbed_.at(testbed_.now() + down, [this, place] {
      if (processors_[static_cast<std::size_t>(place)] != nullptr) return;
      startProcessor(place, false);
      learns(place, Readiness::ready, plan_.notice * 0.5);
      tell(name(place) + " back, cold");
    });
  }

  // ---- Troubles

  void strike(const Fault& one) {
    std::string whom;
    for (const int place : one.places) whom += " " + name(place);
    tell(one.words + (whom.empty() ? "" : " at" + whom));
    note("trouble " + one.words);
    const Instant end = testbed_.now() + one.lasts;
    const auto later = [&](std::function<void()> what) { testbed_.at(end, std::move(what)); };
    switch (one.kind) {
      case Fault::Kind::hang:
        each(one, [&](int place) {
          processor(place).hang(testbed_.now(), true);
          later([this, place] { whileUp(place, [&] { processor(place).hang(testbed_.now(), false); }); });
        });
        break;
      case Fault::Kind::slow:
        each(one, [&](int place) {
          processor(place).slow(one.size);
          later([this, place] { whileUp(place, [&] { processor(place).slow(1); }); });
        });
        break;
      case Fault::Kind::age:
        each(one, [&](int place) { age(place, Span::ms(one.size), end, 1, processor(place).mark()); });
        break;
      case Fault::Kind::crash:
        each(one, [&](int place) { crash(place, one.lasts); });
        break;
      case Fault::Kind::vanish:
        // The directory takes longer to see that a machine is gone than that a process is.
        each(one, [&](int place) {
          stopProcessor(place);
          learns(place, Readiness::gone, plan_.notice * 2.0);
          later([this, place] {
            if (processors_[static_cast<std::size_t>(place)] != nullptr) return;
            startProcessor(place, false);
            learns(place, Readiness::ready, plan_.notice * 0.5);
            tell(name(place) + " back, cold");
          });
        });
        break;
      case Fault::Kind::replace:
        each(one, [&](int place) {
          learns(place, Readiness::draining, kDirectoryPath);
          later([this, place] {
            if (processors_[static_cast<std::size_t>(place)] == nullptr) return;
            stopProcessor(place);
            startProcessor(place, false);
            learns(place, Readiness::ready, plan_.notice * 0.5);
            tell(name(place) + " replaced, cold");
          });
        });
        break;
      case Fault::Kind::cut:
        each(one, [&](int place) { processor(place).lose(testbed_.now(), one.size); });
        for (const int place : one.places) testbed_.wakeUp(processorIdentity(place));
        break;
      case Fault::Kind::freeze:
        for (const int place : one.places) {
          if (down_.contains(place) || !frozen_.insert(place).second) continue;
          note("freeze " + name(place));
          testbed_.freezeOffice(place, true);
          later([this, place] {
            if (frozen_.erase(place) == 0) return;
            testbed_.freezeOffice(place, false);
            note("thaw " + name(place));
          });
        }
        break;
      case Fault::Kind::kill:
        for (const int place : one.places) {
          if (!down_.insert(place).second) continue;
          if (frozen_.erase(place) > 0) testbed_.freezeOffice(place, false);
          note("kill " + name(place));
          testbed_.killOffice(place);
          later([this, place] {
            note("start " + name(place));
            testbed_.startOffice(place, plan_.seed + static_cast<std::uint64_t>(place) + 1000);
            down_.erase(place);
            tell("office " + name(place) + " started again");
          });
        }
        break;
      case Fault::Kind::network:
        faults_.push_back(&one);
        later([this, &one] { std::erase(faults_, &one); });
        break;
      case Fault::Kind::directory:
        directory_->failUntil(end);
        break;
      case Fault::Kind::budget:
        for (zones::Budget& budget : fleet_.budgets) {
          if (budget.from != one.from || budget.to != one.to) continue;
          budget.circuits = static_cast<int>(one.size);
          // Guarantees that are more than the budget would keep all others out.
          int guaranteed = 0;
          for (const zones::ClassShare& share : budget.classes) guaranteed += share.guaranteed;
          for (zones::ClassShare& share : budget.classes) {
            if (guaranteed > budget.circuits) share.guaranteed = share.guaranteed * budget.circuits / guaranteed;
            if (share.most) share.most = std::max(*share.most, share.guaranteed);
          }
        }
        changes_.push_back({testbed_.now(), one.from, one.to, static_cast<int>(one.size)});
        testbed_.budgets(fleet_.budgets);
        break;
      case Fault::Kind::loseCircuits:
        loseCircuits(one, one.size);
        later([this, &one] { loseCircuits(one, 1); });
        break;
      case Fault::Kind::burst:
      case Fault::Kind::hotCaller:
      case Fault::Kind::massCall:
        break;  // in the traffic already
    }
  }

  template <typename What>
  void each(const Fault& one, What what) {
    for (const int place : one.places) whileUp(place, [&] { what(place); });
  }
  template <typename What>
  void whileUp(int place, What what) {
    if (processors_[static_cast<std::size_t>(place)] == nullptr) return;
    what();
    testbed_.wakeUp(processorIdentity(place));
  }

  void age(int place, Span doubling, Instant end, double times, std::uint64_t mark) {
    const auto& at = processors_[static_cast<std::size_t>(place)];
    if (at == nullptr || at->mark() != mark) return;
    if (testbed_.now() >= end) return crash(place, Span::ms(1000));
    at->slow(times);
    testbed_.at(std::min(end, testbed_.now() + doubling),
                [this, place, doubling, end, times, mark] { age(place, doubling, end, times * 2, mark); });
  }

  void loseCircuits(const Fault& one, double keep) {
    for (const Group& group : fleet_.groups) {
      const auto inside = [&](int place) {
        return std::find(one.places.begin(), one.places.end(), place) != one.places.end();
      };
      if (inside(group.a) == inside(group.b) && one.places.size() > 1) continue;
      if (!inside(group.a) && !inside(group.b)) continue;
      directory_->resized(testbed_.now(), {group.a, group.b, static_cast<int>(std::ceil(keep * group.circuits))});
    }
    testbed_.wakeUp(kDirectory);
  }

  // ---- The network

  std::vector<Span> impairment(iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes) {
    const auto a = placeOf_.find(from), b = placeOf_.find(to);
    const bool between = a != placeOf_.end() && b != placeOf_.end();
    Span base = Span::ms(0.5);                                    // callers sit beside their office
    if (between && a->second == b->second) base = Span::ms(0.1);  // an office beside its exchange
    if (between && a->second != b->second) {
      const auto& places = fleet_.places;
      base = places[static_cast<std::size_t>(a->second)].zone == places[static_cast<std::size_t>(b->second)].zone
                 ? plan_.network.sameZone
                 : plan_.network.crossZone;
    }
    if (from == kDirectory || to == kDirectory) base = kDirectoryPath;
    double loss = plan_.network.loss, twice = 0, late = 0, cutShort = 0;
    Span lateBy;
    for (const Fault* fault : faults_) {
      if (!fault->others.empty()) {
        const auto in = [&](const std::vector<int>& side, auto it) {
          return it != placeOf_.end() && std::find(side.begin(), side.end(), it->second) != side.end();
        };
        const bool there = in(fault->places, a) && in(fault->others, b);
        const bool back = in(fault->places, b) && in(fault->others, a);
        if (!there && !back) continue;
      }
      loss = std::max(loss, fault->loss);
      twice = std::max(twice, fault->twice);
      late = std::max(late, fault->late);
      cutShort = std::max(cutShort, fault->cutShort);
      lateBy = std::max(lateBy, fault->lateBy);
    }
    const auto delay = [&] {
      Span span = base * (1 + plan_.network.jitter * lot());
      if (late > 0 && lot() < late) span = span + lateBy * lot();
      return span;
    };
    if (loss > 0 && lot() < loss) return {};
    if (cutShort > 0 && lot() < cutShort && bytes.size() > 1) {
      bytes.resize(1 + static_cast<std::size_t>(lot() * static_cast<double>(bytes.size() - 1)));
    }
    std::vector<Span> copies{delay()};
    if (twice > 0 && lot() < twice) copies.push_back(delay());
    return copies;
  }

  const DayPlan& plan_;
  Testbed& testbed_;
  capture::Writer capture_;
  std::mt19937_64 chance_;
  Fleet fleet_;  // with identities for addresses
  SimulatedCallers callers_;
  std::unique_ptr<SimulatedDirectory> directory_;
  std::vector<std::unique_ptr<SimulatedExchange>> processors_;
  std::map<iax2::Address, int> placeOf_;
  std::map<int, std::uint64_t> marks_;
  std::set<int> frozen_, down_;
  std::vector<const Fault*> faults_;
  std::vector<std::string> told_;
  struct Change {
    Instant at;
    int from, to, circuits;
  };
  std::vector<Change> changes_;  // of budgets
  std::size_t fallenBefore_ = 0;
  Instant begin_;
};

}  // namespace

double Report::service() const {
  double value = 0, earned = 0;
  for (const auto& one : served) {
    value += one.value;
    earned += one.earned;
  }
  return value > 0 ? earned / value : 0;
}

Report play(const DayPlan& plan, Testbed& testbed, const std::string& capturePath) {
  auto player = std::make_unique<Player>(plan, testbed, capturePath);
  Report report = player->play(capturePath);
  // Stations leave before they are destroyed.
  testbed.remove(kCallers);
  testbed.remove(kDirectory);
  for (std::size_t i = 0; i < plan.fleet.places.size(); ++i) testbed.remove(processorIdentity(static_cast<int>(i)));
  testbed.runUntil(testbed.now() + Span::ms(20));
  return report;
}

std::string describe(const Report& r) {
  std::ostringstream out;
  out << "day " << r.day << " (simulated exchanges and callers)\n\n";
  for (const std::string& one : r.faults) out << "  " << one << '\n';
  out << '\n' << std::left << std::setw(18) << "service" << std::right;
  for (const char* head : {"offered", "stood", "late", "refused", "failed", "cut", "tries", "value"}) {
    out << std::setw(9) << head;
  }
  out << '\n' << std::fixed;
  for (std::size_t i = 0; i < r.served.size(); ++i) {
    const auto& s = r.served[i];
    out << std::left << std::setw(18) << r.services[i] << std::right;
    for (const auto count : {s.offered, s.stood, s.late, s.refused, s.failed, s.cut, s.tries}) {
      out << std::setw(9) << count;
    }
    out << std::setw(8) << std::setprecision(1) << (s.value > 0 ? 100 * s.earned / s.value : 0) << "%\n";
  }
  out << "\nservice " << std::setprecision(3) << r.service() << "   post-dial delay p50 " << std::setprecision(1)
      << r.p50 << " ms, p99 " << r.p99
      << " ms\nservice by second (value earned over offered, tenths; . is none offered)\n  ";
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const auto& s = r.seconds[i];
    out << (s.value <= 0                  ? '.'
            : s.earned >= s.value * 0.995 ? '*'
                                          : static_cast<char>('0' + static_cast<int>(10 * s.earned / s.value)));
    if (i % 60 == 59) out << "\n  ";
  }
  out << "\nrefusals by cause code:";
  for (const auto& [cause, count] : r.refusals) out << "  " << cause << ": " << count;
  std::map<std::string, std::int64_t> sums;
  for (const std::string& account : r.offices) {
    if (account.empty()) continue;
    const boost::json::value read = boost::json::parse(account);
    for (const auto& [key, value] : read.as_object()) {
      if (value.is_int64()) sums[std::string(key)] += value.as_int64();
    }
  }
  out << "\ndecisions by the offices' own account (those running at the end):\n";
  for (const char* key : {"dialled", "invites", "two_leg", "turned_back", "no_circuit", "timed_out", "reset", "stood",
                          "refused", "abandoned", "cut"}) {
    out << "  " << key << ' ' << sums[key];
  }
  out << "\n\n" << audit::describe(r.findings);
  for (const std::string& one : r.disagree) out << "ends disagree: " << one << '\n';
  if (r.disagree.empty()) out << "trunk groups: both ends agree, all circuits free\n";
  for (const std::string& one : r.budgets) out << "budget " << one << '\n';
  for (const std::string& one : r.crossings) out << "cross-zone accounts differ: " << one << '\n';
  if (r.crossings.empty()) {
    out << "cross-zone accounts: "
        << (r.crossingsChecked ? "equal to the capture to the unit" : "not compared, an office gave none");
    if (r.unaccounted > 0)
      out << "; " << r.unaccounted << " INVITEs of killed offices had reached nobody who still runs";
    out << '\n';
  }
  if (r.unfinished > 0) out << r.unfinished << " sessions were not over when the day was cut off\n";
  if (r.fallen > 0) out << r.fallen << " exchanges were pushed over\n";
  out << (r.good() ? "GOOD: no rule broken, all sessions accounted for\n" : "NOT GOOD\n");
  return out.str();
}

std::string json(const Report& r) {
  namespace json = boost::json;
  json::object out;
  out["day"] = r.day;
  out["good"] = r.good();
  out["service"] = r.service();
  out["p50_ms"] = r.p50;
  out["p99_ms"] = r.p99;
  json::array services;
  for (std::size_t i = 0; i < r.served.size(); ++i) {
    const auto& s = r.served[i];
    services.push_back(json::object{{"service", r.services[i]},
                                    {"offered", s.offered},
                                    {"stood", s.stood},
                                    {"late", s.late},
                                    {"refused", s.refused},
                                    {"failed", s.failed},
                                    {"cut", s.cut},
                                    {"tries", s.tries},
                                    {"value", s.value},
                                    {"earned", s.earned}});
  }
  out["services"] = std::move(services);
  json::array seconds;
  for (const auto& s : r.seconds)
    seconds.push_back(s.value > 0 ? json::value(s.earned / s.value) : json::value(nullptr));
  out["by_second"] = std::move(seconds);
  json::array faults, disagree, offices, zones, crossings, series;
  for (const auto& one : r.series) series.push_back(json::parse(one));
  out["series"] = std::move(series);
  for (const auto& one : r.faults) faults.emplace_back(one);
  for (const auto& one : r.disagree) disagree.emplace_back(one);
  for (const auto& one : r.offices) offices.push_back(one.empty() ? json::value(nullptr) : json::parse(one));
  for (const auto& one : r.zones) zones.push_back(one.empty() ? json::value(nullptr) : json::parse(one));
  for (const auto& one : r.crossings) crossings.emplace_back(one);
  out["zones"] = std::move(zones);
  out["crossings_differ"] = std::move(crossings);
  out["crossings_checked"] = r.crossingsChecked;
  out["troubles"] = std::move(faults);
  out["disagree"] = std::move(disagree);
  out["offices"] = std::move(offices);
  out["audit"] = json::parse(audit::json(r.findings));
  return json::serialize(out);
}

}  // namespace thistlefold::day
