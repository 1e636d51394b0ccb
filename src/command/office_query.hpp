#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "iax2/address.hpp"

namespace thistlefold::command {

/// Asks a running office; nothing if it does not answer within three seconds.
std::optional<std::string> queryOffice(iax2::Address office, std::string_view question);

}  // namespace thistlefold::command
