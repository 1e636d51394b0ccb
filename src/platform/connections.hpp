#pragma once

// State that a softswitch keeps for its connections, the exchanges and the calls. Private to
// softswitch.cpp, callers.cpp, setups.cpp, named_calls.cpp, caller_releases.cpp, exchanges.cpp and trunks.cpp.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "iax2/address.hpp"
#include "platform/message.hpp"
#include "stream_handler.hpp"
#include "thistlefold/session.hpp"
#include "wire/exchange_registry.hpp"

namespace thistlefold::platform {

/// First back-off before a new connection attempt to an exchange.
inline constexpr Span kInitialBackoff = Span::ms(50);
/// A release may be lost with the connection it was written to. If that connection ends within this time, which is a
/// few times the longest round trip, the release is repeated on another.
inline constexpr Span kReleaseRepeatWindow = Span::ms(1000);
/// A second copy of a release comes within this time after the first.
inline constexpr Span kCopyWindow = Span::ms(1000);
/// Release causes: a normal end or an abandoned set-up; a failed set-up or a dropped call.
inline constexpr int kCauseNormalClearing = 16;
inline constexpr int kCauseTemporaryFailure = 41;
/// Release cause: the message is invalid.
inline constexpr int kCauseInvalidContents = 100;

struct Call;
struct Peer;

/// State common to all connections of a softswitch.
struct Connection {
  virtual ~Connection() = default;
  /// What the connection leads to: a caller, an exchange, or the bulletin.
  enum class Type { caller, trunk, bulletin } type = Type::caller;
  Stream* stream = nullptr;  ///< nullptr: closed, or not opened yet
};

/// A release that was written and not acknowledged yet.
struct SentRelease {
  std::string id;
  int cause;
  Instant sentAt;
};

/// A release towards a caller that was written and not acknowledged yet.
struct SentCallerRelease : SentRelease {
  bool carriedCall = false;  ///< its connection carried the call or named it, so that its client is the caller
  bool wasSpread = false;    ///< also written to every other client that may be the caller
};

/// What is known of the client of an incoming connection, least first. A standing call belongs to no connection, so its
/// release may have to be written on one that never carried it.
enum class CallerEvidence {
  none,            ///< no usable set-up yet; a front that only pings, or noise
  setup,           ///< it sent a usable set-up, whatever became of it
  namedCall,       ///< it named a call as established, which nobody else has confirmed
  establishedCall  ///< a call was answered on it, or it named one that an exchange or this softswitch knew
};

/// An incoming connection of a caller.
struct CallerConnection : Connection {
  LineReader reader;
  /// `partialLineSince`: when the incomplete line that waits was first seen; never if there is none.
  Instant connectedAt, partialLineSince = Instant::never(), lastMessageAt;
  bool hasSentValidMessage = false;
  bool hasLeft = false;  ///< its client has closed; what is still read was sent before that
  CallerEvidence evidence = CallerEvidence::none;
  int invalidMessages = 0;                      ///< received so far
  std::size_t pendingSetups = 0;                ///< set-ups without a final answer
  std::size_t establishedCalls = 0;             ///< that it carried or named; each is `Call::caller` of its own
  std::size_t adoptedCalls = 0;                 ///< those of them that stood before this softswitch started
  std::vector<Call*> heldSetups;                ///< not passed on yet, as data behind them is unread
  Instant heldSince;                            ///< when the first of them was read
  std::vector<SentCallerRelease> sentReleases;  ///< of established calls, written to it and not acknowledged yet

  /// Whether the client has read, or has room for, all that was written.
  bool isRead() const { return stream->unsentBytes() == 0; }
  /// Whether a release of another connection's call that is written on it can be expected to reach the caller. Must not
  /// be called once it is closed.
  bool isTrusted() const { return evidence == CallerEvidence::establishedCall && isRead(); }
  /// The same for a release that was written on it.
  bool isTrustedWith(const SentCallerRelease& release) const {
    return isTrusted() || (release.carriedCall && isRead());
  }
  /// Whether its client may be the caller of a call that it did not carry. Clients that sent an invalid message before
  /// they had an established call are strangers and must not learn of calls.
  bool mayBeCaller() const {
    return evidence == CallerEvidence::establishedCall || (evidence != CallerEvidence::none && invalidMessages == 0);
  }
};

/// What a new connection to an exchange is needed for, least urgent first. At the limits it decides what is closed for
/// it.
enum class ConnectionNeed {
  standby,  ///< load reports and later set-ups
  setup,    ///< a set-up, and there is no connection to its exchange
  calls     ///< established calls: whether their exchange is alive, and releases from and to it
};

/// An INVITE that was answered with a release.
struct RejectedInvite {
  std::string id;
  int cause;
  Instant endedAt;
};

/// An outgoing connection to an exchange.
struct TrunkConnection : Connection {
  Peer* peer = nullptr;  ///< the exchange; owns this connection
  LineReader reader;
  bool connected = false;  ///< established
  bool suspect = false;    ///< a set-up on it timed out and nothing was received since
  /// `lastRequestAt`: when the last set-up, or the release of a set-up that timed out, was written.
  Instant connectStartedAt, lastReceivedAt, lastRequestAt;
  std::vector<Call*> invitedCalls;        ///< calls whose INVITE is out on it or waits until it is connected
  std::vector<SentRelease> sentReleases;  ///< releases written to it that were not acknowledged yet
  /// INVITEs on it that were rejected lately. The exchange may send a second copy of the release, which could be taken
  /// for the end of the call's next INVITE.
  std::vector<RejectedInvite> rejectedInvites;

  /// Whether closing it affects no set-up.
  bool isIdle() const { return connected && invitedCalls.empty(); }
};

/// A listed exchange.
struct Peer : wire::ListedExchange {
  /// False once another exchange was listed at its address. Its calls are over then, and nothing may be sent for it.
  bool hasProcess() const { return !(address == iax2::Address{}); }

  iax2::Address address;  ///< default value: unknown, or taken over by another exchange
  std::vector<std::unique_ptr<TrunkConnection>> connections;
  std::vector<std::pair<std::string, int>> pendingReleases;  ///< id and cause, written on the next connection
  std::vector<Call*> establishedCalls;
  Instant nextConnectAt = Instant::distantPast();  ///< end of the back-off; connections for an INVITE don't wait for it
  Instant restartedAt = Instant::distantPast();    ///< when the bulletin reported a new process or address
  Instant listedStart = Instant::distantPast();    ///< start of its process, as the bulletin told it last
  bool isListedGone = false;                ///< as the bulletin told last; `readiness` follows with the next round
  Span backoff = kInitialBackoff;           ///< before the next attempt; doubled, up to a bound, by each failed one
  Instant refusedSince = Instant::never();  ///< connection attempts fail since then and none is established
  Instant lastAliveAt = Instant::distantPast();  ///< when it last sent a message, accepted a connection or was listed
                                                 ///< with a new process
  Instant contactedAt = Instant::distantPast();  ///< when a connection to it was last opened for its calls
  int failedConnects = 0;                        ///< connection attempts that failed since `lastAliveAt`
  /// When bytes of it were last lost, which may have held releases. It repeats these on the next connection that is
  /// opened, and there alone.
  Instant bytesLostAt = Instant::distantPast();
  Instant newestConnectAt = Instant::distantPast();  ///< when the newest established connection was begun
};

/// A call, from its set-up to its end. Owned by the softswitch.
struct Call : Session {
  /// `key`: the dialled number as written in the set-up. `description`: empty once the set-up has its final answer.
  std::string id, key, description;
  std::size_t serviceIndex = 0;  ///< into Deployment::services
  /// Progress of the call.
  enum class State {
    unrouted,     ///< no INVITE is out; the controller decides
    invited,      ///< an INVITE is out or waits for its connection
    established,  ///< answered
    finished      ///< removed after the round
  } state = State::unrouted;
  bool knownToController = true;       ///< false: was established before this softswitch started
  bool isConfirmed = true;             ///< false: the client that named it alone says that it was established
  CallerConnection* caller = nullptr;  ///< nullptr: the caller's connection is closed
  TrunkConnection* trunk = nullptr;    ///< set while an INVITE is out
  Peer* peer = nullptr;                ///< the exchange of the last INVITE
  bool mayHaveRun = false;             ///< an INVITE of it was written whose end does not prove that it never ran
  Instant giveUpAt, establishedAt;

  /// Whether its caller waits for a final answer.
  bool isPending() const { return state == State::unrouted || state == State::invited; }
};

}  // namespace thistlefold::platform
