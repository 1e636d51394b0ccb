#pragma once

// Prints the message trace of one session from a capture.

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::audit {

/// Prints a line for each frame of one session, in the order of the capture: seconds since its first packet, whether
/// the frame was sent or delivered, sender and receiver, call numbers and the frame. Returns the number of frames.
/// Throws std::runtime_error if the capture can't be read.
std::size_t sessionTrace(const Fleet& fleet, const std::string& capturePath, std::uint64_t session, std::ostream& out);

/// The sessions that a capture names, in order of appearance. Throws std::runtime_error if the capture can't be read.
std::vector<std::uint64_t> sessions(const std::string& capturePath);

}  // namespace thistlefold::audit
