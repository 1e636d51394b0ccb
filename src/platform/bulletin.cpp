#include "platform/bulletin.hpp"

#include <cmath>

#include "platform/message.hpp"

namespace thistlefold::platform {
namespace {

constexpr std::size_t kHead = 4 + 8 + 1;
constexpr std::size_t kRecord = 27;
// A whole list of all exchanges that a record's cell can tell apart; a length above it is no length.
constexpr std::size_t kLongestFrame = kHead - 4 + kRecord * 65536;

std::uint64_t number(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}

Instant started(double unixMs) { return unixMs > 0 ? Instant::ms(unixMs) : Instant::distantPast(); }

}  // namespace

std::string askAfter(std::uint64_t number) {
  std::string bytes(8, '\0');
  for (std::size_t i = 0; i < 8; ++i) bytes[7 - i] = static_cast<char>(number >> (8 * i));
  return bytes;
}

bool Frames::add(std::string_view bytes) {
  waiting_.append(bytes);
  return readable_;
}

std::optional<BulletinEvent> Frames::next() {
  if (!readable_ || waiting_.size() < 4) return std::nullopt;
  const std::string_view all(waiting_);
  const std::uint64_t length = number(all.substr(0, 4));
  if (length < kHead - 4 || length > kLongestFrame) {
    readable_ = false;
    return std::nullopt;
  }
  if (all.size() < 4 + length) return std::nullopt;
  BulletinEvent event;
  event.number = number(all.substr(4, 8));
  const auto kind = number(all.substr(12, 1));
  const std::string_view payload = all.substr(kHead, 4 + length - kHead);
  if (kind > 2 || payload.size() % kRecord != 0 || (kind == 0 && !payload.empty())) {
    readable_ = false;
    return std::nullopt;
  }
  event.whole = kind == 1;
  for (std::size_t at = 0; at < payload.size(); at += kRecord) {
    const std::string_view record = payload.substr(at, kRecord);
    Place place;
    place.entry.id = static_cast<std::uint32_t>(number(record.substr(0, 4)));
    place.address = {static_cast<std::uint32_t>(number(record.substr(4, 4))),
                     static_cast<std::uint16_t>(number(record.substr(8, 2)))};
    const auto state = number(record.substr(10, 1));
    if (state > 2) {
      readable_ = false;
      return std::nullopt;
    }
    place.entry.readiness = state == 0 ? Readiness::ready : state == 1 ? Readiness::draining : Readiness::gone;
    place.entry.hasPlace = true;
    place.entry.place = static_cast<int>(number(record.substr(13, 2)));
    place.entry.started = started(static_cast<double>(number(record.substr(19, 8))));
    event.places.push_back(place);
  }
  waiting_.erase(0, 4 + length);
  return event;
}

std::vector<BulletinEvent> readKnown(const wire::Value& known) {
  std::vector<BulletinEvent> events;
  for (const auto& item : wire::array(known, "items").GetArray()) {
    if (!item.IsObject()) wire::failField("items", "objects are wanted");
    BulletinEvent event;
    const double number = wire::number(item, "no");
    // Whole numbers up to there are exact.
    if (!(number >= 1 && number <= 9e15 && number == std::floor(number)))
      wire::failField("no", "a number from 1 is wanted");
    event.number = static_cast<std::uint64_t>(number);
    const auto& roster = wire::object(item, "roster");
    event.whole = wire::flag(roster, "all");
    for (const auto& target : wire::array(roster, "targets").GetArray()) {
      if (!target.IsObject()) wire::failField("targets", "objects are wanted");
      Place place;
      const auto id = readExchangeId(wire::name(target, "uid"));
      if (!id) wire::failField("uid", "s- and 8 hex digits are wanted");
      const auto address = iax2::parseAddress(wire::name(target, "endpoint"));
      if (!address) wire::failField("endpoint", "an address and a port are wanted");
      const std::string_view state = wire::name(target, "state");
      if (state != "ready" && state != "draining" && state != "gone") wire::failField("state", "no such state");
      place.entry.id = *id;
      place.address = *address;
      place.entry.readiness = state == "ready"      ? Readiness::ready
                              : state == "draining" ? Readiness::draining
                                                    : Readiness::gone;
      place.entry.hasPlace = wire::find(target, "pod_group") != nullptr;
      place.entry.place = wire::integer(target, "pod_group", -1);
      place.entry.started = started(wire::number(target, "boot_ms", 0));
      event.places.push_back(place);
    }
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace thistlefold::platform
