#pragma once

// Configuration of a fleet: exchanges, offices, trunk groups and services. Plain data; src/settings/ reads it from
// files.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "thistlefold/office_config.hpp"
#include "zones/budget.hpp"

namespace thistlefold {

/// Name and width of a service. OfficeConfig::services holds its other properties at the same index.
struct OfferedService {
  std::string name;
  int width = 1;  // circuits per session
};

/// An exchange and the office in front of it. Other parts of the program refer to it by its index in Fleet::places,
/// called its place.
struct ExchangeSite {
  std::string name;
  std::string zone;
  std::string numbers;           // prefix of the called numbers that end here
  iax2::Address office;          // of the office in front of the exchange
  iax2::Address processor;       // of the exchange itself
  double setUpsPerSecond = 500;  // capacity of its processor when warm
};

/// A trunk group between two places.
struct Group {
  int a = 0, b = 0;  // places, a < b
  int circuits = 0;
};

/// One fleet as configured.
struct Fleet {
  std::vector<OfferedService> offeredServices;  // by service index
  OfficeConfig config;                          // common to all offices
  /// Offices may still send sessions to an exchange for this long after it has been listed as draining.
  Span drainGrace = Span::ms(500);
  std::vector<ExchangeSite> places;
  std::vector<Group> groups;
  std::vector<zones::Budget> budgets;  // by ordered pair of zones; at most one for each
  iax2::Address directory;             // from which offices request lists

  /// Index of the service with that name, or -1.
  int service(std::string_view name) const;
  /// Index of the place with that name, or -1.
  int place(std::string_view name) const;
  /// Index of the place whose `numbers` is the longest prefix of `called`, or -1.
  int destination(std::string_view called) const;
  /// Names of the zones, in order of appearance in `places`.
  std::vector<std::string> zones() const;
  /// Index of a zone in zones(), or -1.
  int zone(std::string_view name) const;
  /// Size of the trunk group between two places; 0 if there is none.
  int circuits(int a, int b) const;
};

}  // namespace thistlefold
