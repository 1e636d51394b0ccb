#include "day/script.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <random>

#include "settings/files.hpp"

namespace thistlefold::day {
namespace {

using settings::Fields;
using settings::Form;
using settings::Keyword;

constexpr Keyword kDay[] = {
    {"fleet", "(fleet ...) or a file", "", "the fleet; its addresses are given out by the day"},
    {"seed", "a whole number", "1", "all chance of the day begins here"},
    {"length", "milliseconds", "30000", "callers dial for so long"},
    {"callers", "(callers ...)", "-", "traffic"},
    {"processor", "(processor ...)", "-", "the exchanges' processors"},
    {"network", "(network ...)", "-", "delays and loss that are always there"},
    {"notice", "milliseconds", "2000", "how late the directory tells"},
    {"at", "(at TIME (TROUBLE ...))", "", "what goes wrong; several"},
};
constexpr std::string_view kDayMany[] = {"at"};

constexpr Keyword kCallers[] = {
    {"rate", "sessions a second", "30", "first tries of all callers together"},
    {"share", "(share SERVICE NUMBER)", "", "weight of a service; 1 where not given; several"},
    {"shape", "steady, wave or ramp", "steady", "how the rate goes over the day"},
    {"swing", "a share", "0.2", "wave and ramp go so far above and below"},
    {"pair-spread", "a number", "0.5", "how unequal destinations are"},
    {"redials", "a whole number", "2", "tries after the first"},
    {"backoff", "milliseconds", "800", "before a redial; half to one and a half times that"},
    {"honour", "a share", "0.7", "callers that wait as long as they are told"},
    {"try-share", "a share", "0.35", "a try is given up after this share of the timer limit"},
    {"returns-within", "milliseconds", "1500", "a caller who was cut dials again within this"},
};
constexpr std::string_view kCallersMany[] = {"share"};

constexpr Keyword kProcessor[] = {
    {"follow-work", "a share", "0.35", "work of an answer, and of a release, against a set-up"},
    {"turn-away-work", "a share", "0.2", "work of turning a set-up away, against a set-up"},
    {"longest-wait", "milliseconds", "1500", "set-ups are turned away when the line is longer"},
    {"lines", "a whole number", "4", "lines of the number that mass calls dial"},
};

constexpr Keyword kNetwork[] = {
    {"same-zone", "milliseconds", "4", "one way"},
    {"cross-zone", "milliseconds", "12", "one way"},
    {"jitter", "a share", "0.2", "of the delay, at most"},
    {"loss", "a share", "0", "of all datagrams"},
};

struct Verb {
  Fault::Kind kind;
  const char* word;
  const char* form;  // how it is written
  const char* means;
};

// WHERE: an exchange's name, all, (any N) or (zone NAME).
constexpr Verb kVerbs[] = {
    {Fault::Kind::hang, "hang", "(hang WHERE LASTS)", "processors take set-ups and answer none"},
    {Fault::Kind::slow, "slow", "(slow WHERE LASTS TIMES)", "processors are that many times slower"},
    {Fault::Kind::age, "age", "(age WHERE LASTS DOUBLING)", "twice as slow every DOUBLING ms, then a crash"},
    {Fault::Kind::crash, "crash", "(crash WHERE LASTS)", "processors die at once and come back cold"},
    {Fault::Kind::vanish, "vanish", "(vanish WHERE LASTS)", "nothing comes from them, then they come back cold"},
    {Fault::Kind::replace, "replace", "(replace WHERE DRAINS)", "drained, then a cold processor in place of the old"},
    {Fault::Kind::cut, "cut", "(cut WHERE SHARE)", "standing sessions are cut and their callers return"},
    {Fault::Kind::freeze, "freeze", "(freeze WHERE LASTS)", "offices stand still"},
    {Fault::Kind::kill, "kill", "(kill WHERE LASTS)", "offices are killed and started anew"},
    {Fault::Kind::burst, "burst", "(burst LASTS TIMES)", "all callers dial that much more"},
    {Fault::Kind::hotCaller, "hot-caller", "(hot-caller WHERE LASTS TIMES)", "callers of some offices dial more"},
    {Fault::Kind::network, "network",
     "(network LASTS (loss S) (twice S) (late S MS) (cut-short S) (between WHERE WHERE))",
     "datagrams are lost, doubled, late, cut short"},
    {Fault::Kind::directory, "directory", "(directory LASTS)", "the directory says nothing"},
    {Fault::Kind::loseCircuits, "lose-circuits", "(lose-circuits WHERE LASTS KEEP)",
     "groups between these and other zones keep that share of their circuits"},
    {Fault::Kind::massCall, "mass-call", "(mass-call WHERE LASTS SHARE)",
     "that share of all sessions dials one number there"},
    {Fault::Kind::budget, "budget", "(budget ZONE ZONE CIRCUITS)", "a budget between zones is changed in service"},
};

class TroubleReader {
 public:
  TroubleReader(const DayPlan& plan) : plan_(plan), chance_(plan.seed * 7919 + 17) {}

  Fault read(const Form& at) {
    if (at.items.size() != 3) at.fail("(at TIME (TROUBLE ...)) is expected");
    Fault fault{};
    fault.at = Span::ms(time(at.items[1]));
    const Form& what = at.items[2];
    if (what.head().empty()) what.fail("a list that begins with a trouble is expected");
    const auto verb =
        std::find_if(std::begin(kVerbs), std::end(kVerbs), [&](const Verb& one) { return one.word == what.head(); });
    if (verb == std::end(kVerbs)) {
      std::vector<std::string_view> known;
      for (const Verb& one : kVerbs) known.push_back(one.word);
      settings::failUnknownWord(what.items[0], what.head(), known);
    }
    fault.kind = verb->kind;
    fault.words = write(what);
    const auto need = [&](std::size_t count) {
      if (what.items.size() != count + 1) what.fail(std::string(verb->form) + " is expected");
    };
    switch (fault.kind) {
      case Fault::Kind::hang:
      case Fault::Kind::crash:
      case Fault::Kind::vanish:
      case Fault::Kind::replace:
      case Fault::Kind::freeze:
      case Fault::Kind::kill:
        need(2);
        fault.places = where(what.items[1]);
        fault.lasts = Span::ms(settings::asNumber(what.items[2], 1, 1e8));
        break;
      case Fault::Kind::cut:
        need(2);
        fault.places = where(what.items[1]);
        fault.size = settings::asNumber(what.items[2], 0, 1);
        break;
      case Fault::Kind::slow:
      case Fault::Kind::age:
      case Fault::Kind::hotCaller:
      case Fault::Kind::loseCircuits:
      case Fault::Kind::massCall: {
        need(3);
        fault.places = where(what.items[1]);
        fault.lasts = Span::ms(settings::asNumber(what.items[2], 1, 1e8));
        const bool share = fault.kind == Fault::Kind::loseCircuits || fault.kind == Fault::Kind::massCall;
        fault.size = settings::asNumber(what.items[3], share ? 0 : 0.01, share ? 1 : 1e6);
        break;
      }
      case Fault::Kind::burst:
        need(2);
        fault.lasts = Span::ms(settings::asNumber(what.items[1], 1, 1e8));
        fault.size = settings::asNumber(what.items[2], 0.01, 1000);
        break;
      case Fault::Kind::directory:
        need(1);
        fault.lasts = Span::ms(settings::asNumber(what.items[1], 1, 1e8));
        break;
      case Fault::Kind::budget:
        need(3);
        budget(what, fault);
        break;
      case Fault::Kind::network:
        network(what, fault);
        break;
    }
    return fault;
  }

 private:
  void network(const Form& what, Fault& fault) {
    if (what.items.size() < 3) what.fail("(network LASTS (loss SHARE) ...) is expected");
    fault.lasts = Span::ms(settings::asNumber(what.items[1], 1, 1e8));
    for (std::size_t i = 2; i < what.items.size(); ++i) {
      const Form& one = what.items[i];
      const std::string_view word = one.head();
      const auto share = [&](std::size_t count) {
        if (one.items.size() != count)
          one.fail("(" + std::string(word) + " SHARE" + (count > 2 ? " MS" : "") + ") is expected");
        return settings::asNumber(one.items[1], 0, 1);
      };
      if (word == "loss") {
        fault.loss = share(2);
      } else if (word == "twice") {
        fault.twice = share(2);
      } else if (word == "cut-short") {
        fault.cutShort = share(2);
      } else if (word == "late") {
        fault.late = share(3);
        fault.lateBy = Span::ms(settings::asNumber(one.items[2], 0, 1e5));
      } else if (word == "between") {
        if (one.items.size() != 3) one.fail("(between WHERE WHERE) is expected");
        fault.places = where(one.items[1]);
        fault.others = where(one.items[2]);
      } else {
        settings::failUnknownWord(one, word, {"loss", "twice", "late", "cut-short", "between"});
      }
    }
  }

  void budget(const Form& what, Fault& fault) {
    const auto names = plan_.fleet.zones();
    int* const ends[] = {&fault.from, &fault.to};
    for (std::size_t i = 0; i < 2; ++i) {
      *ends[i] = plan_.fleet.zone(settings::asText(what.items[i + 1]));
      if (*ends[i] < 0)
        settings::failUnknownWord(what.items[i + 1], what.items[i + 1].value, {names.begin(), names.end()});
    }
    const auto& budgets = plan_.fleet.budgets;
    if (std::none_of(budgets.begin(), budgets.end(),
                     [&](const zones::Budget& one) { return one.from == fault.from && one.to == fault.to; })) {
      what.fail("the fleet has no budget from " + what.items[1].value + " to " + what.items[2].value);
    }
    fault.size = settings::asNumber(what.items[3], 0, 1e6);
    if (fault.size != static_cast<int>(fault.size)) what.items[3].fail("a whole number of circuits is expected");
  }

  double time(const Form& form) {
    if (form.head() != "between") return settings::asNumber(form, 0, 1e9);
    if (form.items.size() != 3) form.fail("(between FROM TO) is expected");
    const double from = settings::asNumber(form.items[1], 0, 1e9);
    const double to = settings::asNumber(form.items[2], from, 1e9);
    return from + (to - from) * std::generate_canonical<double, 32>(chance_);
  }

  std::vector<int> where(const Form& form) {
    const auto& places = plan_.fleet.places;
    std::vector<int> all(places.size());
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = static_cast<int>(i);
    if (form.isList()) {
      if (form.items.size() == 2 && form.head() == "any") {
        const auto count =
            static_cast<std::size_t>(settings::asNumber(form.items[1], 1, static_cast<double>(all.size())));
        std::shuffle(all.begin(), all.end(), chance_);
        all.resize(count);
        std::sort(all.begin(), all.end());
        return all;
      }
      if (form.items.size() == 2 && form.head() == "zone") {
        const std::string zone = settings::asText(form.items[1]);
        std::erase_if(all, [&](int i) { return places[static_cast<std::size_t>(i)].zone != zone; });
        if (all.empty()) form.items[1].fail("no exchange is in zone '" + zone + "'");
        return all;
      }
      form.fail("an exchange's name, all, (any N) or (zone NAME) is expected");
    }
    if (form.value == "all") return all;
    const int place = plan_.fleet.place(form.value);
    if (place >= 0) return {place};
    std::vector<std::string_view> known{"all"};
    for (const Place& one : places) known.push_back(one.name);
    settings::failUnknownWord(form, form.value, known);
  }

  static std::string write(const Form& form) {
    if (!form.isList()) return form.value;
    std::string out = "(";
    for (std::size_t i = 0; i < form.items.size(); ++i) out += (i > 0 ? " " : "") + write(form.items[i]);
    return out + ")";
  }

  const DayPlan& plan_;
  std::mt19937_64 chance_;
};

void readCallers(const Form& form, DayPlan& plan) {
  const Fields f(form, 1, kCallers, kCallersMany);
  plan.rate = f.number("rate", 0.01, 1e5);
  plan.shape = f.text("shape");
  const std::vector<std::string_view> shapes{"steady", "wave", "ramp"};
  if (std::find(shapes.begin(), shapes.end(), plan.shape) == shapes.end()) {
    settings::failUnknownWord(f.find("shape")->items[1], plan.shape, shapes);
  }
  plan.swing = f.number("swing", 0, 1);
  plan.pairSpread = f.number("pair-spread", 0, 5);
  plan.behaviour.redials = f.integer("redials", 0, 20);
  plan.behaviour.backoff = Span::ms(f.number("backoff", 1, 1e6));
  plan.behaviour.honour = f.number("honour", 0, 1);
  plan.behaviour.tryShare = f.number("try-share", 0.01, 1);
  plan.behaviour.returnsWithin = Span::ms(f.number("returns-within", 0, 1e6));
  for (const Form* share : f.all("share")) {
    if (share->items.size() != 3) share->fail("(share SERVICE NUMBER) is expected");
    const int service = plan.fleet.service(settings::asText(share->items[1]));
    if (service < 0) {
      std::vector<std::string_view> known;
      for (const OfferedService& offer : plan.fleet.offeredServices) known.push_back(offer.name);
      settings::failUnknownWord(share->items[1], share->items[1].value, known);
    }
    plan.shares[static_cast<std::size_t>(service)] = settings::asNumber(share->items[2], 0, 1e6);
  }
}

}  // namespace

DayPlan readDay(const Form& form, const std::string& folder) {
  if (form.head() != "day") form.fail("(day NAME ...) is expected");
  if (form.items.size() < 2 || form.items[1].isList()) form.fail("the day's name is expected first");
  const Fields f(form, 2, kDay, kDayMany);
  DayPlan plan;
  plan.name = form.items[1].value;
  const Form& fleet = *f.find("fleet");
  if (fleet.items.size() == 2 && !fleet.items[1].isList()) {
    const auto path = std::filesystem::path(folder) / fleet.items[1].value;
    plan.fleet = settings::readFleet(settings::Document::open(path.string()).onlyForm("fleet"), false);
  } else {
    plan.fleet = settings::readFleet(fleet, false);
  }
  plan.seed = static_cast<std::uint64_t>(f.number("seed", 0, 9e15));
  plan.length = Span::ms(f.number("length", 100, 1e8));
  plan.notice = Span::ms(f.number("notice", 0, 1e6));
  plan.shares.assign(plan.fleet.offeredServices.size(), 1.0);
  if (const Form* callers = f.find("callers")) readCallers(*callers, plan);
  Form none;
  const Form* processor = f.find("processor");
  const Fields p(processor == nullptr ? none : *processor, 1, kProcessor);
  // Against a set-up of one; whoever places the exchange multiplies by its set-up's work.
  plan.processor.followWork = p.number("follow-work", 0, 100);
  plan.processor.turnAwayWork = p.number("turn-away-work", 0, 100);
  plan.processor.longestWait = Span::ms(p.number("longest-wait", 0, 1e6));
  plan.lines = p.integer("lines", 1, 100000);
  plan.processor.coldCapacityShare = plan.fleet.data.coldCapacityShare;
  plan.processor.warmUpTime = plan.fleet.data.warmUpTime;
  plan.processor.overloadFactor = plan.fleet.data.overloadFactor;
  plan.processor.overloadWindow = plan.fleet.data.overloadWindow;
  const Form* network = f.find("network");
  const Fields n(network == nullptr ? none : *network, 1, kNetwork);
  plan.network.sameZone = Span::ms(n.number("same-zone", 0, 1e4));
  plan.network.crossZone = Span::ms(n.number("cross-zone", 0, 1e4));
  plan.network.jitter = n.number("jitter", 0, 10);
  plan.network.loss = n.number("loss", 0, 1);
  TroubleReader faults(plan);
  for (const Form* at : f.all("at")) plan.faults.push_back(faults.read(*at));
  return plan;
}

DayPlan openDay(const std::string& path) {
  const settings::Document document = settings::Document::open(path);
  return readDay(document.onlyForm("day"), std::filesystem::path(path).parent_path().string());
}

std::string massCalled(const Fleet& fleet, int place) {
  return fleet.places[static_cast<std::size_t>(place)].numbers + "0000";
}

std::vector<PlannedCall> traffic(const DayPlan& plan) {
  std::mt19937_64 chance(plan.seed);
  const auto lot = [&] { return std::generate_canonical<double, 53>(chance); };
  const std::size_t count = plan.fleet.places.size();
  // How much goes from each office to each exchange.
  std::vector<double> pairs(count * count);
  std::normal_distribution<double> normal(0, plan.pairSpread);
  std::vector<double> usual(count, 1.0);
  for (std::size_t i = 0; i < count; ++i) {
    for (std::size_t j = 0; j < count; ++j) pairs[i * count + j] = i == j ? 0 : std::exp(normal(chance));
  }
  if (!plan.pairs.empty()) {
    pairs = plan.pairs;
    double all = 0;
    for (std::size_t i = 0; i < count * count; ++i) all += pairs[i];
    for (std::size_t i = 0; i < count; ++i) {
      usual[i] = 0;
      for (std::size_t j = 0; j < count; ++j) usual[i] += pairs[i * count + j] * static_cast<double>(count) / all;
    }
  }
  std::vector<double> offices(count, 1.0);
  const auto during = [](const Fault& one, Span at) { return at >= one.at && at < one.at + one.lasts; };
  const auto rateAt = [&](Span at) {
    double rate = plan.rate;
    const double part = at / plan.length;
    if (plan.shape == "wave") rate *= 1 + plan.swing * std::sin(part * 4 * 3.14159265358979);
    if (plan.shape == "ramp") rate *= 1 + plan.swing * (2 * part - 1);
    for (std::size_t k = 0; k < plan.knots.size(); ++k) {
      if (k + 1 < plan.knots.size() && at >= plan.knots[k + 1].first) continue;
      const auto& [from, height] = plan.knots[k];
      const auto& [to, next] = plan.knots[std::min(k + 1, plan.knots.size() - 1)];
      const double way = to > from ? std::clamp((at - from) / (to - from), 0.0, 1.0) : 0;
      rate *= height + (next - height) * way;
      break;
    }
    offices = usual;
    for (const Fault& one : plan.faults) {
      if (!during(one, at)) continue;
      if (one.kind == Fault::Kind::burst) rate *= one.size;
      if (one.kind != Fault::Kind::hotCaller) continue;
      for (const int place : one.places) offices[static_cast<std::size_t>(place)] *= one.size;
    }
    double sum = 0;
    for (const double office : offices) sum += office;
    return rate * sum / static_cast<double>(count);
  };
  double most = plan.rate * (1 + plan.swing);
  for (const auto& knot : plan.knots) most = std::max(most, plan.rate * knot.second);
  for (const Fault& one : plan.faults) {
    if (one.kind == Fault::Kind::burst || one.kind == Fault::Kind::hotCaller) most *= std::max(1.0, one.size);
  }
  const auto draw = [&](const double* weights, std::size_t size) {
    double sum = 0;
    for (std::size_t i = 0; i < size; ++i) sum += weights[i];
    double at = lot() * sum;
    for (std::size_t i = 0; i < size; ++i) {
      if ((at -= weights[i]) < 0) return i;
    }
    return size - 1;
  };
  std::vector<PlannedCall> dials;
  // Thinning of a Poisson process at the highest rate.
  for (Span at; (at = at + Span::ms(-std::log(1 - lot()) * 1000 / most)) < plan.length;) {
    if (lot() * most > rateAt(at)) continue;
    PlannedCall dial;
    dial.at = Instant() + at;
    dial.office = static_cast<int>(draw(offices.data(), count));
    dial.service = static_cast<int>(draw(plan.shares.data(), plan.shares.size()));
    const auto to = draw(&pairs[static_cast<std::size_t>(dial.office) * count], count);
    dial.number = plan.fleet.places[to].numbers + std::to_string(10001 + static_cast<int>(lot() * 9999)).substr(1);
    const Service& service = plan.fleet.data.services[static_cast<std::size_t>(dial.service)];
    dial.hold = service.meanHold * std::min(4.0, -std::log(1 - lot()));
    for (const Fault& one : plan.faults) {
      if (one.kind != Fault::Kind::massCall || !during(one, at) || lot() >= one.size) continue;
      const int called = one.places[static_cast<std::size_t>(lot() * static_cast<double>(one.places.size()))];
      if (called != dial.office) dial.number = massCalled(plan.fleet, called);
    }
    dials.push_back(std::move(dial));
  }
  return dials;
}

void explainDay(std::ostream& out) {
  settings::explainKeywords(out, "day NAME", kDay);
  settings::explainKeywords(out, "callers", kCallers);
  settings::explainKeywords(out, "processor", kProcessor);
  settings::explainKeywords(out, "network", kNetwork);
  out << "(at TIME (TROUBLE ...)): TIME in milliseconds or (between FROM TO); WHERE is an exchange's name, all, (any "
         "N)\n"
         "or (zone NAME)\n";
  for (const Verb& one : kVerbs) out << "  " << one.form << "\n      " << one.means << '\n';
}

}  // namespace thistlefold::day
