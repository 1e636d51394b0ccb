// An office's reports on its traffic across zones (docs/wire.md).

#include <algorithm>
#include <sstream>
#include <utility>

#include "office/office.hpp"

namespace thistlefold {
namespace {

// The users of most circuit time that a report names.
constexpr std::size_t kReportedUsers = 10;

// A report must fit in one UDP datagram, whose payload is at most 65,507 bytes. The buckets stop beyond this size.
constexpr std::size_t kMaxReportBytes = 60000;

/// Quotes text for JSON. Calling numbers are untrusted input, so anything but plain ASCII becomes a question
/// mark.
std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    out += c == '"' || c == '\\' || c < ' ' || c > '~' ? '?' : c;
  }
  return out + '"';
}

}  // namespace

std::string Office::zonesReport(Instant now) {
  ledger_.accrue(now);
  std::ostringstream out;
  bool first = true;
  const auto writeCell = [&](const zones::UsageKey& key, const zones::UsageTotals& sums, int held) {
    static constexpr const char* kParts[] = {"direct", "first", "second"};
    out << (std::exchange(first, false) ? "" : ",") << "{\"from\":\"" << zoneNames_[static_cast<std::size_t>(key.from)]
        << "\",\"to\":\"" << zoneNames_[static_cast<std::size_t>(key.to)] << "\",\"service\":\""
        << fleet_.offeredServices[static_cast<std::size_t>(key.service)].name << "\",\"part\":\""
        << kParts[static_cast<std::size_t>(key.legKind)] << "\",\"invites\":" << sums.invites
        << ",\"stood\":" << sums.established << ",\"cut\":" << sums.dropped << ",\"refused\":" << sums.refused
        << ",\"held\":" << held << ",\"circuit_us\":" << sums.circuitMicroseconds << '}';
  };
  out << "{\"office\":\"" << fleet_.places[static_cast<std::size_t>(options_.place)].name << "\",\"cells\":[";
  for (const auto& [key, cell] : ledger_.cells()) writeCell(key, cell->total(), cell->held());
  out << "],\"inherited\":[";
  first = true;
  for (const auto& [key, sums] : peerUsage_.inherited()) writeCell(key, sums, 0);
  out << "],\"budgets\":[";
  first = true;
  const auto& here = zoneNames_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(options_.place)])];
  for (std::size_t zone = 0; zone < leasedBudgets_.size(); ++zone) {
    zones::LeasedBudget& leasedBudget = *leasedBudgets_[zone];
    if (!leasedBudget.isBounded()) continue;
    const zones::Budget& budget = *leasedBudget.budget();
    const zones::BudgetPart& part = leasedBudget.part();
    out << (std::exchange(first, false) ? "" : ",") << "{\"from\":\"" << here << "\",\"to\":\"" << zoneNames_[zone]
        << "\",\"whole\":" << budget.circuits << ",\"dividing\":\""
        << (budget.division == zones::Division::lending ? "lent" : "equal") << "\",\"overrun\":\""
        << (budget.overrun == zones::OverrunPolicy::end ? "end" : "stand") << "\",\"part\":" << part.circuits()
        << ",\"owned\":" << leasedBudget.owned() << ",\"lent\":" << leasedBudget.lent()
        << ",\"borrowed\":" << leasedBudget.borrowed(now) << ",\"written_off\":" << leasedBudget.writtenOff()
        << ",\"waiting\":" << (leasedBudget.inStartupWait() ? "true" : "false") << ",\"held\":" << part.held()
        << ",\"over\":" << part.excess()
        << ",\"under_in_ms\":" << static_cast<std::int64_t>(part.timeUntilWithinBounds().ms());
    if (zones::Allowance& allowance = leasedBudget.allowance(); allowance.isBounded()) {
      out << ",\"allowance\":" << allowance.limit() << ",\"used\":" << allowance.used(now)
          << ",\"next_period_in_ms\":" << static_cast<std::int64_t>(allowance.untilNextPeriod(now).ms());
    }
    out << ",\"classes\":[";
    for (std::size_t i = 0; i < fleet_.offeredServices.size(); ++i) {
      const zones::ClassShare& share = part.bounds()->classes[i];
      out << (i > 0 ? "," : "") << "{\"service\":\"" << fleet_.offeredServices[i].name
          << "\",\"guaranteed\":" << share.guaranteed << ",\"most\":" << share.most.value_or(-1)
          << ",\"held\":" << part.heldBy(i) << '}';
    }
    out << "]}";
  }
  out << "],\"budget_changes\":[";
  first = true;
  for (const BudgetChange& change : budgetChanges_) {
    out << (std::exchange(first, false) ? "" : ",")
        << "{\"ago_ms\":" << static_cast<std::int64_t>((now - change.at).ms()) << ",\"to\":\""
        << zoneNames_[static_cast<std::size_t>(change.zone)] << "\",\"circuits\":" << change.circuits << '}';
  }
  out << "],\"users\":[";
  first = true;
  for (std::size_t zone = 0; zone < topUsers_.size(); ++zone) {
    for (const zones::TopUsers::User& user : topUsers_[zone].top(kReportedUsers)) {
      out << (std::exchange(first, false) ? "" : ",") << "{\"to\":\"" << zoneNames_[zone]
          << "\",\"user\":" << quoted(user.name) << ",\"circuit_ms\":" << user.sum
          << ",\"slack_ms\":" << user.maxOverestimate << '}';
    }
  }
  out << "]}";
  return out.str();
}

std::string Office::seriesReport(Instant now, std::string_view level, std::size_t zone) {
  ledger_.accrue(now);
  const std::uint64_t bucketMs = level == "second" ? 1000 : level == "minute" ? 60000 : 3600000;
  const auto newest = static_cast<std::uint64_t>(std::max(0.0, (now - Instant()).ms())) / bucketMs;
  const std::size_t bucketCount = level == "second"   ? zones::Ring<300>::capacity()
                                  : level == "minute" ? zones::Ring<240>::capacity()
                                                      : zones::Ring<192>::capacity();
  std::ostringstream out;
  out << "{\"office\":\"" << fleet_.places[static_cast<std::size_t>(options_.place)].name << "\",\"from\":\""
      << zoneNames_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(options_.place)])] << "\",\"to\":\""
      << zoneNames_[zone] << "\",\"level\":\"" << level << "\",\"span_ms\":" << bucketMs << ",\"buckets\":[";
  bool first = true, isWhole = true;
  for (std::uint64_t ago = 0; ago < bucketCount && ago <= newest && isWhole; ++ago) {
    for (std::size_t service = 0; service < fleet_.offeredServices.size(); ++service) {
      zones::UsageTotals sums;
      for (const auto& [key, cell] : ledger_.cells()) {
        if (key.to != static_cast<int>(zone) || key.service != static_cast<int>(service)) continue;
        const std::uint64_t bucket = newest - ago;
        const zones::UsageTotals* totals = level == "second"   ? cell->seconds().find(bucket)
                                           : level == "minute" ? cell->minutes().find(bucket)
                                                               : cell->hours().find(bucket);
        if (totals != nullptr) sums += *totals;
      }
      if (sums == zones::UsageTotals()) continue;
      out << (std::exchange(first, false) ? "" : ",") << "{\"ago\":" << ago << ",\"service\":\""
          << fleet_.offeredServices[service].name << "\",\"invites\":" << sums.invites
          << ",\"stood\":" << sums.established << ",\"cut\":" << sums.dropped << ",\"refused\":" << sums.refused
          << ",\"circuit_us\":" << sums.circuitMicroseconds << '}';
    }
    isWhole = static_cast<std::size_t>(out.tellp()) < kMaxReportBytes;
  }
  out << "],\"whole\":" << (isWhole ? "true" : "false") << '}';
  return out.str();
}

std::optional<std::string> Office::answerQuery(Instant now, std::string_view query) {
  if (query == "thistlefold status 1\n") return statusReport(now);
  if (query == "thistlefold zones 1\n") return zonesReport(now);
  constexpr std::string_view kSeries = "thistlefold series 1 ";
  if (!query.starts_with(kSeries) || !query.ends_with('\n')) return std::nullopt;
  query = query.substr(kSeries.size(), query.size() - kSeries.size() - 1);
  const auto separator = query.find(' ');
  if (separator == std::string_view::npos) return std::nullopt;
  const std::string_view level = query.substr(0, separator);
  const auto zone = std::find(zoneNames_.begin(), zoneNames_.end(), query.substr(separator + 1));
  if ((level != "second" && level != "minute" && level != "hour") || zone == zoneNames_.end()) return std::nullopt;
  return seriesReport(now, level, static_cast<std::size_t>(zone - zoneNames_.begin()));
}

}  // namespace thistlefold
