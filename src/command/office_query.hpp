#pragma once

// Queries to a running office, on its own port.

#include <optional>
#include <string>
#include <string_view>

#include "iax2/address.hpp"

namespace thistlefold::command {

/// Sends `request` to a running office and returns its answer, or nothing if no answer arrives within three seconds.
/// The request is repeated every second until then. Blocks the calling thread. Throws std::runtime_error if no socket
/// can be bound.
std::optional<std::string> queryOffice(iax2::Address office, std::string_view request);

}  // namespace thistlefold::command
