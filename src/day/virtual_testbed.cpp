#include <map>

#include "day/testbed.hpp"
#include "net/datagram_runner.hpp"

namespace thistlefold::day {

iax2::Address officeIdentity(int place) { return {0x7f010001u + static_cast<std::uint32_t>(place), 4569}; }
iax2::Address processorIdentity(int place) { return {0x7f020001u + static_cast<std::uint32_t>(place), 4569}; }

Fleet withIdentityAddresses(Fleet fleet) {
  for (std::size_t i = 0; i < fleet.places.size(); ++i) {
    fleet.places[i].office = officeIdentity(static_cast<int>(i));
    fleet.places[i].processor = processorIdentity(static_cast<int>(i));
  }
  fleet.directory = kDirectoryIdentity;
  return fleet;
}

namespace {

/// All offices and simulators in this process, on a virtual clock and a network in memory.
class VirtualTestbed final : public Testbed {
 public:
  VirtualTestbed(Fleet fleet, ControllerFactory make)
      : fleet_(withIdentityAddresses(std::move(fleet))),
        makeController_(std::move(make)),
        clock_(context_),
        network_(clock_) {}
  // A handler that throws while the testbed is destroyed ends the process.
  ~VirtualTestbed() override {  // NOLINT(bugprone-exception-escape): a failure in a handler must not be hidden
    // The coroutines must end before the objects that they refer to.
    for (auto& [identity, host] : hosts_) {
      host->port->close();
      host->runner.reset();
    }
    context_.restart();
    context_.poll();
    hosts_.clear();
  }

  Instant now() const override { return clock_.now(); }
  audit::Tolerance tolerance() const override { return audit::kVirtualTolerance; }
  void setImpairment(net::Impairment impairment) override { network_.setImpairment(std::move(impairment)); }
  void setTap(net::MemoryNetwork::Tap tap) override { network_.setTap(std::move(tap)); }
  const Fleet& fleet() const override { return fleet_; }

  void attach(iax2::Address identity, DatagramHandler& handler) override {
    if (hosts_.contains(identity)) throw TestbedError("two handlers attached at " + iax2::text(identity));
    auto host = std::make_unique<Host>(clock_);
    host->port = network_.openPort(identity);
    host->runner = std::make_unique<net::DatagramRunner>(
        context_.get_executor(), handler, *host->port, host->clock,
        [identity](const char* problem) { throw TestbedError("handler at " + iax2::text(identity) + ": " + problem); });
    hosts_[identity] = std::move(host);
  }
  void detach(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it == hosts_.end()) return;
    it->second->port->close();
    it->second->runner.reset();
    // The coroutines may refer to the port and the clock until they have run once more, so the host is kept until then.
    clock_.callAt(clock_.now() + Span::ms(1), [kept = std::shared_ptr<Host>(std::move(it->second))] {});
    hosts_.erase(it);
  }
  void wakeUp(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it != hosts_.end()) it->second->runner->wakeUp();
  }

  void startOffice(int place, std::uint64_t seed) override {
    OfficeOptions options;
    options.place = place;
    options.seed = seed;
    auto office = std::make_unique<Office>(fleet_, options, clock_.now(), makeController_);
    this->attach(officeIdentity(place), *office);
    offices_[place] = std::move(office);
  }
  void killOffice(int place) override {
    detach(officeIdentity(place));
    clock_.callAt(clock_.now() + Span::ms(2), [kept = std::shared_ptr<Office>(std::move(offices_[place]))] {});
    offices_.erase(place);
  }
  void freezeOffice(int place, bool frozen) override {
    network_.setFrozen(officeIdentity(place), frozen);
    const auto host = hosts_.find(officeIdentity(place));
    if (host != hosts_.end()) host->second->clock.setFrozen(frozen);
  }
  void stopOffice(int place) override {
    const auto office = offices_.find(place);
    if (office == offices_.end()) return;
    office->second->stop(clock_.now());
    wakeUp(officeIdentity(place));
  }
  void setBudgets(const std::vector<zones::Budget>& budgets) override {
    fleet_.budgets = budgets;
    for (const auto& [place, office] : offices_) {
      office->updateBudgets(clock_.now(), budgets);
      wakeUp(officeIdentity(place));
    }
  }
  std::optional<std::string> query(int place, std::string_view question) override {
    const auto office = offices_.find(place);
    if (office == offices_.end()) return std::nullopt;
    return office->second->answerQuery(clock_.now(), question);
  }

  void schedule(Instant when, std::function<void()> action) override { clock_.callAt(when, std::move(action)); }
  void runUntil(Instant end) override { clock_.runUntil(end); }

 private:
  /// What runs an attached handler.
  struct Host {
    explicit Host(net::VirtualClock& virtualClock) : clock(virtualClock) {}
    net::VirtualHost clock;
    std::unique_ptr<net::Port> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };

  Fleet fleet_;
  ControllerFactory makeController_;
  boost::asio::io_context context_;
  net::VirtualClock clock_;
  net::MemoryNetwork network_;
  std::map<int, std::unique_ptr<Office>> offices_;
  std::map<iax2::Address, std::unique_ptr<Host>> hosts_;
};

}  // namespace

std::unique_ptr<Testbed> virtualTestbed(Fleet fleet, ControllerFactory make) {
  return std::make_unique<VirtualTestbed>(std::move(fleet), std::move(make));
}

}  // namespace thistlefold::day
