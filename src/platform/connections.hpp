#pragma once

// What a softswitch keeps of its connections, of exchanges and of calls. Its own files' business alone.

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

// Wait before an exchange is dialled again.
inline constexpr Span kRedialFirst = Span::ms(50);
// Releases that are kept for who can't be told yet, each list of them.
inline constexpr std::size_t kOver = 2048;
// Causes: given up, or the end of a call; failed, or cut.
inline constexpr int kNormal = 16;
inline constexpr int kFailed = 41;

struct Call;
struct Peer;

struct Side {
  virtual ~Side() = default;
  enum class What { caller, trunk, bulletin } what = What::caller;
  Stream* stream = nullptr;  // nullptr: closed, or never was
};

struct CallerSide : Side {
  Lines lines;
  Instant since, brokenSince = Instant::never(), spoke;
  bool proven = false;   // sent something that can be used
  bool trusted = false;  // a call of it stood
  int faults = 0;
  std::size_t open = 0;  // set-ups without a final answer
};

/// A release that was written to an exchange.
struct Told {
  std::string id;
  int cause;
  Instant at;
};

struct TrunkSide : Side {
  Peer* peer = nullptr;
  Lines lines;
  bool up = false;
  bool doubtful = false;
  Instant dialled, heard, spokenTo;
  std::vector<Call*> ringing;
  std::vector<Told> told;  // releases written here that were not heard for sure yet
};

struct Peer : wire::ListedExchange {
  iax2::Address address;
  std::vector<std::unique_ptr<TrunkSide>> sides;
  std::vector<std::pair<std::string, int>> owed;  // releases to write on the next connection
  std::vector<Call*> standing;
  Instant nextDial = Instant::longAgo();
  Instant anewAt = Instant::longAgo();  // told of another process there
  Span redial = kRedialFirst;
  Instant refusedSince = Instant::never();  // none stands and connections are refused
  Instant alive = Instant::longAgo();       // it said something, or took a connection
  Instant triedAt = Instant::longAgo();
  int untaken = 0;  // connections that did not come up since it was alive
};

struct Call : Session {
  std::string id, key, description;
  std::size_t serviceAt = 0;
  enum class State { open, ringing, standing, done } state = State::open;
  bool ofModule = true;  // not one that stood before this softswitch started
  CallerSide* caller = nullptr;
  TrunkSide* trunk = nullptr;
  Peer* peer = nullptr;
  Instant giveUp, stoodAt;
};

}  // namespace thistlefold::platform
