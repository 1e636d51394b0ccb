#include "office/list.hpp"

#include <sstream>

namespace thistlefold {
namespace {

// A UDP datagram holds at most some 65,000 bytes, so a list can't name more exchanges than this.
constexpr std::size_t kMaxEntries = 1000;
constexpr std::size_t kMaxGroups = 4000;

}  // namespace

std::string encode(const ExchangeList& list) {
  std::ostringstream out;
  out << "thistlefold list 1 " << list.directoryIncarnation << ' ' << list.version << ' '
      << (list.full ? "full" : "changes") << ' ' << list.entries.size() << '\n';
  for (const ListEntry& entry : list.entries) {
    out << entry.place << ' '
        << (entry.readiness == Readiness::ready      ? "ready"
            : entry.readiness == Readiness::draining ? "draining"
                                                     : "gone")
        << ' ' << entry.processorIncarnation << ' ' << static_cast<std::int64_t>(entry.age.ms()) << '\n';
  }
  for (const GroupSize& group : list.groups)
    out << "group " << group.a << ' ' << group.b << ' ' << group.circuits << '\n';
  return out.str();
}

std::optional<ExchangeList> decodeList(std::span<const std::uint8_t> datagram) {
  std::istringstream in(std::string(datagram.begin(), datagram.end()));
  std::string token, listKind;
  int format = 0;
  std::size_t count = 0;
  ExchangeList list;
  if (!(in >> token) || token != "thistlefold" || !(in >> token) || token != "list") return std::nullopt;
  if (!(in >> format) || format != 1 || !(in >> list.directoryIncarnation >> list.version >> listKind >> count)) {
    return std::nullopt;
  }
  if ((listKind != "full" && listKind != "changes") || count > kMaxEntries) return std::nullopt;
  list.full = listKind == "full";
  for (std::size_t i = 0; i < count; ++i) {
    ListEntry entry;
    std::int64_t ageMs = 0;
    if (!(in >> entry.place >> token >> entry.processorIncarnation >> ageMs) || entry.place < 0 || ageMs < 0)
      return std::nullopt;
    if (token != "ready" && token != "draining" && token != "gone") return std::nullopt;
    entry.readiness = token == "ready" ? Readiness::ready : token == "draining" ? Readiness::draining : Readiness::gone;
    entry.age = Span::ms(static_cast<double>(ageMs));
    list.entries.push_back(entry);
  }
  while (in >> token) {
    GroupSize group;
    if (token != "group" || list.groups.size() >= kMaxGroups) return std::nullopt;
    if (!(in >> group.a >> group.b >> group.circuits) || group.a < 0 || group.b < 0 || group.circuits < 0) {
      return std::nullopt;
    }
    list.groups.push_back(group);
  }
  return list;
}

}  // namespace thistlefold
