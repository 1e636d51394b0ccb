#include "iax2/frame.hpp"

#include <charconv>

#include "iax2/address.hpp"

namespace thistlefold::iax2 {
namespace {

enum Element : std::uint8_t {
  kCalledNumber = 0x01,
  kCallingNumber = 0x02,
  kCalledContext = 0x05,
  kFormat = 0x09,
  kVersion = 0x0b,
  kCause = 0x16,
  kUnknownSubclass = 0x17,
  kCauseCode = 0x2a,
  // Private elements, docs/wire.md. The registry of RFC 5456 ends far below.
  kSession = 0xe0,
  kOriginPlace = 0xe1,
  kDestinationPlace = 0xe2,
  kWidth = 0xe3,
  kTimeLeft = 0xe4,
  kRetryAfter = 0xe5,
  kReleaseReason = 0xe6,
  kFailedBeyond = 0xe7,
  kWasCut = 0xe8,
  kCapacityPer1000s = 0xe9,
  kIncarnation = 0xea,
};

std::uint64_t readNumber(Bytes from) {
  std::uint64_t value = 0;
  for (const std::uint8_t byte : from) value = value << 8 | byte;
  return value;
}

template <typename T>
bool decodeNumber(Bytes from, std::optional<T>& into) {
  if (from.size() != sizeof(T)) return false;
  into = static_cast<T>(readNumber(from));
  return true;
}

bool decodeElement(std::uint8_t kind, Bytes value, Elements& into) {
  const std::string_view text(reinterpret_cast<const char*>(value.data()), value.size());
  switch (kind) {
    case kCalledNumber:
      into.calledNumber = text;
      return true;
    case kCallingNumber:
      into.callingNumber = text;
      return true;
    case kCalledContext:
      into.calledContext = text;
      return true;
    case kCause:
      into.cause = text;
      return true;
    case kFormat:
      return decodeNumber(value, into.format);
    case kVersion:
      return decodeNumber(value, into.version);
    case kUnknownSubclass:
      return decodeNumber(value, into.unknownSubclass);
    case kCauseCode:
      return decodeNumber(value, into.causeCode);
    case kSession:
      return decodeNumber(value, into.session);
    case kOriginPlace:
      return decodeNumber(value, into.originPlace);
    case kDestinationPlace:
      return decodeNumber(value, into.destinationPlace);
    case kWidth:
      return decodeNumber(value, into.width);
    case kTimeLeft:
      return decodeNumber(value, into.timeLeftMs);
    case kRetryAfter:
      return decodeNumber(value, into.retryAfterMs);
    case kReleaseReason:
      if (value.size() != 1 || value[0] > static_cast<std::uint8_t>(ReleaseReason::noRoute)) return false;
      into.releaseReason = static_cast<ReleaseReason>(value[0]);
      return true;
    case kFailedBeyond:
      return decodeNumber(value, into.failedBeyond);
    case kWasCut:
      return decodeNumber(value, into.wasCut);
    case kCapacityPer1000s:
      return decodeNumber(value, into.capacityPer1000s);
    case kIncarnation:
      return decodeNumber(value, into.incarnation);
    default:
      return true;
  }
}

/// Appends numbers in network byte order and elements to a frame.
class FrameWriter {
 public:
  std::vector<std::uint8_t> bytes;

  void appendNumber(std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
  void appendElement(Element kind, std::string_view text) {
    if (text.empty()) return;
    text = text.substr(0, 255);
    bytes.push_back(kind);
    bytes.push_back(static_cast<std::uint8_t>(text.size()));
    bytes.insert(bytes.end(), text.begin(), text.end());
  }
  template <typename T>
  void appendElement(Element kind, const std::optional<T>& value) {
    if (!value) return;
    bytes.push_back(kind);
    bytes.push_back(sizeof(T));
    appendNumber(static_cast<std::uint64_t>(*value), sizeof(T));
  }
};

}  // namespace

DecodeResult decode(Bytes datagram, Frame& frame) {
  if (datagram.size() < 4 || datagram.size() > kMaxDatagramBytes) return DecodeResult::malformed;
  if ((datagram[0] & 0x80) == 0) return DecodeResult::mini;
  if (datagram.size() < 12) return DecodeResult::malformed;
  frame = Frame();
  frame.source = static_cast<std::uint16_t>(readNumber(datagram.subspan(0, 2)) & 0x7fff);
  frame.destination = static_cast<std::uint16_t>(readNumber(datagram.subspan(2, 2)) & 0x7fff);
  frame.retransmitted = (datagram[2] & 0x80) != 0;
  frame.timestamp = static_cast<std::uint32_t>(readNumber(datagram.subspan(4, 4)));
  frame.oseq = datagram[8];
  frame.iseq = datagram[9];
  frame.type = static_cast<Type>(datagram[10]);
  // The highest bit (C) says that the subclass is a power of two, which is used for media formats only.
  frame.subclass = datagram[11] & 0x7f;
  if (frame.type != Type::iax) return DecodeResult::full;  // elements of other types are not needed here
  for (Bytes rest = datagram.subspan(12); !rest.empty();) {
    if (rest.size() < 2 || rest.size() - 2 < rest[1]) return DecodeResult::malformed;
    if (!decodeElement(rest[0], rest.subspan(2, rest[1]), frame.elements)) return DecodeResult::malformed;
    rest = rest.subspan(2 + std::size_t{rest[1]});
  }
  return DecodeResult::full;
}

std::vector<std::uint8_t> encode(const FrameHeader& header, const Elements& e) {
  FrameWriter out;
  out.bytes.reserve(96);
  out.appendNumber(0x8000u | header.source, 2);
  out.appendNumber((header.retransmitted ? 0x8000u : 0u) | header.destination, 2);
  out.appendNumber(header.timestamp, 4);
  out.bytes.push_back(header.oseq);
  out.bytes.push_back(header.iseq);
  out.bytes.push_back(static_cast<std::uint8_t>(header.type));
  out.bytes.push_back(header.subclass);
  if (header.type != Type::iax) return std::move(out.bytes);
  // The version must be the first element, RFC 5456 section 6.2.2.
  out.appendElement(kVersion, e.version);
  out.appendElement(kCalledNumber, e.calledNumber);
  out.appendElement(kCallingNumber, e.callingNumber);
  out.appendElement(kCalledContext, e.calledContext);
  out.appendElement(kFormat, e.format);
  out.appendElement(kCause, e.cause);
  out.appendElement(kCauseCode, e.causeCode);
  out.appendElement(kUnknownSubclass, e.unknownSubclass);
  out.appendElement(kSession, e.session);
  out.appendElement(kOriginPlace, e.originPlace);
  out.appendElement(kDestinationPlace, e.destinationPlace);
  out.appendElement(kWidth, e.width);
  out.appendElement(kTimeLeft, e.timeLeftMs);
  out.appendElement(kRetryAfter, e.retryAfterMs);
  out.appendElement(kReleaseReason, e.releaseReason);
  out.appendElement(kFailedBeyond, e.failedBeyond);
  out.appendElement(kWasCut, e.wasCut);
  out.appendElement(kCapacityPer1000s, e.capacityPer1000s);
  out.appendElement(kIncarnation, e.incarnation);
  return std::move(out.bytes);
}

void markRetransmitted(std::vector<std::uint8_t>& encoded, std::uint8_t iseq) {
  encoded[2] |= 0x80;
  encoded[9] = iseq;
}

std::string name(const FrameHeader& header) {
  struct FrameName {
    Type type;
    int subclass;
    const char* name;
  };
  static constexpr FrameName kNames[] = {
      {Type::iax, 0x01, "NEW"},       {Type::iax, 0x02, "PING"},           {Type::iax, 0x03, "PONG"},
      {Type::iax, 0x04, "ACK"},       {Type::iax, 0x05, "HANGUP"},         {Type::iax, 0x06, "REJECT"},
      {Type::iax, 0x07, "ACCEPT"},    {Type::iax, 0x0a, "INVAL"},          {Type::iax, 0x0b, "LAGRQ"},
      {Type::iax, 0x0c, "LAGRP"},     {Type::iax, 0x12, "VNAK"},           {Type::iax, 0x1e, "POKE"},
      {Type::iax, 0x21, "UNSUPPORT"}, {Type::control, 0x03, "RINGING"},    {Type::control, 0x04, "ANSWER"},
      {Type::control, 0x05, "BUSY"},  {Type::control, 0x08, "CONGESTION"}, {Type::control, 0x0f, "PROCEEDING"},
  };
  for (const FrameName& one : kNames) {
    if (one.type == header.type && one.subclass == header.subclass) return one.name;
  }
  return "type " + std::to_string(static_cast<int>(header.type)) + " subclass " + std::to_string(header.subclass);
}

std::string text(Address address) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += std::to_string(address.ip >> shift & 255) + (shift > 0 ? "." : ":");
  }
  return out + std::to_string(address.port);
}

std::optional<Address> parseAddress(std::string_view text) {
  Address address;
  const char* at = text.data();
  const char* const end = at + text.size();
  for (int part = 0; part < 5; ++part) {
    unsigned value = 0;
    const auto [next, error] = std::from_chars(at, end, value);
    if (error != std::errc() || value > (part < 4 ? 255u : 65535u)) return std::nullopt;
    if (part < 4) {
      if (next == end || *next != (part < 3 ? '.' : ':')) return std::nullopt;
      address.ip = address.ip << 8 | value;
      at = next + 1;
    } else {
      if (next != end) return std::nullopt;
      address.port = static_cast<std::uint16_t>(value);
    }
  }
  return address;
}

}  // namespace thistlefold::iax2
