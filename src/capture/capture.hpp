#pragma once

// Captures of a day in pcapng format, which common packet tools can open. A capture has two interfaces: datagrams as
// sent, and datagrams as delivered. The actions of the day's script are recorded as datagrams to the discard port.

#include <cstdint>
#include <fstream>
#include <functional>
#include <span>
#include <string>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold::capture {

/// One captured datagram.
struct Packet {
  Instant at;              // written with a resolution of 1 us
  bool delivered = false;  // captured on delivery; otherwise when sent
  iax2::Address from, to;
  std::span<const std::uint8_t> payload;  // not owned
};

/// Source address and port of the notes on the script's actions.
inline constexpr iax2::Address kScriptAddress{0x7f050001, 9};
/// Destination of the notes: UDP's discard port.
inline constexpr iax2::Address kDiscardAddress{0x7f050002, 9};

/// Writes a capture file.
class Writer {
 public:
  /// Overwrites an existing file. Throws std::runtime_error if the file can't be written.
  explicit Writer(const std::string& path);
  /// Appends a packet. A failure to write is reported by close().
  void write(const Packet& packet);
  /// Records an action of the script, as a packet from kScriptAddress to kDiscardAddress with `text` as its payload.
  void note(Instant at, const std::string& text);
  /// Flushes the file. Throws std::runtime_error if any part of it could not be written.
  void close();

 private:
  std::ofstream out_;
  std::string path_;
};

/// Calls `onPacket` for each packet in the order of the file; the payload is valid during the call only. Throws
/// std::runtime_error with the offset if the file is not a capture, is truncated, or differs in kind from what Writer
/// writes.
void read(const std::string& path, const std::function<void(const Packet&)>& onPacket);

}  // namespace thistlefold::capture
