// The rules' checker over histories: seeded ones that drive the whole program on the virtual stage while any datagram
// may be late, doubled, out of order or about something closed, and one a rule, kept as a file, that the audit must
// reject.

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include "fleet_fixture.hpp"
#include "office/list.hpp"

using namespace thistlefold;
using test::FleetFixture;
using test::smallFleet;
using test::TestPhone;

namespace {

constexpr int kPlaces = 3, kCircuits = 8;

std::string contents(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

struct Outcome {
  audit::Findings findings;
  std::string trace;
  std::string atRest;  // what was left over once all was quiet, in words
};

/// Every second seed has the third office in a zone of its own, and a budget to it that the other two lend each other.
Fleet fleetOf(std::uint32_t seed) {
  Fleet fleet = smallFleet(kPlaces, kCircuits);
  if (seed % 2 == 0) return fleet;
  fleet.places[2].zone = "away";
  zones::Budget budget;
  budget.to = 1;
  budget.circuits = 7;
  budget.dividing = zones::Dividing::lent;
  budget.classes.resize(fleet.offeredServices.size());
  fleet.budgets = {budget};
  return fleet;
}

/// Plays `length` of unrest, then peace until everything can have come to its end.
class Unrest {
 public:
  explicit Unrest(std::uint32_t seed, const std::string& name)
      : chance_(seed), fixture_(fleetOf(seed), makeController, name), phone_(seed) {}

  Outcome play(double length) {
    fixture_.start();
    fixture_.testbed().place(day::kCallers, phone_);
    fixture_.note("begin");
    fixture_.impairment = [this](iax2::Address from, iax2::Address to, std::vector<std::uint8_t>&) {
      return impairment(from, to);
    };
    unrest_ = true;
    const Instant end = fixture_.now() + Span::ms(length);
    while (fixture_.now() < end) {
      act();
      fixture_.run(5 + 60 * lot());
    }
    unrest_ = false;
    for (int i = 0; i < kPlaces; ++i) {
      if (frozen_[i]) fixture_.freeze(i, frozen_[i] = false);
      if (down_[i]) start(i);
      fixture_.exchange(i).hang(fixture_.now(), false);
      fixture_.testbed().wakeUp(day::processorIdentity(i));
      fixture_.setListedReadiness(i, Readiness::ready, fixture_.exchange(i).mark());
    }
    // The latest copies of the unrest are eight seconds late, and a peer's silence is believed after six.
    fixture_.run(12000);
    for (iax2::Call* call : std::vector<iax2::Call*>(phone_.dialled.begin(), phone_.dialled.end())) hangUp(*call);
    fixture_.run(15000);
    Outcome outcome;
    for (int i = 0; i < kPlaces; ++i) {
      for (const char* what : {"sessions", "legs", "standing"}) {
        if (fixture_.account(i, what) != 0) outcome.atRest += "office " + std::to_string(i) + " has " + what + "; ";
      }
      for (int j = 0; j < kPlaces; ++j) {
        if (i != j && fixture_.freeCircuits(i, j) != kCircuits) outcome.atRest += "circuits are held; ";
      }
      if (fixture_.exchange(i).standing() != 0) outcome.atRest += "a session stands at an exchange; ";
    }
    // Peace serves again what is offered.
    const int before = phone_.count("ANSWER");
    for (int i = 0; i < kPlaces; ++i) dial(i, (i + 1) % kPlaces, "call");
    fixture_.run(3000);
    if (phone_.count("ANSWER") != before + kPlaces) outcome.atRest += "peace does not serve what is offered; ";
    outcome.findings = fixture_.findings();
    outcome.trace = contents(fixture_.path());
    fixture_.testbed().remove(day::kCallers);
    fixture_.run(10);
    return outcome;
  }

 private:
  double lot() { return std::generate_canonical<double, 32>(chance_); }
  int place() { return static_cast<int>(chance_() % kPlaces); }

  std::vector<Span> impairment(iax2::Address from, iax2::Address to) {
    if (!unrest_) return {Span::ms(5)};
    // Deaf one way: what goes from one office to another is lost, what comes back is not.
    if (fixture_.now() < deafUntil_ && from == deafFrom_ && to == deafTo_) return {};
    if (lot() < 0.04) return {};
    const auto delay = [&] { return Span::ms(lot() < 0.08 ? 400 * lot() : 4 + 2 * lot()); };
    std::vector<Span> copies{delay()};
    if (lot() < 0.06) copies.push_back(Span::ms(8000 * lot() * lot()));
    return copies;
  }

  void dial(int from, int to, const std::string& service) {
    phone_.dial(fixture_.now(), fixture_.office(from),
                std::to_string(20 + to) + std::to_string(1000 + chance_() % 9000), Span::ms(500 + 4000 * lot()),
                service);
    fixture_.testbed().wakeUp(day::kCallers);
  }
  void hangUp(iax2::Call& call) {
    phone_.endpoint().hangUp(fixture_.now(), call, iax2::Iax::HANGUP, {});
    fixture_.testbed().wakeUp(day::kCallers);
  }
  void start(int i) {
    fixture_.note("start e" + std::to_string(i + 1));
    fixture_.testbed().startOffice(i, 1000 + chance_() % 1000);
    down_[i] = false;
  }

  void act() {
    const double what = lot();
    const int i = place();
    if (what < 0.6) {
      const int to = (i + 1 + static_cast<int>(chance_() % (kPlaces - 1))) % kPlaces;
      if (!down_[i]) dial(i, to, lot() < 0.2 ? "wide" : "call");
    } else if (what < 0.85) {
      if (phone_.dialled.empty()) return;
      hangUp(**std::next(phone_.dialled.begin(), static_cast<std::ptrdiff_t>(chance_() % phone_.dialled.size())));
    } else if (what < 0.89) {
      if (!down_[i]) fixture_.freeze(i, frozen_[i] = !frozen_[i]);
    } else if (what < 0.91) {
      if (frozen_[i]) return;
      if (down_[i]) return start(i);
      fixture_.note("kill e" + std::to_string(i + 1));
      fixture_.testbed().killOffice(i);
      down_[i] = true;
    } else if (what < 0.94) {
      fixture_.exchange(i).hang(fixture_.now(), lot() < 0.5);
      fixture_.testbed().wakeUp(day::processorIdentity(i));
    } else if (what < 0.96) {
      fixture_.setListedReadiness(i, lot() < 0.5 ? Readiness::draining : Readiness::gone, fixture_.exchange(i).mark());
    } else if (what < 0.965) {
      deafFrom_ = fixture_.office(i);
      deafTo_ = fixture_.office((i + 1) % kPlaces);
      deafUntil_ = fixture_.now() + Span::ms(8000 * lot());
    } else if (what < 0.98) {
      // Another processor in its place; the directory tells sooner or later.
      fixture_.startExchange(i, false);
      fixture_.directory().learns(fixture_.now(), i, Readiness::ready, fixture_.exchange(i).mark(),
                                  Span::ms(1500 * lot()));
      fixture_.testbed().wakeUp(day::kDirectory);
    } else {
      fixture_.setListedReadiness(i, Readiness::ready, fixture_.exchange(i).mark());
    }
  }

  std::mt19937 chance_;
  FleetFixture fixture_;
  TestPhone phone_;
  bool unrest_ = false;
  iax2::Address deafFrom_{}, deafTo_{};
  Instant deafUntil_ = Instant::longAgo();
  bool frozen_[kPlaces] = {}, down_[kPlaces] = {};
};

/// Writes a history file of the notation in histories/README.md as a capture.
void writeCapture(const std::string& history, const std::string& path) {
  std::ifstream in(history);
  REQUIRE(in.good());
  struct Line {
    Instant at;
    bool delivered;
    iax2::Address from, to;
    std::vector<std::uint8_t> bytes;
  };
  std::vector<Line> packets;
  const auto identity = [](const std::string& name) {
    const int number = name.size() == 2 ? name[1] - '1' : 0;
    return name == "caller"      ? day::kCallers
           : name == "directory" ? day::kDirectory
           : name == "script"    ? capture::kScriptAddress
           : name[0] == 'x'      ? day::processorIdentity(number)
                                 : day::officeIdentity(number);
  };
  std::string text;
  while (std::getline(in, text)) {
    std::istringstream words(text);
    double at = 0;
    std::string from, to, what;
    if (text.empty() || text[0] == '#') continue;
    REQUIRE(static_cast<bool>(words >> at >> from >> to >> what));
    int times = 1;
    std::vector<std::uint8_t> bytes;
    iax2::Frame frame;
    std::string called;
    if (what == "note" || what == "list") {
      std::string rest;
      std::getline(words >> std::ws, rest);
      std::replace(rest.begin(), rest.end(), '|', '\n');
      bytes.assign(rest.begin(), rest.end());
    } else {
      int source = 0, destination = 0, oseq = 0, iseq = 0;
      REQUIRE(static_cast<bool>(words >> source >> destination >> oseq >> iseq));
      frame.source = static_cast<std::uint16_t>(source);
      frame.destination = static_cast<std::uint16_t>(destination);
      frame.oseq = static_cast<std::uint8_t>(oseq);
      frame.iseq = static_cast<std::uint8_t>(iseq);
      static const std::map<std::string, iax2::Iax> kIax{
          {"NEW", iax2::Iax::NEW}, {"REJECT", iax2::Iax::REJECT}, {"HANGUP", iax2::Iax::HANGUP}};
      if (what == "ANSWER") frame.type = iax2::Type::control;
      frame.subclass = what == "ANSWER" ? static_cast<std::uint8_t>(iax2::Control::answer)
                                        : static_cast<std::uint8_t>(kIax.at(what));
      for (std::string word; words >> word;) {
        const std::string key = word.substr(0, word.find('=')), value = word.substr(word.find('=') + 1);
        iax2::Elements& e = frame.elements;
        if (key == "number") e.calledNumber = called = value;
        if (key == "limit") e.timeLeftMs = static_cast<std::uint32_t>(std::stoul(value));
        if (key == "session") e.session = std::stoull(value, nullptr, 16);
        if (key == "towards")
          e.destinationPlace = static_cast<std::uint16_t>(std::stoul(value)), e.width = std::uint16_t{1};
        if (key == "why") e.releaseReason = static_cast<iax2::ReleaseReason>(std::stoul(value));
        if (key == "times") times = std::stoi(value);
      }
    }
    for (int i = 0; i < times; ++i) {
      if (what != "note" && what != "list") {
        iax2::Frame one = frame;
        one.source = static_cast<std::uint16_t>(frame.source + i);
        bytes = iax2::encode(one, one.elements);
      }
      if (what != "note") packets.push_back({Instant::ms(at), false, identity(from), identity(to), bytes});
      packets.push_back({Instant::ms(at + (what == "note" ? 0 : 1)), true, identity(from), identity(to), bytes});
    }
  }
  std::stable_sort(packets.begin(), packets.end(), [](const Line& a, const Line& b) { return a.at < b.at; });
  capture::Writer writer(path);
  for (const Line& one : packets) writer.write({one.at, one.delivered, one.from, one.to, one.bytes});
  writer.close();
}

}  // namespace

TEST_CASE("seeded histories of the whole program keep the rules, and peace leaves nothing behind") {
  std::uint64_t tries = 0, stood = 0, invites = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    const Outcome outcome = Unrest(seed, "seeded").play(15000);
    CAPTURE(seed);
    CAPTURE(audit::describe(outcome.findings));
    CHECK(outcome.findings.kept());
    CHECK(outcome.atRest == "");
    tries += outcome.findings.tries;
    stood += outcome.findings.stood;
    invites += outcome.findings.invites;
  }
  CHECK(tries > 1250);
  CHECK(stood > 340);
  CHECK(invites > 625);
}

TEST_CASE("the same seed gives the same trace to the last datagram, another seed another") {
  const std::string first = Unrest(3, "first").play(4000).trace;
  CHECK(first.size() > 50000);
  CHECK((first == Unrest(3, "second").play(4000).trace));
  CHECK((first != Unrest(4, "third").play(4000).trace));
}

TEST_CASE("a history that breaks one rule is rejected for that rule and no other") {
  const std::string path =
      (std::filesystem::temp_directory_path() / ("thistlefold-history-" + std::to_string(::getpid()))).string();
  const Fleet fleet = day::identified(smallFleet(2, 200));
  for (int rule = 1; rule <= 5; ++rule) {
    writeCapture("tests/histories/rule-" + std::to_string(rule) + ".frames", path);
    const audit::Findings findings = audit::audit(fleet, path, audit::kVirtualTolerance);
    CAPTURE(rule);
    CAPTURE(audit::describe(findings));
    for (int other = 1; other <= 5; ++other) CHECK((findings.broken[other] > 0) == (other == rule));
    CHECK_FALSE(findings.kept());
  }
  std::filesystem::remove(path);
}
