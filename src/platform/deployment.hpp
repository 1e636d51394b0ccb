#pragma once

// The configuration that the platform writes for one softswitch.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "platform/bulletin.hpp"
#include "thistlefold/office_config.hpp"

namespace thistlefold::platform {

/// Decoded configuration of one softswitch.
struct Deployment {
  std::string name;                        ///< of the softswitch, for the log
  iax2::Address listenAddress;             ///< where callers connect
  iax2::Address bulletinAddress;           ///< the discovery service, see platform/bulletin.hpp
  std::uint64_t seed = 0;                  ///< of the random number generators
  int maxConnections = 240;                ///< simultaneous connections of all kinds within the file descriptor limit
  std::size_t memoryBytes = 32 << 20;      ///< memory limit of the process
  std::vector<BulletinEvent> knownEvents;  ///< bulletin events known when the configuration was written
  OfficeConfig officeConfig;               ///< what the controller is configured with
  int ownPlace = -1;                       ///< place of the own exchange; -1: none
  std::vector<std::string> services;       ///< names, in the order of `officeConfig.services`
  std::vector<double> defaultWidths;       ///< circuits by service, for set-ups that name no width
  std::vector<std::string> reportFields;   ///< names of the figures in an exchange's load report, in order
  std::size_t maxPendingSetups = 20000;    ///< set-ups without a final answer held at once
  Span connectTimeout;                     ///< for connections to exchanges
};

/// Decodes a configuration. Throws wire::ParseError, whose text names the field or the offset.
Deployment readDeployment(std::string_view text);

}  // namespace thistlefold::platform
