#include "platform/bulletin.hpp"

#include <cmath>

#include "platform/message.hpp"

namespace thistlefold::platform {
namespace {

// Length, event number and kind of a frame. The length counts all that follows it.
constexpr std::size_t kHeaderBytes = 4 + 8 + 1;
constexpr std::size_t kRecordBytes = 27;
// A list of as many exchanges as a record's 16-bit place can distinguish. A greater length is not valid.
constexpr std::size_t kMaxFrameBytes = kHeaderBytes - 4 + kRecordBytes * 65536;

std::uint64_t readBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}

Instant toInstant(double unixMs) { return unixMs > 0 ? Instant::ms(unixMs) : Instant::distantPast(); }

}  // namespace

std::string encodeSubscription(std::uint64_t number) {
  std::string bytes(8, '\0');
  for (std::size_t i = 0; i < 8; ++i) bytes[7 - i] = static_cast<char>(number >> (8 * i));
  return bytes;
}

bool FrameReader::add(std::string_view bytes) {
  buffer_.append(bytes);
  return valid_;
}

std::optional<BulletinEvent> FrameReader::next() {
  if (!valid_ || buffer_.size() < 4) return std::nullopt;
  const std::string_view all(buffer_);
  const std::uint64_t length = readBigEndian(all.substr(0, 4));
  if (length < kHeaderBytes - 4 || length > kMaxFrameBytes) {
    valid_ = false;
    return std::nullopt;
  }
  if (all.size() < 4 + length) return std::nullopt;
  BulletinEvent event;
  event.number = readBigEndian(all.substr(4, 8));
  const auto kind = readBigEndian(all.substr(12, 1));
  const std::string_view payload = all.substr(kHeaderBytes, 4 + length - kHeaderBytes);
  if (kind > 2 || payload.size() % kRecordBytes != 0 || (kind == 0 && !payload.empty())) {
    valid_ = false;
    return std::nullopt;
  }
  event.isSnapshot = kind == 1;
  for (std::size_t at = 0; at < payload.size(); at += kRecordBytes) {
    const std::string_view record = payload.substr(at, kRecordBytes);
    ExchangeLocation location;
    location.entry.id = static_cast<std::uint32_t>(readBigEndian(record.substr(0, 4)));
    location.address = {static_cast<std::uint32_t>(readBigEndian(record.substr(4, 4))),
                        static_cast<std::uint16_t>(readBigEndian(record.substr(8, 2)))};
    const auto state = readBigEndian(record.substr(10, 1));
    if (state > 2) {
      valid_ = false;
      return std::nullopt;
    }
    location.entry.readiness = state == 0 ? Readiness::ready : state == 1 ? Readiness::draining : Readiness::gone;
    location.entry.hasPlace = true;
    location.entry.place = static_cast<int>(readBigEndian(record.substr(13, 2)));
    location.entry.started = toInstant(static_cast<double>(readBigEndian(record.substr(19, 8))));
    event.locations.push_back(location);
  }
  buffer_.erase(0, 4 + length);
  return event;
}

std::vector<BulletinEvent> readKnownEvents(const wire::Value& known) {
  std::vector<BulletinEvent> events;
  for (const auto& item : wire::array(known, "items").GetArray()) {
    if (!item.IsObject()) wire::failField("items", "an array of objects is wanted");
    BulletinEvent event;
    const double number = wire::number(item, "no");
    // A double represents all integers up to 9e15 exactly.
    if (!(number >= 1 && number <= 9e15 && number == std::floor(number)))
      wire::failField("no", "a number from 1 is wanted");
    event.number = static_cast<std::uint64_t>(number);
    const auto& roster = wire::object(item, "roster");
    event.isSnapshot = wire::flag(roster, "all");
    for (const auto& target : wire::array(roster, "targets").GetArray()) {
      if (!target.IsObject()) wire::failField("targets", "an array of objects is wanted");
      ExchangeLocation location;
      const auto id = readExchangeId(wire::name(target, "uid"));
      if (!id) wire::failField("uid", "s- and 8 hex digits are wanted");
      const auto address = iax2::parseAddress(wire::name(target, "endpoint"));
      if (!address) wire::failField("endpoint", "an address and a port are wanted");
      const std::string_view state = wire::name(target, "state");
      if (state != "ready" && state != "draining" && state != "gone")
        wire::failField("state", "ready, draining or gone is wanted");
      location.entry.id = *id;
      location.address = *address;
      location.entry.readiness = state == "ready"      ? Readiness::ready
                                 : state == "draining" ? Readiness::draining
                                                       : Readiness::gone;
      location.entry.hasPlace = wire::find(target, "pod_group") != nullptr;
      location.entry.place = wire::integer(target, "pod_group", -1);
      location.entry.started = toInstant(wire::number(target, "boot_ms", 0));
      event.locations.push_back(location);
    }
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace thistlefold::platform
