#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::audit {

/// Prints all frames of one session, in order: when, from whom to whom, sent or delivered, what. Returns how many.
/// Throws std::runtime_error where the capture can't be read.
std::size_t sessionTrace(const Fleet& fleet, const std::string& capturePath, std::uint64_t session, std::ostream& out);

/// The sessions that a capture names, in order of appearance.
std::vector<std::uint64_t> sessions(const std::string& capturePath);

}  // namespace thistlefold::audit
