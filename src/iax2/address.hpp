#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace thistlefold::iax2 {

/// An IPv4 address and a UDP or TCP port, both in host order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
  /// Unique among addresses; fits in 48 bits.
  std::uint64_t key() const { return (std::uint64_t{ip} << 16) | port; }
};

/// The address as in settings and logs: "127.0.0.1:4569".
std::string text(Address address);
/// Parses the form that text() writes. Returns nothing if `text` is not four decimal octets, a colon and a port.
std::optional<Address> parseAddress(std::string_view text);

}  // namespace thistlefold::iax2

/// Hash of an address, for unordered containers.
template <>
struct std::hash<thistlefold::iax2::Address> {
  std::size_t operator()(const thistlefold::iax2::Address& a) const { return std::hash<std::uint64_t>()(a.key()); }
};
