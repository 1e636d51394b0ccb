#pragma once

// The bulletin: numbered changes to the list of exchanges, as frames and as JSON. A codec; decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "iax2/address.hpp"
#include "wire/exchange_registry.hpp"
#include "wire/fields.hpp"

namespace thistlefold::platform {

/// Where a listed exchange is reached.
struct Place {
  wire::ListEntry entry;
  iax2::Address address;
};

struct BulletinEvent {
  std::uint64_t number = 0;
  bool whole = false;
  std::vector<Place> places;
};

/// What a softswitch writes first: the number of the last event that it has.
std::string askAfter(std::uint64_t number);

/// Reads the frames of one connection.
class Frames {
 public:
  /// False once the bytes can't be frames; nothing more can be read from this connection then.
  bool add(std::string_view bytes);
  /// The next whole frame; one that holds nothing new has a number and no places and is not whole. Nothing: more
  /// bytes are wanted, or the bytes turned out not to be frames, which add() tells from then on.
  std::optional<BulletinEvent> next();
  bool readable() const { return readable_; }

 private:
  std::string waiting_;
  bool readable_ = true;
};

/// The `known` of a configuration. Throws wire::ParseError.
std::vector<BulletinEvent> readKnown(const wire::Value& known);

}  // namespace thistlefold::platform
