#include "settings/files.hpp"

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>

namespace thistlefold::settings {
namespace {

constexpr Keyword kFleet[] = {
    {"service", "(service NAME ...)", "", "a service that callers dial; several"},
    {"rules", "(rules ...)", "-", "figures of the five rules"},
    {"exchange", "(exchange NAME ...)", "", "an exchange with its office; several"},
    {"group", "(group NAME NAME CIRCUITS)", "", "the trunk group between two exchanges; several"},
    {"budget", "(budget ZONE ZONE CIRCUITS ...)", "", "circuits held at once from one zone to another; several"},
    {"mesh", "(mesh COUNT ...)", "-", "that many exchanges e1, e2, ... with groups between them, made up"},
    {"directory", "(directory ADDRESS)", "-", "where the directory is; lists from elsewhere are not taken"},
};
constexpr std::string_view kFleetMany[] = {"service", "exchange", "group", "budget"};

constexpr Keyword kBudget[] = {
    {"class", "(class SERVICE ...)", "", "what a service has of the budget; several"},
    {"dividing", "equal or lent", "equal", "offices of the zone keep equal parts, or lend each other of theirs"},
    {"overrun", "stand or end", "stand",
     "sessions above a budget that was lowered are left to end, or ended cheapest first"},
    {"circuit-seconds", "a number", "-1", "that may be used in a period; -1 for no bound"},
    {"period", "milliseconds", "3600000", "of circuit-seconds"},
};
constexpr std::string_view kBudgetMany[] = {"class"};

constexpr Keyword kClass[] = {
    {"guaranteed", "circuits", "0", "kept for this service"},
    {"most", "circuits", "-1", "never more than this; -1 for no bound"},
};

constexpr Keyword kService[] = {
    {"width", "a whole number of circuits", "1", "circuits that a session takes on each group"},
    {"value", "a number", "1", "value of a session that stands within the post-dial target"},
    {"late-value", "a share", "0.25", "share of the value of one that stands later"},
    {"post-dial-target", "milliseconds", "2000", "a session is wanted to stand within this"},
    {"timer-limit", "milliseconds", "9000", "callers give up after this at the latest"},
    {"mean-hold", "milliseconds", "10000", "how long sessions last on average"},
    {"repeatable", "yes or no", "yes", "an INVITE that may have run may be followed by another"},
};

constexpr Keyword kRules[] = {
    {"most-invites", "a whole number", "6", "INVITEs for one session"},
    {"release", "milliseconds", "300", "rule 5: no INVITE again within this after a time-out, reset or cancel"},
    {"drain-grace", "milliseconds", "500", "rule 3: nothing new later than this after a drain was told"},
    {"cold-from", "a share", "0.3", "what a processor can do when it has just started"},
    {"warm-after", "milliseconds", "12000", "a processor is warm this long after its start"},
    {"fall-multiple", "a number", "3", "rule 4: it falls over when sent more than this multiple of what it can do"},
    {"tip-after", "milliseconds", "1500", "rule 4: ... for so long"},
    {"retry-after", "yes or no", "yes", "callers may be told when to come back"},
    {"longest-retry-after", "milliseconds", "2000", "the longest wait that is told"},
    {"ask", "yes or no", "no", "the directory tells only offices that asked"},
};

constexpr Keyword kExchange[] = {
    {"zone", "a word", "home", "its zone"},
    {"numbers", "digits", "", "called numbers that begin with these end here"},
    {"office", "ADDRESS:PORT", "127.0.0.1:0", "where its office listens"},
    {"processor", "ADDRESS:PORT", "127.0.0.1:0", "where the exchange itself listens"},
    {"capacity", "set-ups a second", "500", "what its processor can take when warm"},
};

constexpr Keyword kMesh[] = {
    {"zones", "words", "home", "zones, dealt out in turn"},
    {"circuits", "a whole number", "24", "mean size of a group"},
    {"spread", "a share", "0.4", "groups differ by this share of the mean, either way"},
    {"unlinked", "a share", "0", "share of the pairs without a group"},
    {"capacity", "set-ups a second", "500", "of each processor when warm"},
    {"seed", "a whole number", "1", "what sizes and missing groups are drawn from"},
};

constexpr Keyword kOffice[] = {
    {"fleet", "a file", "", "the fleet file, from this file's folder"},
    {"listen", "ADDRESS:PORT", "as the fleet says", "port 0 takes a free one"},
    {"seed", "a whole number", "1", "start of the module's chance"},
    {"sessions", "a whole number", "20000", "held at once at most; more are refused at once"},
    {"poke", "milliseconds", "1000", "how often other offices are asked for a sign of life"},
    {"silent", "milliseconds", "6000", "sessions over an office that was silent for so long are given up"},
    {"exchange-poke", "milliseconds", "300", "how often the own exchange is asked"},
    {"first-repeat", "milliseconds", "200", "a frame that was not acknowledged is repeated after this, then doubling"},
    {"repeats", "a whole number", "6", "after so many without an answer a call is given up"},
    {"ping", "milliseconds", "20000", "a quiet call is probed after this"},
    {"log", "(log ...)", "-", "logging"},
};

constexpr Keyword kLog[] = {
    {"level", "debug, info, warn or error", "info", "debug has a line a session"},
    {"format", "logfmt or json", "logfmt", "form of a line"},
    {"to", "a file or -", "-", "- is standard error"},
};

std::string nameOf(const Form& form, const char* kind) {
  if (form.items.size() < 2 || form.items[1].isList()) {
    form.fail(std::string("the name of the ") + kind + " is expected first");
  }
  const std::string& name = form.items[1].value;
  const bool good = !name.empty() && name.size() <= 40 && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  if (!good) form.items[1].fail("a name of 1 to 40 letters, digits, - and _ is expected, not '" + name + "'");
  return name;
}

Span span(const Fields& fields, std::string_view word, double least = 0) {
  return Span::ms(fields.number(word, least, 1e9));
}

void readServices(const Fields& fields, Fleet& fleet) {
  for (const Form* one : fields.all("service")) {
    OfferedService offer{nameOf(*one, "service"), 1};
    if (fleet.service(offer.name) >= 0) one->fail("service '" + offer.name + "' stands twice");
    const Fields f(*one, 2, kService);
    Service service;
    offer.width = f.integer("width", 1, 1000);
    service.value = f.number("value", 0, 1e6);
    service.lateValue = f.number("late-value", 0, 1);
    service.postDialTarget = span(f, "post-dial-target", 1);
    service.timerLimit = span(f, "timer-limit", 1);
    service.meanHold = span(f, "mean-hold", 1);
    service.repeatable = f.boolean("repeatable");
    fleet.offeredServices.push_back(offer);
    fleet.data.services.push_back(service);
  }
  if (fleet.offeredServices.empty()) fields.list().fail("at least one (service NAME ...) is expected");
}

void readRules(const Fields& fields, Fleet& fleet) {
  Form none;
  const Form* given = fields.find("rules");
  const Fields f(given == nullptr ? none : *given, 1, kRules);
  fleet.data.maxInvites = f.integer("most-invites", 1, 100);
  fleet.data.releaseTime = span(f, "release");
  fleet.drainGrace = span(f, "drain-grace");
  fleet.data.coldCapacityShare = f.number("cold-from", 0, 1);
  fleet.data.warmUpTime = span(f, "warm-after");
  fleet.data.overloadFactor = f.number("fall-multiple", 0, 1000);
  fleet.data.overloadWindow = span(f, "tip-after");
  fleet.data.honoursRetryAfter = f.boolean("retry-after");
  fleet.data.longestRetryAfter = span(f, "longest-retry-after");
  fleet.data.mustSubscribe = f.boolean("ask");
  fleet.data.listStaleAfter = Span::ms(5000);
}

void readExchanges(const Fields& fields, Fleet& fleet, bool placed) {
  for (const Form* one : fields.all("exchange")) {
    Place place;
    place.name = nameOf(*one, "exchange");
    if (fleet.place(place.name) >= 0) one->fail("exchange '" + place.name + "' stands twice");
    const Fields f(*one, 2, kExchange);
    place.zone = f.text("zone");
    place.numbers = f.text("numbers");
    const bool digits = std::all_of(place.numbers.begin(), place.numbers.end(),
                                    [](char c) { return (c >= '0' && c <= '9') || c == '*' || c == '#'; });
    if (!digits || place.numbers.size() > 16) f.find("numbers")->items[1].fail("1 to 16 digits are expected");
    for (const Place& other : fleet.places) {
      if (other.numbers == place.numbers) {
        f.find("numbers")->items[1].fail("numbers " + place.numbers + " belong to exchange '" + other.name + "'");
      }
    }
    for (auto [word, address] : {std::pair("office", &place.office), std::pair("processor", &place.processor)}) {
      if (const Form* given = f.find(word)) {
        if (given->items.size() != 2) given->fail("an ADDRESS:PORT is expected");
        *address = asAddress(given->items[1]);
      } else if (placed) {
        one->fail(std::string("(") + word + " ADDRESS:PORT) is missing");
      }
    }
    place.setUpsASecond = f.number("capacity", 0.1, 1e6);
    fleet.places.push_back(place);
  }
}

void readGroups(const Fields& fields, Fleet& fleet) {
  for (const Form* one : fields.all("group")) {
    if (one->items.size() != 4) one->fail("(group NAME NAME CIRCUITS) is expected");
    Group group;
    int* const ends[] = {&group.a, &group.b};
    for (std::size_t i = 0; i < 2; ++i) {
      *ends[i] = fleet.place(asText(one->items[i + 1]));
      if (*ends[i] >= 0) continue;
      std::vector<std::string_view> known;
      for (const Place& place : fleet.places) known.push_back(place.name);
      failUnknownWord(one->items[i + 1], one->items[i + 1].value, known);
    }
    if (group.a == group.b) one->fail("two different exchanges are expected");
    if (group.a > group.b) std::swap(group.a, group.b);
    for (const Group& other : fleet.groups) {
      if (other.a == group.a && other.b == group.b) one->fail("this group stands twice");
    }
    const double circuits = asNumber(one->items[3], 0, 100000);
    if (circuits != static_cast<int>(circuits)) one->items[3].fail("a whole number of circuits is expected");
    group.circuits = static_cast<int>(circuits);
    fleet.groups.push_back(group);
  }
}

void readMesh(const Form& form, Fleet& fleet) {
  if (form.items.size() < 2) form.fail("(mesh COUNT ...) is expected");
  const int count = static_cast<int>(asNumber(form.items[1], 2, 900));
  constexpr std::string_view many[] = {"zones"};
  const Fields f(form, 2, kMesh, many);
  std::vector<std::string> zones{"home"};
  if (const Form* given = f.find("zones")) {
    zones.clear();
    for (std::size_t i = 1; i < given->items.size(); ++i) zones.push_back(asText(given->items[i]));
    if (zones.empty()) given->fail("at least one zone is expected");
  }
  const double circuits = f.number("circuits", 1, 100000);
  const double spread = f.number("spread", 0, 1);
  const double unlinked = f.number("unlinked", 0, 1);
  std::mt19937 chance(static_cast<std::uint32_t>(f.number("seed", 0, 4e9)));
  const auto lot = [&] { return std::generate_canonical<double, 32>(chance); };
  const int before = static_cast<int>(fleet.places.size());
  for (int i = 0; i < count; ++i) {
    Place place;
    place.name = "e" + std::to_string(i + 1);
    if (fleet.place(place.name) >= 0) form.fail("exchange '" + place.name + "' stands twice");
    place.zone = zones[static_cast<std::size_t>(i) % zones.size()];
    place.numbers = std::to_string(1000 + before + i);
    place.setUpsASecond = f.number("capacity", 0.1, 1e6);
    fleet.places.push_back(place);
  }
  for (int a = before; a < before + count; ++a) {
    for (int b = a + 1; b < before + count; ++b) {
      const double size = circuits * (1 + spread * (2 * lot() - 1));
      if (lot() >= unlinked) fleet.groups.push_back({a, b, std::max(1, static_cast<int>(size + 0.5))});
    }
  }
}

/// Which of these words a field has.
std::size_t oneOf(const Fields& fields, std::string_view word, const std::vector<std::string_view>& known) {
  const std::string value = fields.text(word);
  const auto it = std::find(known.begin(), known.end(), value);
  if (it == known.end()) failUnknownWord(fields.find(word)->items[1], value, known);
  return static_cast<std::size_t>(it - known.begin());
}

void readBudgets(const Fields& fields, Fleet& fleet) {
  const std::vector<std::string> zones = fleet.zones();
  const std::vector<std::string_view> zoneWords(zones.begin(), zones.end());
  for (const Form* one : fields.all("budget")) {
    if (one->items.size() < 4) one->fail("(budget ZONE ZONE CIRCUITS ...) is expected");
    zones::Budget budget;
    int* const ends[] = {&budget.from, &budget.to};
    for (std::size_t i = 0; i < 2; ++i) {
      *ends[i] = fleet.zone(asText(one->items[i + 1]));
      if (*ends[i] < 0) failUnknownWord(one->items[i + 1], one->items[i + 1].value, zoneWords);
    }
    if (budget.from == budget.to) one->fail("two different zones are expected");
    for (const zones::Budget& other : fleet.budgets) {
      if (other.from == budget.from && other.to == budget.to) one->fail("this budget stands twice");
    }
    const auto whole = [](const Form& form, double least) {
      const double value = asNumber(form, least, 1e6);
      if (value != static_cast<int>(value)) form.fail("a whole number of circuits is expected");
      return static_cast<int>(value);
    };
    budget.circuits = whole(one->items[3], 0);
    budget.classes.resize(fleet.offeredServices.size());
    const Fields f(*one, 4, kBudget, kBudgetMany);
    int guaranteed = 0;
    for (const Form* form : f.all("class")) {
      if (form->items.size() < 2) form->fail("(class SERVICE ...) is expected");
      const int service = fleet.service(asText(form->items[1]));
      if (service < 0) {
        std::vector<std::string_view> known;
        for (const OfferedService& offer : fleet.offeredServices) known.push_back(offer.name);
        failUnknownWord(form->items[1], form->items[1].value, known);
      }
      const Fields c(*form, 2, kClass);
      zones::ClassShare& share = budget.classes[static_cast<std::size_t>(service)];
      share.guaranteed = c.integer("guaranteed", 0, 1000000);
      const int most = c.integer("most", -1, 1000000);
      if (most >= 0) share.most = most;
      if (most >= 0 && most < share.guaranteed) form->fail("guaranteed is more than most");
      guaranteed += share.guaranteed;
    }
    budget.dividing = oneOf(f, "dividing", {"equal", "lent"}) == 1 ? zones::Dividing::lent : zones::Dividing::equal;
    budget.overrun = oneOf(f, "overrun", {"stand", "end"}) == 1 ? zones::Overrun::end : zones::Overrun::stand;
    const double circuitSeconds = f.number("circuit-seconds", -1, 1e12);
    if (circuitSeconds >= 0) budget.circuitSeconds = circuitSeconds;
    budget.period = Span::ms(f.number("period", 1000, 1e9));
    if (guaranteed > budget.circuits) one->fail("the guaranteed parts are more than the budget");
    fleet.budgets.push_back(std::move(budget));
  }
}

}  // namespace

iax2::Address asAddress(const Form& form) {
  const auto address = iax2::parseAddress(asText(form));
  if (!address) form.fail("an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" + form.value + "'");
  return *address;
}

Fleet readFleet(const Form& form, bool placed) {
  if (form.head() != "fleet") form.fail("(fleet ...) is expected");
  const Fields fields(form, 1, kFleet, kFleetMany);
  Fleet fleet;
  readServices(fields, fleet);
  readRules(fields, fleet);
  readExchanges(fields, fleet, placed);
  if (const Form* mesh = fields.find("mesh")) {
    if (placed) mesh->fail("a mesh is for days only: its exchanges have no addresses");
    readMesh(*mesh, fleet);
  }
  readGroups(fields, fleet);
  readBudgets(fields, fleet);
  if (fleet.places.size() < 2) form.fail("two exchanges or more are expected");
  if (const Form* directory = fields.find("directory")) {
    if (directory->items.size() != 2) directory->fail("(directory ADDRESS:PORT) is expected");
    fleet.directory = asAddress(directory->items[1]);
  } else if (placed) {
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
    const Service& s = fleet.data.services[i];
    out << "  (service " << fleet.offeredServices[i].name << " (width " << fleet.offeredServices[i].width << ") (value "
        << s.value << ") (late-value " << s.lateValue << ") (post-dial-target " << s.postDialTarget.ms()
        << ")\n           "
        << "(timer-limit " << s.timerLimit.ms() << ") (mean-hold " << s.meanHold.ms() << ") (repeatable "
        << (s.repeatable ? "yes" : "no") << "))\n";
  }
  const OfficeConfig& d = fleet.data;
  out << "  (rules (most-invites " << d.maxInvites << ") (release " << d.releaseTime.ms() << ") (drain-grace "
      << fleet.drainGrace.ms() << ") (cold-from " << d.coldCapacityShare << ")\n         (warm-after "
      << d.warmUpTime.ms() << ") (fall-multiple " << d.overloadFactor << ") (tip-after " << d.overloadWindow.ms()
      << ") (retry-after " << (d.honoursRetryAfter ? "yes" : "no") << ")\n         (longest-retry-after "
      << d.longestRetryAfter.ms() << ") (ask " << (d.mustSubscribe ? "yes" : "no") << "))\n";
  for (const Place& p : fleet.places) {
    out << "  (exchange " << p.name << " (zone \"" << p.zone << "\") (numbers \"" << p.numbers << "\") (office \""
        << text(p.office) << "\") (processor \"" << text(p.processor) << "\") (capacity " << p.setUpsASecond << "))\n";
  }
  for (const Group& g : fleet.groups) {
    out << "  (group " << fleet.places[static_cast<std::size_t>(g.a)].name << ' '
        << fleet.places[static_cast<std::size_t>(g.b)].name << ' ' << g.circuits << ")\n";
  }
  const std::vector<std::string> zones = fleet.zones();
  for (const zones::Budget& b : fleet.budgets) {
    out << "  (budget \"" << zones[static_cast<std::size_t>(b.from)] << "\" \"" << zones[static_cast<std::size_t>(b.to)]
        << "\" " << b.circuits;
    for (std::size_t i = 0; i < b.classes.size(); ++i) {
      out << " (class " << fleet.offeredServices[i].name << " (guaranteed " << b.classes[i].guaranteed << ") (most "
          << b.classes[i].most.value_or(-1) << "))";
    }
    out << " (dividing " << (b.dividing == zones::Dividing::lent ? "lent" : "equal") << ") (overrun "
        << (b.overrun == zones::Overrun::end ? "end" : "stand") << ") (circuit-seconds "
        << b.circuitSeconds.value_or(-1) << ") (period " << b.period.ms() << "))\n";
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
  file.setting.place = file.fleet.place(name);
  if (file.setting.place < 0) {
    std::vector<std::string_view> known;
    for (const Place& place : file.fleet.places) known.push_back(place.name);
    failUnknownWord(form.items[1], name, known);
  }
  file.listen = file.fleet.places[static_cast<std::size_t>(file.setting.place)].office;
  if (const Form* listen = f.find("listen")) {
    if (listen->items.size() != 2) listen->fail("an ADDRESS:PORT is expected");
    file.listen = asAddress(listen->items[1]);
  }
  file.setting.seed = static_cast<std::uint64_t>(f.number("seed", 0, 9e15));
  file.setting.mostSessions = static_cast<std::size_t>(f.integer("sessions", 1, 1000000));
  file.setting.peerPoke = span(f, "poke", 10);
  file.setting.peerSilent = span(f, "silent", 100);
  file.setting.exchangePoke = span(f, "exchange-poke", 10);
  file.setting.timing.firstRepeat = span(f, "first-repeat", 1);
  file.setting.timing.repeats = f.integer("repeats", 0, 20);
  file.setting.timing.ping = span(f, "ping", 100);
  if (const Form* log = f.find("log")) {
    const Fields l(*log, 1, kLog);
    file.log.level = l.text("level");
    file.log.format = l.text("format");
    file.log.to = l.text("to");
    const std::vector<std::string_view> levels{"debug", "info", "warn", "error"}, formats{"logfmt", "json"};
    if (std::find(levels.begin(), levels.end(), file.log.level) == levels.end()) {
      failUnknownWord(l.find("level")->items[1], file.log.level, levels);
    }
    if (std::find(formats.begin(), formats.end(), file.log.format) == formats.end()) {
      failUnknownWord(l.find("format")->items[1], file.log.format, formats);
    }
  }
  return file;
}

void explainKeywords(std::ostream& out, std::string_view title, std::span<const Keyword> words) {
  out << '(' << title << " ...)\n";
  for (const Keyword& one : words) {
    const std::string given = one.byDefault.empty()  ? "must be given"
                              : one.byDefault == "-" ? "may be left out"
                                                     : "default " + std::string(one.byDefault);
    out << "  " << std::left << std::setw(20) << one.word << std::setw(32) << one.expects << std::setw(24) << given
        << one.means << '\n';
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
