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
    {"fleet", "(fleet ...) or a file", "", "the fleet; the day assigns its addresses"},
    {"seed", "a whole number", "1", "seed of all random draws of the day"},
    {"length", "milliseconds", "30000", "callers dial for this long"},
    {"callers", "(callers ...)", "-", "traffic"},
    {"processor", "(processor ...)", "-", "the exchanges' processors"},
    {"network", "(network ...)", "-", "delays and loss that are present all day"},
    {"notice", "milliseconds", "2000", "from a change of an exchange to its announcement"},
    {"at", "(at TIME (FAULT ...))", "", "a fault that is injected; repeatable"},
};
constexpr std::string_view kDayRepeatable[] = {"at"};

constexpr Keyword kCallers[] = {
    {"rate", "sessions a second", "30", "first call attempts of all callers together"},
    {"share", "(share SERVICE NUMBER)", "", "weight of a service; 1 where not given; repeatable"},
    {"shape", "steady, wave or ramp", "steady", "how the rate changes over the day"},
    {"swing", "a share", "0.2", "wave and ramp go this far above and below the rate"},
    {"pair-spread", "a number", "0.5", "how unequal destinations are"},
    {"redials", "a whole number", "2", "call attempts after the first"},
    {"backoff", "milliseconds", "800", "before a redial; half to one and a half times that"},
    {"honour", "a share", "0.7", "refused callers that wait as long as the office asks"},
    {"try-share", "a share", "0.35", "a call attempt is given up after this share of the timer limit"},
    {"returns-within", "milliseconds", "1500", "an aborted session is dialled again within this"},
};
constexpr std::string_view kCallersRepeatable[] = {"share"};

constexpr Keyword kProcessor[] = {
    {"follow-work", "a share", "0.35", "work of an answer, and of a release, relative to a set-up"},
    {"turn-away-work", "a share", "0.2", "work of rejecting a set-up, relative to a set-up"},
    {"longest-wait", "milliseconds", "1500", "set-ups are rejected while the queue is longer"},
    {"lines", "a whole number", "4", "lines of the number that mass calls dial"},
};

constexpr Keyword kNetwork[] = {
    {"same-zone", "milliseconds", "4", "one way"},
    {"cross-zone", "milliseconds", "12", "one way"},
    {"jitter", "a share", "0.2", "of the delay, at most"},
    {"loss", "a share", "0", "of all datagrams"},
};

/// How a kind of fault is written in a day file.
struct FaultSyntax {
  Fault::Kind kind;
  const char* keyword;
  const char* form;  // its whole form, for messages and explainDay()
  const char* meaning;
};

// WHERE: an exchange's name, all, (any N) or (zone NAME).
constexpr FaultSyntax kFaultSyntax[] = {
    {Fault::Kind::hang, "hang", "(hang WHERE LASTS)", "processors queue set-ups but process none"},
    {Fault::Kind::slow, "slow", "(slow WHERE LASTS TIMES)", "processors are that many times slower"},
    {Fault::Kind::age, "age", "(age WHERE LASTS DOUBLING)", "twice as slow every DOUBLING ms, then a crash"},
    {Fault::Kind::crash, "crash", "(crash WHERE LASTS)", "processors stop at once and come back cold"},
    {Fault::Kind::vanish, "vanish", "(vanish WHERE LASTS)",
     "processors disappear from the network, and come back cold"},
    {Fault::Kind::replace, "replace", "(replace WHERE DRAINS)", "drained, then a cold processor in place of the old"},
    {Fault::Kind::cut, "cut", "(cut WHERE SHARE)", "established sessions are aborted and dialled again"},
    {Fault::Kind::freeze, "freeze", "(freeze WHERE LASTS)", "offices are frozen"},
    {Fault::Kind::kill, "kill", "(kill WHERE LASTS)", "offices are killed and restarted"},
    {Fault::Kind::burst, "burst", "(burst LASTS TIMES)", "all callers dial that much more"},
    {Fault::Kind::hotCaller, "hot-caller", "(hot-caller WHERE LASTS TIMES)", "callers of some offices dial more"},
    {Fault::Kind::network, "network",
     "(network LASTS (loss S) (twice S) (late S MS) (cut-short S) (between WHERE WHERE))",
     "datagrams are lost, duplicated, delayed or truncated"},
    {Fault::Kind::directory, "directory", "(directory LASTS)", "the directory sends nothing"},
    {Fault::Kind::loseCircuits, "lose-circuits", "(lose-circuits WHERE LASTS KEEP)",
     "trunk groups from these exchanges to others keep this share of their circuits"},
    {Fault::Kind::massCall, "mass-call", "(mass-call WHERE LASTS SHARE)",
     "this share of all sessions dials one number there"},
    {Fault::Kind::budget, "budget", "(budget ZONE ZONE CIRCUITS)", "a budget between zones is changed while in use"},
};

/// Reads faults. Where the file leaves a time or place open, it is drawn from the day's seed, in the order of the file.
class FaultReader {
 public:
  FaultReader(const DayPlan& plan) : plan_(plan), generator_(plan.seed * 7919 + 17) {}

  Fault read(const Form& entry) {
    if (entry.items.size() != 3) entry.fail("(at TIME (FAULT ...)) is expected");
    Fault fault{};
    fault.at = Span::ms(readTime(entry.items[1]));
    const Form& body = entry.items[2];
    if (body.head().empty()) body.fail("a list that begins with a fault is expected");
    const auto syntax = std::find_if(std::begin(kFaultSyntax), std::end(kFaultSyntax),
                                     [&](const FaultSyntax& candidate) { return candidate.keyword == body.head(); });
    if (syntax == std::end(kFaultSyntax)) {
      std::vector<std::string_view> keywords;
      for (const FaultSyntax& known : kFaultSyntax) keywords.push_back(known.keyword);
      settings::failUnknownWord(body.items[0], body.head(), keywords);
    }
    fault.kind = syntax->kind;
    fault.text = textOf(body);
    const auto requireArguments = [&](std::size_t count) {
      if (body.items.size() != count + 1) body.fail(std::string(syntax->form) + " is expected");
    };
    switch (fault.kind) {
      case Fault::Kind::hang:
      case Fault::Kind::crash:
      case Fault::Kind::vanish:
      case Fault::Kind::replace:
      case Fault::Kind::freeze:
      case Fault::Kind::kill:
        requireArguments(2);
        fault.places = readPlaces(body.items[1]);
        fault.duration = Span::ms(settings::asNumber(body.items[2], 1, 1e8));
        break;
      case Fault::Kind::cut:
        requireArguments(2);
        fault.places = readPlaces(body.items[1]);
        fault.magnitude = settings::asNumber(body.items[2], 0, 1);
        break;
      case Fault::Kind::slow:
      case Fault::Kind::age:
      case Fault::Kind::hotCaller:
      case Fault::Kind::loseCircuits:
      case Fault::Kind::massCall: {
        requireArguments(3);
        fault.places = readPlaces(body.items[1]);
        fault.duration = Span::ms(settings::asNumber(body.items[2], 1, 1e8));
        const bool share = fault.kind == Fault::Kind::loseCircuits || fault.kind == Fault::Kind::massCall;
        fault.magnitude = settings::asNumber(body.items[3], share ? 0 : 0.01, share ? 1 : 1e6);
        break;
      }
      case Fault::Kind::burst:
        requireArguments(2);
        fault.duration = Span::ms(settings::asNumber(body.items[1], 1, 1e8));
        fault.magnitude = settings::asNumber(body.items[2], 0.01, 1000);
        break;
      case Fault::Kind::directory:
        requireArguments(1);
        fault.duration = Span::ms(settings::asNumber(body.items[1], 1, 1e8));
        break;
      case Fault::Kind::budget:
        requireArguments(3);
        readBudget(body, fault);
        break;
      case Fault::Kind::network:
        readNetwork(body, fault);
        break;
    }
    return fault;
  }

 private:
  void readNetwork(const Form& form, Fault& fault) {
    if (form.items.size() < 3) form.fail("(network LASTS (loss SHARE) ...) is expected");
    fault.duration = Span::ms(settings::asNumber(form.items[1], 1, 1e8));
    for (std::size_t i = 2; i < form.items.size(); ++i) {
      const Form& item = form.items[i];
      const std::string_view keyword = item.head();
      const auto share = [&](std::size_t count) {
        if (item.items.size() != count)
          item.fail("(" + std::string(keyword) + " SHARE" + (count > 2 ? " MS" : "") + ") is expected");
        return settings::asNumber(item.items[1], 0, 1);
      };
      if (keyword == "loss") {
        fault.lossShare = share(2);
      } else if (keyword == "twice") {
        fault.duplicateShare = share(2);
      } else if (keyword == "cut-short") {
        fault.truncatedShare = share(2);
      } else if (keyword == "late") {
        fault.delayedShare = share(3);
        fault.maxExtraDelay = Span::ms(settings::asNumber(item.items[2], 0, 1e5));
      } else if (keyword == "between") {
        if (item.items.size() != 3) item.fail("(between WHERE WHERE) is expected");
        fault.places = readPlaces(item.items[1]);
        fault.otherPlaces = readPlaces(item.items[2]);
      } else {
        settings::failUnknownWord(item, keyword, {"loss", "twice", "late", "cut-short", "between"});
      }
    }
  }

  void readBudget(const Form& form, Fault& fault) {
    const auto names = plan_.fleet.zones();
    int* const zones[] = {&fault.fromZone, &fault.toZone};
    for (std::size_t i = 0; i < 2; ++i) {
      *zones[i] = plan_.fleet.zone(settings::asText(form.items[i + 1]));
      if (*zones[i] < 0)
        settings::failUnknownWord(form.items[i + 1], form.items[i + 1].value, {names.begin(), names.end()});
    }
    const auto& budgets = plan_.fleet.budgets;
    if (std::none_of(budgets.begin(), budgets.end(), [&](const zones::Budget& budget) {
          return budget.from == fault.fromZone && budget.to == fault.toZone;
        })) {
      form.fail("the fleet has no budget from " + form.items[1].value + " to " + form.items[2].value);
    }
    fault.magnitude = settings::asNumber(form.items[3], 0, 1e6);
    if (fault.magnitude != static_cast<int>(fault.magnitude))
      form.items[3].fail("a whole number of circuits is expected");
  }

  double readTime(const Form& form) {
    if (form.head() != "between") return settings::asNumber(form, 0, 1e9);
    if (form.items.size() != 3) form.fail("(between FROM TO) is expected");
    const double from = settings::asNumber(form.items[1], 0, 1e9);
    const double to = settings::asNumber(form.items[2], from, 1e9);
    return from + (to - from) * std::generate_canonical<double, 32>(generator_);
  }

  std::vector<int> readPlaces(const Form& form) {
    const auto& places = plan_.fleet.places;
    std::vector<int> selected(places.size());
    for (std::size_t i = 0; i < selected.size(); ++i) selected[i] = static_cast<int>(i);
    if (form.isList()) {
      if (form.items.size() == 2 && form.head() == "any") {
        const auto count =
            static_cast<std::size_t>(settings::asNumber(form.items[1], 1, static_cast<double>(selected.size())));
        std::shuffle(selected.begin(), selected.end(), generator_);
        selected.resize(count);
        std::sort(selected.begin(), selected.end());
        return selected;
      }
      if (form.items.size() == 2 && form.head() == "zone") {
        const std::string zone = settings::asText(form.items[1]);
        std::erase_if(selected, [&](int i) { return places[static_cast<std::size_t>(i)].zone != zone; });
        if (selected.empty()) form.items[1].fail("no exchange is in zone '" + zone + "'");
        return selected;
      }
      form.fail("an exchange's name, all, (any N) or (zone NAME) is expected");
    }
    if (form.value == "all") return selected;
    const int place = plan_.fleet.place(form.value);
    if (place >= 0) return {place};
    std::vector<std::string_view> known{"all"};
    for (const ExchangeSite& candidate : places) known.push_back(candidate.name);
    settings::failUnknownWord(form, form.value, known);
  }

  static std::string textOf(const Form& form) {
    if (!form.isList()) return form.value;
    std::string out = "(";
    for (std::size_t i = 0; i < form.items.size(); ++i) out += (i > 0 ? " " : "") + textOf(form.items[i]);
    return out + ")";
  }

  const DayPlan& plan_;
  std::mt19937_64 generator_;
};

void readCallers(const Form& form, DayPlan& plan) {
  const Fields fields(form, 1, kCallers, kCallersRepeatable);
  plan.rate = fields.number("rate", 0.01, 1e5);
  plan.shape = fields.text("shape");
  const std::vector<std::string_view> shapes{"steady", "wave", "ramp"};
  if (std::find(shapes.begin(), shapes.end(), plan.shape) == shapes.end()) {
    settings::failUnknownWord(fields.find("shape")->items[1], plan.shape, shapes);
  }
  plan.swing = fields.number("swing", 0, 1);
  plan.pairSpread = fields.number("pair-spread", 0, 5);
  plan.behaviour.redials = fields.integer("redials", 0, 20);
  plan.behaviour.backoff = Span::ms(fields.number("backoff", 1, 1e6));
  plan.behaviour.retryAfterCompliance = fields.number("honour", 0, 1);
  plan.behaviour.attemptTimeoutShare = fields.number("try-share", 0.01, 1);
  plan.behaviour.maxRedialDelayAfterAbort = Span::ms(fields.number("returns-within", 0, 1e6));
  for (const Form* share : fields.all("share")) {
    if (share->items.size() != 3) share->fail("(share SERVICE NUMBER) is expected");
    const int service = plan.fleet.service(settings::asText(share->items[1]));
    if (service < 0) {
      std::vector<std::string_view> known;
      for (const OfferedService& offer : plan.fleet.offeredServices) known.push_back(offer.name);
      settings::failUnknownWord(share->items[1], share->items[1].value, known);
    }
    plan.serviceWeights[static_cast<std::size_t>(service)] = settings::asNumber(share->items[2], 0, 1e6);
  }
}

}  // namespace

DayPlan readDay(const Form& form, const std::string& folder) {
  if (form.head() != "day") form.fail("(day NAME ...) is expected");
  if (form.items.size() < 2 || form.items[1].isList()) form.fail("the day's name is expected first");
  const Fields fields(form, 2, kDay, kDayRepeatable);
  DayPlan plan;
  plan.name = form.items[1].value;
  const Form& fleet = *fields.find("fleet");
  if (fleet.items.size() == 2 && !fleet.items[1].isList()) {
    const auto path = std::filesystem::path(folder) / fleet.items[1].value;
    plan.fleet = settings::readFleet(settings::Document::open(path.string()).onlyForm("fleet"), false);
  } else {
    plan.fleet = settings::readFleet(fleet, false);
  }
  plan.seed = static_cast<std::uint64_t>(fields.number("seed", 0, 9e15));
  plan.length = Span::ms(fields.number("length", 100, 1e8));
  plan.directoryDelay = Span::ms(fields.number("notice", 0, 1e6));
  plan.serviceWeights.assign(plan.fleet.offeredServices.size(), 1.0);
  if (const Form* callers = fields.find("callers")) readCallers(*callers, plan);
  Form empty;
  const Form* processor = fields.find("processor");
  const Fields processorFields(processor == nullptr ? empty : *processor, 1, kProcessor);
  // Shares of a set-up's work; they are multiplied by it when the exchange is created.
  plan.processor.followUpWork = processorFields.number("follow-work", 0, 100);
  plan.processor.rejectWork = processorFields.number("turn-away-work", 0, 100);
  plan.processor.maxQueueDelay = Span::ms(processorFields.number("longest-wait", 0, 1e6));
  plan.massCallLines = processorFields.integer("lines", 1, 100000);
  plan.processor.coldCapacityShare = plan.fleet.config.coldCapacityShare;
  plan.processor.warmUpTime = plan.fleet.config.warmUpTime;
  plan.processor.overloadFactor = plan.fleet.config.overloadFactor;
  plan.processor.overloadWindow = plan.fleet.config.overloadWindow;
  const Form* network = fields.find("network");
  const Fields networkFields(network == nullptr ? empty : *network, 1, kNetwork);
  plan.network.sameZone = Span::ms(networkFields.number("same-zone", 0, 1e4));
  plan.network.crossZone = Span::ms(networkFields.number("cross-zone", 0, 1e4));
  plan.network.jitter = networkFields.number("jitter", 0, 10);
  plan.network.loss = networkFields.number("loss", 0, 1);
  FaultReader faultReader(plan);
  for (const Form* entry : fields.all("at")) plan.faults.push_back(faultReader.read(*entry));
  return plan;
}

DayPlan openDay(const std::string& path) {
  const settings::Document document = settings::Document::open(path);
  return readDay(document.onlyForm("day"), std::filesystem::path(path).parent_path().string());
}

std::string massCallNumber(const Fleet& fleet, int place) {
  return fleet.places[static_cast<std::size_t>(place)].numbers + "0000";
}

std::vector<PlannedCall> drawTraffic(const DayPlan& plan) {
  std::mt19937_64 generator(plan.seed);
  const auto drawUniform = [&] { return std::generate_canonical<double, 53>(generator); };
  const std::size_t count = plan.fleet.places.size();
  // How much traffic goes from each office to each exchange, and, in officeWeights, how much an office originates
  // relative to the mean.
  std::vector<double> pairWeights(count * count);
  std::normal_distribution<double> normal(0, plan.pairSpread);
  std::vector<double> officeWeights(count, 1.0);
  for (std::size_t i = 0; i < count; ++i) {
    for (std::size_t j = 0; j < count; ++j) pairWeights[i * count + j] = i == j ? 0 : std::exp(normal(generator));
  }
  if (!plan.pairWeights.empty()) {
    pairWeights = plan.pairWeights;
    double totalWeight = 0;
    for (std::size_t i = 0; i < count * count; ++i) totalWeight += pairWeights[i];
    for (std::size_t i = 0; i < count; ++i) {
      officeWeights[i] = 0;
      for (std::size_t j = 0; j < count; ++j)
        officeWeights[i] += pairWeights[i * count + j] * static_cast<double>(count) / totalWeight;
    }
  }
  std::vector<double> currentOfficeWeights(count, 1.0);
  const auto isActive = [](const Fault& fault, Span at) { return at >= fault.at && at < fault.at + fault.duration; };
  const auto rateAt = [&](Span at) {
    double rate = plan.rate;
    const double progress = at / plan.length;
    if (plan.shape == "wave") rate *= 1 + plan.swing * std::sin(progress * 4 * 3.14159265358979);
    if (plan.shape == "ramp") rate *= 1 + plan.swing * (2 * progress - 1);
    for (std::size_t k = 0; k < plan.shapePoints.size(); ++k) {
      if (k + 1 < plan.shapePoints.size() && at >= plan.shapePoints[k + 1].first) continue;
      const auto& [from, height] = plan.shapePoints[k];
      const auto& [to, next] = plan.shapePoints[std::min(k + 1, plan.shapePoints.size() - 1)];
      const double position = to > from ? std::clamp((at - from) / (to - from), 0.0, 1.0) : 0;
      rate *= height + (next - height) * position;
      break;
    }
    currentOfficeWeights = officeWeights;
    for (const Fault& fault : plan.faults) {
      if (!isActive(fault, at)) continue;
      if (fault.kind == Fault::Kind::burst) rate *= fault.magnitude;
      if (fault.kind != Fault::Kind::hotCaller) continue;
      for (const int place : fault.places) currentOfficeWeights[static_cast<std::size_t>(place)] *= fault.magnitude;
    }
    double sum = 0;
    for (const double weight : currentOfficeWeights) sum += weight;
    return rate * sum / static_cast<double>(count);
  };
  double highestRate = plan.rate * (1 + plan.swing);
  for (const auto& point : plan.shapePoints) highestRate = std::max(highestRate, plan.rate * point.second);
  for (const Fault& fault : plan.faults) {
    if (fault.kind == Fault::Kind::burst || fault.kind == Fault::Kind::hotCaller)
      highestRate *= std::max(1.0, fault.magnitude);
  }
  const auto drawIndex = [&](const double* weights, std::size_t size) {
    double sum = 0;
    for (std::size_t i = 0; i < size; ++i) sum += weights[i];
    double remaining = drawUniform() * sum;
    for (std::size_t i = 0; i < size; ++i) {
      if ((remaining -= weights[i]) < 0) return i;
    }
    return size - 1;
  };
  std::vector<PlannedCall> calls;
  // The calls are a Poisson process whose rate changes over the day. It is drawn by thinning: candidates are drawn at
  // the highest rate, and each is kept with the ratio of the rate at that time to the highest rate as probability.
  for (Span at; (at = at + Span::ms(-std::log(1 - drawUniform()) * 1000 / highestRate)) < plan.length;) {
    if (drawUniform() * highestRate > rateAt(at)) continue;
    PlannedCall call;
    call.at = Instant() + at;
    call.office = static_cast<int>(drawIndex(currentOfficeWeights.data(), count));
    call.service = static_cast<int>(drawIndex(plan.serviceWeights.data(), plan.serviceWeights.size()));
    const auto to = drawIndex(&pairWeights[static_cast<std::size_t>(call.office) * count], count);
    call.number =
        plan.fleet.places[to].numbers + std::to_string(10001 + static_cast<int>(drawUniform() * 9999)).substr(1);
    const Service& service = plan.fleet.config.services[static_cast<std::size_t>(call.service)];
    call.hold = service.meanHold * std::min(4.0, -std::log(1 - drawUniform()));
    for (const Fault& fault : plan.faults) {
      if (fault.kind != Fault::Kind::massCall || !isActive(fault, at) || drawUniform() >= fault.magnitude) continue;
      const int called =
          fault.places[static_cast<std::size_t>(drawUniform() * static_cast<double>(fault.places.size()))];
      if (called != call.office) call.number = massCallNumber(plan.fleet, called);
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

void explainDay(std::ostream& out) {
  settings::explainKeywords(out, "day NAME", kDay);
  settings::explainKeywords(out, "callers", kCallers);
  settings::explainKeywords(out, "processor", kProcessor);
  settings::explainKeywords(out, "network", kNetwork);
  out << "(at TIME (FAULT ...)): TIME in milliseconds or (between FROM TO); WHERE is an exchange's name, all, (any "
         "N)\n"
         "or (zone NAME)\n";
  for (const FaultSyntax& syntax : kFaultSyntax) out << "  " << syntax.form << "\n      " << syntax.meaning << '\n';
}

}  // namespace thistlefold::day
