#pragma once

// What offices of a zone tell each other about budgets, as datagrams of text lines (docs/wire.md). No I/O.

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "zones/lease.hpp"

namespace thistlefold::zones {

inline constexpr std::string_view kLeaseMessageHeader = "thistlefold lease 1\n";

std::string encode(const LeaseMessage& word);
/// Nothing if the datagram is no word, was cut short, or a line of it can't be read.
std::optional<LeaseMessage> decodeLeaseMessage(std::span<const std::uint8_t> datagram);

}  // namespace thistlefold::zones
