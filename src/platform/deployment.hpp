#pragma once

// The configuration that the platform lays down for one softswitch.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "platform/bulletin.hpp"
#include "thistlefold/office_config.hpp"

namespace thistlefold::platform {

struct Deployment {
  std::string name;
  iax2::Address listen;
  iax2::Address bulletin;
  std::uint64_t seed = 0;
  int connections = 240;          // at once, of any kind; what the descriptors leave
  std::size_t memory = 32 << 20;  // bytes
  std::vector<BulletinEvent> known;
  OfficeConfig data;
  int here = -1;                      // the own exchange's place
  std::vector<std::string> services;  // names, in the order of `data.services`
  std::vector<double> widths;         // circuits, where a set-up names none
  std::vector<std::string> reports;   // names of a report's figures, in order
  std::size_t openCalls = 20000;      // set-ups held at once
  Span connectWithin;
};

/// Throws wire::ParseError with the field or the offset.
Deployment readDeployment(std::string_view text);

}  // namespace thistlefold::platform
