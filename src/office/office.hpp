#pragma once

// The session engine of one office, between the signalling and the module. Free of I/O, clock and threads.
// Frames become the module's RoundEvents, the module's DecisionSink becomes frames. Routes nothing by itself: every
// INVITE that leaves an office was written by the module, but for the last step from the destination's office into its
// own exchange, where there is nothing left to choose.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "datagram_handler.hpp"
#include "fleet/fleet.hpp"
#include "iax2/endpoint.hpp"
#include "office/list.hpp"
#include "office/trunk_group.hpp"
#include "thistlefold/controller.hpp"
#include "zones/lease.hpp"
#include "zones/ledger.hpp"
#include "zones/peer_usage.hpp"
#include "zones/top_users.hpp"

namespace thistlefold {

/// What an office tells those who watch it. Logs are written from this; nothing flows back.
struct OfficeEvent {
  enum class Kind { taken, invited, stood, ended, refused, dropped, peerLost, peerBack, listed };
  Kind kind;
  std::uint64_t session = 0;
  std::string_view exchange;  // the other place involved, or empty
  std::string_view reason;
};
using OfficeObserver = std::function<void(const OfficeEvent&)>;

/// Makes the controller; a rogue one is put in its place by tests of the audit.
using ControllerFactory = std::function<std::unique_ptr<Controller>(const OfficeConfig&, std::uint64_t seed)>;

/// Bounds and spans of one office that are not the fleet's.
struct OfficeOptions {
  int place = 0;
  std::uint64_t seed = 1;
  std::size_t maxSessions = 20000;         // held at once; a NEW beyond is refused at once, counted
  Span peerPokeInterval = Span::ms(1000);  // how often other offices are asked for a sign of life
  Span peerSilenceLimit = Span::ms(6000);  // silence after which sessions over a peer are given up: six signs missed
  Span exchangePokeInterval = Span::ms(300);
  iax2::DialogueTiming timing;
};

/// Counts since the start. Stood, refused, abandoned and cut are sessions dialled here; what is in transit or
/// terminating belongs to the office where it was dialled.
struct OfficeCounters {
  std::uint64_t dialled = 0, transit = 0, terminating = 0, invites = 0, twoLeg = 0, established = 0, refused = 0,
                abandoned = 0, cut = 0, turnedBack = 0, noCircuit = 0, timedOut = 0, reset = 0, overFull = 0,
                rounds = 0, listsTaken = 0, listsStale = 0, unreadable = 0;
};

class Office final : public DatagramHandler, private iax2::CallListener, private RoundEvents, private DecisionSink {
 public:
  /// `fleet` must outlive the office.
  Office(const Fleet& fleet, OfficeOptions setting, Instant now, const ControllerFactory& make = makeController,
         OfficeObserver observer = {});
  ~Office() override;

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// Takes nothing new from now on and ends all it holds, each with one answer.
  void stop(Instant now);
  /// Everything has been ended and confirmed, or given up.
  bool stopped() const { return stopping_ && legs_.empty() && held_.empty(); }

  const OfficeCounters& counters() const { return counters_; }
  const iax2::EndpointCounters& wire() const { return endpoint_.counts(); }
  std::size_t sessions() const { return held_.size(); }
  std::size_t establishedSessions() const { return standing_; }
  /// This end's count of the group to `place`; null where there is none.
  const TrunkGroup* trunkGroup(int place) const;
  Readiness told(int place) const;
  /// Budgets between zones from now on: new legs obey, standing ones are left to end unless the budget says else.
  void updateBudgets(Instant now, const std::vector<zones::Budget>& budgets);
  /// Its account of what crossed zones, up to `now`, as one JSON object, for `thistlefold zones`.
  std::string zonesReport(Instant now);
  /// The last seconds, minutes or hours of what crossed to a zone, by service, newest first.
  std::string seriesReport(Instant now, std::string_view level, std::size_t zone);
  /// The state as one JSON object, for `thistlefold status`.
  std::string report(Instant now) const;
  /// What a question of `thistlefold status` or `zones` is answered (docs/wire.md); nothing if it is none.
  std::optional<std::string> answerQuery(Instant now, std::string_view question);

 private:
  struct Held;
  struct Leg;
  struct Peer;
  struct Event;

  // CallListener
  void onIncomingCall(iax2::Call& call, const iax2::Frame& frame) override;
  void onPong(iax2::Address from, const iax2::Frame& frame) override;
  iax2::Elements pongElements(iax2::Address to) override;
  // RoundEvents
  void deliver(Controller& controller) override;
  // DecisionSink
  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override;
  void rejectBusy(const Session& session, Span retryAfter) override;
  void failUncertain(const Session& session) override;
  void scheduleWakeUp(Span delay) override;
  void subscribe() override;

  void fromCaller(iax2::Call& call, const iax2::Frame& frame);
  void fromPeer(Peer& peer, iax2::Call& call, const iax2::Frame& frame);
  void terminate(Held& held);
  void onFrame(Leg& leg, const iax2::Frame& frame);
  void onCallEnded(Leg& leg, iax2::CallEnd how);
  void answered(Held& held);
  void failed(Held& held, InviteOutcome ending, BlockingReason reason, bool beyond, Span wait);
  void over(Held& held, bool cut, const Leg* by);
  void callerLeft(Held& held);
  void giveUp(Held& held);
  void reject(iax2::Call& call, iax2::ReleaseReason why, std::uint8_t code, std::string_view text, Span wait);
  void refuse(Held& held, Span retryAfter);
  void answerNo(Held& held, iax2::ReleaseReason why, bool beyond, Span wait, std::uint8_t code, std::string_view text);
  void hangUp(Leg& leg, iax2::ReleaseReason why, std::uint8_t code);
  void settle(Leg& leg);
  void unlink(Leg& leg);
  void due(Held& held, Instant at);
  void list(const ExchangeList& list);
  void resize(Peer& peer, int circuits);
  void cutLeg(Leg& leg);
  void lose(Peer& peer, bool restarted);
  zones::LeasedBudget* poolOf(const Peer& to);
  std::pair<int, int> shown(const Peer& peer);
  void told(Peer& peer, Controller& controller);
  void budgetChanged(const zones::LeasedBudget& pool);
  void setBudgets(const std::vector<zones::Budget>& budgets);
  void tendPools();
  void endCheapest(const zones::LeasedBudget& pool, int circuits);
  zones::UsageCell* cellOf(const Held& held, const Peer& to);
  void pokeWhoIsDue();
  Leg& newLeg(Held& held, iax2::Call& call, Peer* peer, int circuits, bool out);
  Held& newHeld(std::uint64_t id, const iax2::Frame& frame, std::size_t service);
  void event(Event event);
  void changed(Peer& peer);
  void tell(OfficeEvent::Kind what, const Held* held, const Peer* peer, std::string_view reason) const;
  iax2::Elements opening(const Held& held, int towards, Span timeLeft) const;
  iax2::Elements withRoom(const Held* held) const;
  void sweep();

  const Fleet& fleet_;
  OfficeOptions setting_;
  OfficeObserver observer_;
  Instant now_;
  Instant started_;
  iax2::Endpoint endpoint_;
  std::vector<std::unique_ptr<Peer>> peers_;  // by place; the own one among them
  std::unordered_map<iax2::Address, Peer*> byOffice_;
  Peer* own_ = nullptr;
  std::unique_ptr<Controller> controller_;
  std::list<Held> held_;
  std::list<Leg> legs_;
  std::vector<Held*> done_;
  struct Sooner {
    bool operator()(const Held* a, const Held* b) const;
  };
  std::set<Held*, Sooner> giveUps_;
  std::vector<Event> events_;
  std::vector<Peer*> changed_;
  std::vector<std::pair<iax2::Address, std::string>> texts_;  // to the directory and to offices of the own zone
  Instant wakeAt_ = Instant::longAgo();
  Instant pokeAt_ = Instant::longAgo();
  Instant askedAt_ = Instant::never();
  std::uint64_t listFrom_ = 0;
  std::uint64_t listVersion_ = 0;
  Instant listAt_ = Instant::longAgo();  // when that came
  std::uint64_t startMark_;
  std::uint32_t serial_ = 0;
  std::size_t standing_ = 0;
  bool stopping_ = false;
  OfficeCounters counters_;
  std::vector<std::string> zoneNames_;  // in order of appearance in the fleet file
  std::vector<int> zoneOf_;             // by place
  zones::UsageLedger ledger_;
  std::vector<zones::TopUsers> users_;  // by zone that their legs go to
  struct BudgetChange {
    Instant at;
    int zone, circuits;
  };
  std::vector<BudgetChange> budgetChanges_;                  // the last of them
  zones::PeerUsage peerUsage_;                               // what other offices sent here across zones
  std::vector<std::unique_ptr<zones::LeasedBudget>> pools_;  // by zone that a leg goes to
};

}  // namespace thistlefold
