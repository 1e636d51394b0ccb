#pragma once

// What all parts of the program know of a fleet. Plain data; settings/ reads it from files.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "thistlefold/office_config.hpp"
#include "zones/budget.hpp"

namespace thistlefold {

/// How a service is dialled and how wide it is; OfficeConfig::services holds the rest at the same index.
struct OfferedService {
  std::string name;
  int width = 1;  // circuits
};

/// An exchange with the office in front of it.
struct ExchangeSite {
  std::string name;
  std::string zone;
  std::string numbers;  // called numbers that begin with this end here
  iax2::Address office;
  iax2::Address processor;
  double setUpsPerSecond = 500;  // what its processor can take when warm
};

struct Group {
  int a = 0, b = 0;  // places, a < b
  int circuits = 0;
};

struct Fleet {
  std::vector<OfferedService> offeredServices;
  OfficeConfig config;
  Span drainGrace = Span::ms(500);
  std::vector<ExchangeSite> places;
  std::vector<Group> groups;
  std::vector<zones::Budget> budgets;  // by ordered pair of zones; at most one a pair
  iax2::Address directory;

  /// Index of the service, or -1.
  int service(std::string_view name) const;
  /// Index of the place with that name, or -1.
  int place(std::string_view name) const;
  /// Index of the place whose numbers are the longest beginning of `called`, or -1.
  int destination(std::string_view called) const;
  /// Names of the zones, in order of appearance.
  std::vector<std::string> zones() const;
  /// Index of a zone, or -1.
  int zone(std::string_view name) const;
  /// Circuits between two places; 0 where there is no group.
  int circuits(int a, int b) const;
};

}  // namespace thistlefold
