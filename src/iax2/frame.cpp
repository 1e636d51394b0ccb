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
  kUnknown = 0x17,
  kCauseCode = 0x2a,
  // Private, docs/wire.md. The RFC's registry ends far below.
  kSession = 0xe0,
  kOrigin = 0xe1,
  kTowards = 0xe2,
  kWidth = 0xe3,
  kTimeLeft = 0xe4,
  kWait = 0xe5,
  kWhy = 0xe6,
  kBeyond = 0xe7,
  kWasCut = 0xe8,
  kCanTake = 0xe9,
  kStarted = 0xea,
};

std::uint64_t read(Bytes from) {
  std::uint64_t value = 0;
  for (const std::uint8_t byte : from) value = value << 8 | byte;
  return value;
}

template <typename T>
bool take(Bytes from, std::optional<T>& into) {
  if (from.size() != sizeof(T)) return false;
  into = static_cast<T>(read(from));
  return true;
}

bool takeElement(std::uint8_t kind, Bytes value, Elements& into) {
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
      return take(value, into.format);
    case kVersion:
      return take(value, into.version);
    case kUnknown:
      return take(value, into.unknownSubclass);
    case kCauseCode:
      return take(value, into.causeCode);
    case kSession:
      return take(value, into.session);
    case kOrigin:
      return take(value, into.origin);
    case kTowards:
      return take(value, into.destinationPlace);
    case kWidth:
      return take(value, into.width);
    case kTimeLeft:
      return take(value, into.timeLeftMs);
    case kWait:
      return take(value, into.retryAfterMs);
    case kWhy:
      if (value.size() != 1 || value[0] > static_cast<std::uint8_t>(ReleaseReason::noRoute)) return false;
      into.releaseReason = static_cast<ReleaseReason>(value[0]);
      return true;
    case kBeyond:
      return take(value, into.beyond);
    case kWasCut:
      return take(value, into.wasCut);
    case kCanTake:
      return take(value, into.capacityPer1000s);
    case kStarted:
      return take(value, into.incarnation);
    default:
      return true;
  }
}

class Packer {
 public:
  std::vector<std::uint8_t> bytes;

  void number(std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
  void element(Element kind, std::string_view text) {
    if (text.empty()) return;
    text = text.substr(0, 255);
    bytes.push_back(kind);
    bytes.push_back(static_cast<std::uint8_t>(text.size()));
    bytes.insert(bytes.end(), text.begin(), text.end());
  }
  template <typename T>
  void element(Element kind, const std::optional<T>& value) {
    if (!value) return;
    bytes.push_back(kind);
    bytes.push_back(sizeof(T));
    number(static_cast<std::uint64_t>(*value), sizeof(T));
  }
};

}  // namespace

DecodeResult decode(Bytes datagram, Frame& frame) {
  if (datagram.size() < 4 || datagram.size() > kMaxDatagramBytes) return DecodeResult::malformed;
  if ((datagram[0] & 0x80) == 0) return DecodeResult::mini;
  if (datagram.size() < 12) return DecodeResult::malformed;
  frame = Frame();
  frame.source = static_cast<std::uint16_t>(read(datagram.subspan(0, 2)) & 0x7fff);
  frame.destination = static_cast<std::uint16_t>(read(datagram.subspan(2, 2)) & 0x7fff);
  frame.retransmitted = (datagram[2] & 0x80) != 0;
  frame.timestamp = static_cast<std::uint32_t>(read(datagram.subspan(4, 4)));
  frame.oseq = datagram[8];
  frame.iseq = datagram[9];
  frame.type = static_cast<Type>(datagram[10]);
  // The C bit marks a power of two; only media formats need it.
  frame.subclass = datagram[11] & 0x7f;
  if (frame.type != Type::iax) return DecodeResult::full;  // other types carry no elements that are read here
  for (Bytes rest = datagram.subspan(12); !rest.empty();) {
    if (rest.size() < 2 || rest.size() - 2 < rest[1]) return DecodeResult::malformed;
    if (!takeElement(rest[0], rest.subspan(2, rest[1]), frame.elements)) return DecodeResult::malformed;
    rest = rest.subspan(2 + std::size_t{rest[1]});
  }
  return DecodeResult::full;
}

std::vector<std::uint8_t> encode(const FrameHeader& head, const Elements& e) {
  Packer out;
  out.bytes.reserve(96);
  out.number(0x8000u | head.source, 2);
  out.number((head.retransmitted ? 0x8000u : 0u) | head.destination, 2);
  out.number(head.timestamp, 4);
  out.bytes.push_back(head.oseq);
  out.bytes.push_back(head.iseq);
  out.bytes.push_back(static_cast<std::uint8_t>(head.type));
  out.bytes.push_back(head.subclass);
  if (head.type != Type::iax) return std::move(out.bytes);
  // Version first where there is one, RFC 5456 section 6.2.2.
  out.element(kVersion, e.version);
  out.element(kCalledNumber, e.calledNumber);
  out.element(kCallingNumber, e.callingNumber);
  out.element(kCalledContext, e.calledContext);
  out.element(kFormat, e.format);
  out.element(kCause, e.cause);
  out.element(kCauseCode, e.causeCode);
  out.element(kUnknown, e.unknownSubclass);
  out.element(kSession, e.session);
  out.element(kOrigin, e.origin);
  out.element(kTowards, e.destinationPlace);
  out.element(kWidth, e.width);
  out.element(kTimeLeft, e.timeLeftMs);
  out.element(kWait, e.retryAfterMs);
  out.element(kWhy, e.releaseReason);
  out.element(kBeyond, e.beyond);
  out.element(kWasCut, e.wasCut);
  out.element(kCanTake, e.capacityPer1000s);
  out.element(kStarted, e.incarnation);
  return std::move(out.bytes);
}

void markRetransmitted(std::vector<std::uint8_t>& encoded, std::uint8_t iseq) {
  encoded[2] |= 0x80;
  encoded[9] = iseq;
}

std::string name(const FrameHeader& head) {
  struct Named {
    Type type;
    int subclass;
    const char* name;
  };
  static constexpr Named kNames[] = {
      {Type::iax, 0x01, "NEW"},       {Type::iax, 0x02, "PING"},           {Type::iax, 0x03, "PONG"},
      {Type::iax, 0x04, "ACK"},       {Type::iax, 0x05, "HANGUP"},         {Type::iax, 0x06, "REJECT"},
      {Type::iax, 0x07, "ACCEPT"},    {Type::iax, 0x0a, "INVAL"},          {Type::iax, 0x0b, "LAGRQ"},
      {Type::iax, 0x0c, "LAGRP"},     {Type::iax, 0x12, "VNAK"},           {Type::iax, 0x1e, "POKE"},
      {Type::iax, 0x21, "UNSUPPORT"}, {Type::control, 0x03, "RINGING"},    {Type::control, 0x04, "ANSWER"},
      {Type::control, 0x05, "BUSY"},  {Type::control, 0x08, "CONGESTION"}, {Type::control, 0x0f, "PROCEEDING"},
  };
  for (const Named& one : kNames) {
    if (one.type == head.type && one.subclass == head.subclass) return one.name;
  }
  return "type " + std::to_string(static_cast<int>(head.type)) + " subclass " + std::to_string(head.subclass);
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
