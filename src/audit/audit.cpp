#include "audit/audit.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "capture/capture.hpp"
#include "iax2/frame.hpp"

namespace thistlefold::audit {
namespace {

using capture::Packet;
using iax2::Address;
using iax2::Frame;
using iax2::Iax;

// A NEW that arrives so long after it was first sent was lost and repeated.
constexpr Span kLateNew = Span::ms(150);

struct CallKey {
  Address here, there;
  std::uint16_t number;  // of `here`
  friend auto operator<=>(const CallKey&, const CallKey&) = default;
};

/// A try of a caller.
struct Try {
  int office = -1;
  Instant sent;
  Instant delivered = Instant::never();
  Instant leftAt = Instant::never();
  Instant deadline = Instant::never();
  Span limit;
  std::uint64_t session = 0;
  std::uint16_t officeNumber = 0;
  bool officeEnded = false, stood = false;
  bool crossed = false;  // its answer was on its way in time when the caller left
  Instant finalAt = Instant::never();
  int finalSeq = -1;
  bool closed = false;
  std::uint64_t bytesHash = 0;
};

/// An INVITE of an office.
struct Invite {
  Address to;
  std::uint16_t number = 0;
  Instant sent;
  bool over = false, mayBeHeld = false;
  bool left = false;  // by the sender's own word
  bool arrived = false;
  bool killed = false;   // over, because the office that had taken it was killed
  bool counted = false;  // its circuits are out
  bool stood = false;
  int answerSeq = -1;  // of the ANSWER that arrived, heard or not
  Instant overAt;
  ZoneLegCounts* crossed = nullptr;
  std::pair<std::string, std::string> pair;  // zones
  int width = 0;
};

/// A leg that crossed zones, for what becomes of its sender's account. Lives count the starts of an office.
struct CrossedLeg {
  ZoneLeg crossing;
  int from, life;
  int to, toLife = -1;    // -1: it reached nobody
  bool stood = false;     // heard by the sender
  bool answered = false;  // said by the other end
};

class Audit {
 public:
  Audit(const Fleet& fleet, Tolerance tolerance) : fleet_(fleet), tolerance_(tolerance) {
    for (std::size_t i = 0; i < fleet.places.size(); ++i) {
      officeOf_[fleet.places[i].office] = static_cast<int>(i);
      processorOf_[fleet.places[i].processor] = static_cast<int>(i);
    }
    told_.assign(fleet.places.size(), std::vector<Told>(fleet.places.size()));
    frozen_.assign(fleet.places.size(), {});
    down_.assign(fleet.places.size(), {});
    cold_.resize(fleet.places.size());
    life_.resize(fleet.places.size());
  }

  void take(const Packet& packet) {
    if (begin_ == Instant::never()) begin_ = packet.at;
    now_ = packet.at;
    if (packet.from == capture::kScriptAddress) return note(packet);
    if (!packet.delivered) ++found_.datagrams;
    if (packet.from == fleet_.directory) {
      if (packet.delivered) list(packet);
      return;
    }
    Frame frame;
    if (iax2::decode(packet.payload, frame) != iax2::DecodeResult::full) return;
    const auto from = officeOf_.find(packet.from);
    const auto to = officeOf_.find(packet.to);
    const auto processor = processorOf_.find(packet.to);
    const bool fromStandIn = processorOf_.contains(packet.from);
    if (from == officeOf_.end() && to != officeOf_.end() && !fromStandIn) fromCaller(packet, frame, to->second);
    if (from != officeOf_.end()) {
      if (to != officeOf_.end()) {
        trunk(packet, frame, from->second, to->second);
      } else if (processor != processorOf_.end()) {
        if (packet.delivered && frame.is(Iax::NEW)) toProcessor(packet, frame, processor->second);
      } else if (!packet.delivered) {
        toCaller(packet, frame, from->second);
      }
    }
  }

  Findings finish() {
    for (auto& [key, one] : tries_) close(one, true);
    for (const CrossedLeg& leg : legs_) {
      const bool own = leg.life == life_[static_cast<std::size_t>(leg.from)];
      const bool other = leg.toLife == life_[static_cast<std::size_t>(leg.to)];
      if (!own && !other) {
        ++found_.unaccounted;
        continue;
      }
      ZoneLegCounts& sums = found_.remembered[leg.crossing];
      ++sums.invites;
      sums.stood += own ? leg.stood : leg.answered;
    }
    std::stable_sort(found_.violations.begin(), found_.violations.end(),
                     [](const Violation& a, const Violation& b) { return a.atMs < b.atMs; });
    return std::move(found_);
  }

 private:
  struct Told {
    bool known = false;
    bool ready = false;
    Instant since;
  };

  void violation(int rule, std::uint64_t session, std::string text) {
    ++found_.broken[rule];
    // So many tell what is wrong; the counts go on.
    if (found_.violations.size() < 100) {
      found_.violations.push_back({rule, session, (now_ - begin_).ms(), std::move(text)});
    }
  }
  const std::string& name(int place) const { return fleet_.places[static_cast<std::size_t>(place)].name; }

  // ---- What the script did

  void note(const Packet& packet) {
    std::istringstream words(std::string(packet.payload.begin(), packet.payload.end()));
    std::string what, whose;
    words >> what >> whose;
    if (what == "begin") begin_ = now_;
    const int place = fleet_.place(whose);
    if (place < 0) return;
    const auto at = static_cast<std::size_t>(place);
    if (what == "freeze") frozen_[at].emplace_back(now_, Instant::never());
    if (what == "thaw" && !frozen_[at].empty()) frozen_[at].back().second = now_;
    if (what == "kill") ++life_[at];
    if (what == "kill" || what == "stop") {
      down_[at].emplace_back(now_, Instant::never());
      for (auto& [key, one] : tries_) {
        if (one.office == place) close(one, false);
      }
      // What a killed office held is no longer its duty, and its next self knows nothing of it.
      for (auto it = invites_.lower_bound({place, 0}); it != invites_.end() && it->first.first == place; ++it) {
        for (Invite& one : it->second) {
          free(one);
        }
      }
      // Nor does it hold what came in; the senders find out without a word on the wire.
      for (auto& [key, all] : invites_) {
        for (Invite& one : all) {
          if (one.to != fleet_.places[at].office) continue;
          free(one);
          if (one.over || !one.arrived) continue;
          one.over = one.killed = one.mayBeHeld = true;
          one.overAt = now_;
        }
      }
      invites_.erase(invites_.lower_bound({place, 0}), invites_.lower_bound({place + 1, 0}));
      for (Told& told : told_[at]) told = Told();
      lists_.erase(place);
    }
    if (what == "start" && !down_[at].empty()) down_[at].back().second = now_;
    if (what == "processor-started") {
      cold_[at].started = now_;
      cold_[at].sent.clear();
    }
  }

  static bool within(const std::vector<std::pair<Instant, Instant>>& spans, Instant from, Instant to) {
    return std::any_of(spans.begin(), spans.end(),
                       [&](const auto& span) { return span.first <= to && span.second >= from; });
  }

  // ---- Rule 1

  void fromCaller(const Packet& packet, const Frame& frame, int office) {
    const CallKey key{packet.from, packet.to, frame.source};
    if (frame.is(Iax::NEW)) {
      const auto known = tries_.find(key);
      if (known != tries_.end() && (frame.retransmitted || known->second.bytesHash == hash(packet))) {
        if (packet.delivered && known->second.delivered == Instant::never()) arrived(known->second);
        return;
      }
      if (packet.delivered) return;  // damaged on the way: not what the caller sent
      if (known != tries_.end()) {
        close(known->second, true);
        tries_.erase(known);
      }
      Try one;
      one.office = office;
      one.bytesHash = hash(packet);
      one.sent = now_;
      const int service = std::max(0, fleet_.service(frame.elements.calledContext));
      one.limit = Span::ms(frame.elements.timeLeftMs.value_or(1u << 31));
      one.limit = std::min(one.limit, fleet_.config.services[static_cast<std::size_t>(service)].timerLimit);
      tries_[key] = one;
      return;
    }
    const auto known = tries_.find(key);
    if (known == tries_.end()) return;
    // The caller's own word counts from when it was given.
    if (!packet.delivered && frame.is(Iax::HANGUP) && known->second.leftAt == Instant::never()) {
      known->second.leftAt = now_;
    }
  }

  void arrived(Try& one) {
    one.delivered = now_;
    one.deadline = now_ + one.limit;
  }

  void toCaller(const Packet& packet, const Frame& frame, int office) {
    const CallKey key{packet.to, packet.from, frame.destination};
    const auto known = tries_.find(key);
    if (known == tries_.end()) return;
    Try& one = known->second;
    if (one.officeNumber == 0) one.officeNumber = frame.source;
    if (one.officeNumber != frame.source || one.closed) return;
    if (frame.elements.session) one.session = *frame.elements.session;
    const bool unsequenced = frame.is(Iax::ACK) || frame.is(Iax::INVAL) || frame.is(Iax::VNAK);
    if (unsequenced || frame.retransmitted || frame.oseq == one.finalSeq) return;
    const bool answer = frame.is(iax2::Control::answer);
    const bool no = frame.is(Iax::REJECT) || frame.is(Iax::HANGUP);
    if (one.finalAt != Instant::never()) {
      if (one.stood && no && !one.officeEnded) {
        one.officeEnded = true;  // a standing session that was cut or ended; once, and it may cross the caller's end
        return;
      }
      if (frame.is(Iax::PING) || frame.is(Iax::PONG) || frame.is(Iax::LAGRP)) return;
      return violation(1, one.session,
                       "office " + name(office) + " sent " + iax2::name(frame) + " after its final answer");
    }
    if (!answer && !no) return;
    if (one.leftAt != Instant::never()) {  // it crossed the caller's own end
      one.crossed = now_ <= one.deadline + tolerance_.answer;
      return;
    }
    one.finalAt = now_;
    one.finalSeq = frame.oseq;
    one.stood = answer;
    if (one.session != 0) answered_.insert({office, one.session});
    if (now_ > one.deadline + tolerance_.answer &&
        !within(frozen_[static_cast<std::size_t>(office)], one.delivered, now_)) {
      violation(1, one.session,
                "office " + name(office) + " gave its final answer " +
                    std::to_string(static_cast<long>((now_ - one.deadline).ms())) + " ms after the caller's limit");
    }
  }

  void close(Try& one, bool final) {
    if (one.closed) return;
    one.closed = true;
    if (one.delivered == Instant::never()) {
      ++found_.unreached;
      return;
    }
    ++found_.tries;
    const auto at = static_cast<std::size_t>(one.office);
    if (one.finalAt != Instant::never()) {
      ++(one.stood ? found_.stood : found_.refused);
      return;
    }
    const Instant until = one.deadline == Instant::never() ? now_ : std::min(one.deadline, now_);
    if (!final || within(down_[at], one.delivered, until)) {
      ++found_.officeDown;
      return;
    }
    if (within(frozen_[at], one.delivered, one.deadline + tolerance_.answer)) {
      ++found_.officeDown;  // it stood still when the answer was due
      return;
    }
    // A caller may leave when it likes; one that held out to its limit was owed an answer, unless the network kept
    // its NEW back for so long that the office had to count with a later limit.
    const bool early = one.leftAt < one.sent + one.limit - tolerance_.stamp;
    const bool late = one.delivered - one.sent > kLateNew;
    if (one.leftAt != Instant::never() && (early || late || one.crossed)) {
      ++found_.callerLeft;
      return;
    }
    ++found_.unanswered;
    violation(1, one.session,
              "office " + name(one.office) + " gave no final answer to a try that reached it " +
                  std::to_string(static_cast<long>((one.delivered - begin_).ms())) + " ms into the day");
  }

  static std::uint64_t hash(const Packet& packet) {
    // FNV-1a over what a repeated NEW has in common with the first.
    std::uint64_t value = 14695981039346656037ull;
    for (std::size_t i = 4; i < packet.payload.size(); ++i) {
      if (i == 9) continue;
      value = (value ^ packet.payload[i]) * 1099511628211ull;
    }
    return value;
  }

  // ---- Rules 2, 3 and 5

  void trunk(const Packet& packet, const Frame& frame, int from, int to) {
    if (frame.is(Iax::NEW) && !packet.delivered && frame.elements.session) return invited(packet, frame, from, to);
    const iax2::Elements& e = frame.elements;
    if (Invite* one = frame.is(Iax::NEW) && packet.delivered ? find(from, packet.to, frame.source) : nullptr) {
      // Repeated to one that was started anew since, it is out again.
      one->arrived = true;
      if (std::exchange(one->killed, false)) one->over = false;
    }
    if (frame.is(Iax::NEW) && e.session && e.destinationPlace && e.width && e.timeLeftMs) {
      if (CrossedLeg* leg = legOf(from, packet.to, frame.source)) leg->toLife = life_[static_cast<std::size_t>(to)];
    }
    if (!packet.delivered && frame.is(iax2::Control::answer)) {
      if (CrossedLeg* leg = legOf(to, packet.from, frame.destination)) leg->answered = true;
    }
    // The end of an INVITE: by the sender's word when it is sent, by the other's when it arrives.
    const bool bye = frame.is(Iax::HANGUP) || frame.is(Iax::REJECT);
    const bool answer = frame.is(iax2::Control::answer);
    // An ANSWER that arrived ahead of a frame before it is not heard until that has come too: the office has heard it
    // once it acknowledges it.
    if (!packet.delivered) {
      Invite* one = find(from, packet.to, frame.source);
      // Nor does an end that came ahead of it undo it.
      if (one != nullptr && !one->stood && !one->left && one->answerSeq >= 0 &&
          static_cast<std::int8_t>(frame.iseq - one->answerSeq) > 0) {
        one->stood = true;
        if (one->crossed != nullptr) {
          ++one->crossed->stood;
          if (CrossedLeg* leg = legOf(from, packet.to, frame.source)) leg->stood = true;
        }
      }
    }
    if (!packet.delivered && bye) {
      if (Invite* one = find(from, packet.to, frame.source)) one->left = true;
      end(from, packet.to, frame.source, true);
    }
    if (packet.delivered && (bye || frame.is(Iax::INVAL))) {
      end(to, packet.from, frame.destination,
          frame.is(Iax::INVAL) || frame.elements.releaseReason == iax2::ReleaseReason::reset);
    }
    if (packet.delivered && answer) {
      if (Invite* one = find(to, packet.from, frame.destination)) one->answerSeq = frame.oseq;
    }
  }

  void invited(const Packet& packet, const Frame& frame, int from, int to) {
    const std::uint64_t session = *frame.elements.session;
    std::vector<Invite>& all = invites_[{from, session}];
    for (const Invite& earlier : all) {
      if (earlier.to == packet.to && earlier.number == frame.source) return;  // repeated
    }
    ++found_.invites;
    if (frame.elements.destinationPlace && *frame.elements.destinationPlace != to) ++found_.twoLeg;
    for (const Invite& earlier : all) {
      if (!earlier.over) {
        violation(2, session, "office " + name(from) + " sent an INVITE to " + name(to) + " while another was out");
      } else if (earlier.mayBeHeld && !earlier.stood &&
                 now_ - earlier.overAt + tolerance_.stamp < fleet_.config.releaseTime) {
        violation(5, session,
                  "office " + name(from) + " sent the session again " +
                      std::to_string(static_cast<long>((now_ - earlier.overAt).ms())) +
                      " ms after an INVITE that was given up or reset");
      }
    }
    if (answered_.contains({from, session})) {
      violation(1, session, "office " + name(from) + " sent an INVITE for a session that it had answered");
    }
    Invite one;
    one.to = packet.to;
    one.number = frame.source;
    one.sent = now_;
    if (const auto crossed = crossing(frame, from, to)) {
      one.crossed = &found_.crossed[*crossed];
      ++one.crossed->invites;
      one.pair = {fleet_.places[static_cast<std::size_t>(from)].zone, fleet_.places[static_cast<std::size_t>(to)].zone};
      one.width = frame.elements.width.value_or(1);
      one.counted = true;
      circuits(one.pair, one.width);
      legOf_[{from, packet.to, frame.source}] = legs_.size();
      legs_.push_back({*crossed, from, life_[static_cast<std::size_t>(from)], to});
    }
    all.push_back(one);
    byCall_[{from, packet.to, frame.source}] = session;
    checkTold(from, to, session);
    if (frame.elements.destinationPlace && *frame.elements.destinationPlace != to &&
        *frame.elements.destinationPlace < fleet_.places.size()) {
      checkTold(from, *frame.elements.destinationPlace, session);
    }
  }

  void circuits(const std::pair<std::string, std::string>& pair, int change) {
    const int out = out_[pair] += change;
    found_.out[pair].emplace_back(now_, out);
    found_.peaks[pair] = std::max(found_.peaks[pair], out);
  }

  void free(Invite& one) {
    if (std::exchange(one.counted, false)) circuits(one.pair, -one.width);
  }

  CrossedLeg* legOf(int from, Address to, std::uint16_t number) {
    const auto it = legOf_.find({from, to, number});
    return it == legOf_.end() ? nullptr : &legs_[it->second];
  }

  std::optional<ZoneLeg> crossing(const Frame& frame, int from, int to) const {
    const ExchangeSite& here = fleet_.places[static_cast<std::size_t>(from)];
    const ExchangeSite& there = fleet_.places[static_cast<std::size_t>(to)];
    if (here.zone == there.zone || !frame.elements.destinationPlace) return std::nullopt;
    // Whose session it is stands in its number's highest bits: a leg of another office's session is a second one.
    const bool own = *frame.elements.session >> 52 == static_cast<std::uint64_t>(from + 1);
    const char* part = !own ? "second" : *frame.elements.destinationPlace == to ? "direct" : "first";
    return ZoneLeg{here.zone, there.zone, std::string(frame.elements.calledContext), part};
  }

  void checkTold(int office, int place, std::uint64_t session) {
    const Told& told = told_[static_cast<std::size_t>(office)][static_cast<std::size_t>(place)];
    if (!told.known || told.ready || now_ - told.since <= fleet_.drainGrace + tolerance_.stamp) return;
    // What waited for a frozen office was not told to it yet.
    for (const auto& [from, to] : frozen_[static_cast<std::size_t>(office)]) {
      if (told.since >= from && told.since <= to && now_ <= to + tolerance_.stamp) return;
    }
    violation(3, session,
              "office " + name(office) + " sent to " + name(place) + " " +
                  std::to_string(static_cast<long>((now_ - told.since).ms())) +
                  " ms after it was told that the exchange drains or is gone");
  }

  Invite* find(int office, Address to, std::uint16_t number) {
    const auto call = byCall_.find({office, to, number});
    if (call == byCall_.end()) return nullptr;
    const auto all = invites_.find({office, call->second});
    if (all == invites_.end()) return nullptr;
    for (Invite& one : all->second) {
      if (one.to == to && one.number == number) return &one;
    }
    return nullptr;
  }

  void end(int office, Address to, std::uint16_t number, bool mayBeHeld) {
    Invite* one = find(office, to, number);
    // Word of it may still come after the one that sent it was killed.
    if (one == nullptr || (one->over && !std::exchange(one->killed, false))) return;
    one->over = true;
    free(*one);
    one->overAt = now_;
    one->mayBeHeld = mayBeHeld;
  }

  void list(const Packet& packet) {
    const auto office = officeOf_.find(packet.to);
    if (office == officeOf_.end()) return;
    std::istringstream in(std::string(packet.payload.begin(), packet.payload.end()));
    std::string word, kind;
    std::uint64_t directory = 0, version = 0, start = 0;
    std::size_t format = 0, count = 0;
    if (!(in >> word >> word >> format >> directory >> version >> kind >> count)) return;
    // Not an older one; but one of a directory that speaks on when the newer has been silent for ten seconds.
    auto& last = lists_[office->second];
    const bool older = std::pair(directory, version) <= std::pair(last.directory, last.version);
    if (older && (directory == last.directory || now_ - last.at <= Span::ms(10000))) return;
    std::vector<Told>& told = told_[static_cast<std::size_t>(office->second)];
    std::vector<bool> named(told.size());
    std::vector<std::pair<std::size_t, bool>> read;
    for (std::size_t i = 0; i < count; ++i) {
      std::size_t place = 0;
      std::int64_t age = 0;
      if (!(in >> place >> word >> start >> age)) return;  // cut short: an office takes a list whole or not at all
      if (place < told.size()) read.emplace_back(place, word == "ready");
    }
    last = {directory, version, now_};
    const auto set = [&](std::size_t place, bool ready) {
      Told& one = told[place];
      if (one.known && one.ready == ready) return;
      one = {true, ready, now_};
    };
    for (const auto& [place, ready] : read) {
      named[place] = true;
      set(place, ready);
    }
    for (std::size_t i = 0; kind == "full" && i < told.size(); ++i) {
      if (!named[i]) set(i, false);
    }
  }

  // ---- Rule 4

  void toProcessor(const Packet& packet, const Frame& frame, int place) {
    Cold& cold = cold_[static_cast<std::size_t>(place)];
    if (cold.started == Instant::never()) return;
    const Span age = now_ - cold.started;
    if (age >= fleet_.config.warmUpTime) return;
    if (!cold.seen.emplace(std::pair(packet.from, frame.source), hash(packet)).second) return;
    cold.sent.push_back(now_);
    while (now_ - cold.sent.front() > fleet_.config.overloadWindow) cold.sent.pop_front();
    const double share =
        fleet_.config.coldCapacityShare + (1 - fleet_.config.coldCapacityShare) * (age / fleet_.config.warmUpTime);
    const double canDo = fleet_.places[static_cast<std::size_t>(place)].setUpsPerSecond * share *
                         fleet_.config.overloadWindow.ms() / 1000;
    const double used = static_cast<double>(cold.sent.size()) / (fleet_.config.overloadFactor * canDo);
    found_.nearestToCold = std::max(found_.nearestToCold, used);
    if (used > 1) {
      violation(4, frame.elements.session.value_or(0),
                "the cold exchange " + name(place) + " got " + std::to_string(cold.sent.size()) + " set-ups in " +
                    std::to_string(static_cast<long>(fleet_.config.overloadWindow.ms())) + " ms");
    }
  }

  struct Cold {
    Instant started = Instant::never();
    std::deque<Instant> sent;
    std::map<std::pair<Address, std::uint16_t>, std::uint64_t> seen;
  };

  const Fleet& fleet_;
  Tolerance tolerance_;
  Findings found_;
  Instant begin_ = Instant::never();
  Instant now_;
  std::map<Address, int> officeOf_, processorOf_;
  std::map<CallKey, Try> tries_;
  std::set<std::pair<int, std::uint64_t>> answered_;
  std::map<std::pair<int, std::uint64_t>, std::vector<Invite>> invites_;
  std::map<std::tuple<int, Address, std::uint16_t>, std::uint64_t> byCall_;
  std::vector<int> life_;
  std::vector<CrossedLeg> legs_;
  std::map<std::tuple<int, Address, std::uint16_t>, std::size_t> legOf_;
  std::vector<std::vector<Told>> told_;
  struct Last {
    std::uint64_t directory = 0, version = 0;
    Instant at = Instant::longAgo();
  };
  std::map<int, Last> lists_;
  std::vector<std::vector<std::pair<Instant, Instant>>> frozen_, down_;
  std::vector<Cold> cold_;
  std::map<std::pair<std::string, std::string>, int> out_;  // circuits of INVITEs that are not over
};

}  // namespace

Findings audit(const Fleet& fleet, const std::string& capturePath, Tolerance tolerance) {
  Audit audit(fleet, tolerance);
  capture::read(capturePath, [&](const Packet& packet) { audit.take(packet); });
  return audit.finish();
}

std::string describe(const Findings& f) {
  std::ostringstream out;
  out << "tries that reached an office  " << f.tries << '\n'
      << "  stood                       " << f.stood << '\n'
      << "  refused or failed           " << f.refused << '\n'
      << "  caller left before          " << f.callerLeft << '\n'
      << "  office killed or frozen     " << f.officeDown << '\n'
      << "  without an answer           " << f.unanswered << '\n'
      << "tries that reached none       " << f.unreached << '\n'
      << "INVITEs                       " << f.invites << ", over a tandem " << f.twoLeg << '\n'
      << "datagrams                     " << f.datagrams << '\n'
      << "nearest to the cold limit     " << std::fixed << std::setprecision(0) << 100 * f.nearestToCold << "%\n";
  static constexpr const char* kRules[] = {"",
                                           "one final answer in time",
                                           "never two INVITEs out",
                                           "drains kept",
                                           "no cold exchange pushed over",
                                           "release awaited"};
  for (int rule = 1; rule <= 5; ++rule) {
    out << "rule " << rule << "  " << std::left << std::setw(30) << kRules[rule]
        << (f.broken[rule] == 0 ? "kept" : "BROKEN " + std::to_string(f.broken[rule]) + " times") << '\n';
  }
  for (const Violation& one : f.violations) {
    out << std::right << std::setw(9) << std::setprecision(3) << one.atMs / 1000 << " s  rule " << one.rule
        << "  session " << std::hex << one.session << std::dec << "  " << one.text << '\n';
  }
  return out.str();
}

std::string json(const Findings& f) {
  namespace json = boost::json;
  json::array violations;
  for (const Violation& one : f.violations) {
    std::ostringstream session;
    session << std::hex << one.session;  // too long for a number in JSON
    violations.push_back(
        json::object{{"rule", one.rule}, {"session", session.str()}, {"at_ms", one.atMs}, {"what", one.text}});
  }
  json::object out{{"tries", f.tries},
                   {"stood", f.stood},
                   {"refused", f.refused},
                   {"caller_left", f.callerLeft},
                   {"office_down", f.officeDown},
                   {"unanswered", f.unanswered},
                   {"unreached", f.unreached},
                   {"invites", f.invites},
                   {"two_leg", f.twoLeg},
                   {"datagrams", f.datagrams},
                   {"nearest_to_cold", f.nearestToCold},
                   {"kept", f.kept()},
                   {"broken", json::array{f.broken[1], f.broken[2], f.broken[3], f.broken[4], f.broken[5]}},
                   {"breaches", std::move(violations)}};
  return json::serialize(out);
}

}  // namespace thistlefold::audit
