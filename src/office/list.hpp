#pragma once

// Lists that the directory sends to offices, as datagrams of text lines (docs/wire.md). Encoding and decoding only, no
// I/O.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "thistlefold/exchange.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

/// State of one exchange.
struct ListEntry {
  int place = 0;
  Readiness readiness = Readiness::gone;
  /// Changes whenever another processor takes over; not a time.
  std::uint64_t processorIncarnation = 0;
  Span age;  // how long that processor has run
};

/// Present size of a trunk group whose size was changed from that in the fleet file.
struct GroupSize {
  int a = 0, b = 0;  // places
  int circuits = 0;
};

/// One list. Versions increase; a list of an older version than one already accepted is stale.
struct ExchangeList {
  /// Changes when the directory is restarted, whose versions then begin again.
  std::uint64_t directoryIncarnation = 0;
  std::uint64_t version = 0;
  /// True: exchanges that the list does not name are gone. False: it names only those that have changed.
  bool full = false;
  std::vector<ListEntry> entries;
  std::vector<GroupSize> groups;  // a group that is not named keeps its size
};

/// The datagram that carries `list`.
std::string encode(const ExchangeList& list);
/// Returns nothing if the datagram is not a list or any line of it is malformed: a list is accepted whole or not at
/// all.
std::optional<ExchangeList> decodeList(std::span<const std::uint8_t> datagram);

/// The datagram by which an office asks the directory to send it lists.
inline constexpr std::string_view kListRequest = "thistlefold ask 1\n";

}  // namespace thistlefold
