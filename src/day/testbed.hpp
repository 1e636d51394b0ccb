#pragma once

// Testbeds on which a day is played: on a virtual clock and network in one process, or on loopback sockets with each
// office a process of its own. The script, the simulators and the capture are the same on both.

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

// Identities: the fixed addresses under which the parts of a fleet appear in the capture, whatever sockets are used
// underneath.

/// Identity of the office at a place.
iax2::Address officeIdentity(int place);
/// Identity of the processor at a place.
iax2::Address processorIdentity(int place);
/// The fleet with identities as addresses, which the audit needs.
Fleet withIdentityAddresses(Fleet fleet);
/// Identities of the directory and of all callers together.
inline constexpr iax2::Address kDirectoryIdentity{0x7f030001, 4570};
inline constexpr iax2::Address kCallersIdentity{0x7f040001, 4569};

/// The testbed could not be set up or has failed.
struct TestbedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Runs the offices of a fleet and the simulators around them, and carries the datagrams between them.
class Testbed {
 public:
  virtual ~Testbed() = default;
  /// The testbed's clock.
  virtual Instant now() const = 0;
  /// How exact the timestamps in the capture are.
  virtual audit::Tolerance tolerance() const { return {}; }
  /// Sets what happens to a datagram between two identities. To be set before any handler is attached.
  virtual void setImpairment(net::Impairment impairment) = 0;
  /// Sets what is called for each datagram sent and delivered. To be set before any handler is attached.
  virtual void setTap(net::MemoryNetwork::Tap tap) = 0;
  /// The fleet as handlers on this testbed must see it: with addresses at which they reach each other.
  virtual const Fleet& fleet() const = 0;
  /// Attaches a simulator at an identity; `handler` must live until it is detached. Throws TestbedError.
  virtual void attach(iax2::Address identity, DatagramHandler& handler) = 0;
  /// Detaches what is attached at an identity: it neither receives nor sends any more.
  virtual void detach(iax2::Address identity) = 0;
  /// To be called after a handler was changed by other means than its own process().
  virtual void wakeUp(iax2::Address identity) = 0;

  /// Starts the office at a place with `seed` as OfficeOptions::seed. Throws TestbedError if it does not start.
  virtual void startOffice(int place, std::uint64_t seed) = 0;
  /// Ends an office at once, without any message.
  virtual void killOffice(int place) = 0;
  /// Stops an office's processing, or lets it go on.
  virtual void freezeOffice(int place, bool frozen) = 0;
  /// Asks for an orderly stop; the office ends at the latest with the testbed.
  virtual void stopOffice(int place) = 0;
  /// Sets the budgets between zones from now on, for offices that run and those that are started later.
  virtual void setBudgets(const std::vector<zones::Budget>& budgets) = 0;
  /// An office's answer to a question (docs/wire.md); nothing if it does not run or answer.
  virtual std::optional<std::string> query(int place, std::string_view question) = 0;

  /// Calls `action` at `when`, from within runUntil().
  virtual void schedule(Instant when, std::function<void()> action) = 0;
  /// Runs the attached handlers and the scheduled actions until `end` on the testbed's clock, and the offices unless
  /// they are processes of their own.
  virtual void runUntil(Instant end) = 0;
};

/// A testbed on a virtual clock. `make` makes the controllers of the offices.
std::unique_ptr<Testbed> virtualTestbed(Fleet fleet, ControllerFactory make = makeController);

/// A testbed on loopback sockets. `program` is run as `program serve FILE` for each office; configuration files and
/// logs are written to `folder`, which is created if need be. Throws TestbedError.
std::unique_ptr<Testbed> loopbackTestbed(Fleet fleet, std::string program, std::string folder);

}  // namespace thistlefold::day
