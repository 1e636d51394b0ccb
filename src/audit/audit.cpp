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

// If a NEW is delivered this long after it was first sent, its first transmission was lost and it was retransmitted.
constexpr Span kDelayedNewThreshold = Span::ms(150);

/// One end of a call: call numbers are unique by pair of addresses.
struct CallKey {
  Address local, remote;
  std::uint16_t localNumber;  // call number at `local`
  friend auto operator<=>(const CallKey&, const CallKey&) = default;
};

/// One call attempt of a caller.
struct CallAttempt {
  int office = -1;
  Instant sent;
  Instant delivered = Instant::never();
  Instant callerLeftAt = Instant::never();
  Instant deadline = Instant::never();
  Span timeLimit;
  std::uint64_t session = 0;
  std::uint16_t officeNumber = 0;
  bool releasedByOffice = false, established = false;
  bool answerCrossedHangup = false;  // the office's answer was in flight in time when the caller left
  Instant finalAnswerAt = Instant::never();
  int finalAnswerSeq = -1;
  bool isClosed = false;
  std::uint64_t newHash = 0;
};

/// One INVITE of an office.
struct Invite {
  Address to;
  std::uint16_t number = 0;
  Instant sent;
  bool ended = false, mayStillBeHeld = false;  // held: the receiver may not have released the session yet (rule 5)
  bool endedBySender = false;                  // the sender hung up
  bool delivered = false;
  bool endedByKill = false;      // `ended` because the receiving office was killed
  bool circuitsCounted = false;  // its circuits are in circuitsInUse_
  bool established = false;
  int answerSeq = -1;  // of the delivered ANSWER, processed or not; -1: none
  Instant endedAt;
  ZoneLegCounts* legCounts = nullptr;            // null for an INVITE within a zone
  std::pair<std::string, std::string> zonePair;  // sending and receiving zone
  int width = 0;
};

/// A leg between zones, kept to find out which office can account for it at the end. An incarnation is the number of
/// times that the office had been killed when the leg was sent or received.
struct InterZoneLeg {
  ZoneLeg key;
  int from, fromIncarnation;
  int to, toIncarnation = -1;  // -1: not delivered
  bool established = false;    // the sender received the ANSWER
  bool answered = false;       // the receiver sent the ANSWER
};

/// Follows a capture packet by packet. Rule 1: every call attempt gets one final answer in time. Rule 2: an office
/// never has two INVITEs for one session pending. Rule 3: nothing is sent to an exchange that drains or is gone. Rule
/// 4: no cold exchange is overloaded. Rule 5: after an INVITE that may still be held, the release time is awaited.
class Audit {
 public:
  Audit(const Fleet& fleet, Tolerance tolerance) : fleet_(fleet), tolerance_(tolerance) {
    for (std::size_t i = 0; i < fleet.places.size(); ++i) {
      officeOf_[fleet.places[i].office] = static_cast<int>(i);
      processorOf_[fleet.places[i].processor] = static_cast<int>(i);
    }
    listed_.assign(fleet.places.size(), std::vector<ListedState>(fleet.places.size()));
    freezes_.assign(fleet.places.size(), {});
    downtimes_.assign(fleet.places.size(), {});
    coldStarts_.resize(fleet.places.size());
    incarnations_.resize(fleet.places.size());
  }

  void process(const Packet& packet) {
    if (dayBegin_ == Instant::never()) dayBegin_ = packet.at;
    now_ = packet.at;
    if (packet.from == capture::kScriptAddress) return processScriptNote(packet);
    if (!packet.delivered) ++findings_.datagrams;
    if (packet.from == fleet_.directory) {
      if (packet.delivered) processList(packet);
      return;
    }
    Frame frame;
    if (iax2::decode(packet.payload, frame) != iax2::DecodeResult::full) return;
    const auto from = officeOf_.find(packet.from);
    const auto to = officeOf_.find(packet.to);
    const auto processor = processorOf_.find(packet.to);
    const bool fromProcessor = processorOf_.contains(packet.from);
    if (from == officeOf_.end() && to != officeOf_.end() && !fromProcessor)
      processFromCaller(packet, frame, to->second);
    if (from != officeOf_.end()) {
      if (to != officeOf_.end()) {
        processTrunkFrame(packet, frame, from->second, to->second);
      } else if (processor != processorOf_.end()) {
        if (packet.delivered && frame.is(Iax::NEW)) processSetUp(packet, frame, processor->second);
      } else if (!packet.delivered) {
        processToCaller(packet, frame, from->second);
      }
    }
  }

  /// To be called once, after the last packet.
  Findings finish() {
    for (auto& [key, attempt] : attempts_) closeAttempt(attempt, true);
    for (const InterZoneLeg& leg : interZoneLegs_) {
      const bool senderKnows = leg.fromIncarnation == incarnations_[static_cast<std::size_t>(leg.from)];
      const bool receiverKnows = leg.toIncarnation == incarnations_[static_cast<std::size_t>(leg.to)];
      if (!senderKnows && !receiverKnows) {
        ++findings_.unaccountedInvites;
        continue;
      }
      ZoneLegCounts& counts = findings_.accountableZoneLegs[leg.key];
      ++counts.invites;
      counts.established += senderKnows ? leg.established : leg.answered;
    }
    std::stable_sort(findings_.violations.begin(), findings_.violations.end(),
                     [](const Violation& a, const Violation& b) { return a.atMs < b.atMs; });
    return std::move(findings_);
  }

 private:
  /// What an office has been notified of about an exchange.
  struct ListedState {
    bool known = false;
    bool ready = false;
    Instant since;
  };

  void addViolation(int rule, std::uint64_t session, std::string text) {
    ++findings_.violationCounts[rule];
    // A hundred violations are enough for a diagnosis; the counts go on.
    if (findings_.violations.size() < 100) {
      findings_.violations.push_back({rule, session, (now_ - dayBegin_).ms(), std::move(text)});
    }
  }
  const std::string& name(int place) const { return fleet_.places[static_cast<std::size_t>(place)].name; }

  // ---- Notes of the script

  void processScriptNote(const Packet& packet) {
    std::istringstream words(std::string(packet.payload.begin(), packet.payload.end()));
    std::string action, placeName;
    words >> action >> placeName;
    if (action == "begin") dayBegin_ = now_;
    const int place = fleet_.place(placeName);
    if (place < 0) return;
    const auto index = static_cast<std::size_t>(place);
    if (action == "freeze") freezes_[index].emplace_back(now_, Instant::never());
    if (action == "thaw" && !freezes_[index].empty()) freezes_[index].back().second = now_;
    if (action == "kill") ++incarnations_[index];
    if (action == "kill" || action == "stop") {
      downtimes_[index].emplace_back(now_, Instant::never());
      for (auto& [key, attempt] : attempts_) {
        if (attempt.office == place) closeAttempt(attempt, false);
      }
      // A killed office no longer has to answer for its INVITEs, and its next incarnation does not know of them.
      for (auto it = invites_.lower_bound({place, 0}); it != invites_.end() && it->first.first == place; ++it) {
        for (Invite& invite : it->second) {
          releaseCircuits(invite);
        }
      }
      // Nor does it hold the INVITEs that it received; their senders find that out without a message on the wire.
      for (auto& [key, invites] : invites_) {
        for (Invite& invite : invites) {
          if (invite.to != fleet_.places[index].office) continue;
          releaseCircuits(invite);
          if (invite.ended || !invite.delivered) continue;
          invite.ended = invite.endedByKill = invite.mayStillBeHeld = true;
          invite.endedAt = now_;
        }
      }
      invites_.erase(invites_.lower_bound({place, 0}), invites_.lower_bound({place + 1, 0}));
      for (ListedState& state : listed_[index]) state = ListedState();
      lastLists_.erase(place);
    }
    if (action == "start" && !downtimes_[index].empty()) downtimes_[index].back().second = now_;
    if (action == "processor-started") {
      coldStarts_[index].started = now_;
      coldStarts_[index].setUpTimes.clear();
    }
  }

  static bool overlapsAny(const std::vector<std::pair<Instant, Instant>>& spans, Instant from, Instant to) {
    return std::any_of(spans.begin(), spans.end(),
                       [&](const auto& span) { return span.first <= to && span.second >= from; });
  }

  // ---- Rule 1

  void processFromCaller(const Packet& packet, const Frame& frame, int office) {
    const CallKey key{packet.from, packet.to, frame.source};
    if (frame.is(Iax::NEW)) {
      const auto found = attempts_.find(key);
      if (found != attempts_.end() && (frame.retransmitted || found->second.newHash == hash(packet))) {
        if (packet.delivered && found->second.delivered == Instant::never()) attemptDelivered(found->second);
        return;
      }
      if (packet.delivered) return;  // damaged in transit: not the NEW that the caller sent
      if (found != attempts_.end()) {
        closeAttempt(found->second, true);
        attempts_.erase(found);
      }
      CallAttempt attempt;
      attempt.office = office;
      attempt.newHash = hash(packet);
      attempt.sent = now_;
      const int service = std::max(0, fleet_.service(frame.elements.calledContext));
      attempt.timeLimit = Span::ms(frame.elements.timeLeftMs.value_or(1u << 31));
      attempt.timeLimit =
          std::min(attempt.timeLimit, fleet_.config.services[static_cast<std::size_t>(service)].timerLimit);
      attempts_[key] = attempt;
      return;
    }
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    // A caller's HANGUP counts from when it was sent, not delivered.
    if (!packet.delivered && frame.is(Iax::HANGUP) && found->second.callerLeftAt == Instant::never()) {
      found->second.callerLeftAt = now_;
    }
  }

  void attemptDelivered(CallAttempt& attempt) {
    attempt.delivered = now_;
    attempt.deadline = now_ + attempt.timeLimit;
  }

  void processToCaller(const Packet& packet, const Frame& frame, int office) {
    const CallKey key{packet.to, packet.from, frame.destination};
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    CallAttempt& attempt = found->second;
    if (attempt.officeNumber == 0) attempt.officeNumber = frame.source;
    if (attempt.officeNumber != frame.source || attempt.isClosed) return;
    if (frame.elements.session) attempt.session = *frame.elements.session;
    const bool unsequenced = frame.is(Iax::ACK) || frame.is(Iax::INVAL) || frame.is(Iax::VNAK);
    if (unsequenced || frame.retransmitted || frame.oseq == attempt.finalAnswerSeq) return;
    const bool answer = frame.is(iax2::Control::answer);
    const bool rejected = frame.is(Iax::REJECT) || frame.is(Iax::HANGUP);
    if (attempt.finalAnswerAt != Instant::never()) {
      if (attempt.established && rejected && !attempt.releasedByOffice) {
        // The office released an established session: allowed once, and it may cross the caller's HANGUP.
        attempt.releasedByOffice = true;
        return;
      }
      if (frame.is(Iax::PING) || frame.is(Iax::PONG) || frame.is(Iax::LAGRP)) return;
      return addViolation(1, attempt.session,
                          "office " + name(office) + " sent " + iax2::name(frame) + " after its final answer");
    }
    if (!answer && !rejected) return;
    if (attempt.callerLeftAt != Instant::never()) {  // it crossed the caller's HANGUP
      attempt.answerCrossedHangup = now_ <= attempt.deadline + tolerance_.finalAnswer;
      return;
    }
    attempt.finalAnswerAt = now_;
    attempt.finalAnswerSeq = frame.oseq;
    attempt.established = answer;
    if (attempt.session != 0) answeredSessions_.insert({office, attempt.session});
    if (now_ > attempt.deadline + tolerance_.finalAnswer &&
        !overlapsAny(freezes_[static_cast<std::size_t>(office)], attempt.delivered, now_)) {
      addViolation(1, attempt.session,
                   "office " + name(office) + " gave its final answer " +
                       std::to_string(static_cast<long>((now_ - attempt.deadline).ms())) +
                       " ms after the caller's limit");
    }
  }

  /// Counts the attempt's outcome, once. `atEnd`: the attempt or the capture has ended; false: the
  /// office was killed or stopped.
  void closeAttempt(CallAttempt& attempt, bool atEnd) {
    if (attempt.isClosed) return;
    attempt.isClosed = true;
    if (attempt.delivered == Instant::never()) {
      ++findings_.undelivered;
      return;
    }
    ++findings_.attempts;
    const auto index = static_cast<std::size_t>(attempt.office);
    if (attempt.finalAnswerAt != Instant::never()) {
      ++(attempt.established ? findings_.established : findings_.refused);
      return;
    }
    const Instant lastDue = attempt.deadline == Instant::never() ? now_ : std::min(attempt.deadline, now_);
    if (!atEnd || overlapsAny(downtimes_[index], attempt.delivered, lastDue)) {
      ++findings_.officeDown;
      return;
    }
    if (overlapsAny(freezes_[index], attempt.delivered, attempt.deadline + tolerance_.finalAnswer)) {
      ++findings_.officeDown;  // frozen when the answer was due
      return;
    }
    // A caller may leave at any time. One that waited until its limit should have been answered, unless the network
    // delayed its NEW for so long that the office calculated a later limit.
    const bool leftEarly = attempt.callerLeftAt < attempt.sent + attempt.timeLimit - tolerance_.timestamp;
    const bool newDelayed = attempt.delivered - attempt.sent > kDelayedNewThreshold;
    if (attempt.callerLeftAt != Instant::never() && (leftEarly || newDelayed || attempt.answerCrossedHangup)) {
      ++findings_.callerLeft;
      return;
    }
    ++findings_.unanswered;
    addViolation(1, attempt.session,
                 "office " + name(attempt.office) + " gave no final answer to a call attempt that was delivered " +
                     std::to_string(static_cast<long>((attempt.delivered - dayBegin_).ms())) + " ms into the day");
  }

  static std::uint64_t hash(const Packet& packet) {
    // FNV-1a over the bytes that a retransmitted NEW has in common with the first one.
    std::uint64_t value = 14695981039346656037ull;
    for (std::size_t i = 4; i < packet.payload.size(); ++i) {
      if (i == 9) continue;
      value = (value ^ packet.payload[i]) * 1099511628211ull;
    }
    return value;
  }

  // ---- Rules 2, 3 and 5

  void processTrunkFrame(const Packet& packet, const Frame& frame, int from, int to) {
    if (frame.is(Iax::NEW) && !packet.delivered && frame.elements.session)
      return processInvite(packet, frame, from, to);
    const iax2::Elements& e = frame.elements;
    if (Invite* invite = frame.is(Iax::NEW) && packet.delivered ? findInvite(from, packet.to, frame.source) : nullptr) {
      // Retransmitted to an office that was restarted in the meantime, the INVITE is pending again.
      invite->delivered = true;
      if (std::exchange(invite->endedByKill, false)) invite->ended = false;
    }
    if (frame.is(Iax::NEW) && e.session && e.destinationPlace && e.width && e.timeLeftMs) {
      if (InterZoneLeg* leg = findInterZoneLeg(from, packet.to, frame.source))
        leg->toIncarnation = incarnations_[static_cast<std::size_t>(to)];
    }
    if (!packet.delivered && frame.is(iax2::Control::answer)) {
      if (InterZoneLeg* leg = findInterZoneLeg(to, packet.from, frame.destination)) leg->answered = true;
    }
    // An INVITE ends when the sender sends its HANGUP, or when the receiver's REJECT, HANGUP or INVAL is delivered.
    const bool rejectedOrHungUp = frame.is(Iax::HANGUP) || frame.is(Iax::REJECT);
    const bool answer = frame.is(iax2::Control::answer);
    // An ANSWER that overtook an earlier frame is not processed until that frame has been delivered too: the office has
    // processed the ANSWER once it acknowledges it.
    if (!packet.delivered) {
      Invite* invite = findInvite(from, packet.to, frame.source);
      // An end that overtook the ANSWER does not undo it either.
      if (invite != nullptr && !invite->established && !invite->endedBySender && invite->answerSeq >= 0 &&
          static_cast<std::int8_t>(frame.iseq - invite->answerSeq) > 0) {
        invite->established = true;
        if (invite->legCounts != nullptr) {
          ++invite->legCounts->established;
          if (InterZoneLeg* leg = findInterZoneLeg(from, packet.to, frame.source)) leg->established = true;
        }
      }
    }
    if (!packet.delivered && rejectedOrHungUp) {
      if (Invite* invite = findInvite(from, packet.to, frame.source)) invite->endedBySender = true;
      endInvite(from, packet.to, frame.source, true);
    }
    if (packet.delivered && (rejectedOrHungUp || frame.is(Iax::INVAL))) {
      endInvite(to, packet.from, frame.destination,
                frame.is(Iax::INVAL) || frame.elements.releaseReason == iax2::ReleaseReason::reset);
    }
    if (packet.delivered && answer) {
      if (Invite* invite = findInvite(to, packet.from, frame.destination)) invite->answerSeq = frame.oseq;
    }
  }

  void processInvite(const Packet& packet, const Frame& frame, int from, int to) {
    const std::uint64_t session = *frame.elements.session;
    std::vector<Invite>& invites = invites_[{from, session}];
    for (const Invite& earlier : invites) {
      if (earlier.to == packet.to && earlier.number == frame.source) return;  // retransmitted
    }
    ++findings_.invites;
    if (frame.elements.destinationPlace && *frame.elements.destinationPlace != to) ++findings_.tandemInvites;
    for (const Invite& earlier : invites) {
      if (!earlier.ended) {
        addViolation(2, session,
                     "office " + name(from) + " sent an INVITE to " + name(to) + " while another was pending");
      } else if (earlier.mayStillBeHeld && !earlier.established &&
                 now_ - earlier.endedAt + tolerance_.timestamp < fleet_.config.releaseTime) {
        addViolation(5, session,
                     "office " + name(from) + " sent the session again " +
                         std::to_string(static_cast<long>((now_ - earlier.endedAt).ms())) +
                         " ms after an INVITE that was given up or reset");
      }
    }
    if (answeredSessions_.contains({from, session})) {
      addViolation(1, session, "office " + name(from) + " sent an INVITE for a session that it had already answered");
    }
    Invite invite;
    invite.to = packet.to;
    invite.number = frame.source;
    invite.sent = now_;
    if (const auto zoneLeg = zoneLegOf(frame, from, to)) {
      invite.legCounts = &findings_.zoneLegs[*zoneLeg];
      ++invite.legCounts->invites;
      invite.zonePair = {fleet_.places[static_cast<std::size_t>(from)].zone,
                         fleet_.places[static_cast<std::size_t>(to)].zone};
      invite.width = frame.elements.width.value_or(1);
      invite.circuitsCounted = true;
      changeCircuits(invite.zonePair, invite.width);
      interZoneLegOfCall_[{from, packet.to, frame.source}] = interZoneLegs_.size();
      interZoneLegs_.push_back({*zoneLeg, from, incarnations_[static_cast<std::size_t>(from)], to});
    }
    invites.push_back(invite);
    sessionOfCall_[{from, packet.to, frame.source}] = session;
    checkListed(from, to, session);
    if (frame.elements.destinationPlace && *frame.elements.destinationPlace != to &&
        *frame.elements.destinationPlace < fleet_.places.size()) {
      checkListed(from, *frame.elements.destinationPlace, session);
    }
  }

  void changeCircuits(const std::pair<std::string, std::string>& pair, int change) {
    const int inUse = circuitsInUse_[pair] += change;
    findings_.circuitsInUse[pair].emplace_back(now_, inUse);
    findings_.peakCircuitsInUse[pair] = std::max(findings_.peakCircuitsInUse[pair], inUse);
  }

  void releaseCircuits(Invite& invite) {
    if (std::exchange(invite.circuitsCounted, false)) changeCircuits(invite.zonePair, -invite.width);
  }

  InterZoneLeg* findInterZoneLeg(int from, Address to, std::uint16_t number) {
    const auto it = interZoneLegOfCall_.find({from, to, number});
    return it == interZoneLegOfCall_.end() ? nullptr : &interZoneLegs_[it->second];
  }

  std::optional<ZoneLeg> zoneLegOf(const Frame& frame, int from, int to) const {
    const ExchangeSite& sender = fleet_.places[static_cast<std::size_t>(from)];
    const ExchangeSite& receiver = fleet_.places[static_cast<std::size_t>(to)];
    if (sender.zone == receiver.zone || !frame.elements.destinationPlace) return std::nullopt;
    // The highest bits of a session's number name the office that owns it: a leg of another office's session is the
    // second leg of a path over a tandem.
    const bool ownSession = *frame.elements.session >> 52 == static_cast<std::uint64_t>(from) + 1;
    const char* part = !ownSession ? "second" : *frame.elements.destinationPlace == to ? "direct" : "first";
    return ZoneLeg{sender.zone, receiver.zone, std::string(frame.elements.calledContext), part};
  }

  void checkListed(int office, int place, std::uint64_t session) {
    const ListedState& state = listed_[static_cast<std::size_t>(office)][static_cast<std::size_t>(place)];
    if (!state.known || state.ready || now_ - state.since <= fleet_.drainGrace + tolerance_.timestamp) return;
    // A list that waited for a frozen office has not been processed by it yet.
    for (const auto& [from, to] : freezes_[static_cast<std::size_t>(office)]) {
      if (state.since >= from && state.since <= to && now_ <= to + tolerance_.timestamp) return;
    }
    addViolation(3, session,
                 "office " + name(office) + " sent to " + name(place) + " " +
                     std::to_string(static_cast<long>((now_ - state.since).ms())) +
                     " ms after it was notified that the exchange is draining or gone");
  }

  Invite* findInvite(int office, Address to, std::uint16_t number) {
    const auto call = sessionOfCall_.find({office, to, number});
    if (call == sessionOfCall_.end()) return nullptr;
    const auto invites = invites_.find({office, call->second});
    if (invites == invites_.end()) return nullptr;
    for (Invite& invite : invites->second) {
      if (invite.to == to && invite.number == number) return &invite;
    }
    return nullptr;
  }

  void endInvite(int office, Address to, std::uint16_t number, bool mayStillBeHeld) {
    Invite* invite = findInvite(office, to, number);
    // A message about it may still be delivered after the office that sent the message was killed.
    if (invite == nullptr || (invite->ended && !std::exchange(invite->endedByKill, false))) return;
    invite->ended = true;
    releaseCircuits(*invite);
    invite->endedAt = now_;
    invite->mayStillBeHeld = mayStillBeHeld;
  }

  void processList(const Packet& packet) {
    const auto office = officeOf_.find(packet.to);
    if (office == officeOf_.end()) return;
    std::istringstream text(std::string(packet.payload.begin(), packet.payload.end()));
    std::string word, kind;
    std::uint64_t directory = 0, version = 0, start = 0;
    std::size_t format = 0, count = 0;
    if (!(text >> word >> word >> format >> directory >> version >> kind >> count)) return;
    // Offices ignore an older list, unless it comes from another directory and the one with the newer list has been
    // silent for ten seconds.
    auto& last = lastLists_[office->second];
    const bool older = std::pair(directory, version) <= std::pair(last.directory, last.version);
    if (older && (directory == last.directory || now_ - last.processedAt <= Span::ms(10000))) return;
    std::vector<ListedState>& states = listed_[static_cast<std::size_t>(office->second)];
    std::vector<bool> listed(states.size());
    std::vector<std::pair<std::size_t, bool>> entries;
    for (std::size_t i = 0; i < count; ++i) {
      std::size_t place = 0;
      std::int64_t age = 0;
      if (!(text >> place >> word >> start >> age))
        return;  // truncated: an office processes a list as a whole or not at all
      if (place < states.size()) entries.emplace_back(place, word == "ready");
    }
    last = {directory, version, now_};
    const auto setReady = [&](std::size_t place, bool ready) {
      ListedState& state = states[place];
      if (state.known && state.ready == ready) return;
      state = {true, ready, now_};
    };
    for (const auto& [place, ready] : entries) {
      listed[place] = true;
      setReady(place, ready);
    }
    for (std::size_t i = 0; kind == "full" && i < states.size(); ++i) {
      if (!listed[i]) setReady(i, false);
    }
  }

  // ---- Rule 4

  void processSetUp(const Packet& packet, const Frame& frame, int place) {
    ColdStart& cold = coldStarts_[static_cast<std::size_t>(place)];
    if (cold.started == Instant::never()) return;
    const Span age = now_ - cold.started;
    if (age >= fleet_.config.warmUpTime) return;
    if (!cold.seen.emplace(std::pair(packet.from, frame.source), hash(packet)).second) return;
    cold.setUpTimes.push_back(now_);
    while (now_ - cold.setUpTimes.front() > fleet_.config.overloadWindow) cold.setUpTimes.pop_front();
    const double share =
        fleet_.config.coldCapacityShare + (1 - fleet_.config.coldCapacityShare) * (age / fleet_.config.warmUpTime);
    const double capacity = fleet_.places[static_cast<std::size_t>(place)].setUpsPerSecond * share *
                            fleet_.config.overloadWindow.ms() / 1000;
    const double load = static_cast<double>(cold.setUpTimes.size()) / (fleet_.config.overloadFactor * capacity);
    findings_.peakColdLoad = std::max(findings_.peakColdLoad, load);
    if (load > 1) {
      addViolation(4, frame.elements.session.value_or(0),
                   "the cold exchange " + name(place) + " received " + std::to_string(cold.setUpTimes.size()) +
                       " set-ups in " + std::to_string(static_cast<long>(fleet_.config.overloadWindow.ms())) + " ms");
    }
  }

  /// A processor that was started during the day, and the set-ups sent to it since.
  struct ColdStart {
    Instant started = Instant::never();
    std::deque<Instant> setUpTimes;
    std::map<std::pair<Address, std::uint16_t>, std::uint64_t> seen;
  };

  const Fleet& fleet_;
  Tolerance tolerance_;
  Findings findings_;
  Instant dayBegin_ = Instant::never();
  Instant now_;
  std::map<Address, int> officeOf_, processorOf_;
  std::map<CallKey, CallAttempt> attempts_;
  std::set<std::pair<int, std::uint64_t>> answeredSessions_;                        // by office
  std::map<std::pair<int, std::uint64_t>, std::vector<Invite>> invites_;            // by office and session
  std::map<std::tuple<int, Address, std::uint16_t>, std::uint64_t> sessionOfCall_;  // by office, peer and call number
  std::vector<int> incarnations_;                                                   // by office
  std::vector<InterZoneLeg> interZoneLegs_;
  std::map<std::tuple<int, Address, std::uint16_t>, std::size_t> interZoneLegOfCall_;
  std::vector<std::vector<ListedState>> listed_;
  /// The list that an office processed last.
  struct ListVersion {
    std::uint64_t directory = 0, version = 0;
    Instant processedAt = Instant::distantPast();
  };
  std::map<int, ListVersion> lastLists_;
  std::vector<std::vector<std::pair<Instant, Instant>>> freezes_, downtimes_;
  std::vector<ColdStart> coldStarts_;
  std::map<std::pair<std::string, std::string>, int> circuitsInUse_;  // circuits of INVITEs that have not ended
};

}  // namespace

Findings audit(const Fleet& fleet, const std::string& capturePath, Tolerance tolerance) {
  Audit audit(fleet, tolerance);
  capture::read(capturePath, [&](const Packet& packet) { audit.process(packet); });
  return audit.finish();
}

std::string describe(const Findings& findings) {
  std::ostringstream out;
  out << "call attempts delivered       " << findings.attempts << '\n'
      << "  established                 " << findings.established << '\n'
      << "  refused or failed           " << findings.refused << '\n'
      << "  caller left earlier         " << findings.callerLeft << '\n'
      << "  office killed or frozen     " << findings.officeDown << '\n'
      << "  unanswered                  " << findings.unanswered << '\n'
      << "call attempts not delivered   " << findings.undelivered << '\n'
      << "INVITEs                       " << findings.invites << ", over a tandem " << findings.tandemInvites << '\n'
      << "datagrams                     " << findings.datagrams << '\n'
      << "peak share of the cold limit  " << std::fixed << std::setprecision(0) << 100 * findings.peakColdLoad << "%\n";
  static constexpr const char* kRules[] = {"",
                                           "one final answer in time",
                                           "never two INVITEs pending",
                                           "draining exchanges avoided",
                                           "no cold exchange overloaded",
                                           "release awaited"};
  for (int rule = 1; rule <= 5; ++rule) {
    out << "rule " << rule << "  " << std::left << std::setw(30) << kRules[rule]
        << (findings.violationCounts[rule] == 0 ? "kept"
                                                : "BROKEN " + std::to_string(findings.violationCounts[rule]) + " times")
        << '\n';
  }
  for (const Violation& violation : findings.violations) {
    out << std::right << std::setw(9) << std::setprecision(3) << violation.atMs / 1000 << " s  rule " << violation.rule
        << "  session " << std::hex << violation.session << std::dec << "  " << violation.text << '\n';
  }
  return out.str();
}

std::string json(const Findings& findings) {
  namespace json = boost::json;
  json::array violations;
  for (const Violation& violation : findings.violations) {
    std::ostringstream session;
    session << std::hex << violation.session;  // 64 bits are too long for a number in JSON
    violations.push_back(json::object{
        {"rule", violation.rule}, {"session", session.str()}, {"at_ms", violation.atMs}, {"what", violation.text}});
  }
  json::object out{
      {"tries", findings.attempts},
      {"stood", findings.established},
      {"refused", findings.refused},
      {"caller_left", findings.callerLeft},
      {"office_down", findings.officeDown},
      {"unanswered", findings.unanswered},
      {"unreached", findings.undelivered},
      {"invites", findings.invites},
      {"two_leg", findings.tandemInvites},
      {"datagrams", findings.datagrams},
      {"nearest_to_cold", findings.peakColdLoad},
      {"kept", findings.passed()},
      {"broken", json::array{findings.violationCounts[1], findings.violationCounts[2], findings.violationCounts[3],
                             findings.violationCounts[4], findings.violationCounts[5]}},
      {"breaches", std::move(violations)}};
  return json::serialize(out);
}

}  // namespace thistlefold::audit
