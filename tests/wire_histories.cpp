// Histories on the adapter's wire, judged by wire_judge.hpp: seeded ones that drive the real adapter and module with
// odd but legal events, recorded ones in histories/*.wire, and one a rule in histories/rule-N.wire that must be
// rejected.
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

// Warm. Three offices dial some 30 sessions a second, so an exchange has 20 set-ups a second at both ends together.
constexpr double kSetUpsASecond = 30;

/// Three offices, each with its exchange, and whatever may come in. A legal world, whose events are then told twice,
/// late, out of order and about what is closed.
class World {
 public:
  explicit World(std::uint32_t seed) : chance_(seed) {}

  /// Plays so many milliseconds; the trace is all lines in and out.
  std::string play(double length, WireJudge& judge) {
    std::ostringstream trace;
    start();
    while (now_ < length) {
      if (lot() < 0.15) dial();
      if (lot() < 0.02) trouble();
      std::string events;
      const auto due = later_.upper_bound(now_);
      std::vector<std::string> batch;
      for (auto it = later_.begin(); it != due; ++it) batch.push_back(it->second);
      later_.erase(later_.begin(), due);
      // Lists and lives keep their order on this wire; all else may come in any.
      const bool ordered =
          std::any_of(batch.begin(), batch.end(), [](const std::string& one) { return keepsOrder(one); });
      if (!ordered && lot() < 0.2) std::shuffle(batch.begin(), batch.end(), chance_);
      for (const std::string& one : batch) {
        events += (events.empty() ? "" : ",") + one;
        told_.push_back(one);
        if (told_.size() > 400) told_.erase(told_.begin());
        if (one.starts_with("{\"INCOMING\"") && lot() < 0.1) events += "," + one;
      }
      const std::string in = "{\"Time\":" + text(now_) + ",\"arrivals\":[" + events + "]}";
      const std::string out = adapter_.answer(in);
      judge.take(in, out);
      act(out);
      trace << in << '\n' << out << '\n';
      // Something told before is told again, at any time later.
      if (lot() < 0.1 && !told_.empty()) again(told_[pick(told_.size())]);
      now_ += 5;
    }
    return trace.str();
  }

 private:
  struct Out {
    std::string office, ticket;
    unsigned exchange;
    int trial;
    double at, giveUp;
  };

  double lot() { return std::generate_canonical<double, 32>(chance_); }
  std::size_t pick(std::size_t count) {
    return std::min(count - 1, static_cast<std::size_t>(lot() * static_cast<double>(count)));
  }
  static std::string text(double number) {
    std::ostringstream out;
    out << std::fixed;
    out.precision(3);
    out << number;
    return out.str();
  }
  static std::string name(int office) { return "o" + std::to_string(office); }
  void tell(double at, const std::string& event) { later_.emplace(at, event); }

  static bool keepsOrder(const std::string& event) {
    static constexpr const char* kKinds[] = {"{\"START\"", "{\"POOL\"", "{\"MEMBERS\"", "{\"DOWN\""};
    return std::any_of(std::begin(kKinds), std::end(kKinds), [&](const char* kind) { return event.starts_with(kind); });
  }
  void again(const std::string& event) {
    if (keepsOrder(event)) return;
    // No id repeats on this wire; a session is told of twice only while it is held, at the door.
    if (!event.starts_with("{\"INCOMING\"")) tell(now_ + lot() * 3000, event);
  }

  void start() {
    for (int i = 0; i < 3; ++i) startOffice(i);
  }
  void startOffice(int i) {
    tell(now_,
         "{\"START\":{\"I\":\"" + name(i) + "\",\"InitSeed\":" + std::to_string(chance_() % 1000) +
             ",\"Conf\":{\"Caps\":{\"MaxAttempts\":6,\"RetryAfter\":true,\"MaxRetryAfter\":2000},\"FamilyInfo\":{"
             "\"ThisNode\":" +
             std::to_string(i) +
             ",\"ClearWait\":300,\"MeanHold\":[3000]},\"Grades\":[{\"Aim\":1500,\"GiveUp\":9000,\"LateValue\":0.25}],"
             "\"Obligations\":{\"AnswerSlack\":20,\"ColdFrom\":0.3,\"DrainGrace\":500,\"FallMultiple\":3,\"TipAfter\":"
             "1500,"
             "\"WarmAfter\":6000}}}}");
    list(i, 2);
    for (int k = 0; k < 3; ++k) {
      if (k != i) echo(i, k);
    }
  }
  void echo(int office, int place) {
    tell(now_, "{\"ECHO\":{\"I\":\"" + name(office) +
                   "\",\"Ending\":0,\"Lag\":0,\"Exchange\":" + std::to_string(id_[place]) +
                   ",\"Feedback\":{\"free\":" + std::to_string(pick(25)) + ",\"size\":24,\"can_take\":-1}}}");
  }
  /// The whole list as it is now; entries of machines that went before stand in it as gone until it is told anew.
  void list(int office, int mode) {
    std::string members;
    for (int k = 0; k < 3; ++k) {
      members += (members.empty() ? "" : ",") + entry(id_[k], k, state_[k], started_[k]);
    }
    tell(now_, "{\"POOL\":{\"Bank\":0,\"Members\":[" + members + "]}}");
    tell(now_, "{\"MEMBERS\":{\"I\":\"" + name(office) +
                   "\",\"Generation\":1,\"Bank\":0,\"Mode\":" + std::to_string(mode) + "}}");
  }
  static std::string entry(unsigned id, int place, int state, double started) {
    return "{\"Exchange\":" + std::to_string(id) + ",\"PlaceNo\":" + std::to_string(place) +
           ",\"Readiness\":" + std::to_string(state) + ",\"LastStart\":" + text(started) + "}";
  }

  void dial(bool transit = false, int at = -1) {
    const int office = at >= 0 ? at : static_cast<int>(pick(3));
    const int to = (office + 1 + static_cast<int>(pick(2))) % 3;
    const std::string ticket = "t" + std::to_string(++serial_);
    const double deadline = now_ + 300 + lot() * 3000;
    tell(now_, "{\"INCOMING\":{\"I\":\"" + name(office) + "\",\"Ticket\":\"" + ticket + "\",\"Bits\":" +
                   (transit       ? "8"
                    : lot() < 0.1 ? "16"
                                  : "0") +
                   ",\"Width\":1,\"Category\":0,\"FarEnd\":" + std::to_string(to) + ",\"Deadline\":" + text(deadline) +
                   ",\"Item\":\"" + std::to_string(pick(30)) + "\"}}");
    if (lot() < 0.1) {
      tell(now_ + lot() * 2000, "{\"ABANDONED\":{\"I\":\"" + name(office) + "\",\"Ticket\":\"" + ticket + "\"}}");
    }
    deadline_[ticket] = deadline;
  }

  void trouble() {
    const int k = static_cast<int>(pick(3));
    switch (pick(6)) {
      case 0:  // drains, or is gone
        state_[k] = lot() < 0.5 ? 0 : 3;
        break;
      case 1:  // is back, the same or another processor
        if (lot() < 0.7) started_[k] = now_ - lot() * 200;
        state_[k] = 2;
        break;
      case 2: {  // another machine in its place: the old one is told gone before or after
        const unsigned old = id_[k];
        id_[k] = ++machines_;
        state_[k] = 2;
        started_[k] = now_;
        const std::string gone = entry(old, k, 3, 0), made = entry(id_[k], k, 2, now_);
        const std::string both = lot() < 0.5 ? gone + "," + made : made + "," + gone;
        for (int i = 0; i < 3; ++i) {
          tell(now_, "{\"POOL\":{\"Bank\":1,\"Members\":[" + both + "]}}");
          tell(now_, "{\"MEMBERS\":{\"I\":\"" + name(i) + "\",\"Generation\":1,\"Bank\":1,\"Mode\":0}}");
          if (i != k) echo(i, k);
        }
        return;
      }
      case 3:  // an office dies and is back; what is under way for its former life comes late
        tell(now_, "{\"DOWN\":{\"I\":\"" + name(k) + "\"}}");
        startOffice(k);
        return;
      case 4:
        silent_[k] = !silent_[k];
        return;
      case 5:
        tell(now_, "{\"MEMBERS\":{\"I\":\"" + name(k) + "\",\"Generation\":1,\"Mode\":3}}");
        tell(now_, "{\"MESSAGE\":{\"I\":\"" + name(k) + "\",\"Neighbour\":1,\"Contents\":\"aGk=\"}}");
        tell(now_, "{\"TICK_DUE\":{\"I\":\"" + name(k) + "\",\"Nonce\":\"never set\"}}");
        return;
    }
    for (int i = 0; i < 3; ++i) {
      list(i, 1);
      echo(i, (i + 1) % 3);
    }
  }

  void act(const std::string& reply) {
    rapidjson::Document out;
    out.Parse(reply.c_str());
    for (const auto& action : out["actions"].GetArray()) {
      const std::string kind = action.MemberBegin()->name.GetString();
      const auto& fields = action.MemberBegin()->value;
      const std::string office = fields["I"].GetString();
      if (kind == "SET_ALARM") {
        const double in = fields["In"].GetDouble();
        tell(now_ + std::max(in, 5.0), "{\"TICK_DUE\":{\"I\":\"" + office + "\",\"Nonce\":\"wake\"}}");
      }
      if (kind == "ISSUE") {
        const std::string ticket = fields["Ticket"].GetString();
        outcome(
            {office, ticket, fields["Exchange"].GetUint(), trials_[ticket]++, now_, fields["GiveUpAfter"].GetDouble()});
      }
    }
  }

  void outcome(const Out& one) {
    const double limit = std::min(one.at + one.giveUp, deadline_[one.ticket]);
    const double at = one.at + 5 + lot() * 300;
    const bool silent = silent_[place(one.exchange)];
    const double how = lot();
    if (silent || at >= limit) return ended(one, limit, 4, 0, false);
    if (how < 0.6) {
      tell(at, "{\"ACCEPTED\":{\"I\":\"" + one.office + "\",\"Ticket\":\"" + one.ticket +
                   "\",\"Trial\":" + std::to_string(one.trial) + ",\"Exchange\":" + std::to_string(one.exchange) +
                   ",\"Lag\":" + text(at - one.at) + "}}");
      return ended(one, at + 50 + lot() * 3000, lot() < 0.9 ? 0 : 10, 0, true);
    }
    static constexpr int kHows[][2] = {{8, 1},  {8, 2},  {8, 18}, {8, 3}, {8, 3 + 16 * 200},
                                       {10, 0}, {13, 4}, {14, 0}, {9, 1}};
    const auto& [ending, note] = kHows[pick(std::size(kHows))];
    ended(one, ending == 9 ? one.at : at, ending, note, false);
  }
  void ended(const Out& one, double at, int ending, int note, bool final) {
    tell(std::max(at, one.at + 1),
         "{\"ENDED\":{\"I\":\"" + one.office + "\",\"Ticket\":\"" + one.ticket + "\",\"Note\":" + std::to_string(note) +
             ",\"Exchange\":" + std::to_string(one.exchange) + ",\"Trial\":" + std::to_string(one.trial) +
             ",\"Ending\":" + std::to_string(ending) + ",\"Lag\":" + text(at - one.at) +
             ",\"Final\":" + (final ? "true" : "false") + ",\"Feedback\":{\"free\":" + std::to_string(pick(25)) +
             ",\"size\":24,\"can_take\":" + std::to_string(pick(150)) + "}}}");
    // A transit session comes with some of them; whose it is does not matter to its office.
    if (lot() < 0.1) dial(true);
  }
  int place(unsigned id) const {
    for (int k = 0; k < 3; ++k) {
      if (id_[k] == id) return k;
    }
    return 0;
  }

  std::mt19937 chance_;
  BenchAdapter adapter_;
  double now_ = 1000;
  std::multimap<double, std::string> later_;
  std::vector<std::string> told_;
  std::map<std::string, double> deadline_;
  std::map<std::string, int> trials_;
  unsigned id_[3] = {11, 12, 13};
  unsigned machines_ = 100;
  int state_[3] = {2, 2, 2};
  double started_[3] = {0, 0, 0};
  bool silent_[3] = {false, false, false};
  int serial_ = 0;
};

/// Lines of a history; what does not begin with < or > is a comment.
std::vector<std::string> lines(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::vector<std::string> all;
  for (std::string line; std::getline(file, line);) {
    if (line.size() > 2 && (line[0] == '<' || line[0] == '>')) all.push_back(line);
  }
  return all;
}

}  // namespace

TEST_CASE("seeded histories on the wire keep the rules whatever is told twice, late or out of order") {
  int sessions = 0, invites = 0;
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    WireJudge judge(kSetUpsASecond);
    World(seed).play(20000, judge);
    CAPTURE(seed);
    CAPTURE(judge.first);
    for (int rule = 1; rule <= 5; ++rule) CHECK_MESSAGE(judge.broken[rule] == 0, "rule " << rule);
    sessions += judge.sessions;
    invites += judge.invites;
  }
  // Histories in which little happens prove little.
  CHECK(sessions > 15000);
  CHECK(invites > 5000);
}

TEST_CASE("the same seed gives the same trace") {
  WireJudge judge(kSetUpsASecond);
  const std::string first = World(7).play(5000, judge);
  CHECK(first.size() > 50000);
  CHECK((first == World(7).play(5000, judge)));
  CHECK((first != World(8).play(5000, judge)));
}

TEST_CASE("a history that breaks one rule is rejected for that rule and no other") {
  for (int rule = 1; rule <= 5; ++rule) {
    const auto history = lines("histories/rule-" + std::to_string(rule) + ".wire");
    REQUIRE(history.size() >= 4);
    WireJudge judge(kSetUpsASecond);
    for (std::size_t i = 0; i + 1 < history.size(); i += 2) judge.take(history[i].substr(2), history[i + 1].substr(2));
    CAPTURE(rule);
    CAPTURE(judge.first);
    for (int other = 1; other <= 5; ++other) CHECK((judge.broken[other] > 0) == (other == rule));
  }
}

TEST_CASE("recorded histories drive the adapter and are judged") {
  int played = 0;
  for (const auto& entry : std::filesystem::directory_iterator("histories")) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with("recorded-") || entry.path().extension() != ".wire") continue;
    ++played;
    WireJudge judge(kSetUpsASecond);
    BenchAdapter adapter;
    for (const std::string& line : lines(entry.path())) judge.take(line.substr(2), adapter.answer(line.substr(2)));
    CAPTURE(name);
    CAPTURE(judge.first);
    for (int rule = 1; rule <= 5; ++rule) CHECK(judge.broken[rule] == 0);
    CHECK(judge.sessions > 0);
  }
  CHECK(played > 0);
}
