#pragma once

// Sums of traffic across zones as offices tell them in JSON (docs/wire.md), for tables and pages.

#include <boost/json.hpp>
#include <string>

#include "zones/ledger.hpp"

namespace thistlefold::pages {

struct UsageRow : zones::UsageTotals {
  std::int64_t held = 0;

  UsageRow& operator+=(const UsageRow& other) {
    zones::UsageTotals::operator+=(other);
    held += other.held;
    return *this;
  }
};

/// A cell of an account, or a bucket of a series, which holds nothing now. Throws where a field is missing.
inline UsageRow parseUsageRow(const boost::json::value& cell) {
  const auto count = [&](const char* field) { return cell.at(field).to_number<std::uint64_t>(); };
  UsageRow line;
  line.invites = count("invites");
  line.established = count("stood");
  line.dropped = count("cut");
  line.refused = count("refused");
  line.circuitMicroseconds = count("circuit_us");
  if (const auto* held = cell.as_object().if_contains("held")) line.held = held->to_number<std::int64_t>();
  return line;
}

inline std::string stringField(const boost::json::value& from, const char* field) {
  return std::string(from.at(field).as_string());
}

/// All cells of what an office answers to `zones`: its own, and what its peers saw of one that was started anew, which
/// counts where it is kept.
template <typename What>
void forEachCell(const boost::json::value& office, What what) {
  for (const char* list : {"cells", "inherited"}) {
    for (const boost::json::value& cell : office.at(list).as_array()) what(cell);
  }
}

}  // namespace thistlefold::pages
