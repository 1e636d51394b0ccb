#include "zones/lease_message.hpp"

#include <sstream>

namespace thistlefold::zones {
namespace {

// Three counts a service; far above what any fleet dials.
constexpr std::size_t kMostUnits = 256;

void line(std::ostringstream& out, const char* word, const Units& units) {
  out << word;
  for (const int one : units) out << ' ' << one;
  out << '\n';
}

bool read(std::istream& in, std::string_view word, Units& units) {
  std::string text, first;
  if (!std::getline(in, text)) return false;
  std::istringstream line(text);
  if (!(line >> first) || first != word) return false;
  int one = 0;
  while (line >> one) {
    if (units.size() == kMostUnits) return false;
    units.push_back(one);
  }
  return line.eof();
}

}  // namespace

std::string encode(const LeaseMessage& word) {
  std::ostringstream out;
  out << kLeaseMessageHeader << "from " << word.from << " zone " << word.zone << " mark " << word.mark << " sent "
      << word.sent << " heard " << word.heard << " serial " << word.serial << " seen " << word.seen << " pressed "
      << word.pressed << '\n';
  line(out, "granted", word.granted);
  line(out, "spare", word.spare);
  line(out, "recalled", word.recalled);
  line(out, "holds", word.holds);
  line(out, "asks", word.asks);
  out << "end\n";
  return out.str();
}

std::optional<LeaseMessage> decodeLeaseMessage(std::span<const std::uint8_t> datagram) {
  const std::string text(datagram.begin(), datagram.end());
  if (!text.starts_with(kLeaseMessageHeader)) return std::nullopt;
  std::istringstream in(text.substr(kLeaseMessageHeader.size()));
  LeaseMessage word;
  std::string head, from, zone, mark, sent, heard, serial, seen, pressed, rest;
  if (!std::getline(in, head)) return std::nullopt;
  std::istringstream line(head);
  line >> from >> word.from >> zone >> word.zone >> mark >> word.mark >> sent >> word.sent >> heard >> word.heard >>
      serial >> word.serial >> seen >> word.seen >> pressed >> word.pressed;
  if (!line || line >> rest || from != "from" || zone != "zone" || mark != "mark" || sent != "sent" ||
      heard != "heard" || serial != "serial" || seen != "seen" || pressed != "pressed") {
    return std::nullopt;
  }
  if (!read(in, "granted", word.granted) || !read(in, "spare", word.spare) || !read(in, "recalled", word.recalled) ||
      !read(in, "holds", word.holds) || !read(in, "asks", word.asks)) {
    return std::nullopt;
  }
  // The last line shows that nothing was cut off.
  return std::getline(in, rest) && rest == "end" && !in.eof() && !std::getline(in, rest) ? std::optional(word)
                                                                                         : std::nullopt;
}

}  // namespace thistlefold::zones
