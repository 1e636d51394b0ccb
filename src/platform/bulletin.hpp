#pragma once

// Codec of the bulletin, the platform's discovery service, which publishes the list of exchanges. Subscribers receive
// it as numbered events, encoded as frames on a TCP connection and as JSON in the configuration. Makes no decisions.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "wire/exchange_registry.hpp"
#include "wire/fields.hpp"

namespace thistlefold::platform {

/// An entry of the exchange list with the address at which the exchange accepts connections.
struct ExchangeLocation {
  wire::ListEntry entry;
  iax2::Address address;  ///< TCP address
};

/// One numbered change of the exchange list.
struct BulletinEvent {
  std::uint64_t number = 0;                 ///< event numbers rise, from 1
  bool isSnapshot = false;                  ///< the locations are the whole list: an exchange not among them is gone
  std::vector<ExchangeLocation> locations;  ///< the exchanges that are new or changed
};

/// The request that opens a subscription: the number of the last event received, in network byte order.
std::string encodeSubscription(std::uint64_t lastEvent);

/// Splits the bytes of one bulletin connection into frames and decodes them.
class FrameReader {
 public:
  /// Appends received bytes. Returns isValid().
  bool add(std::string_view bytes);
  /// The next complete frame. An empty frame, which only reports the last event number, yields an event without
  /// locations that is no snapshot. Returns nullopt if more bytes are needed or if the bytes turn out not to be a valid
  /// frame; isValid() is false from then on in the latter case.
  std::optional<BulletinEvent> next();
  /// False once the bytes were found not to be frames. Nothing more can be read from the connection then.
  bool isValid() const { return valid_; }

 private:
  std::string buffer_;
  bool valid_ = true;
};

/// Decodes the events in the `known` field of a configuration. Throws wire::ParseError.
std::vector<BulletinEvent> readKnownEvents(const wire::Value& known);

}  // namespace thistlefold::platform
