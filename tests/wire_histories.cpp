// Message histories of the bench protocol, checked with wire_judge.hpp: generated ones, which drive the real adapter
// and controller with unusual but legal events; recorded ones in histories/recorded-*.wire; and for each rule one in
// histories/rule-N.wire that must be rejected.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "bench_adapter.hpp"
#include "wire_judge.hpp"

namespace {

using thistlefold::bench_adapter::BenchAdapter;
using thistlefold::test::WireJudge;

// Capacity of a warm exchange. The three offices dial about 30 sessions per second, so each exchange has a load of 20
// set-ups per second as origin and destination together.
constexpr double kSetUpsPerSecond = 30;

/// Simulated peers of three offices, each with its exchange. Generates legal events from a seed, and duplicates, delays
/// and reorders them, also after the session that they refer to was closed.
class FleetSimulator {
 public:
  explicit FleetSimulator(std::uint32_t seed) : random_(seed) {}

  /// Runs the fleet until the given time in ms and returns the trace: all lines in and out.
  std::string run(double until, WireJudge& judge) {
    std::ostringstream trace;
    start();
    while (now_ < until) {
      if (drawUniform() < 0.15) dial();
      if (drawUniform() < 0.02) injectFault();
      std::string events;
      const auto end = scheduled_.upper_bound(now_);
      std::vector<std::string> batch;
      for (auto it = scheduled_.begin(); it != end; ++it) batch.push_back(it->second);
      scheduled_.erase(scheduled_.begin(), end);
      // The protocol keeps the order of lists and of starts and ends of offices; all other messages may be reordered.
      const bool isOrdered =
          std::any_of(batch.begin(), batch.end(), [](const std::string& event) { return keepsOrder(event); });
      if (!isOrdered && drawUniform() < 0.2) std::shuffle(batch.begin(), batch.end(), random_);
      for (const std::string& event : batch) {
        events += (events.empty() ? "" : ",") + event;
        delivered_.push_back(event);
        if (delivered_.size() > 400) delivered_.erase(delivered_.begin());
        if (event.starts_with("{\"INCOMING\"") && drawUniform() < 0.1) events += "," + event;
      }
      const std::string in = "{\"Time\":" + toText(now_) + ",\"arrivals\":[" + events + "]}";
      const std::string out = adapter_.processBatch(in);
      judge.checkBatch(in, out);
      applyActions(out);
      trace << in << '\n' << out << '\n';
      // A message that was delivered earlier is duplicated and delivered at some later time.
      if (drawUniform() < 0.1 && !delivered_.empty()) duplicate(delivered_[drawIndex(delivered_.size())]);
      now_ += 5;
    }
    return trace.str();
  }

 private:
  /// An INVITE that an office sent.
  struct Invite {
    std::string office, ticket;
    unsigned exchange;
    int trial;
    double sentAt, answerTimeout;  // ms
  };

  double drawUniform() { return std::generate_canonical<double, 32>(random_); }
  std::size_t drawIndex(std::size_t count) {
    return std::min(count - 1, static_cast<std::size_t>(drawUniform() * static_cast<double>(count)));
  }
  static std::string toText(double number) {
    std::ostringstream out;
    out << std::fixed;
    out.precision(3);
    out << number;
    return out.str();
  }
  static std::string officeName(int office) { return "o" + std::to_string(office); }
  void schedule(double at, const std::string& event) { scheduled_.emplace(at, event); }

  static bool keepsOrder(const std::string& event) {
    static constexpr const char* kKinds[] = {"{\"START\"", "{\"POOL\"", "{\"MEMBERS\"", "{\"DOWN\""};
    return std::any_of(std::begin(kKinds), std::end(kKinds), [&](const char* kind) { return event.starts_with(kind); });
  }
  void duplicate(const std::string& event) {
    if (keepsOrder(event)) return;
    // The protocol never reuses a ticket. A session is duplicated only within the batch that announces it.
    if (!event.starts_with("{\"INCOMING\"")) schedule(now_ + drawUniform() * 3000, event);
  }

  void start() {
    for (int i = 0; i < 3; ++i) startOffice(i);
  }
  void startOffice(int i) {
    schedule(
        now_,
        "{\"START\":{\"I\":\"" + officeName(i) + "\",\"InitSeed\":" + std::to_string(random_() % 1000) +
            ",\"Conf\":{\"Caps\":{\"MaxAttempts\":6,\"RetryAfter\":true,\"MaxRetryAfter\":2000},\"FamilyInfo\":{"
            "\"ThisNode\":" +
            std::to_string(i) +
            ",\"ClearWait\":300,\"MeanHold\":[3000]},\"Grades\":[{\"Aim\":1500,\"GiveUp\":9000,\"LateValue\":0.25}],"
            "\"Obligations\":{\"AnswerSlack\":20,\"ColdFrom\":0.3,\"DrainGrace\":500,\"FallMultiple\":3,\"TipAfter\":"
            "1500,"
            "\"WarmAfter\":6000}}}}");
    sendList(i, 2);
    for (int k = 0; k < 3; ++k) {
      if (k != i) sendCircuits(i, k);
    }
  }
  void sendCircuits(int office, int place) {
    schedule(now_, "{\"ECHO\":{\"I\":\"" + officeName(office) +
                       "\",\"Ending\":0,\"Lag\":0,\"Exchange\":" + std::to_string(exchangeIds_[place]) +
                       ",\"Feedback\":{\"free\":" + std::to_string(drawIndex(25)) + ",\"size\":24,\"can_take\":-1}}}");
  }
  /// Sends the office the whole list as it is now. Exchanges that were replaced since are no longer in it.
  void sendList(int office, int mode) {
    std::string members;
    for (int k = 0; k < 3; ++k) {
      members += (members.empty() ? "" : ",") + listEntry(exchangeIds_[k], k, readiness_[k], startedAt_[k]);
    }
    schedule(now_, "{\"POOL\":{\"Bank\":0,\"Members\":[" + members + "]}}");
    schedule(now_, "{\"MEMBERS\":{\"I\":\"" + officeName(office) +
                       "\",\"Generation\":1,\"Bank\":0,\"Mode\":" + std::to_string(mode) + "}}");
  }
  static std::string listEntry(unsigned id, int place, int state, double started) {
    return "{\"Exchange\":" + std::to_string(id) + ",\"PlaceNo\":" + std::to_string(place) +
           ",\"Readiness\":" + std::to_string(state) + ",\"LastStart\":" + toText(started) + "}";
  }

  void dial(bool transit = false, int at = -1) {
    const int office = at >= 0 ? at : static_cast<int>(drawIndex(3));
    const int to = (office + 1 + static_cast<int>(drawIndex(2))) % 3;
    const std::string ticket = "t" + std::to_string(++lastTicket_);
    const double deadline = now_ + 300 + drawUniform() * 3000;
    schedule(now_, "{\"INCOMING\":{\"I\":\"" + officeName(office) + "\",\"Ticket\":\"" + ticket + "\",\"Bits\":" +
                       (transit               ? "8"
                        : drawUniform() < 0.1 ? "16"
                                              : "0") +
                       ",\"Width\":1,\"Category\":0,\"FarEnd\":" + std::to_string(to) +
                       ",\"Deadline\":" + toText(deadline) + ",\"Item\":\"" + std::to_string(drawIndex(30)) + "\"}}");
    if (drawUniform() < 0.1) {
      schedule(now_ + drawUniform() * 2000,
               "{\"ABANDONED\":{\"I\":\"" + officeName(office) + "\",\"Ticket\":\"" + ticket + "\"}}");
    }
    deadlines_[ticket] = deadline;
  }

  void injectFault() {
    const int k = static_cast<int>(drawIndex(3));
    switch (drawIndex(6)) {
      case 0:  // an exchange is draining or gone
        readiness_[k] = drawUniform() < 0.5 ? 0 : 3;
        break;
      case 1:  // an exchange is ready again, with the same processor or a restarted one
        if (drawUniform() < 0.7) startedAt_[k] = now_ - drawUniform() * 200;
        readiness_[k] = 2;
        break;
      case 2: {  // an exchange is replaced at its place; the old one is reported gone before or after the new one
        const unsigned old = exchangeIds_[k];
        exchangeIds_[k] = ++lastReplacementId_;
        readiness_[k] = 2;
        startedAt_[k] = now_;
        const std::string goneEntry = listEntry(old, k, 3, 0), newEntry = listEntry(exchangeIds_[k], k, 2, now_);
        const std::string entries = drawUniform() < 0.5 ? goneEntry + "," + newEntry : newEntry + "," + goneEntry;
        for (int i = 0; i < 3; ++i) {
          schedule(now_, "{\"POOL\":{\"Bank\":1,\"Members\":[" + entries + "]}}");
          schedule(now_, "{\"MEMBERS\":{\"I\":\"" + officeName(i) + "\",\"Generation\":1,\"Bank\":1,\"Mode\":0}}");
          if (i != k) sendCircuits(i, k);
        }
        return;
      }
      case 3:  // an office is restarted; events for its former incarnation are still delivered
        schedule(now_, "{\"DOWN\":{\"I\":\"" + officeName(k) + "\"}}");
        startOffice(k);
        return;
      case 4:  // an exchange becomes silent, or answers again
        isSilent_[k] = !isSilent_[k];
        return;
      case 5:  // a failed list request, and messages that have no effect
        schedule(now_, "{\"MEMBERS\":{\"I\":\"" + officeName(k) + "\",\"Generation\":1,\"Mode\":3}}");
        schedule(now_, "{\"MESSAGE\":{\"I\":\"" + officeName(k) + "\",\"Neighbour\":1,\"Contents\":\"aGk=\"}}");
        schedule(now_, "{\"TICK_DUE\":{\"I\":\"" + officeName(k) + "\",\"Nonce\":\"never set\"}}");
        return;
    }
    for (int i = 0; i < 3; ++i) {
      sendList(i, 1);
      sendCircuits(i, (i + 1) % 3);
    }
  }

  void applyActions(const std::string& reply) {
    rapidjson::Document out;
    out.Parse(reply.c_str());
    for (const auto& action : out["actions"].GetArray()) {
      const std::string kind = action.MemberBegin()->name.GetString();
      const auto& fields = action.MemberBegin()->value;
      const std::string office = fields["I"].GetString();
      if (kind == "SET_ALARM") {
        const double in = fields["In"].GetDouble();
        schedule(now_ + std::max(in, 5.0), "{\"TICK_DUE\":{\"I\":\"" + office + "\",\"Nonce\":\"wake\"}}");
      }
      if (kind == "ISSUE") {
        const std::string ticket = fields["Ticket"].GetString();
        scheduleOutcome({office, ticket, fields["Exchange"].GetUint(), inviteCounts_[ticket]++, now_,
                         fields["GiveUpAfter"].GetDouble()});
      }
    }
  }

  void scheduleOutcome(const Invite& invite) {
    const double limit = std::min(invite.sentAt + invite.answerTimeout, deadlines_[invite.ticket]);
    const double at = invite.sentAt + 5 + drawUniform() * 300;
    const bool isSilent = isSilent_[placeOf(invite.exchange)];
    const double draw = drawUniform();
    if (isSilent || at >= limit) return scheduleEnded(invite, limit, 4, 0, false);
    if (draw < 0.6) {
      schedule(at, "{\"ACCEPTED\":{\"I\":\"" + invite.office + "\",\"Ticket\":\"" + invite.ticket + "\",\"Trial\":" +
                       std::to_string(invite.trial) + ",\"Exchange\":" + std::to_string(invite.exchange) +
                       ",\"Lag\":" + toText(at - invite.sentAt) + "}}");
      return scheduleEnded(invite, at + 50 + drawUniform() * 3000, drawUniform() < 0.9 ? 0 : 10, 0, true);
    }
    // Outcome codes of the protocol, each with a note.
    static constexpr int kFailures[][2] = {{8, 1},  {8, 2},  {8, 18}, {8, 3}, {8, 3 + 16 * 200},
                                           {10, 0}, {13, 4}, {14, 0}, {9, 1}};
    const auto& [ending, note] = kFailures[drawIndex(std::size(kFailures))];
    scheduleEnded(invite, ending == 9 ? invite.sentAt : at, ending, note, false);
  }
  void scheduleEnded(const Invite& invite, double at, int ending, int note, bool final) {
    schedule(std::max(at, invite.sentAt + 1),
             "{\"ENDED\":{\"I\":\"" + invite.office + "\",\"Ticket\":\"" + invite.ticket +
                 "\",\"Note\":" + std::to_string(note) + ",\"Exchange\":" + std::to_string(invite.exchange) +
                 ",\"Trial\":" + std::to_string(invite.trial) + ",\"Ending\":" + std::to_string(ending) +
                 ",\"Lag\":" + toText(at - invite.sentAt) + ",\"Final\":" + (final ? "true" : "false") +
                 ",\"Feedback\":{\"free\":" + std::to_string(drawIndex(25)) +
                 ",\"size\":24,\"can_take\":" + std::to_string(drawIndex(150)) + "}}}");
    // Some of them are followed by a transit session, which need not belong to this one.
    if (drawUniform() < 0.1) dial(true);
  }
  int placeOf(unsigned id) const {
    for (int k = 0; k < 3; ++k) {
      if (exchangeIds_[k] == id) return k;
    }
    return 0;
  }

  std::mt19937 random_;
  BenchAdapter adapter_;
  double now_ = 1000;
  std::multimap<double, std::string> scheduled_;
  std::vector<std::string> delivered_;
  std::map<std::string, double> deadlines_;
  std::map<std::string, int> inviteCounts_;
  unsigned exchangeIds_[3] = {11, 12, 13};
  unsigned lastReplacementId_ = 100;
  int readiness_[3] = {2, 2, 2};
  double startedAt_[3] = {0, 0, 0};
  bool isSilent_[3] = {false, false, false};
  int lastTicket_ = 0;
};

/// The lines of a history that begin with < or >; all others are comments.
std::vector<std::string> readHistory(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    if (line.size() > 2 && (line[0] == '<' || line[0] == '>')) lines.push_back(line);
  }
  return lines;
}

}  // namespace

TEST_CASE("generated histories keep the rules although messages are duplicated, late and out of order") {
  int sessions = 0, invites = 0;
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    WireJudge judge(kSetUpsPerSecond);
    FleetSimulator(seed).run(20000, judge);
    CAPTURE(seed);
    CAPTURE(judge.firstViolation);
    for (int rule = 1; rule <= 5; ++rule) CHECK_MESSAGE(judge.violations[rule] == 0, "rule " << rule);
    sessions += judge.sessions;
    invites += judge.invites;
  }
  // Guards against a generator that exercises too little.
  CHECK(sessions > 15000);
  CHECK(invites > 5000);
}

TEST_CASE("the same seed gives the same trace") {
  WireJudge judge(kSetUpsPerSecond);
  const std::string first = FleetSimulator(7).run(5000, judge);
  CHECK(first.size() > 50000);
  CHECK((first == FleetSimulator(7).run(5000, judge)));
  CHECK((first != FleetSimulator(8).run(5000, judge)));
}

TEST_CASE("a history that breaks one rule is rejected for that rule and no other") {
  for (int rule = 1; rule <= 5; ++rule) {
    const auto history = readHistory("histories/rule-" + std::to_string(rule) + ".wire");
    REQUIRE(history.size() >= 4);
    WireJudge judge(kSetUpsPerSecond);
    for (std::size_t i = 0; i + 1 < history.size(); i += 2)
      judge.checkBatch(history[i].substr(2), history[i + 1].substr(2));
    CAPTURE(rule);
    CAPTURE(judge.firstViolation);
    for (int other = 1; other <= 5; ++other) CHECK((judge.violations[other] > 0) == (other == rule));
  }
}

TEST_CASE("recorded histories that drive the adapter keep the rules") {
  int historyCount = 0;
  for (const auto& entry : std::filesystem::directory_iterator("histories")) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with("recorded-") || entry.path().extension() != ".wire") continue;
    ++historyCount;
    WireJudge judge(kSetUpsPerSecond);
    BenchAdapter adapter;
    for (const std::string& line : readHistory(entry.path()))
      judge.checkBatch(line.substr(2), adapter.processBatch(line.substr(2)));
    CAPTURE(name);
    CAPTURE(judge.firstViolation);
    for (int rule = 1; rule <= 5; ++rule) CHECK(judge.violations[rule] == 0);
    CHECK(judge.sessions > 0);
  }
  CHECK(historyCount > 0);
}
