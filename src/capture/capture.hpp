#pragma once

// Captures of a day in pcapng, which common packet tools open. Two interfaces: what was sent, and what was
// delivered. What the script did stands among them as datagrams to the discard port.

#include <cstdint>
#include <fstream>
#include <functional>
#include <span>
#include <string>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold::capture {

struct Packet {
  Instant at;
  bool delivered = false;
  iax2::Address from, to;
  std::span<const std::uint8_t> payload;
};

/// The address and port of the script's own notes.
inline constexpr iax2::Address kScriptAddress{0x7f050001, 9};
/// UDP's discard port.
inline constexpr iax2::Address kDiscardAddress{0x7f050002, 9};

class Writer {
 public:
  /// Throws std::runtime_error if the file can't be written.
  explicit Writer(const std::string& path);
  void write(const Packet& packet);
  void note(Instant at, const std::string& text);
  /// Flushes; throws if anything could not be written.
  void close();

 private:
  std::ofstream out_;
  std::string path_;
};

/// Calls `take` for each packet in the order of the file. Throws std::runtime_error naming the offset where the
/// file is no capture, or one of another kind than Writer writes.
void read(const std::string& path, const std::function<void(const Packet&)>& take);

}  // namespace thistlefold::capture
