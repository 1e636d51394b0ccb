#include "settings/files.hpp"

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>

namespace thistlefold::settings {
namespace {

constexpr Keyword kFleet[] = {
    {"service", "(service NAME ...)", "", "a service that callers dial; repeatable"},
    {"rules", "(rules ...)", "-", "parameters of the five rules"},
    {"exchange", "(exchange NAME ...)", "", "an exchange with its office; repeatable"},
    {"group", "(group NAME NAME CIRCUITS)", "", "the trunk group between two exchanges; repeatable"},
    {"budget", "(budget ZONE ZONE CIRCUITS ...)", "", "circuits in use at once from one zone to another; repeatable"},
    {"mesh", "(mesh COUNT ...)", "-", "generates that many exchanges e1, e2, ... with groups between them"},
    {"directory", "(directory ADDRESS)", "-", "the directory; lists from other addresses are ignored"},
};
constexpr std::string_view kRepeatableInFleet[] = {"service", "exchange", "group", "budget"};

constexpr Keyword kBudget[] = {
    {"class", "(class SERVICE ...)", "", "share of one service in the budget; repeatable"},
    {"dividing", "equal or lent", "equal",
     "offices of the zone keep equal parts, or lend circuits of their parts to each other"},
    {"overrun", "stand or end", "stand",
     "when the budget is lowered: sessions above it continue, or are ended, lowest value first"},
    {"circuit-seconds", "a number", "-1", "circuit-seconds that may be used in one period; -1 for no bound"},
    {"period", "milliseconds", "3600000", "length of the period that circuit-seconds counts for"},
};
constexpr std::string_view kRepeatableInBudget[] = {"class"};

constexpr Keyword kClass[] = {
    {"guaranteed", "circuits", "0", "reserved for this service"},
    {"most", "circuits", "-1", "upper bound for this service; -1 for no bound"},
};

constexpr Keyword kService[] = {
    {"width", "a whole number of circuits", "1", "circuits that a session occupies on each group"},
    {"value", "a number", "1", "value of a session that is established within the post-dial target"},
    {"late-value", "a share", "0.25", "share of the value of a session that is established later"},
    {"post-dial-target", "milliseconds", "2000", "a session should be established within this time"},
    {"timer-limit", "milliseconds", "9000", "callers give up after this time at the latest"},
    {"mean-hold", "milliseconds", "10000", "mean duration of sessions"},
    {"repeatable", "yes or no", "yes", "an INVITE that may have been executed may be followed by another"},
};

constexpr Keyword kRules[] = {
    {"most-invites", "a whole number", "6", "most INVITEs for one session"},
    {"release", "milliseconds", "300", "rule 5: no further INVITE within this time after a time-out, reset or cancel"},
    {"drain-grace", "milliseconds", "500", "rule 3: no new INVITE later than this after the drain was announced"},
    {"cold-from", "a share", "0.3", "share of its capacity that a processor has when it has just started"},
    {"warm-after", "milliseconds", "12000", "time from a processor's start until it is warm"},
    {"fall-multiple", "a number", "3",
     "rule 4: a processor collapses when offered more than this multiple of its capacity"},
    {"tip-after", "milliseconds", "1500", "rule 4: ... for this long"},
    {"retry-after", "yes or no", "yes", "refusals may carry a Retry-After for the caller"},
    {"longest-retry-after", "milliseconds", "2000", "longest Retry-After"},
    {"ask", "yes or no", "no", "the directory sends lists only to offices that have asked for them"},
};

constexpr Keyword kExchange[] = {
    {"zone", "a word", "home", "zone of the exchange"},
    {"numbers", "digits", "", "called numbers with this prefix terminate here"},
    {"office", "ADDRESS:PORT", "127.0.0.1:0", "address that its office listens on"},
    {"processor", "ADDRESS:PORT", "127.0.0.1:0", "address that the exchange itself listens on"},
    {"capacity", "set-ups a second", "500", "capacity of its processor when warm"},
};

constexpr Keyword kMesh[] = {
    {"zones", "words", "home", "zones, assigned to the exchanges in rotation"},
    {"circuits", "a whole number", "24", "mean size of a group"},
    {"spread", "a share", "0.4", "largest deviation of a group from the mean, as a share of it"},
    {"unlinked", "a share", "0", "share of the pairs of exchanges without a group"},
    {"capacity", "set-ups a second", "500", "capacity of each processor when warm"},
    {"seed", "a whole number", "1", "seed for group sizes and missing groups"},
};

constexpr Keyword kOffice[] = {
    {"fleet", "a file", "", "the fleet file, relative to this file's folder"},
    {"listen", "ADDRESS:PORT", "from the fleet", "address to listen on; port 0 picks a free port"},
    {"seed", "a whole number", "1", "seed of the controller's random numbers"},
    {"sessions", "a whole number", "20000", "most sessions at a time; further ones are refused immediately"},
    {"poke", "milliseconds", "1000", "interval of keep-alives to other offices"},
    {"silent", "milliseconds", "6000", "sessions over an office that has been silent for this long are given up"},
    {"exchange-poke", "milliseconds", "300", "interval of keep-alives to the own exchange"},
    {"first-repeat", "milliseconds", "200",
     "an unacknowledged frame is retransmitted after this time, doubled each time"},
    {"repeats", "a whole number", "6", "retransmissions without an answer after which a call is given up"},
    {"ping", "milliseconds", "20000", "a call without traffic is probed after this time"},
    {"log", "(log ...)", "-", "logging"},
};

constexpr Keyword kLog[] = {
    {"level", "debug, info, warn or error", "info", "debug logs a line for each event of a session"},
    {"format", "logfmt or json", "logfmt", "format of log lines"},
    {"to", "a file or -", "-", "- is standard error"},
};

// The name after a list's head, checked. `kind` is what is named, for the error message.
std::string nameOf(const Form& form, const char* kind) {
  if (form.items.size() < 2 || form.items[1].isList()) {
    form.fail(std::string("the name of the ") + kind + " is expected first");
  }
  const std::string& name = form.items[1].value;
  const bool isValid = !name.empty() && name.size() <= 40 && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  if (!isValid) form.items[1].fail("a name of 1 to 40 letters, digits, - and _ is expected, not '" + name + "'");
  return name;
}

// The field's value, in milliseconds.
Span span(const Fields& fields, std::string_view word, double least = 0) {
  return Span::ms(fields.number(word, least, 1e9));
}

void readServices(const Fields& fields, Fleet& fleet) {
  for (const Form* form : fields.all("service")) {
    OfferedService offered{nameOf(*form, "service"), 1};
    if (fleet.service(offered.name) >= 0) form->fail("service '" + offered.name + "' is given twice");
    const Fields f(*form, 2, kService);
    Service service;
    offered.width = f.integer("width", 1, 1000);
    service.value = f.number("value", 0, 1e6);
    service.lateValue = f.number("late-value", 0, 1);
    service.postDialTarget = span(f, "post-dial-target", 1);
    service.timerLimit = span(f, "timer-limit", 1);
    service.meanHold = span(f, "mean-hold", 1);
    service.repeatable = f.boolean("repeatable");
    fleet.offeredServices.push_back(offered);
    fleet.config.services.push_back(service);
  }
  if (fleet.offeredServices.empty()) fields.list().fail("at least one (service NAME ...) is expected");
}

void readRules(const Fields& fields, Fleet& fleet) {
  Form empty;  // without (rules ...) all fields have their default values
  const Form* given = fields.find("rules");
  const Fields f(given == nullptr ? empty : *given, 1, kRules);
  fleet.config.maxInvites = f.integer("most-invites", 1, 100);
  fleet.config.releaseTime = span(f, "release");
  fleet.drainGrace = span(f, "drain-grace");
  fleet.config.coldCapacityShare = f.number("cold-from", 0, 1);
  fleet.config.warmUpTime = span(f, "warm-after");
  fleet.config.overloadFactor = f.number("fall-multiple", 0, 1000);
  fleet.config.overloadWindow = span(f, "tip-after");
  fleet.config.honoursRetryAfter = f.boolean("retry-after");
  fleet.config.longestRetryAfter = span(f, "longest-retry-after");
  fleet.config.mustSubscribe = f.boolean("ask");
  fleet.config.listStaleAfter = Span::ms(5000);
}

void readExchanges(const Fields& fields, Fleet& fleet, bool requireAddresses) {
  for (const Form* form : fields.all("exchange")) {
    ExchangeSite place;
    place.name = nameOf(*form, "exchange");
    if (fleet.place(place.name) >= 0) form->fail("exchange '" + place.name + "' is given twice");
    const Fields f(*form, 2, kExchange);
    place.zone = f.text("zone");
    place.numbers = f.text("numbers");
    const bool onlyDigits = std::all_of(place.numbers.begin(), place.numbers.end(),
                                        [](char c) { return (c >= '0' && c <= '9') || c == '*' || c == '#'; });
    if (!onlyDigits || place.numbers.size() > 16) f.find("numbers")->items[1].fail("1 to 16 digits are expected");
    for (const ExchangeSite& other : fleet.places) {
      if (other.numbers == place.numbers) {
        f.find("numbers")->items[1].fail("numbers " + place.numbers + " belong to exchange '" + other.name + "'");
      }
    }
    for (auto [word, address] : {std::pair("office", &place.office), std::pair("processor", &place.processor)}) {
      if (const Form* given = f.find(word)) {
        if (given->items.size() != 2) given->fail("an ADDRESS:PORT is expected");
        *address = asAddress(given->items[1]);
      } else if (requireAddresses) {
        form->fail(std::string("(") + word + " ADDRESS:PORT) is missing");
      }
    }
    place.setUpsPerSecond = f.number("capacity", 0.1, 1e6);
    fleet.places.push_back(place);
  }
}

void readGroups(const Fields& fields, Fleet& fleet) {
  for (const Form* form : fields.all("group")) {
    if (form->items.size() != 4) form->fail("(group NAME NAME CIRCUITS) is expected");
    Group group;
    int* const ends[] = {&group.a, &group.b};
    for (std::size_t i = 0; i < 2; ++i) {
      *ends[i] = fleet.place(asText(form->items[i + 1]));
      if (*ends[i] >= 0) continue;
      std::vector<std::string_view> known;
      for (const ExchangeSite& place : fleet.places) known.push_back(place.name);
      failUnknownWord(form->items[i + 1], form->items[i + 1].value, known);
    }
    if (group.a == group.b) form->fail("two different exchanges are expected");
    if (group.a > group.b) std::swap(group.a, group.b);
    for (const Group& other : fleet.groups) {
      if (other.a == group.a && other.b == group.b) form->fail("this group is given twice");
    }
    const double circuits = asNumber(form->items[3], 0, 100000);
    if (circuits != static_cast<int>(circuits)) form->items[3].fail("a whole number of circuits is expected");
    group.circuits = static_cast<int>(circuits);
    fleet.groups.push_back(group);
  }
}

void readMesh(const Form& form, Fleet& fleet) {
  if (form.items.size() < 2) form.fail("(mesh COUNT ...) is expected");
  const int count = static_cast<int>(asNumber(form.items[1], 2, 900));
  constexpr std::string_view repeatable[] = {"zones"};
  const Fields f(form, 2, kMesh, repeatable);
  std::vector<std::string> zones{"home"};
  if (const Form* given = f.find("zones")) {
    zones.clear();
    for (std::size_t i = 1; i < given->items.size(); ++i) zones.push_back(asText(given->items[i]));
    if (zones.empty()) given->fail("at least one zone is expected");
  }
  const double circuits = f.number("circuits", 1, 100000);
  const double spread = f.number("spread", 0, 1);
  const double unlinked = f.number("unlinked", 0, 1);
  std::mt19937 generator(static_cast<std::uint32_t>(f.number("seed", 0, 4e9)));
  const auto uniform = [&] { return std::generate_canonical<double, 32>(generator); };
  const int first = static_cast<int>(fleet.places.size());
  for (int i = 0; i < count; ++i) {
    ExchangeSite place;
    place.name = "e" + std::to_string(i + 1);
    if (fleet.place(place.name) >= 0) form.fail("exchange '" + place.name + "' is given twice");
    place.zone = zones[static_cast<std::size_t>(i) % zones.size()];
    place.numbers = std::to_string(1000 + first + i);
    place.setUpsPerSecond = f.number("capacity", 0.1, 1e6);
    fleet.places.push_back(place);
  }
  for (int a = first; a < first + count; ++a) {
    for (int b = a + 1; b < first + count; ++b) {
      const double size = circuits * (1 + spread * (2 * uniform() - 1));
      // NOLINTNEXTLINE(bugprone-incorrect-roundings): std::lround differs just below a half, and a seed keeps its mesh
      if (uniform() >= unlinked) fleet.groups.push_back({a, b, std::max(1, static_cast<int>(size + 0.5))});
    }
  }
}

/// Index in `known` of the word that the field holds. Throws SettingsError if it holds none of them.
std::size_t indexOf(const Fields& fields, std::string_view word, const std::vector<std::string_view>& known) {
  const std::string value = fields.text(word);
  const auto it = std::find(known.begin(), known.end(), value);
  if (it == known.end()) failUnknownWord(fields.find(word)->items[1], value, known);
  return static_cast<std::size_t>(it - known.begin());
}

void readBudgets(const Fields& fields, Fleet& fleet) {
  const std::vector<std::string> zones = fleet.zones();
  const std::vector<std::string_view> zoneNames(zones.begin(), zones.end());
  for (const Form* budgetForm : fields.all("budget")) {
    if (budgetForm->items.size() < 4) budgetForm->fail("(budget ZONE ZONE CIRCUITS ...) is expected");
    zones::Budget budget;
    int* const ends[] = {&budget.from, &budget.to};
    for (std::size_t i = 0; i < 2; ++i) {
      *ends[i] = fleet.zone(asText(budgetForm->items[i + 1]));
      if (*ends[i] < 0) failUnknownWord(budgetForm->items[i + 1], budgetForm->items[i + 1].value, zoneNames);
    }
    if (budget.from == budget.to) budgetForm->fail("two different zones are expected");
    for (const zones::Budget& other : fleet.budgets) {
      if (other.from == budget.from && other.to == budget.to) budgetForm->fail("this budget is given twice");
    }
    const auto wholeCircuits = [](const Form& form, double least) {
      const double value = asNumber(form, least, 1e6);
      if (value != static_cast<int>(value)) form.fail("a whole number of circuits is expected");
      return static_cast<int>(value);
    };
    budget.circuits = wholeCircuits(budgetForm->items[3], 0);
    budget.classes.resize(fleet.offeredServices.size());
    const Fields f(*budgetForm, 4, kBudget, kRepeatableInBudget);
    int guaranteed = 0;
    for (const Form* classForm : f.all("class")) {
      if (classForm->items.size() < 2) classForm->fail("(class SERVICE ...) is expected");
      const int service = fleet.service(asText(classForm->items[1]));
      if (service < 0) {
        std::vector<std::string_view> known;
        for (const OfferedService& offer : fleet.offeredServices) known.push_back(offer.name);
        failUnknownWord(classForm->items[1], classForm->items[1].value, known);
      }
      const Fields classFields(*classForm, 2, kClass);
      zones::ClassShare& share = budget.classes[static_cast<std::size_t>(service)];
      share.guaranteed = classFields.integer("guaranteed", 0, 1000000);
      const int most = classFields.integer("most", -1, 1000000);
      if (most >= 0) share.most = most;
      if (most >= 0 && most < share.guaranteed) classForm->fail("guaranteed is more than most");
      guaranteed += share.guaranteed;
    }
    budget.division =
        indexOf(f, "dividing", {"equal", "lent"}) == 1 ? zones::Division::lending : zones::Division::equal;
    budget.overrun =
        indexOf(f, "overrun", {"stand", "end"}) == 1 ? zones::OverrunPolicy::end : zones::OverrunPolicy::keep;
    const double circuitSeconds = f.number("circuit-seconds", -1, 1e12);
    if (circuitSeconds >= 0) budget.circuitSeconds = circuitSeconds;
    budget.period = Span::ms(f.number("period", 1000, 1e9));
    if (guaranteed > budget.circuits)
      budgetForm->fail("the guaranteed circuits of all classes are more than the budget");
    fleet.budgets.push_back(std::move(budget));
  }
}

}  // namespace

iax2::Address asAddress(const Form& form) {
  const auto address = iax2::parseAddress(asText(form));
  if (!address) form.fail("an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" + form.value + "'");
  return *address;
}

Fleet readFleet(const Form& form, bool requireAddresses) {
  if (form.head() != "fleet") form.fail("(fleet ...) is expected");
  const Fields fields(form, 1, kFleet, kRepeatableInFleet);
  Fleet fleet;
  readServices(fields, fleet);
  readRules(fields, fleet);
  readExchanges(fields, fleet, requireAddresses);
  if (const Form* mesh = fields.find("mesh")) {
    if (requireAddresses) mesh->fail("a mesh is allowed in days only: its exchanges have no addresses");
    readMesh(*mesh, fleet);
  }
  readGroups(fields, fleet);
  readBudgets(fields, fleet);
  if (fleet.places.size() < 2) form.fail("two exchanges or more are expected");
  if (const Form* directory = fields.find("directory")) {
    if (directory->items.size() != 2) directory->fail("(directory ADDRESS:PORT) is expected");
    fleet.directory = asAddress(directory->items[1]);
  } else if (requireAddresses) {
    form.fail("(directory ADDRESS:PORT) is missing");
  }
  return fleet;
}

Fleet openFleet(const std::string& path) { return readFleet(Document::open(path).onlyForm("fleet")); }

std::string writeFleet(const Fleet& fleet) {
  std::ostringstream out;
  out.precision(15);
  out << "(fleet\n";
  for (std::size_t i = 0; i < fleet.offeredServices.size(); ++i) {
    const Service& service = fleet.config.services[i];
    out << "  (service " << fleet.offeredServices[i].name << " (width " << fleet.offeredServices[i].width << ") (value "
        << service.value << ") (late-value " << service.lateValue << ") (post-dial-target "
        << service.postDialTarget.ms() << ")\n           "
        << "(timer-limit " << service.timerLimit.ms() << ") (mean-hold " << service.meanHold.ms() << ") (repeatable "
        << (service.repeatable ? "yes" : "no") << "))\n";
  }
  const OfficeConfig& config = fleet.config;
  out << "  (rules (most-invites " << config.maxInvites << ") (release " << config.releaseTime.ms() << ") (drain-grace "
      << fleet.drainGrace.ms() << ") (cold-from " << config.coldCapacityShare << ")\n         (warm-after "
      << config.warmUpTime.ms() << ") (fall-multiple " << config.overloadFactor << ") (tip-after "
      << config.overloadWindow.ms() << ") (retry-after " << (config.honoursRetryAfter ? "yes" : "no")
      << ")\n         (longest-retry-after " << config.longestRetryAfter.ms() << ") (ask "
      << (config.mustSubscribe ? "yes" : "no") << "))\n";
  for (const ExchangeSite& place : fleet.places) {
    out << "  (exchange " << place.name << " (zone \"" << place.zone << "\") (numbers \"" << place.numbers
        << "\") (office \"" << text(place.office) << "\") (processor \"" << text(place.processor) << "\") (capacity "
        << place.setUpsPerSecond << "))\n";
  }
  for (const Group& group : fleet.groups) {
    out << "  (group " << fleet.places[static_cast<std::size_t>(group.a)].name << ' '
        << fleet.places[static_cast<std::size_t>(group.b)].name << ' ' << group.circuits << ")\n";
  }
  const std::vector<std::string> zones = fleet.zones();
  for (const zones::Budget& budget : fleet.budgets) {
    out << "  (budget \"" << zones[static_cast<std::size_t>(budget.from)] << "\" \""
        << zones[static_cast<std::size_t>(budget.to)] << "\" " << budget.circuits;
    for (std::size_t i = 0; i < budget.classes.size(); ++i) {
      out << " (class " << fleet.offeredServices[i].name << " (guaranteed " << budget.classes[i].guaranteed
          << ") (most " << budget.classes[i].most.value_or(-1) << "))";
    }
    out << " (dividing " << (budget.division == zones::Division::lending ? "lent" : "equal") << ") (overrun "
        << (budget.overrun == zones::OverrunPolicy::end ? "end" : "stand") << ") (circuit-seconds "
        << budget.circuitSeconds.value_or(-1) << ") (period " << budget.period.ms() << "))\n";
  }
  out << "  (directory \"" << text(fleet.directory) << "\"))\n";
  return out.str();
}

OfficeFile openOfficeFile(const std::string& path) {
  const Document document = Document::open(path);
  const Form& form = document.onlyForm("office");
  const std::string name = nameOf(form, "office's exchange");
  const Fields f(form, 2, kOffice);
  OfficeFile file;
  file.fleetPath = (std::filesystem::path(path).parent_path() / f.text("fleet")).string();
  file.fleet = openFleet(file.fleetPath);
  file.options.place = file.fleet.place(name);
  if (file.options.place < 0) {
    std::vector<std::string_view> known;
    for (const ExchangeSite& place : file.fleet.places) known.push_back(place.name);
    failUnknownWord(form.items[1], name, known);
  }
  file.listen = file.fleet.places[static_cast<std::size_t>(file.options.place)].office;
  if (const Form* listen = f.find("listen")) {
    if (listen->items.size() != 2) listen->fail("an ADDRESS:PORT is expected");
    file.listen = asAddress(listen->items[1]);
  }
  file.options.seed = static_cast<std::uint64_t>(f.number("seed", 0, 9e15));
  file.options.maxSessions = static_cast<std::size_t>(f.integer("sessions", 1, 1000000));
  file.options.peerPokeInterval = span(f, "poke", 10);
  file.options.peerSilenceLimit = span(f, "silent", 100);
  file.options.exchangePokeInterval = span(f, "exchange-poke", 10);
  file.options.timing.firstRetransmitInterval = span(f, "first-repeat", 1);
  file.options.timing.maxRetransmits = f.integer("repeats", 0, 20);
  file.options.timing.pingInterval = span(f, "ping", 100);
  if (const Form* log = f.find("log")) {
    const Fields logFields(*log, 1, kLog);
    file.log.level = logFields.text("level");
    file.log.format = logFields.text("format");
    file.log.to = logFields.text("to");
    const std::vector<std::string_view> levels{"debug", "info", "warn", "error"}, formats{"logfmt", "json"};
    if (std::find(levels.begin(), levels.end(), file.log.level) == levels.end()) {
      failUnknownWord(logFields.find("level")->items[1], file.log.level, levels);
    }
    if (std::find(formats.begin(), formats.end(), file.log.format) == formats.end()) {
      failUnknownWord(logFields.find("format")->items[1], file.log.format, formats);
    }
  }
  return file;
}

void explainKeywords(std::ostream& out, std::string_view title, std::span<const Keyword> vocabulary) {
  out << '(' << title << " ...)\n";
  for (const Keyword& keyword : vocabulary) {
    const std::string presence = keyword.defaultValue.empty()  ? "must be given"
                                 : keyword.defaultValue == "-" ? "may be left out"
                                                               : "default " + std::string(keyword.defaultValue);
    out << "  " << std::left << std::setw(20) << keyword.word << std::setw(32) << keyword.expects << std::setw(24)
        << presence << keyword.description << '\n';
  }
}

void explain(std::ostream& out) {
  explainKeywords(out, "fleet", kFleet);
  explainKeywords(out, "service NAME", kService);
  explainKeywords(out, "rules", kRules);
  explainKeywords(out, "exchange NAME", kExchange);
  explainKeywords(out, "budget ZONE ZONE CIRCUITS", kBudget);
  explainKeywords(out, "class SERVICE", kClass);
  explainKeywords(out, "mesh COUNT", kMesh);
  explainKeywords(out, "office NAME", kOffice);
  explainKeywords(out, "log", kLog);
}

}  // namespace thistlefold::settings
