#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "platform/deployment.hpp"
#include "platform/message.hpp"
#include "platform/recent_calls.hpp"
#include "stream_handler.hpp"
#include "thistlefold/controller.hpp"
#include "thistlefold/decision_sink.hpp"

namespace thistlefold::platform {

struct Call;
struct Peer;
struct Connection;
struct CallerConnection;
struct TrunkConnection;
struct SentRelease;
enum class ConnectionNeed;

/// Makes the controller of an office. The configuration outlives the controller.
using ControllerFactory = std::function<std::unique_ptr<Controller>(const OfficeConfig&, std::uint64_t seed)>;

/// Events since the start of a softswitch.
struct SoftswitchCounters {
  /// Set-ups accepted from callers, and their outcomes: answered by an exchange, refused as busy, failed because they
  /// may have been executed, abandoned by the caller. INVITEs sent. Established calls that were dropped.
  std::uint64_t acceptedSetups = 0, answered = 0, refused = 0, failed = 0, abandoned = 0, invites = 0, droppedCalls = 0;
  std::uint64_t invalidFromCallers = 0;    ///< invalid messages or unreadable streams from callers
  std::uint64_t invalidFromExchanges = 0;  ///< invalid messages or unreadable streams from exchanges
  /// Connections to exchanges: opened, and failed or timed out before they were established.
  std::uint64_t connectAttempts = 0, failedConnects = 0;
  std::uint64_t limitHits = 0;  ///< connections evicted or rejected, set-ups rejected, INVITEs without a connection
  /// INVITEs withdrawn while they waited for a connection, as their exchange drains, has gone or was restarted.
  std::uint64_t withdrawnInvites = 0;
  std::uint64_t subscriptions = 0;   ///< connections to the bulletin
  std::uint64_t returnedSetups = 0;  ///< set-ups rejected because their id was used by one that may have been executed
};

/// One softswitch on the platform's protocol. Manages connections, set-ups and established calls, and translates
/// between messages and the controller, which decides on routes, waits, retries and the health of exchanges. Does no
/// I/O and reads no clock of its own.
class Softswitch final : public StreamHandler, private RoundEvents, private DecisionSink {
 public:
  /// `connector` must outlive the softswitch. `log` receives messages for the operator, one line each.
  Softswitch(Deployment deployment, Instant now, StreamConnector& connector, const ControllerFactory& controllerFactory,
             std::function<void(std::string_view)> log);
  ~Softswitch() override;

  void onAccepted(Instant now, Stream& stream) override;
  void onConnected(Instant now, Stream& stream) override;
  void onData(Instant now, Stream& stream, std::string_view bytes) override;
  void onClosed(Instant now, Stream& stream, CloseReason reason) override;
  void process(Instant now) override;
  Instant nextDeadline() const override;

  /// Applies a new configuration: the bulletin's address and the events known of it. All else stays as it was.
  void reconfigure(Instant now, const Deployment& deployment);
  /// Begins a planned restart: pending set-ups are completed, and new ones accepted until shortly before the exit.
  void stop(Instant now);
  /// True once stop() was called, its time has passed, no set-up is pending and no caller's data is unread or its
  /// client has gone on sending.
  bool isStopped(Instant now) const;
  /// Closes each connection once the data sent on it was delivered. To be called after isStopped() has become true.
  void closeConnections(Instant now);

  /// Events since the start; the reference is valid as long as the softswitch.
  const SoftswitchCounters& counters() const { return counters_; }
  /// Counters and the state of this softswitch and of each exchange as `name=value` pairs, in one line.
  std::string statusLine() const;

 private:
  void deliver(Controller& controller) override;
  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override;
  void rejectBusy(const Session& session, Span retryAfter) override;
  void failUncertain(const Session& session) override;
  void scheduleWakeUp(Span delay) override;
  void subscribe() override {}

  // Callers' connections (callers.cpp)
  void onCallerMessage(CallerConnection& connection, std::string_view line);
  void rejectInvalid(CallerConnection& connection, std::string_view id);
  void onCallerRelease(Call& call, int cause);
  void closeCaller(CallerConnection& connection, bool atOnce = false);

  // Set-ups (setups.cpp)
  void onSetup(CallerConnection& connection, const Message& message);
  void rejectOverloaded(CallerConnection& connection, std::string_view id);
  void rejectReturned(CallerConnection& connection, const std::string& id);
  bool isReturned(const std::string& id) const;
  bool endIfCallerLeft(Call& call);
  void passOnHeldSetups();
  void rememberExecuted(const Call& call);
  void abandonSetups(const CallerConnection& connection);
  void writeRefusal(CallerConnection& connection, std::string_view id, Span retryAfter);
  void dropDescription(Call& call);

  // Established calls and their callers (named_calls.cpp)
  void adoptEstablishedCall(CallerConnection& connection, const Message& message, std::string_view exchange);
  void attachEstablishedCall(Call& call, CallerConnection& connection);
  void detachEstablishedCall(Call& call);
  void noteNamedCall(CallerConnection& connection, bool isConfirmed);
  bool makeRoomForNamedCall(const CallerConnection& namer);
  std::size_t maxAdoptedCalls() const;
  void rejectStaleName(CallerConnection& connection, const std::string& id);

  // Releases towards callers (caller_releases.cpp)
  CallerConnection* selectCaller() const;
  void deliverRelease(CallerConnection* connection, const std::string& id, int cause);
  void writeCallerRelease(CallerConnection& connection, const std::string& id, int cause, bool carriedCall);
  void repeatReleases(const CallerConnection& closed);
  void maintainCallerReleases();
  void repeatUnacknowledged(CallerConnection& from);
  void spreadRelease(const CallerConnection& from, const SentRelease& release);

  // Exchanges (exchanges.cpp)
  void onExchangeMessage(TrunkConnection& connection, std::string_view line);
  bool isCopyOfRejection(const TrunkConnection& connection, const Message& message) const;
  void rememberRejection(TrunkConnection& connection, const Call& call, int cause);
  void onExchangeRelease(const Peer& peer, const Message& message);
  void onLateExchangeData(Peer& peer, LineReader& reader, std::string_view bytes);
  void onLoadReport(Peer& peer, const Message& message);
  void onAnswer(TrunkConnection& connection, Call& call, const std::string& description);
  void onInviteRejected(TrunkConnection& connection, Call& call, const Message& message);
  void endEstablishedCall(Call& call, InviteOutcome outcome, int cause);
  void endInvite(Call& call, InviteOutcome outcome, BlockingReason reason = BlockingReason::none,
                 bool farProcessor = false, Span reportedWait = Span::none());
  void sendRelease(Peer& peer, TrunkConnection* connection, const std::string& id, int cause);
  void writeRelease(TrunkConnection& connection, const std::string& id, int cause);
  void withdrawInvites(TrunkConnection& connection);
  void writeSetup(TrunkConnection& connection, Call& call);

  // Connections to exchanges (trunks.cpp)
  TrunkConnection* selectConnection(Peer& peer, const Call& call);
  bool hasRejected(const TrunkConnection& connection, const std::string& id) const;
  TrunkConnection* openConnection(Peer& peer, ConnectionNeed need);
  bool makeRoomFor(const Peer& peer, ConnectionNeed need);
  TrunkConnection* selectEvicted(const Peer& peer, ConnectionNeed need) const;
  double maxTrunkConnections() const;
  void dropConnection(TrunkConnection& connection, InviteOutcome outcomeIfUnsent);
  void onConnectFailed(Peer& peer, bool refused);
  void retirePeer(Peer& peer);
  void dropEstablishedCalls(Peer& peer, Instant before);
  void maintainTrunks();
  void closeStaleConnections(Peer& peer);
  void contactPeersWithCalls();
  bool isContactDue(const Peer& peer) const;
  bool lacksConnection(const Peer& peer) const;
  bool lacksRepeatedReleases(const Peer& peer) const;
  bool hasRecentRelease(const TrunkConnection& connection) const;
  void dropCallsIfDead(Peer& peer);
  void maintainStandby(Peer& peer);

  void finishSetup(Call& call, MessageKind kind, const Fields& fields, int cause, std::string_view description = {});
  void applyEvents(const std::vector<BulletinEvent>& events);
  void applyListed(const ExchangeLocation& location);
  void applyGone(const ExchangeLocation& location);
  void onBulletinData(std::string_view bytes);
  void subscribeToBulletin();
  void scheduleSubscription(Span maxDelay);
  double randomFraction();
  void maintainCallers();
  void runRound();

  Deployment deployment_;
  StreamConnector* connector_;
  std::function<void(std::string_view)> log_;
  std::unique_ptr<Controller> controller_;
  wire::ExchangeRegistry registry_;
  std::unordered_map<std::string, std::unique_ptr<Call>> calls_;  // by id
  std::vector<Call*> invitedCalls_;
  std::vector<std::string> finishedCallIds_;  // removed from calls_ after the round
  std::vector<std::unique_ptr<CallerConnection>> callers_;
  std::vector<std::unique_ptr<Connection>> closedConnections_;  // kept until the round is over
  struct Bulletin;
  std::unique_ptr<Bulletin> bulletin_;
  std::vector<std::function<void(Controller&)>> queuedEvents_, roundEvents_;  // for the next and for this round
  struct UndeliveredRelease {
    std::string id;
    int cause;
  };
  std::vector<UndeliveredRelease> undeliveredReleases_;  // for callers, while none is connected that could receive them
  std::size_t sentReleaseCount_ = 0;  // on all callers' connections, at the most; counted anew at each check
  EndedCalls endedCalls_;
  ExecutedSetups executedSetups_;
  SoftswitchCounters counters_;
  std::ranlux24_base random_;
  std::size_t pendingSetups_ = 0;
  std::size_t descriptionBytes_ = 0;  // of the descriptions of all pending set-ups
  std::size_t trunkConnectionCount_ = 0;
  std::size_t adoptedCalls_ = 0;  // established calls that are not known to the controller
  Instant startedAt_, now_;
  Instant wakeAt_ = Instant::distantPast();
  Instant maintainedAt_ = Instant::distantPast();
  bool connectionsClosed_ = false;
  Instant stoppingSince_ = Instant::never(), exitAt_ = Instant::never();
};

}  // namespace thistlefold::platform
