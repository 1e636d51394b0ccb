// Plays scenarios/*.txt against the module and scenarios/*.wire against the adapter. The notation is
// described in scenarios/README.md.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "bench_adapter.hpp"
#include "thistlefold/controller.hpp"

namespace {

using namespace thistlefold;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Scenario final : public RoundEvents, public DecisionSink {
 public:
  void line(const std::string& text) {
    std::istringstream statements(text[0] == '#' ? "" : text);
    for (std::string one; std::getline(statements, one, ';');) statement(one);
  }

  void statement(const std::string& text) {
    std::istringstream words(text);
    std::string verb;
    if (!(words >> verb)) return;
    if (verb == "=>") {
      std::string wanted;
      std::getline(words >> std::ws, wanted);
      if (wanted != "nothing") wanted_ += wanted + "; ";
      checked_ = true;
    } else if (verb == "at" || verb == "stall") {
      finish();
      const Instant next = Instant::ms(number(words));
      while (verb == "at" && wakeAt_ < next) {
        now_ = wakeAt_;
        round();
      }
      now_ = next;
    } else if (controller_ == nullptr && set(verb, words)) {
    } else {
      event(verb, words);
    }
    std::string rest;
    if (verb != "=>" && words >> rest) throw Malformed("not understood: " + rest);
  }

  void finish() {
    if (events_.empty() && !checked_) return;
    if (controller_ == nullptr) {
      controller_ = makeController(data_, 1);
      events_.insert(events_.begin(), exchangesListed_.begin(), exchangesListed_.end());
    }
    round();
  }

  int checks() const { return checks_; }

  void deliver(Controller& controller) override {
    for (const auto& event : events_) event(controller);
  }
  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override {
    decide("invite ", name(sessions_, session), ' ', name(exchanges_, to), ' ', giveUpAfter.ms());
  }
  void rejectBusy(const Session& session, Span retryAfter) override {
    decide("busy ", name(sessions_, session), ' ', retryAfter.ms());
  }
  void failUncertain(const Session& session) override { decide("surrender ", name(sessions_, session)); }
  void scheduleWakeUp(Span delay) override { wakeAt_ = std::min(wakeAt_, now_ + delay); }
  void subscribe() override { decide("subscribe"); }

 private:
  template <typename T>
  static std::string name(const std::map<std::string, T>& all, const T& one) {
    for (const auto& [key, value] : all) {
      if (&value == &one) return key;
    }
    return "?";
  }
  void listAtStart(const std::string& key, double free, double size) {
    Exchange& made = exchanges_[key];
    made.place = static_cast<int>(exchanges_.size());
    exchangesListed_.push_back([&made, free, size](Controller& controller) {
      controller.exchangeListed(made, Readiness::ready, Instant::distantPast());
      if (size >= 0) controller.circuitsChanged(made, free, size);
    });
  }
  template <typename... Parts>
  void decide(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    decided_ += text.str() + "; ";
  }
  template <typename T>
  static T read(std::istream& words, const char* wanted) {
    T value{};
    if (!(words >> value)) throw Malformed(std::string(wanted) + " is wanted");
    return value;
  }
  static double number(std::istream& words) { return read<double>(words, "a number"); }
  static std::string word(std::istream& words) { return read<std::string>(words, "a word"); }
  static Span span(std::istream& words) { return Span::ms(number(words)); }
  template <typename T>
  static T& known(std::map<std::string, T>& all, std::istream& words, const char* kind) {
    const auto it = all.find(word(words));
    if (it == all.end()) throw Malformed(std::string("no such ") + kind);
    return it->second;
  }
  Exchange& exchange(std::istream& words) { return known(exchanges_, words, "exchange"); }
  Session& session(std::istream& words) { return known(sessions_, words, "session"); }

  // Decisions of a round that came by alarm alone show up as unexpected ones.
  void round() {
    wakeAt_ = Instant::never();
    controller_->round(now_, *this, *this);
    if (checked_ || events_.empty()) CHECK(decided_ == wanted_);
    checks_ += checked_ ? 1 : 0;
    checked_ = false;
    events_.clear();
    decided_.clear();
    wanted_.clear();
  }
  bool set(const std::string& verb, std::istream& words) {
    if (verb == "office") {
      line("service call 1 0.25 1500 9000; invites 6; clear-wait 300; retry-after 2000; own Here");
    } else if (verb == "service") {
      services_[word(words)] = data_.services.size();
      Service service;
      service.value = number(words);
      service.lateValue = number(words);
      service.postDialTarget = span(words);
      service.timerLimit = span(words);
      service.meanHold = Span::ms(10000);
      data_.services.push_back(service);
    } else if (verb == "exchange") {
      const std::string key = word(words);
      const double free = number(words);
      listAtStart(key, free, number(words));
    } else if (verb == "fleet") {
      const double count = number(words);
      const double free = number(words);
      const double size = number(words);
      for (int i = 1; i <= count; ++i) listAtStart("F" + std::to_string(i), free, size);
    } else if (verb == "own") {
      Exchange& made = exchanges_[word(words)];
      made.own = true;
      exchangesListed_.push_back([&made](Controller& controller) {
        controller.exchangeListed(made, Readiness::ready, Instant::distantPast());
      });
    } else if (verb == "pools") {
      data_.usesPools = true;
    } else if (verb == "skill") {
      Service& service = data_.services.at(known(services_, words, "service"));
      service.pools.push_back(exchange(words).place);
    } else if (verb == "unrepeatable") {
      data_.services.back().repeatable = false;
    } else if (verb == "invites") {
      data_.maxInvites = static_cast<int>(number(words));
    } else if (verb == "clear-wait") {
      data_.releaseTime = span(words);
    } else if (verb == "repeat") {
      data_.retransmitAfter = span(words);
    } else if (verb == "retry-after") {
      data_.honoursRetryAfter = true;
      data_.longestRetryAfter = span(words);
    } else if (verb == "cold") {
      data_.coldCapacityShare = number(words);
      data_.overloadFactor = number(words);
      data_.overloadWindow = span(words);
      data_.warmUpTime = span(words);
    } else if (verb == "ask-within") {
      data_.mustSubscribe = true;
      data_.listStaleAfter = span(words);
    } else {
      return false;
    }
    return true;
  }

  // session NAME SERVICE EXCHANGE LIMIT [width W] [number N] [transit] [cut]
  void take(std::istream& words) {
    Session& made = sessions_[word(words)];
    made.service = &data_.services.at(known(services_, words, "service"));
    made.destination = &exchange(words);
    made.timerLimit = now_ + span(words);
    made.dialledNumber = sessions_.size();
    for (std::string mark; words >> mark;) {
      if (mark == "width") {
        made.width = number(words);
      } else if (mark == "number") {
        made.dialledNumber = static_cast<std::uint64_t>(number(words));
      } else if (mark == "transit") {
        made.transit = true;
      } else if (mark == "cut") {
        made.isReconnect = true;
      } else {
        throw Malformed("not understood: " + mark);
      }
    }
    events_.push_back([&made](Controller& controller) { controller.sessionArrived(made); });
  }

  // ended SESSION EXCHANGE HOW [WAIT]
  void end(std::istream& words) {
    static const std::map<std::string, std::pair<InviteOutcome, BlockingReason>> hows{
        {"ok", {InviteOutcome::released, BlockingReason::none}},
        {"timed-out", {InviteOutcome::timedOut, BlockingReason::none}},
        {"reset", {InviteOutcome::reset, BlockingReason::none}},
        {"cut", {InviteOutcome::reset, BlockingReason::none}},
        {"unreachable", {InviteOutcome::unreachable, BlockingReason::none}},
        {"line-busy", {InviteOutcome::failed, BlockingReason::lineBusy}},
        {"no-circuit", {InviteOutcome::notSent, BlockingReason::noCircuit}},
        {"no-agent", {InviteOutcome::overloaded, BlockingReason::noCircuit}},
        {"turned-back", {InviteOutcome::overloaded, BlockingReason::turnedBack}},
        {"far-processor-full", {InviteOutcome::overloaded, BlockingReason::turnedBack}},
        {"processor-full", {InviteOutcome::overloaded, BlockingReason::processorFull}}};
    Session& which = session(words);
    Exchange& at = exchange(words);
    const std::string how = word(words);
    if (!hows.contains(how)) throw Malformed("no such ending");
    const Span told = how == "processor-full" ? span(words) : Span::none();
    const auto [ending, reason] = hows.at(how);
    const bool far = how == "far-processor-full";
    const bool final = how == "ok" || how == "cut";
    events_.push_back([&which, &at, ending = ending, reason = reason, far, told, final](Controller& controller) {
      controller.inviteEnded(which, at, ending, reason, far, told, final);
    });
  }

  void event(const std::string& verb, std::istream& words) {
    if (verb == "session") {
      take(words);
    } else if (verb == "again") {
      Session& which = session(words);
      events_.push_back([&which](Controller& controller) { controller.sessionArrived(which); });
    } else if (verb == "accepted") {
      Session& which = session(words);
      const Span delay = span(words);
      events_.push_back([&which, delay](Controller& controller) { controller.inviteAccepted(which, delay); });
    } else if (verb == "ended") {
      end(words);
    } else if (verb == "abandoned") {
      Session& which = session(words);
      events_.push_back([&which](Controller& controller) { controller.sessionAbandoned(which); });
    } else if (verb == "circuits") {
      Exchange& which = exchange(words);
      const double free = number(words);
      const double size = number(words);
      events_.push_back([&which, free, size](Controller& to) { to.circuitsChanged(which, free, size); });
    } else if (verb == "can-take") {
      Exchange& which = exchange(words);
      const double rate = number(words);
      events_.push_back([&which, rate](Controller& to) { to.capacityReported(which, rate); });
    } else if (verb == "ready" || verb == "draining" || verb == "gone") {
      Exchange& which = exchange(words);
      const Instant started = verb == "ready" ? now_ : Instant::distantPast();
      const Readiness now = verb == "ready" ? Readiness::ready : verb == "gone" ? Readiness::gone : Readiness::draining;
      events_.push_back([&which, now, started](Controller& to) { to.exchangeListed(which, now, started); });
    } else if (verb == "list-failed") {
      events_.push_back([](Controller& controller) { controller.listFailed(); });
    } else if (verb == "wake") {
      events_.push_back([](Controller&) {});
    } else {
      throw Malformed("no such event: " + verb);
    }
  }

  OfficeConfig data_;
  std::map<std::string, std::size_t> services_;
  std::map<std::string, Exchange> exchanges_;
  std::map<std::string, Session> sessions_;
  std::vector<std::function<void(Controller&)>> exchangesListed_;
  std::vector<std::function<void(Controller&)>> events_;
  std::string decided_;
  std::string wanted_;
  std::unique_ptr<Controller> controller_;
  Instant now_;
  Instant wakeAt_ = Instant::never();
  bool checked_ = false;
  int checks_ = 0;
};

class WireScenario {
 public:
  void line(const std::string& text) {
    if (text.empty() || text[0] == '#') return;
    const std::string rest = text.size() > 2 ? text.substr(2) : "";
    if (text[0] == '<') {
      try {
        reply_ = adapter_.answer(rest);
      } catch (const bench_adapter::ParseError& fault) {
        reply_ = std::string("! ") + fault.what();
      }
    } else if (text[0] == '>') {
      CHECK(reply_ == rest);
      ++checks_;
    } else {
      throw Malformed("a line starts with <, > or #");
    }
  }
  void finish() {}
  int checks() const { return checks_; }

 private:
  bench_adapter::BenchAdapter adapter_;
  std::string reply_;
  int checks_ = 0;
};

template <typename Kind>
int play(std::istream& lines, const std::string& file) {
  Kind scenario;
  std::string text;
  int number = 0;
  try {
    while (std::getline(lines, text)) {
      ++number;
      INFO(file << ":" << std::to_string(number));
      scenario.line(text);
    }
    INFO(file << ": last round");
    scenario.finish();
  } catch (const Malformed& fault) {
    throw Malformed(file + ':' + std::to_string(number) + ": " + fault.what());
  }
  return scenario.checks();
}

}  // namespace

TEST_CASE("scenarios") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator("scenarios")) {
    const auto kind = entry.path().extension();
    if (kind == ".txt" || kind == ".wire") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  REQUIRE(!files.empty());
  for (const auto& path : files) {
    SUBCASE(path.filename().c_str()) {
      std::ifstream file(path);
      const std::string name = path.filename().string();
      const int checks = path.extension() == ".txt" ? play<Scenario>(file, name) : play<WireScenario>(file, name);
      CHECK_MESSAGE(checks > 0, name << " expects nothing");
    }
  }
}

TEST_CASE("a malformed scenario fails with file and line") {
  std::istringstream lines("service call 1 0 1500 9000\nat 0\nsession s call Nowhere 3000\n");
  CHECK_THROWS_WITH_AS(play<Scenario>(lines, "x.txt"), "x.txt:3: no such exchange", Malformed);
}

TEST_CASE("what callers dial fills no table without end") {
  constexpr int kMost = 4096;
  const auto each = [](Scenario& scenario, auto line) {
    for (int i = 0; i <= kMost; ++i) scenario.line(line(std::to_string(i)));
  };
  Scenario refusals;
  refusals.line("office; exchange B 0 20");
  refusals.line("at 1000");
  each(refusals,
       [](const std::string& n) { return "session s" + n + " call B 3000 number " + n + "; => busy s" + n + " 900"; });
  // The oldest is forgotten and its redial a first try; the newest is owed what is left of its target.
  refusals.line(
      "at 1100; session x call B 3000 number 0; session y call B 3000 number 4096; => busy x 900; => busy y 840");
  refusals.finish();
  Scenario numbers;
  numbers.line("office; exchange B 9000 9000");
  numbers.line("at 1000");
  each(numbers, [](const std::string& n) {
    return "session s" + n + " call B 3000 number " + n + "; => invite s" + n + " B 1500";
  });
  numbers.line("at 1010");
  each(numbers, [](const std::string& n) { return "ended s" + n + " B line-busy; => busy s" + n + " 2000"; });
  // All that are noted are held back; the one past the bound is tried. The oldest refusal is forgotten here too.
  numbers.line(
      "at 1020; session x call B 3000 number 0; session y call B 3000 number 4096; => busy x 900; => invite y B 1480");
  numbers.finish();
}
