#include "zones/lease_message.hpp"

#include <sstream>

namespace thistlefold::zones {
namespace {

// Limit of counts per line. A message has one count plus two for each service, far fewer in any real fleet.
constexpr std::size_t kMaxUnits = 256;

void writeLine(std::ostringstream& out, const char* label, const Units& units) {
  out << label;
  for (const int one : units) out << ' ' << one;
  out << '\n';
}

bool readLine(std::istream& in, std::string_view label, Units& units) {
  std::string text, first;
  if (!std::getline(in, text)) return false;
  std::istringstream line(text);
  if (!(line >> first) || first != label) return false;
  int one = 0;
  while (line >> one) {
    if (units.size() == kMaxUnits) return false;
    units.push_back(one);
  }
  return line.eof();
}

}  // namespace

std::string encode(const LeaseMessage& message) {
  std::ostringstream out;
  out << kLeaseMessageHeader << "from " << message.from << " zone " << message.zone << " mark " << message.incarnation
      << " sent " << message.sentAt << " heard " << message.echoedSentAt << " serial " << message.grantSerial
      << " seen " << message.seenSerial << " pressed " << message.contended << '\n';
  writeLine(out, "granted", message.granted);
  writeLine(out, "spare", message.spare);
  writeLine(out, "recalled", message.recalled);
  writeLine(out, "holds", message.borrowed);
  writeLine(out, "asks", message.requested);
  out << "end\n";
  return out.str();
}

std::optional<LeaseMessage> decodeLeaseMessage(std::span<const std::uint8_t> datagram) {
  const std::string text(datagram.begin(), datagram.end());
  if (!text.starts_with(kLeaseMessageHeader)) return std::nullopt;
  std::istringstream in(text.substr(kLeaseMessageHeader.size()));
  LeaseMessage message;
  std::string head, from, zone, mark, sent, heard, serial, seen, pressed, rest;
  if (!std::getline(in, head)) return std::nullopt;
  std::istringstream line(head);
  line >> from >> message.from >> zone >> message.zone >> mark >> message.incarnation >> sent >> message.sentAt >>
      heard >> message.echoedSentAt >> serial >> message.grantSerial >> seen >> message.seenSerial >> pressed >>
      message.contended;
  if (!line || line >> rest || from != "from" || zone != "zone" || mark != "mark" || sent != "sent" ||
      heard != "heard" || serial != "serial" || seen != "seen" || pressed != "pressed") {
    return std::nullopt;
  }
  if (!readLine(in, "granted", message.granted) || !readLine(in, "spare", message.spare) ||
      !readLine(in, "recalled", message.recalled) || !readLine(in, "holds", message.borrowed) ||
      !readLine(in, "asks", message.requested)) {
    return std::nullopt;
  }
  // The last line shows that the datagram is not truncated.
  return std::getline(in, rest) && rest == "end" && !in.eof() && !std::getline(in, rest) ? std::optional(message)
                                                                                         : std::nullopt;
}

}  // namespace thistlefold::zones
