#pragma once

// Usage sums across zones as offices report them in JSON (docs/wire.md), for tables and pages.

#include <boost/json.hpp>
#include <string>

#include "zones/ledger.hpp"

namespace thistlefold::pages {

/// Usage sums of one row of a table.
struct UsageRow : zones::UsageTotals {
  std::int64_t held = 0;  // circuits held now

  UsageRow& operator+=(const UsageRow& other) {
    zones::UsageTotals::operator+=(other);
    held += other.held;
    return *this;
  }
};

/// Reads a cell of an account, or a bucket of a series, which has no field `held` and gives 0 for it. Throws if another
/// field is missing or has a different type.
inline UsageRow parseUsageRow(const boost::json::value& cell) {
  const auto count = [&](const char* field) { return cell.at(field).to_number<std::uint64_t>(); };
  UsageRow row;
  row.invites = count("invites");
  row.established = count("stood");
  row.dropped = count("cut");
  row.refused = count("refused");
  row.circuitMicroseconds = count("circuit_us");
  if (const auto* held = cell.as_object().if_contains("held")) row.held = held->to_number<std::int64_t>();
  return row;
}

/// The string in `field`. Throws if it is missing or not a string.
inline std::string stringField(const boost::json::value& from, const char* field) {
  return std::string(from.at(field).as_string());
}

/// Calls `visit` with each cell of an office's answer to `zones`: the usage that the office itself has counted, and the
/// usage of other offices' earlier incarnations, which it has inherited.
template <typename Visit>
void forEachCell(const boost::json::value& office, Visit visit) {
  for (const char* list : {"cells", "inherited"}) {
    for (const boost::json::value& cell : office.at(list).as_array()) visit(cell);
  }
}

}  // namespace thistlefold::pages
