#include "audit/session_trace.hpp"

#include <functional>
#include <iomanip>
#include <map>
#include <set>
#include <tuple>

#include "capture/capture.hpp"
#include "iax2/frame.hpp"

namespace thistlefold::audit {
namespace {

using iax2::Address;

/// One call, the same for both directions: the end with the lower address comes first.
using CallKey = std::tuple<Address, std::uint16_t, Address, std::uint16_t>;

std::string nameOf(const Fleet& fleet, Address address) {
  for (const ExchangeSite& place : fleet.places) {
    if (place.office == address) return "office " + place.name;
    if (place.processor == address) return "exchange " + place.name;
  }
  return text(address);
}

CallKey key(const capture::Packet& packet, const iax2::Frame& frame) {
  if (packet.from < packet.to) return {packet.from, frame.source, packet.to, frame.destination};
  return {packet.to, frame.destination, packet.from, frame.source};
}

}  // namespace

std::size_t sessionTrace(const Fleet& fleet, const std::string& capturePath, std::uint64_t session, std::ostream& out) {
  // The first pass collects the calls whose frames name this session, the second prints all frames of these calls. The
  // first frames of a call lack the call number of one end, so a call is entered without each of them as well.
  std::set<CallKey> calls;
  const auto forEachFrame = [&](const std::function<void(const capture::Packet&, const iax2::Frame&, Instant)>& visit) {
    Instant start = Instant::never();
    capture::read(capturePath, [&](const capture::Packet& packet) {
      if (start == Instant::never()) start = packet.at;
      iax2::Frame frame;
      if (packet.from == capture::kScriptAddress || iax2::decode(packet.payload, frame) != iax2::DecodeResult::full)
        return;
      visit(packet, frame, start);
    });
  };
  forEachFrame([&](const capture::Packet& packet, const iax2::Frame& frame, Instant) {
    if (frame.elements.session != session) return;
    calls.insert(key(packet, frame));
    iax2::Frame opening = frame;
    opening.source = 0;
    calls.insert(key(packet, opening));
    opening = frame;
    opening.destination = 0;
    calls.insert(key(packet, opening));
  });
  std::size_t count = 0;
  forEachFrame([&](const capture::Packet& packet, const iax2::Frame& frame, Instant start) {
    if (!calls.contains(key(packet, frame))) return;
    ++count;
    out << std::fixed << std::setprecision(3) << std::setw(9) << (packet.at - start).ms() / 1000 << ' '
        << (packet.delivered ? "got " : "sent") << ' ' << nameOf(fleet, packet.from) << " -> "
        << nameOf(fleet, packet.to) << "  " << frame.source << "/" << frame.destination << "  " << name(frame) << " o"
        << static_cast<int>(frame.oseq) << " i" << static_cast<int>(frame.iseq)
        << (frame.retransmitted ? " again" : "");
    if (frame.elements.causeCode) out << " cause " << static_cast<int>(*frame.elements.causeCode);
    if (frame.elements.releaseReason) out << " why " << static_cast<int>(*frame.elements.releaseReason);
    out << '\n';
  });
  return count;
}

std::vector<std::uint64_t> sessions(const std::string& capturePath) {
  std::vector<std::uint64_t> inOrder;
  std::set<std::uint64_t> known;
  capture::read(capturePath, [&](const capture::Packet& packet) {
    iax2::Frame frame;
    if (iax2::decode(packet.payload, frame) != iax2::DecodeResult::full || !frame.elements.session) return;
    if (known.insert(*frame.elements.session).second) inOrder.push_back(*frame.elements.session);
  });
  return inOrder;
}

}  // namespace thistlefold::audit
