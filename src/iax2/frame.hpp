#pragma once

// Encoding and decoding of IAX2 full frames, RFC 5456 sections 8.1 to 8.6. Keeps no state.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace thistlefold::iax2 {

/// Encoded bytes, not owned.
using Bytes = std::span<const std::uint8_t>;

/// Frame types, RFC 5456 section 8.2. A frame may also have a value that is not named here.
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

/// Why a session was not set up or was dropped, as distinguished by the module. Carried in a private element beside the
/// cause code. noCircuit to lineBusy correspond to BlockingReason; reset: a fault ended the leg, and the INVITE may
/// have executed; noRoute: the NEW is invalid or names no known service or destination.
enum class ReleaseReason : std::uint8_t { none, noCircuit, turnedBack, processorFull, lineBusy, reset, noRoute };

/// Information elements, RFC 5456 section 8.6, and the private ones of docs/wire.md. Texts point into the datagram from
/// which they were decoded and are valid as long as that; absent elements are empty.
struct Elements {
  std::string_view calledNumber;
  std::string_view callingNumber;
  std::string_view calledContext;               // the service
  std::string_view cause;                       // why the call ended, as text
  std::optional<std::uint8_t> causeCode;        // ITU-T Q.850
  std::optional<std::uint16_t> version;         // of the protocol
  std::optional<std::uint32_t> format;          // media format
  std::optional<std::uint8_t> unknownSubclass;  // the subclass that UNSUPPORT answers

  // Private.
  std::optional<std::uint64_t> session;           // number of the session, the same on all of its legs
  std::optional<std::uint16_t> originPlace;       // place of the office that sends the frame
  std::optional<std::uint16_t> destinationPlace;  // place of the destination
  std::optional<std::uint16_t> width;             // circuits of the session
  std::optional<std::uint32_t> timeLeftMs;        // until the caller gives up
  std::optional<std::uint32_t> retryAfterMs;      // until a full processor, or a refused caller, may be tried again
  std::optional<ReleaseReason> releaseReason;
  std::optional<bool> failedBeyond;               // the reason lies with the exchange beyond the office that answers
  std::optional<bool> wasCut;                     // the caller's previous session was dropped
  std::optional<std::uint32_t> capacityPer1000s;  // set-ups in 1000 s that the far processor can take
  std::optional<std::uint64_t> incarnation;       // identifies one start of the sender
};

/// Header of a full frame.
struct FrameHeader {
  std::uint16_t source = 0;       // sender's call number, 15 bits
  std::uint16_t destination = 0;  // receiver's call number, 15 bits; 0: not known yet
  bool retransmitted = false;
  std::uint32_t timestamp = 0;  // ms since the call was opened; POKE and PONG: see pokeStamp()
  std::uint8_t oseq = 0;        // sequence number of this frame
  std::uint8_t iseq = 0;        // sequence number expected next from the receiver
  Type type = Type::iax;
  std::uint8_t subclass = 0;

  /// Whether this is a frame of that type and subclass.
  bool is(Iax what) const { return type == Type::iax && subclass == static_cast<std::uint8_t>(what); }
  bool is(Control what) const { return type == Type::control && subclass == static_cast<std::uint8_t>(what); }
};

/// A full frame with its elements.
struct Frame : FrameHeader {
  Elements elements;
};

/// What kind of datagram was decoded: a full frame; a frame without the full-frame bit, such as a mini frame; or
/// neither.
enum class DecodeResult { full, mini, malformed };

/// Decodes a datagram into `frame`, which is meaningful only if the result is `full`. A datagram is malformed if it is
/// too short or too long, if an element runs over its end, or if a known element has the wrong length or an unknown
/// value. Unknown elements are skipped (RFC 5456 section 8.6). Elements are decoded for frames of type `iax` only.
DecodeResult decode(Bytes datagram, Frame& frame);

/// Encodes a full frame. Texts longer than 255 bytes are truncated. Elements are encoded for frames of type `iax` only.
std::vector<std::uint8_t> encode(const FrameHeader& header, const Elements& elements);

/// Marks an encoded full frame as retransmitted and brings its acknowledgement up to date.
void markRetransmitted(std::vector<std::uint8_t>& encoded, std::uint8_t iseq);

/// Name of a frame for logs and session traces: "NEW", "ANSWER", "type 7 subclass 0".
std::string name(const FrameHeader& header);

/// The longest datagram accepted; IAX2 signalling fits into one Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1500;

}  // namespace thistlefold::iax2
