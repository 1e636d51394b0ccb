// What an office tells of its traffic across zones (docs/wire.md).

#include <algorithm>
#include <sstream>
#include <utility>

#include "office/office.hpp"

namespace thistlefold {
namespace {

// The ten that use most are what an operator looks at.
constexpr std::size_t kUsersTold = 10;

// One datagram holds an answer; 65,507 bytes is the most that UDP takes.
constexpr std::size_t kLongestAnswer = 60000;

/// Calling numbers come from outside and may hold anything.
std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    out += c == '"' || c == '\\' || c < ' ' || c > '~' ? '?' : c;
  }
  return out + '"';
}

}  // namespace

std::string Office::zonesReport(Instant now) {
  ledger_.settle(now);
  std::ostringstream out;
  bool first = true;
  const auto cell = [&](const zones::Key& key, const zones::UsageTotals& sums, int held) {
    static constexpr const char* kParts[] = {"direct", "first", "second"};
    out << (std::exchange(first, false) ? "" : ",") << "{\"from\":\"" << zoneNames_[static_cast<std::size_t>(key.from)]
        << "\",\"to\":\"" << zoneNames_[static_cast<std::size_t>(key.to)] << "\",\"service\":\""
        << fleet_.offeredServices[static_cast<std::size_t>(key.service)].name << "\",\"part\":\""
        << kParts[static_cast<std::size_t>(key.way)] << "\",\"invites\":" << sums.invites << ",\"stood\":" << sums.stood
        << ",\"cut\":" << sums.cut << ",\"refused\":" << sums.refused << ",\"held\":" << held
        << ",\"circuit_us\":" << sums.circuitMicroseconds << '}';
  };
  out << "{\"office\":\"" << fleet_.places[static_cast<std::size_t>(setting_.place)].name << "\",\"cells\":[";
  for (const auto& [key, one] : ledger_.cells()) cell(key, one->total(), one->held());
  out << "],\"inherited\":[";
  first = true;
  for (const auto& [key, sums] : peerUsage_.inherited()) cell(key, sums, 0);
  out << "],\"budgets\":[";
  first = true;
  const auto& here = zoneNames_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(setting_.place)])];
  for (std::size_t zone = 0; zone < pools_.size(); ++zone) {
    zones::LeasedBudget& pool = *pools_[zone];
    if (!pool.bounded()) continue;
    const zones::Budget& budget = *pool.budget();
    const zones::Part& part = pool.part();
    out << (std::exchange(first, false) ? "" : ",") << "{\"from\":\"" << here << "\",\"to\":\"" << zoneNames_[zone]
        << "\",\"whole\":" << budget.circuits << ",\"dividing\":\""
        << (budget.dividing == zones::Dividing::lent ? "lent" : "equal") << "\",\"overrun\":\""
        << (budget.overrun == zones::Overrun::end ? "end" : "stand") << "\",\"part\":" << part.circuits()
        << ",\"owned\":" << pool.owned() << ",\"lent\":" << pool.lent() << ",\"borrowed\":" << pool.borrowed(now)
        << ",\"written_off\":" << pool.writtenOff() << ",\"waiting\":" << (pool.waiting() ? "true" : "false")
        << ",\"held\":" << part.held() << ",\"over\":" << part.over()
        << ",\"under_in_ms\":" << static_cast<std::int64_t>(part.underIn().ms());
    if (zones::Allowance& allowance = pool.allowance(); allowance.bounded()) {
      out << ",\"allowance\":" << allowance.whole() << ",\"used\":" << allowance.used(now)
          << ",\"next_period_in_ms\":" << static_cast<std::int64_t>(allowance.untilNext(now).ms());
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
  for (const BudgetChange& one : budgetChanges_) {
    out << (std::exchange(first, false) ? "" : ",") << "{\"ago_ms\":" << static_cast<std::int64_t>((now - one.at).ms())
        << ",\"to\":\"" << zoneNames_[static_cast<std::size_t>(one.zone)] << "\",\"circuits\":" << one.circuits << '}';
  }
  out << "],\"users\":[";
  first = true;
  for (std::size_t zone = 0; zone < users_.size(); ++zone) {
    for (const zones::TopUsers::User& user : users_[zone].top(kUsersTold)) {
      out << (std::exchange(first, false) ? "" : ",") << "{\"to\":\"" << zoneNames_[zone]
          << "\",\"user\":" << quoted(user.name) << ",\"circuit_ms\":" << user.sum << ",\"slack_ms\":" << user.slack
          << '}';
    }
  }
  out << "]}";
  return out.str();
}

std::string Office::seriesReport(Instant now, std::string_view level, std::size_t zone) {
  ledger_.settle(now);
  const std::uint64_t span = level == "second" ? 1000 : level == "minute" ? 60000 : 3600000;
  const auto newest = static_cast<std::uint64_t>(std::max(0.0, (now - Instant()).ms())) / span;
  const std::size_t room = level == "second"   ? zones::Ring<300>::room()
                           : level == "minute" ? zones::Ring<240>::room()
                                               : zones::Ring<192>::room();
  std::ostringstream out;
  out << "{\"office\":\"" << fleet_.places[static_cast<std::size_t>(setting_.place)].name << "\",\"from\":\""
      << zoneNames_[static_cast<std::size_t>(zoneOf_[static_cast<std::size_t>(setting_.place)])] << "\",\"to\":\""
      << zoneNames_[zone] << "\",\"level\":\"" << level << "\",\"span_ms\":" << span << ",\"buckets\":[";
  bool first = true, whole = true;
  for (std::uint64_t ago = 0; ago < room && ago <= newest && whole; ++ago) {
    for (std::size_t service = 0; service < fleet_.offeredServices.size(); ++service) {
      zones::UsageTotals sums;
      for (const auto& [key, cell] : ledger_.cells()) {
        if (key.to != static_cast<int>(zone) || key.service != static_cast<int>(service)) continue;
        const std::uint64_t number = newest - ago;
        const zones::UsageTotals* one = level == "second"   ? cell->seconds().find(number)
                                        : level == "minute" ? cell->minutes().find(number)
                                                            : cell->hours().find(number);
        if (one != nullptr) sums += *one;
      }
      if (sums == zones::UsageTotals()) continue;
      out << (std::exchange(first, false) ? "" : ",") << "{\"ago\":" << ago << ",\"service\":\""
          << fleet_.offeredServices[service].name << "\",\"invites\":" << sums.invites << ",\"stood\":" << sums.stood
          << ",\"cut\":" << sums.cut << ",\"refused\":" << sums.refused
          << ",\"circuit_us\":" << sums.circuitMicroseconds << '}';
    }
    whole = static_cast<std::size_t>(out.tellp()) < kLongestAnswer;
  }
  out << "],\"whole\":" << (whole ? "true" : "false") << '}';
  return out.str();
}

std::optional<std::string> Office::answerQuery(Instant now, std::string_view question) {
  if (question == "thistlefold status 1\n") return report(now);
  if (question == "thistlefold zones 1\n") return zonesReport(now);
  constexpr std::string_view kSeries = "thistlefold series 1 ";
  if (!question.starts_with(kSeries) || !question.ends_with('\n')) return std::nullopt;
  question = question.substr(kSeries.size(), question.size() - kSeries.size() - 1);
  const auto gap = question.find(' ');
  if (gap == std::string_view::npos) return std::nullopt;
  const std::string_view level = question.substr(0, gap);
  const auto zone = std::find(zoneNames_.begin(), zoneNames_.end(), question.substr(gap + 1));
  if ((level != "second" && level != "minute" && level != "hour") || zone == zoneNames_.end()) return std::nullopt;
  return seriesReport(now, level, static_cast<std::size_t>(zone - zoneNames_.begin()));
}

}  // namespace thistlefold
