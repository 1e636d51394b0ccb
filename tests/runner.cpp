// Runs scenarios/*.txt against the controller and scenarios/*.wire against the bench adapter. scenarios/README.md
// describes the notation.
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

/// A scenario file that violates the notation.
struct MalformedScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Plays a *.txt file: feeds its events to one controller and compares the decisions of each round.
class Scenario final : public RoundEvents, public DecisionSink {
 public:
  void readLine(const std::string& text) {
    std::istringstream statements(text[0] == '#' ? "" : text);
    for (std::string statement; std::getline(statements, statement, ';');) readStatement(statement);
  }

  void readStatement(const std::string& text) {
    std::istringstream words(text);
    std::string keyword;
    if (!(words >> keyword)) return;
    if (keyword == "=>") {
      std::string expected;
      std::getline(words >> std::ws, expected);
      if (expected != "nothing") expected_ += expected + "; ";
      hasExpectation_ = true;
    } else if (keyword == "at" || keyword == "stall") {
      finish();
      const Instant next = Instant::ms(readNumber(words));
      while (keyword == "at" && wakeUpAt_ < next) {
        now_ = wakeUpAt_;
        playRound();
      }
      now_ = next;
    } else if (controller_ == nullptr && readSetting(keyword, words)) {
    } else {
      readEvent(keyword, words);
    }
    std::string rest;
    if (keyword != "=>" && words >> rest) throw MalformedScenario("unexpected text: " + rest);
  }

  /// Plays the round that was opened by the last `at` or `stall`, if it has any event or expectation.
  void finish() {
    if (events_.empty() && !hasExpectation_) return;
    if (controller_ == nullptr) {
      controller_ = makeController(config_, 1);
      events_.insert(events_.begin(), initialEvents_.begin(), initialEvents_.end());
    }
    playRound();
  }

  /// Number of expectations that were compared.
  int checks() const { return checks_; }

  void deliver(Controller& controller) override {
    for (const auto& event : events_) event(controller);
  }
  void invite(const Session& session, const Exchange& to, Span answerTimeout) override {
    recordDecision("invite ", nameOf(sessions_, session), ' ', nameOf(exchanges_, to), ' ', answerTimeout.ms());
  }
  void rejectBusy(const Session& session, Span retryAfter) override {
    recordDecision("busy ", nameOf(sessions_, session), ' ', retryAfter.ms());
  }
  void failUncertain(const Session& session) override { recordDecision("surrender ", nameOf(sessions_, session)); }
  void scheduleWakeUp(Span delay) override { wakeUpAt_ = std::min(wakeUpAt_, now_ + delay); }
  void subscribe() override { recordDecision("subscribe"); }

 private:
  template <typename T>
  static std::string nameOf(const std::map<std::string, T>& named, const T& wanted) {
    for (const auto& [key, value] : named) {
      if (&value == &wanted) return key;
    }
    return "?";
  }
  void addListedExchange(const std::string& key, double free, double size) {
    Exchange& exchange = exchanges_[key];
    exchange.place = static_cast<int>(exchanges_.size());
    initialEvents_.push_back([&exchange, free, size](Controller& controller) {
      controller.exchangeListed(exchange, Readiness::ready, Instant::distantPast());
      if (size >= 0) controller.circuitsChanged(exchange, free, size);
    });
  }
  template <typename... Parts>
  void recordDecision(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    decisions_ += text.str() + "; ";
  }
  template <typename T>
  static T readValue(std::istream& words, const char* kind) {
    T value{};
    if (!(words >> value)) throw MalformedScenario(std::string(kind) + " is expected");
    return value;
  }
  static double readNumber(std::istream& words) { return readValue<double>(words, "a number"); }
  static std::string readWord(std::istream& words) { return readValue<std::string>(words, "a word"); }
  static Span readSpan(std::istream& words) { return Span::ms(readNumber(words)); }
  template <typename T>
  static T& readName(std::map<std::string, T>& named, std::istream& words, const char* kind) {
    const auto it = named.find(readWord(words));
    if (it == named.end()) throw MalformedScenario(std::string("no such ") + kind);
    return it->second;
  }
  Exchange& readExchange(std::istream& words) { return readName(exchanges_, words, "exchange"); }
  Session& readSession(std::istream& words) { return readName(sessions_, words, "session"); }

  // A round that a wake-up alone caused has no expectation, so that any decision in it fails the comparison.
  void playRound() {
    wakeUpAt_ = Instant::never();
    controller_->round(now_, *this, *this);
    if (hasExpectation_ || events_.empty()) CHECK(decisions_ == expected_);
    checks_ += hasExpectation_ ? 1 : 0;
    hasExpectation_ = false;
    events_.clear();
    decisions_.clear();
    expected_.clear();
  }
  // Returns false if the keyword is not a setting.
  bool readSetting(const std::string& keyword, std::istream& words) {
    if (keyword == "office") {
      readLine("service call 1 0.25 1500 9000; invites 6; clear-wait 300; retry-after 2000; own Here");
    } else if (keyword == "service") {
      services_[readWord(words)] = config_.services.size();
      Service service;
      service.value = readNumber(words);
      service.lateValue = readNumber(words);
      service.postDialTarget = readSpan(words);
      service.timerLimit = readSpan(words);
      service.meanHold = Span::ms(10000);
      config_.services.push_back(service);
    } else if (keyword == "exchange") {
      const std::string key = readWord(words);
      const double free = readNumber(words);
      addListedExchange(key, free, readNumber(words));
    } else if (keyword == "fleet") {
      const double count = readNumber(words);
      const double free = readNumber(words);
      const double size = readNumber(words);
      for (int i = 1; i <= count; ++i) addListedExchange("F" + std::to_string(i), free, size);
    } else if (keyword == "own") {
      Exchange& exchange = exchanges_[readWord(words)];
      exchange.own = true;
      initialEvents_.push_back([&exchange](Controller& controller) {
        controller.exchangeListed(exchange, Readiness::ready, Instant::distantPast());
      });
    } else if (keyword == "pools") {
      config_.usesPools = true;
    } else if (keyword == "skill") {
      Service& service = config_.services.at(readName(services_, words, "service"));
      service.pools.push_back(readExchange(words).place);
    } else if (keyword == "unrepeatable") {
      config_.services.back().repeatable = false;
    } else if (keyword == "invites") {
      config_.maxInvites = static_cast<int>(readNumber(words));
    } else if (keyword == "clear-wait") {
      config_.releaseTime = readSpan(words);
    } else if (keyword == "repeat") {
      config_.retransmitAfter = readSpan(words);
    } else if (keyword == "retry-after") {
      config_.honoursRetryAfter = true;
      config_.longestRetryAfter = readSpan(words);
    } else if (keyword == "cold") {
      config_.coldCapacityShare = readNumber(words);
      config_.overloadFactor = readNumber(words);
      config_.overloadWindow = readSpan(words);
      config_.warmUpTime = readSpan(words);
    } else if (keyword == "ask-within") {
      config_.mustSubscribe = true;
      config_.listStaleAfter = readSpan(words);
    } else {
      return false;
    }
    return true;
  }

  // session NAME SERVICE EXCHANGE LIMIT [width W] [number N] [transit] [cut]
  void readSessionEvent(std::istream& words) {
    Session& session = sessions_[readWord(words)];
    session.service = &config_.services.at(readName(services_, words, "service"));
    session.destination = &readExchange(words);
    session.timerLimit = now_ + readSpan(words);
    session.dialledNumber = sessions_.size();
    for (std::string option; words >> option;) {
      if (option == "width") {
        session.width = readNumber(words);
      } else if (option == "number") {
        session.dialledNumber = static_cast<std::uint64_t>(readNumber(words));
      } else if (option == "transit") {
        session.transit = true;
      } else if (option == "cut") {
        session.isReconnect = true;
      } else {
        throw MalformedScenario("unknown option: " + option);
      }
    }
    events_.push_back([&session](Controller& controller) { controller.sessionArrived(session); });
  }

  // ended SESSION EXCHANGE HOW [WAIT]
  void readEndedEvent(std::istream& words) {
    static const std::map<std::string, std::pair<InviteOutcome, BlockingReason>> outcomes{
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
    Session& session = readSession(words);
    Exchange& exchange = readExchange(words);
    const std::string outcomeName = readWord(words);
    if (!outcomes.contains(outcomeName)) throw MalformedScenario("no such outcome");
    const Span retryAfter = outcomeName == "processor-full" ? readSpan(words) : Span::none();
    const auto [outcome, reason] = outcomes.at(outcomeName);
    const bool farProcessorOverloaded = outcomeName == "far-processor-full";
    const bool final = outcomeName == "ok" || outcomeName == "cut";
    events_.push_back([&session, &exchange, outcome = outcome, reason = reason, farProcessorOverloaded, retryAfter,
                       final](Controller& controller) {
      controller.inviteEnded(session, exchange, outcome, reason, farProcessorOverloaded, retryAfter, final);
    });
  }

  void readEvent(const std::string& keyword, std::istream& words) {
    if (keyword == "session") {
      readSessionEvent(words);
    } else if (keyword == "again") {
      Session& session = readSession(words);
      events_.push_back([&session](Controller& controller) { controller.sessionArrived(session); });
    } else if (keyword == "accepted") {
      Session& session = readSession(words);
      const Span delay = readSpan(words);
      events_.push_back([&session, delay](Controller& controller) { controller.inviteAccepted(session, delay); });
    } else if (keyword == "ended") {
      readEndedEvent(words);
    } else if (keyword == "abandoned") {
      Session& session = readSession(words);
      events_.push_back([&session](Controller& controller) { controller.sessionAbandoned(session); });
    } else if (keyword == "circuits") {
      Exchange& exchange = readExchange(words);
      const double free = readNumber(words);
      const double size = readNumber(words);
      events_.push_back(
          [&exchange, free, size](Controller& controller) { controller.circuitsChanged(exchange, free, size); });
    } else if (keyword == "can-take") {
      Exchange& exchange = readExchange(words);
      const double setUpsPerSecond = readNumber(words);
      events_.push_back([&exchange, setUpsPerSecond](Controller& controller) {
        controller.capacityReported(exchange, setUpsPerSecond);
      });
    } else if (keyword == "ready" || keyword == "draining" || keyword == "gone") {
      Exchange& exchange = readExchange(words);
      const Instant started = keyword == "ready" ? now_ : Instant::distantPast();
      const Readiness readiness = keyword == "ready"  ? Readiness::ready
                                  : keyword == "gone" ? Readiness::gone
                                                      : Readiness::draining;
      events_.push_back([&exchange, readiness, started](Controller& controller) {
        controller.exchangeListed(exchange, readiness, started);
      });
    } else if (keyword == "list-failed") {
      events_.push_back([](Controller& controller) { controller.listFailed(); });
    } else if (keyword == "wake") {
      events_.push_back([](Controller&) {});
    } else {
      throw MalformedScenario("no such event: " + keyword);
    }
  }

  OfficeConfig config_;
  std::map<std::string, std::size_t> services_;
  std::map<std::string, Exchange> exchanges_;
  std::map<std::string, Session> sessions_;
  std::vector<std::function<void(Controller&)>> initialEvents_;
  std::vector<std::function<void(Controller&)>> events_;
  std::string decisions_;
  std::string expected_;
  std::unique_ptr<Controller> controller_;
  Instant now_;
  Instant wakeUpAt_ = Instant::never();
  bool hasExpectation_ = false;
  int checks_ = 0;
};

/// Plays a *.wire file: feeds its lines to a bench adapter and compares the replies.
class WireScenario {
 public:
  void readLine(const std::string& text) {
    if (text.empty() || text[0] == '#') return;
    const std::string rest = text.size() > 2 ? text.substr(2) : "";
    if (text[0] == '<') {
      try {
        reply_ = adapter_.processBatch(rest);
      } catch (const bench_adapter::ParseError& error) {
        reply_ = std::string("! ") + error.what();
      }
    } else if (text[0] == '>') {
      CHECK(reply_ == rest);
      ++checks_;
    } else {
      throw MalformedScenario("a line starts with <, > or #");
    }
  }
  void finish() {}
  /// Number of expectations that were compared.
  int checks() const { return checks_; }

 private:
  bench_adapter::BenchAdapter adapter_;
  std::string reply_;
  int checks_ = 0;
};

/// Plays a scenario and returns the number of its expectations. Throws MalformedScenario, naming file and line.
template <typename ScenarioType>
int play(std::istream& lines, const std::string& file) {
  ScenarioType scenario;
  std::string text;
  int number = 0;
  try {
    while (std::getline(lines, text)) {
      ++number;
      INFO(file << ":" << std::to_string(number));
      scenario.readLine(text);
    }
    INFO(file << ": last round");
    scenario.finish();
  } catch (const MalformedScenario& error) {
    throw MalformedScenario(file + ':' + std::to_string(number) + ": " + error.what());
  }
  return scenario.checks();
}

}  // namespace

TEST_CASE("scenarios") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator("scenarios")) {
    const auto extension = entry.path().extension();
    if (extension == ".txt" || extension == ".wire") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  REQUIRE(!files.empty());
  for (const auto& path : files) {
    SUBCASE(path.filename().c_str()) {
      std::ifstream file(path);
      const std::string name = path.filename().string();
      const int checks = path.extension() == ".txt" ? play<Scenario>(file, name) : play<WireScenario>(file, name);
      CHECK_MESSAGE(checks > 0, name << " contains no expectation");
    }
  }
}

TEST_CASE("a malformed scenario is reported with file and line") {
  std::istringstream lines("service call 1 0 1500 9000\nat 0\nsession s call Nowhere 3000\n");
  CHECK_THROWS_WITH_AS(play<Scenario>(lines, "x.txt"), "x.txt:3: no such exchange", MalformedScenario);
}

TEST_CASE("the tables of dialled numbers are bounded") {
  constexpr int kMaxRememberedNumbers = 4096;
  const auto readForEachNumber = [](Scenario& scenario, auto makeLine) {
    for (int i = 0; i <= kMaxRememberedNumbers; ++i) scenario.readLine(makeLine(std::to_string(i)));
  };
  Scenario refusals;
  refusals.readLine("office; exchange B 0 20");
  refusals.readLine("at 1000");
  readForEachNumber(refusals, [](const std::string& number) {
    return "session s" + number + " call B 3000 number " + number + "; => busy s" + number + " 900";
  });
  // The oldest refusal was dropped, so its redial counts as a first try; the redial of the newest has only what is left
  // of its target.
  refusals.readLine(
      "at 1100; session x call B 3000 number 0; session y call B 3000 number 4096; => busy x 900; => busy y 840");
  refusals.finish();
  Scenario busyNumbers;
  busyNumbers.readLine("office; exchange B 9000 9000");
  busyNumbers.readLine("at 1000");
  readForEachNumber(busyNumbers, [](const std::string& number) {
    return "session s" + number + " call B 3000 number " + number + "; => invite s" + number + " B 1500";
  });
  busyNumbers.readLine("at 1010");
  readForEachNumber(busyNumbers, [](const std::string& number) {
    return "ended s" + number + " B line-busy; => busy s" + number + " 2000";
  });
  // Sessions to the remembered busyNumbers are refused; the one beyond the bound is tried. The oldest refusal was
  // dropped here too.
  busyNumbers.readLine(
      "at 1020; session x call B 3000 number 0; session y call B 3000 number 4096; => busy x 900; => invite y B 1480");
  busyNumbers.finish();
}
