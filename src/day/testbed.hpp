#pragma once

// Where a day is played: on a virtual clock and network in one process, or on loopback sockets with each office a
// process of its own. The script, the stand-ins and the capture are the same on both.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "audit/audit.hpp"
#include "capture/capture.hpp"
#include "datagram_handler.hpp"
#include "fleet/fleet.hpp"
#include "net/virtual.hpp"
#include "office/office.hpp"

namespace thistlefold::day {

/// Who is who in the capture, whatever sockets are used underneath.
iax2::Address officeIdentity(int place);
iax2::Address processorIdentity(int place);
/// The fleet with identities for addresses, as the audit wants it.
Fleet withIdentityAddresses(Fleet fleet);
inline constexpr iax2::Address kDirectoryIdentity{0x7f030001, 4570};
inline constexpr iax2::Address kCallersIdentity{0x7f040001, 4569};

struct TestbedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Testbed {
 public:
  virtual ~Testbed() = default;
  virtual Instant now() const = 0;
  /// How exact the capture's stamps are.
  virtual audit::Tolerance tolerance() const { return {}; }
  /// What becomes of a datagram between two identities. Set before anything is placed.
  virtual void setImpairment(net::Impairment impairment) = 0;
  virtual void setTap(net::MemoryNetwork::Tap tap) = 0;
  /// The fleet as stations on this stage must see it: with addresses that reach the others.
  virtual const Fleet& fleet() const = 0;
  /// Puts a stand-in at an identity; the station must live until removed. Throws TestbedError.
  virtual void attach(iax2::Address identity, DatagramHandler& handler) = 0;
  /// Nothing reaches it any more, nothing comes from it.
  virtual void detach(iax2::Address identity) = 0;
  /// After a station was changed from outside its turn.
  virtual void wakeUp(iax2::Address identity) = 0;

  virtual void startOffice(int place, std::uint64_t seed) = 0;
  virtual void killOffice(int place) = 0;
  virtual void freezeOffice(int place, bool frozen) = 0;
  /// Asks for an orderly stop; the office is gone at the latest when the stage ends.
  virtual void stopOffice(int place) = 0;
  /// Budgets between zones from now on, for the offices that run and those that are started later.
  virtual void budgets(const std::vector<zones::Budget>& budgets) = 0;
  /// What it answers to a question (docs/wire.md), or nothing if it does not run or answer.
  virtual std::optional<std::string> query(int place, std::string_view question) = 0;

  virtual void at(Instant when, std::function<void()> what) = 0;
  virtual void runUntil(Instant end) = 0;
};

/// `fleet` must outlive the stage. `make` is what offices take for a controller.
std::unique_ptr<Testbed> virtualTestbed(Fleet fleet, ControllerFactory make = makeController);

/// `program` is run as `program serve FILE` for each office; files go to `folder`.
std::unique_ptr<Testbed> loopbackTestbed(Fleet fleet, std::string program, std::string folder);

}  // namespace thistlefold::day
