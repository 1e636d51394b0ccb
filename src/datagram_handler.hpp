#pragma once

#include <cstdint>
#include <functional>
#include <span>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

/// Where a station's datagrams go, in the order they are sent.
using DatagramSender = std::function<void(iax2::Address to, std::span<const std::uint8_t> datagram)>;

/// Whatever has an address of its own: an office, an exchange, the directory, callers. Free of I/O and clock, so
/// the same station runs on sockets and on a virtual network. One thread at a time.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;
  /// A datagram that came in. Decides nothing yet: process() follows once all that waited has been taken.
  virtual void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) = 0;
  /// One round over all that was taken and all that is due.
  virtual void process(Instant now, const DatagramSender& out) = 0;
  /// When process() is wanted at the latest though nothing comes in.
  virtual Instant nextDeadline() const = 0;
};

}  // namespace thistlefold
