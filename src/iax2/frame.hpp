#pragma once

// IAX2 full frames, RFC 5456 sections 8.1 to 8.6: bytes in, bytes out, nothing kept.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace thistlefold::iax2 {

using Bytes = std::span<const std::uint8_t>;

/// Frame types, RFC 5456 section 8.2. Others are carried as numbers.
enum class Type : std::uint8_t { voice = 2, control = 4, null = 5, iax = 6, text = 7 };

/// IAX subclasses, RFC 5456 section 8.4.
enum class Iax : std::uint8_t {
  NEW = 0x01,
  PING = 0x02,
  PONG = 0x03,
  ACK = 0x04,
  HANGUP = 0x05,
  REJECT = 0x06,
  ACCEPT = 0x07,
  INVAL = 0x0a,
  LAGRQ = 0x0b,
  LAGRP = 0x0c,
  VNAK = 0x12,
  POKE = 0x1e,
  UNSUPPORT = 0x21,
};

/// Control subclasses, RFC 5456 section 8.3.
enum class Control : std::uint8_t {
  hangup = 0x01,
  ringing = 0x03,
  answer = 0x04,
  busy = 0x05,
  congestion = 0x08,
  proceeding = 0x0f,
};

/// Why a session was not set up, in the module's words; rides in a private element beside the cause code.
enum class ReleaseReason : std::uint8_t { none, noCircuit, turnedBack, processorFull, lineBusy, reset, noRoute };

/// Information elements, RFC 5456 section 8.6, and the private ones of docs/wire.md. Text points into the
/// datagram it was decoded from; what was absent is empty.
struct Elements {
  std::string_view calledNumber;
  std::string_view callingNumber;
  std::string_view calledContext;  // the service
  std::string_view cause;
  std::optional<std::uint8_t> causeCode;  // ITU-T Q.850
  std::optional<std::uint16_t> version;
  std::optional<std::uint32_t> format;
  std::optional<std::uint8_t> unknownSubclass;

  // Private.
  std::optional<std::uint64_t> session;           // the same on every leg of one session
  std::optional<std::uint16_t> origin;            // place of the office that sends
  std::optional<std::uint16_t> destinationPlace;  // place of the destination
  std::optional<std::uint16_t> width;             // circuits
  std::optional<std::uint32_t> timeLeftMs;        // ms until the caller gives up
  std::optional<std::uint32_t> retryAfterMs;      // ms until a full processor, or a refused caller, may come back
  std::optional<ReleaseReason> releaseReason;
  std::optional<bool> beyond;                     // the reason lies with the exchange beyond
  std::optional<bool> wasCut;                     // the caller's last session was cut
  std::optional<std::uint32_t> capacityPer1000s;  // set-ups in 1000 s that the processor there can take
  std::optional<std::uint64_t> incarnation;       // ms on the fleet's clock when the sender was started
};

struct FrameHeader {
  std::uint16_t source = 0;       // 15 bits
  std::uint16_t destination = 0;  // 15 bits
  bool retransmitted = false;     // retransmitted
  std::uint32_t timestamp = 0;    // ms since the call began
  std::uint8_t oseq = 0;
  std::uint8_t iseq = 0;
  Type type = Type::iax;
  std::uint8_t subclass = 0;

  bool is(Iax what) const { return type == Type::iax && subclass == static_cast<std::uint8_t>(what); }
  bool is(Control what) const { return type == Type::control && subclass == static_cast<std::uint8_t>(what); }
};

struct Frame : FrameHeader {
  Elements elements;
};

/// What a datagram turned out to be.
enum class DecodeResult { full, mini, malformed };

/// `frame` is filled in only for a full frame. Malformed: too short, an element that runs over the end, or a
/// known element of the wrong length. Unknown elements are skipped (RFC 5456 section 8.6).
DecodeResult decode(Bytes datagram, Frame& frame);

std::vector<std::uint8_t> encode(const FrameHeader& head, const Elements& elements);

/// Marks an encoded full frame as retransmitted and brings its acknowledgement up to date.
void markRetransmitted(std::vector<std::uint8_t>& encoded, std::uint8_t iseq);

/// For logs and captures: "NEW", "ANSWER", "type 7 subclass 0".
std::string name(const FrameHeader& head);

/// The longest datagram taken; IAX2 signalling fits in one Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1500;

}  // namespace thistlefold::iax2
