#pragma once

// A file of loads for planning: what is offered from exchange to exchange, and what circuits cost.

#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::settings {

struct Loads {
  std::vector<double> erlangs;              // of sessions, [(from * places + to) * services + service]
  std::vector<std::vector<double>> prices;  // of a circuit, by zone and zone; 1 where nothing is said
};

/// Reads (loads (load FROM TO (SERVICE ERLANGS) ...) ... (price ZONE ZONE PRICE) ...). Throws SettingsError.
Loads openLoads(const std::string& path, const Fleet& fleet);

}  // namespace thistlefold::settings
