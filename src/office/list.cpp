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
  for (const ListEntry& one : list.entries) {
    out << one.place << ' '
        << (one.readiness == Readiness::ready      ? "ready"
            : one.readiness == Readiness::draining ? "draining"
                                                   : "gone")
        << ' ' << one.processorIncarnation << ' ' << static_cast<std::int64_t>(one.age.ms()) << '\n';
  }
  for (const GroupSize& one : list.groups) out << "group " << one.a << ' ' << one.b << ' ' << one.circuits << '\n';
  return out.str();
}

std::optional<ExchangeList> decodeList(std::span<const std::uint8_t> datagram) {
  std::istringstream in(std::string(datagram.begin(), datagram.end()));
  std::string word, kind;
  int format = 0;
  std::size_t count = 0;
  ExchangeList list;
  if (!(in >> word) || word != "thistlefold" || !(in >> word) || word != "list") return std::nullopt;
  if (!(in >> format) || format != 1 || !(in >> list.directoryIncarnation >> list.version >> kind >> count)) {
    return std::nullopt;
  }
  if ((kind != "full" && kind != "changes") || count > kMaxEntries) return std::nullopt;
  list.full = kind == "full";
  for (std::size_t i = 0; i < count; ++i) {
    ListEntry one;
    std::int64_t age = 0;
    if (!(in >> one.place >> word >> one.processorIncarnation >> age) || one.place < 0 || age < 0) return std::nullopt;
    if (word != "ready" && word != "draining" && word != "gone") return std::nullopt;
    one.readiness = word == "ready" ? Readiness::ready : word == "draining" ? Readiness::draining : Readiness::gone;
    one.age = Span::ms(static_cast<double>(age));
    list.entries.push_back(one);
  }
  while (in >> word) {
    GroupSize group;
    if (word != "group" || list.groups.size() >= kMaxGroups) return std::nullopt;
    if (!(in >> group.a >> group.b >> group.circuits) || group.a < 0 || group.b < 0 || group.circuits < 0) {
      return std::nullopt;
    }
    list.groups.push_back(group);
  }
  return list;
}

}  // namespace thistlefold
