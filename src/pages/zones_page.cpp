#include "pages/zones_page.hpp"

#include <ctemplate/template.h>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

#include "pages/plot.hpp"
#include "pages/zones_account.hpp"

namespace thistlefold::pages {
namespace {

namespace json = boost::json;

constexpr char kPage[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{TITLE:h}}</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 62em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .2em .8em; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child, td.w, th.w { text-align: left }
</style></head><body>
<h1>{{TITLE:h}}</h1>
<p>{{OFFICES}} offices. Each leg that crosses zones is counted once, by the office that sends it.</p>
<h2>Circuit-seconds from zone to zone</h2>
{{MATRIX}}
<table><tr><th>from</th><th class="w">to</th><th>INVITEs</th><th>stood</th><th>cut</th><th>refused by budget</th><th>held now</th><th>circuit-seconds</th></tr>
{{#PAIR}}<tr><td>{{FROM:h}}</td><td class="w">{{TO:h}}</td><td>{{INVITES}}</td><td>{{STOOD}}</td><td>{{CUT}}</td><td>{{REFUSED}}</td><td>{{HELD}}</td><td>{{SECONDS}}</td></tr>
{{/PAIR}}</table>
<h2>By service and part</h2>
<table><tr><th>from</th><th class="w">to</th><th class="w">service</th><th class="w">part</th><th>INVITEs</th><th>stood</th><th>cut</th><th>refused by budget</th><th>circuit-seconds</th></tr>
{{#CELL}}<tr><td>{{FROM:h}}</td><td class="w">{{TO:h}}</td><td class="w">{{SERVICE:h}}</td><td class="w">{{PART:h}}</td><td>{{INVITES}}</td><td>{{STOOD}}</td><td>{{CUT}}</td><td>{{REFUSED}}</td><td>{{SECONDS}}</td></tr>
{{/CELL}}</table>
<h2>Budgets</h2>
{{#NO_BUDGET}}<p>No budget is set.</p>{{/NO_BUDGET}}
{{#HAS_BUDGET}}<table><tr><th>from</th><th class="w">to</th><th>budget</th><th>held</th><th>over</th><th>under by itself in</th><th>lent</th><th>written off</th></tr>
{{#BUDGET}}<tr><td>{{FROM:h}}</td><td class="w">{{TO:h}}</td><td>{{WHOLE}}</td><td>{{HELD}}</td><td>{{OVER}}</td><td>{{UNDER}}</td><td>{{LENT}}</td><td>{{OFF}}</td></tr>
{{/BUDGET}}</table>{{/HAS_BUDGET}}
<h2>Circuits in use over time</h2>
{{#TIME}}<h3>{{FROM:h}} to {{TO:h}}</h3>{{PLOT}}{{/TIME}}
{{#NO_TIME}}<p>No usage across zones within the time shown.</p>{{/NO_TIME}}
<h2>Heaviest users</h2>
{{#HAS_USER}}{{USERS}}
<table><tr><th>user</th><th class="w">to</th><th>circuit-seconds, at most</th><th>at least</th></tr>
{{#USER}}<tr><td>{{NAME:h}}</td><td class="w">{{TO:h}}</td><td>{{SECONDS}}</td><td>{{LEAST}}</td></tr>
{{/USER}}</table>{{/HAS_USER}}
{{#NO_USER}}<p>No users across zones.</p>{{/NO_USER}}
</body></html>
)";

std::string seconds(double value) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << value;
  return out.str();
}

void setUsageValues(ctemplate::TemplateDictionary& row, const UsageRow& usage) {
  row.SetValue("INVITES", std::to_string(usage.invites));
  row.SetValue("STOOD", std::to_string(usage.established));
  row.SetValue("CUT", std::to_string(usage.dropped));
  row.SetValue("REFUSED", std::to_string(usage.refused));
  row.SetValue("HELD", std::to_string(usage.held));
  row.SetValue("SECONDS", seconds(static_cast<double>(usage.circuitMicroseconds) / 1e6));
}

using Pair = std::pair<std::string, std::string>;

std::string matrixPlot(const std::map<Pair, UsageRow>& pairs) {
  std::set<std::string> names;
  for (const auto& [pair, usage] : pairs) names.insert({pair.first, pair.second});
  const std::vector<std::string> zones(names.begin(), names.end());
  if (zones.empty()) return "<p>No usage across zones.</p>";
  std::ostringstream script;
  script << "$m << EOD\n";
  for (std::size_t from = 0; from < zones.size(); ++from) {
    for (std::size_t to = 0; to < zones.size(); ++to) {
      const auto it = pairs.find({zones[from], zones[to]});
      script << to << ' ' << from << ' '
             << (it == pairs.end() ? 0.0 : static_cast<double>(it->second.circuitMicroseconds) / 1e6) << '\n';
    }
  }
  script << "EOD\nset xlabel 'to'\nset ylabel 'from'\nset palette defined (0 'white', 1 '#1f5fa8')\nset cblabel "
            "'circuit-seconds'\nset cbrange [0:*]\nset xrange [-0.5:"
         << zones.size() << "-0.5]\nset yrange [" << zones.size() << "-0.5:-0.5]\n";
  for (const char* axis : {"x", "y"}) {
    script << "set " << axis << "tics (";
    for (std::size_t i = 0; i < zones.size(); ++i)
      script << (i > 0 ? "," : "") << quoteForGnuplot(zones[i]) << ' ' << i;
    script << ")\n";
  }
  script << "plot $m using 1:2:3 with image notitle, $m using 1:2:(sprintf('%.0f',$3)) with labels notitle\n";
  return renderPlot(script.str(), 520, 360);
}

/// Mean circuits in use over time, stacked by service, and the budget as it was then. Empty if there was no usage.
/// `whole`: the present budget in circuits, or -1 for none.
std::string timePlot(const Pair& pair, const std::vector<json::value>& series, const std::vector<json::value>& offices,
                     int whole) {
  std::map<std::string, std::map<std::int64_t, double>> use;
  double span = 1;
  std::int64_t oldest = 0;
  for (const json::value& one : series) {
    if (stringField(one, "from") != pair.first || stringField(one, "to") != pair.second) continue;
    span = one.at("span_ms").to_number<double>() / 1000;
    for (const json::value& bucket : one.at("buckets").as_array()) {
      const auto ago = bucket.at("ago").to_number<std::int64_t>();
      use[stringField(bucket, "service")][ago] += bucket.at("circuit_us").to_number<double>() / 1e6 / span;
      oldest = std::max(oldest, ago);
    }
  }
  if (use.empty()) return "";
  std::ostringstream script;
  script << "$u << EOD\n";
  // Bucket 0 is left out because its interval is not over yet.
  for (std::int64_t ago = oldest; ago >= 1; --ago) {
    script << -static_cast<double>(ago) * span;
    double sum = 0;
    for (const auto& [service, points] : use) {
      const auto it = points.find(ago);
      sum += it == points.end() ? 0 : it->second;
      script << ' ' << sum;
    }
    script << '\n';
  }
  script << "EOD\n";
  // Changes of the budget as recorded by one office of the zone; any of them will do.
  bool drawBudget = whole >= 0;
  if (drawBudget) {
    std::vector<std::pair<double, int>> steps;
    for (const json::value& office : offices) {
      steps.clear();
      for (const json::value& one : office.at("budget_changes").as_array()) {
        if (stringField(one, "to") != pair.second) continue;
        steps.emplace_back(-one.at("ago_ms").to_number<double>() / 1000, one.at("circuits").to_number<int>());
      }
      const auto officeBudgets = office.at("budgets").as_array();
      const bool hasBudget = std::any_of(officeBudgets.begin(), officeBudgets.end(), [&](const json::value& b) {
        return stringField(b, "from") == pair.first && stringField(b, "to") == pair.second;
      });
      if (hasBudget && !steps.empty()) break;
    }
    script << "$b << EOD\n";
    for (const auto& [at, circuits] : steps) {
      if (circuits >= 0) script << std::max(at, -static_cast<double>(oldest) * span) << ' ' << circuits << '\n';
    }
    script << "0 " << whole << "\nEOD\n";
  }
  script << "set xlabel 'seconds'\nset ylabel 'circuits'\nset yrange [0:*]\nset key outside\nset style fill solid "
            "0.7\nplot ";
  std::size_t column = use.size() + 1;
  bool first = true;
  for (auto it = use.rbegin(); it != use.rend(); ++it, --column) {
    script << (first ? "" : ", ") << "$u using 1:" << column << " with filledcurves y1=0 title "
           << quoteForGnuplot(it->first);
    first = false;
  }
  if (drawBudget) script << ", $b using 1:2 with steps lw 2 lc rgb '#c00000' title 'budget'";
  return renderPlot(script.str());
}

}  // namespace

std::string zonesPage(const std::string& title, const std::vector<json::value>& offices,
                      const std::vector<json::value>& series) {
  ctemplate::StringToTemplateCache("zones", kPage, ctemplate::DO_NOT_STRIP);
  ctemplate::TemplateDictionary page("zones");
  page.SetValue("TITLE", title);
  page.SetValue("OFFICES", std::to_string(offices.size()));
  std::map<Pair, UsageRow> pairs;
  std::map<std::tuple<std::string, std::string, std::string, std::string>, UsageRow> cells;
  struct Budget {
    std::int64_t whole = 0, held = 0, over = 0, under = 0, lent = 0, writtenOff = 0;
  };
  std::map<Pair, Budget> budgets;
  std::map<Pair, std::pair<double, double>> users;  // by user and zone: upper and lower bound of circuit-seconds
  for (const json::value& office : offices) {
    forEachCell(office, [&](const json::value& cell) {
      pairs[{stringField(cell, "from"), stringField(cell, "to")}] += parseUsageRow(cell);
      cells[{stringField(cell, "from"), stringField(cell, "to"), stringField(cell, "service"),
             stringField(cell, "part")}] += parseUsageRow(cell);
    });
    for (const json::value& one : office.at("budgets").as_array()) {
      const auto number = [&](const char* field) { return one.at(field).to_number<std::int64_t>(); };
      Budget& budget = budgets[{stringField(one, "from"), stringField(one, "to")}];
      budget.whole = number("whole");
      budget.held += number("held");
      budget.over += number("over");
      budget.under = std::max(budget.under, number("under_in_ms"));
      budget.lent += number("lent");
      budget.writtenOff += number("written_off");
    }
    for (const json::value& one : office.at("users").as_array()) {
      auto& [most, least] = users[{stringField(one, "user"), stringField(one, "to")}];
      const double sum = one.at("circuit_ms").to_number<double>() / 1000;
      most += sum;
      least += sum - one.at("slack_ms").to_number<double>() / 1000;
    }
  }
  page.SetValue("MATRIX", matrixPlot(pairs));
  bool anyPlot = false;
  for (const auto& [pair, usage] : pairs) {
    auto* row = page.AddSectionDictionary("PAIR");
    row->SetValue("FROM", pair.first);
    row->SetValue("TO", pair.second);
    setUsageValues(*row, usage);
    const auto budget = budgets.find(pair);
    const std::string svg =
        timePlot(pair, series, offices, budget == budgets.end() ? -1 : static_cast<int>(budget->second.whole));
    if (svg.empty()) continue;
    anyPlot = true;
    auto* time = page.AddSectionDictionary("TIME");
    time->SetValue("FROM", pair.first);
    time->SetValue("TO", pair.second);
    time->SetValue("PLOT", svg);
  }
  for (const auto& [key, usage] : cells) {
    auto* row = page.AddSectionDictionary("CELL");
    row->SetValue("FROM", std::get<0>(key));
    row->SetValue("TO", std::get<1>(key));
    row->SetValue("SERVICE", std::get<2>(key));
    row->SetValue("PART", std::get<3>(key));
    setUsageValues(*row, usage);
  }
  if (!budgets.empty()) {
    auto* table = page.AddSectionDictionary("HAS_BUDGET");
    for (const auto& [pair, one] : budgets) {
      auto* row = table->AddSectionDictionary("BUDGET");
      row->SetValue("FROM", pair.first);
      row->SetValue("TO", pair.second);
      row->SetValue("WHOLE", std::to_string(one.whole));
      row->SetValue("HELD", std::to_string(one.held));
      row->SetValue("OVER", std::to_string(one.over));
      row->SetValue("UNDER", one.over == 0 ? "-" : seconds(static_cast<double>(one.under) / 1000) + " s");
      row->SetValue("LENT", std::to_string(one.lent));
      row->SetValue("OFF", std::to_string(one.writtenOff));
    }
  }
  std::vector<std::pair<Pair, std::pair<double, double>>> sorted(users.begin(), users.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.second.first > b.second.first; });
  if (sorted.size() > 20) sorted.resize(20);
  if (!sorted.empty()) {
    auto* table = page.AddSectionDictionary("HAS_USER");
    std::ostringstream script;
    script << "$u << EOD\n";
    for (const auto& [user, sums] : sorted)
      script << quoteForGnuplot(user.first + " to " + user.second) << ' ' << sums.first << '\n';
    script << "EOD\nset style data histogram\nset style fill solid 0.7\nset xtics rotate by -40\nset ylabel "
              "'circuit-seconds'\nset yrange [0:*]\nplot $u using 2:xtic(1) notitle lc rgb '#1f5fa8'";
    table->SetValue("USERS", renderPlot(script.str()));
    for (const auto& [user, sums] : sorted) {
      auto* row = table->AddSectionDictionary("USER");
      row->SetValue("NAME", user.first);
      row->SetValue("TO", user.second);
      row->SetValue("SECONDS", seconds(sums.first));
      row->SetValue("LEAST", seconds(sums.second));
    }
  }
  if (!anyPlot) page.ShowSection("NO_TIME");
  if (budgets.empty()) page.ShowSection("NO_BUDGET");
  if (users.empty()) page.ShowSection("NO_USER");
  std::string out;
  if (!ctemplate::ExpandTemplate("zones", ctemplate::DO_NOT_STRIP, &page, &out))
    throw PlotError("the page template cannot be expanded");
  return out;
}

}  // namespace thistlefold::pages
