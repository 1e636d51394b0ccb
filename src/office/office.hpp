#pragma once

// The session engine of one office, between the IAX2 signalling and the routing module. It does no I/O, reads no clock
// and starts no threads. Received frames become the module's RoundEvents; the decisions that the module writes to its
// DecisionSink become frames. The engine makes no routing decision: the module decides on every INVITE that leaves an
// office, except for the last step from the destination's office into its own exchange, where there is only one way.

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

/// What an office reports to its observer, which writes it to the log. The observer can't influence the office.
struct OfficeEvent {
  /// The enumerators up to `dropped` concern one session. The log has names of its own for them, in this order.
  enum class Kind {
    received,       // a caller's NEW was accepted for routing
    inviteSent,     // an INVITE was sent to another office
    established,    // the far end has answered
    ended,          // an INVITE failed (with its reason), or an established session was released (without one)
    refused,        // the caller was given a negative answer
    dropped,        // an established session ended by a fault
    peerLost,       // another office or the own exchange was restarted or has been silent for too long
    peerRecovered,  // one that was silent answers again
    listed          // the directory reported another readiness or processor of an exchange
  };
  Kind kind;
  std::uint64_t session = 0;  ///< Session number, 0 if the event concerns none.
  /// Name of the other place involved, or empty. Valid during the call only, as is `reason`.
  std::string_view exchange;
  std::string_view reason;
};
/// Called synchronously from within the office; must not call back into it.
using OfficeObserver = std::function<void(const OfficeEvent&)>;

/// Creates the routing module's controller; the configuration outlives it. Tests of the audit pass a factory of
/// controllers that break the rules.
using ControllerFactory = std::function<std::unique_ptr<Controller>(const OfficeConfig&, std::uint64_t seed)>;

/// Settings of one office; what all offices share is in Fleet.
struct OfficeOptions {
  int place = 0;                           // of this office, an index into Fleet::places
  std::uint64_t seed = 1;                  // of the controller's and the endpoint's random number generators
  std::size_t maxSessions = 20000;         // at the same time; a NEW beyond them is rejected at once and counted
  Span peerPokeInterval = Span::ms(1000);  // between POKEs to each other office
  /// Sessions over a peer are given up after this much silence: six POKEs without an answer.
  Span peerSilenceLimit = Span::ms(6000);
  Span exchangePokeInterval = Span::ms(300);  // between POKEs to the own exchange
  iax2::DialogueTiming timing;
};

/// Counts since the start. `established`, `refused`, `abandoned` and `dropped` count sessions that were dialled at this
/// office; sessions in transit or terminating here are counted in these by the office where they were dialled.
struct OfficeCounters {
  std::uint64_t originated = 0,  // sessions received from callers
      transit = 0,               // sessions received from other offices, for an exchange that is not the own one
      terminating = 0,           // sessions received from other offices, for the own exchange
      invites = 0,               // INVITEs sent to other offices
      twoLeg = 0,                // those sent by way of a tandem
      established = 0,           // sessions that were answered
      refused = 0,               // sessions whose caller was given a negative answer by the module
      abandoned = 0,             // sessions whose caller hung up before an answer
      dropped = 0,               // established sessions ended by a fault
      turnedBack = 0,            // INVITEs turned back by a tandem
      noCircuit = 0,             // sessions from other offices rejected for want of circuits
      timedOut = 0,              // INVITEs without an answer in time
      reset = 0,                 // INVITEs reset by the far end
      overSessionLimit = 0,      // NEWs rejected at OfficeOptions::maxSessions
      rounds = 0,                // rounds of the module
      listsAccepted = 0,         // lists accepted from the directory
      staleLists = 0,            // lists ignored as older than one already accepted
      unreadable = 0;            // datagrams and NEWs that could not be understood
};

/// One office: receives calls from callers and other offices, sets them up as the module decides, keeps account of
/// circuits and budgets, and probes its peers. Single-threaded; time only passes with the instants passed in.
class Office final : public DatagramHandler, private iax2::CallListener, private RoundEvents, private DecisionSink {
 public:
  /// `fleet` must outlive the office. `now` is the start of this incarnation.
  Office(const Fleet& fleet, OfficeOptions options, Instant now, const ControllerFactory& make = makeController,
         OfficeObserver observer = {});
  ~Office() override;

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// Ends all sessions, each with one final answer, and rejects every NEW from now on.
  void stop(Instant now);
  /// True after stop() once the far ends have confirmed the end of all calls, or have failed to in time.
  bool stopped() const { return stopping_ && legs_.empty() && sessions_.empty(); }

  /// Counts since the start; the reference is valid as long as the office.
  const OfficeCounters& counters() const { return counters_; }
  /// Counts of frames and calls of the IAX2 endpoint.
  const iax2::EndpointCounters& signallingCounters() const { return endpoint_.counts(); }
  /// Sessions held at present, established or not.
  std::size_t sessions() const { return sessions_.size(); }
  /// Those of them that are established.
  std::size_t establishedSessions() const { return establishedSessions_; }
  /// This end's view of the group to `place`, a valid index into Fleet::places; null if there is none. Valid as long as
  /// the office.
  const TrunkGroup* trunkGroup(int place) const;
  /// Readiness of the exchange at `place`, a valid index, as the directory listed it last; `gone` until then.
  Readiness listedReadiness(int place) const;
  /// Replaces the budgets between zones. New legs obey them; established sessions are left to end by themselves unless
  /// the budget demands otherwise.
  void updateBudgets(Instant now, const std::vector<zones::Budget>& budgets);
  /// Circuit use across zones up to `now`, as one JSON object, for `thistlefold zones`.
  std::string zonesReport(Instant now);
  /// Recent circuit use towards a zone by service, newest first, as one JSON object. `level` is "second", "minute" or
  /// "hour"; `zone` is an index in order of appearance in the fleet file.
  std::string seriesReport(Instant now, std::string_view level, std::size_t zone);
  /// The state as one JSON object, for `thistlefold status`.
  std::string statusReport(Instant now) const;
  /// Answers a query of `thistlefold status` or `thistlefold zones` (docs/wire.md); nothing if `query` is not one.
  std::optional<std::string> answerQuery(Instant now, std::string_view query);

 private:
  struct HeldSession;
  struct Leg;
  struct Peer;
  struct ModuleEvent;

  // CallListener
  void onIncomingCall(iax2::Call& call, const iax2::Frame& frame) override;
  void onPong(iax2::Address from, const iax2::Frame& frame) override;
  iax2::Elements pongElements(iax2::Address to) override;
  // RoundEvents
  void deliver(Controller& controller) override;
  // DecisionSink
  void invite(const Session& moduleSession, const Exchange& to, Span giveUpAfter) override;
  void rejectBusy(const Session& moduleSession, Span retryAfter) override;
  void failUncertain(const Session& moduleSession) override;
  void scheduleWakeUp(Span delay) override;
  void subscribe() override;

  void handleCallerNew(iax2::Call& call, const iax2::Frame& frame);
  void handlePeerNew(Peer& peer, iax2::Call& call, const iax2::Frame& frame);
  void callOwnExchange(HeldSession& session);
  void onFrame(Leg& leg, const iax2::Frame& frame);
  void onCallEnded(Leg& leg, iax2::CallEnd how);
  void onInviteAnswered(HeldSession& session);
  void onInviteFailed(HeldSession& session, InviteOutcome outcome, BlockingReason reason, bool failedBeyond,
                      Span retryAfter);
  void endEstablished(HeldSession& session, bool dropped, const Leg* endedBy);
  void onCallerReleased(HeldSession& session);
  void onInviteTimeout(HeldSession& session);
  void rejectCall(iax2::Call& call, iax2::ReleaseReason reason, std::uint8_t causeCode, std::string_view text,
                  Span retryAfter);
  void refuseSession(HeldSession& session, Span retryAfter);
  void rejectIncomingLeg(HeldSession& session, iax2::ReleaseReason reason, bool failedBeyond, Span retryAfter,
                         std::uint8_t causeCode, std::string_view text);
  void hangUp(Leg& leg, iax2::ReleaseReason reason, std::uint8_t causeCode);
  void releaseLeg(Leg& leg);
  void detachLeg(Leg& leg);
  void setDeadline(HeldSession& session, Instant at);
  void applyList(const ExchangeList& list);
  void resizeGroup(Peer& peer, int circuits);
  void dropLeg(Leg& leg);
  void onPeerLost(Peer& peer, bool restarted);
  zones::LeasedBudget* budgetTowards(const Peer& to);
  std::pair<int, int> advertisedCircuits(const Peer& peer);
  void reportCircuits(Peer& peer, Controller& controller);
  void refreshBudgetedGroups(const zones::LeasedBudget& leasedBudget);
  void applyBudgets(const std::vector<zones::Budget>& budgets);
  void processBudgets();
  void endLowestValueSessions(const zones::LeasedBudget& leasedBudget, int circuits);
  zones::UsageCell* usageCellOf(const HeldSession& session, const Peer& to);
  void pokeDuePeers();
  Leg& newLeg(HeldSession& session, iax2::Call& call, Peer* peer, int circuits, bool isOutgoing);
  HeldSession& newSession(std::uint64_t id, const iax2::Frame& frame, std::size_t service);
  void queueEvent(ModuleEvent event);
  void markGroupChanged(Peer& peer);
  void notifyObserver(OfficeEvent::Kind kind, const HeldSession* session, const Peer* peer,
                      std::string_view reason) const;
  iax2::Elements newElements(const HeldSession& session, int destinationPlace, Span timeLeft) const;
  iax2::Elements responseElements(const HeldSession* session) const;
  void releaseEndedSessions();

  const Fleet& fleet_;
  OfficeOptions options_;
  OfficeObserver observer_;
  Instant now_;
  Instant started_;
  iax2::Endpoint endpoint_;
  std::vector<std::unique_ptr<Peer>> peers_;                 // by place, including the own one
  std::unordered_map<iax2::Address, Peer*> peersByAddress_;  // the other offices
  Peer* ownExchange_ = nullptr;                              // the entry of peers_ for the own place
  std::unique_ptr<Controller> controller_;
  std::list<HeldSession> sessions_;
  std::list<Leg> legs_;                     // oldest first
  std::vector<HeldSession*> releaseQueue_;  // sessions that may have ended, looked at after each round
  struct EarlierDeadline {
    bool operator()(const HeldSession* a, const HeldSession* b) const;
  };
  std::set<HeldSession*, EarlierDeadline> sessionsByDeadline_;  // those that have a deadline
  std::vector<ModuleEvent> events_;                             // for the next round
  std::vector<Peer*> changedGroups_;  // whose circuits are reported to the module in the next round
  // Messages that are not IAX2, to the directory and to offices of the own zone.
  std::vector<std::pair<iax2::Address, std::string>> outgoingMessages_;
  Instant wakeUpAt_ = Instant::distantPast();  // when the module asked for its next round
  Instant nextPokeAt_ = Instant::distantPast();
  Instant listRequestedAt_ = Instant::never();  // never: no request is pending
  // Of the list accepted last.
  std::uint64_t directoryIncarnation_ = 0;
  std::uint64_t listVersion_ = 0;
  Instant listReceivedAt_ = Instant::distantPast();
  std::uint64_t incarnation_;  // of this office: its start in microseconds of the clock
  std::uint32_t lastSessionSerial_ = 0;
  std::size_t establishedSessions_ = 0;
  bool stopping_ = false;
  OfficeCounters counters_;
  std::vector<std::string> zoneNames_;  // in order of appearance in the fleet file
  std::vector<int> zoneOf_;             // by place
  zones::UsageLedger ledger_;
  std::vector<zones::TopUsers> topUsers_;  // by zone that their legs go to
  struct BudgetChange {
    Instant at;
    int zone, circuits;  // circuits below zero: no budget
  };
  std::vector<BudgetChange> budgetChanges_;                          // the most recent ones, oldest first
  zones::PeerUsage peerUsage_;                                       // what other offices sent here across zones
  std::vector<std::unique_ptr<zones::LeasedBudget>> leasedBudgets_;  // by zone that a leg goes to
};

}  // namespace thistlefold
