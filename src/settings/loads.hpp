#pragma once

// Reader of loads files, the input of dimensioning: traffic offered between exchanges, and prices of circuits.

#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::settings {

/// Content of a loads file, indexed like the fleet's exchanges, services and zones.
struct Loads {
  /// Offered sessions in erlangs, at [(from * places + to) * services + service]; 0 where the file gives none.
  std::vector<double> erlangs;
  /// Price of a circuit between two zones, at [zone][zone], symmetric; 1 where the file gives none.
  std::vector<std::vector<double>> prices;
};

/// Reads (loads (load FROM TO (SERVICE ERLANGS) ...) ... (price ZONE ZONE PRICE) ...). Throws SettingsError, also for
/// names that `fleet` doesn't have.
Loads openLoads(const std::string& path, const Fleet& fleet);

}  // namespace thistlefold::settings
