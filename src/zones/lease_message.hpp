#pragma once

// Encoding of the messages that offices of a zone exchange about budgets: datagrams of text lines (docs/wire.md). No
// I/O.

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "zones/lease.hpp"

namespace thistlefold::zones {

/// First line of every lease message.
inline constexpr std::string_view kLeaseMessageHeader = "thistlefold lease 1\n";

/// The datagram for `message`.
std::string encode(const LeaseMessage& message);
/// The message in `datagram`; `std::nullopt` if it is not a lease message, is truncated, or has an unreadable line.
std::optional<LeaseMessage> decodeLeaseMessage(std::span<const std::uint8_t> datagram);

}  // namespace thistlefold::zones
