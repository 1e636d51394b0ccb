#pragma once

// What the directory tells offices, as datagrams of text lines (docs/wire.md). No I/O.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "thistlefold/exchange.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

struct ListEntry {
  int place = 0;
  Readiness readiness = Readiness::gone;
  std::uint64_t start = 0;  // changes whenever another processor takes over; says nothing of time
  Span age;                 // how long that processor has run
};

/// Circuits that a trunk group has from now on, where that is not what the fleet file says.
struct GroupSize {
  int a = 0, b = 0;  // places
  int circuits = 0;
};

/// One list. Versions grow; a list of an older version than one already taken is stale.
struct ExchangeList {
  std::uint64_t directory = 0;  // changes when the directory is started anew: versions begin again
  std::uint64_t version = 0;
  bool full = false;  // what it does not name is gone
  std::vector<ListEntry> entries;
  std::vector<GroupSize> groups;
};

std::string encode(const ExchangeList& list);
/// Nothing if the datagram is no list or any line of it can't be read: a list is taken whole or not at all.
std::optional<ExchangeList> decodeList(std::span<const std::uint8_t> datagram);

/// What an office sends that wants to be told.
inline constexpr std::string_view kListRequest = "thistlefold ask 1\n";

}  // namespace thistlefold
