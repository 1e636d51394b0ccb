#include <map>

#include "day/testbed.hpp"
#include "net/datagram_runner.hpp"

namespace thistlefold::day {

iax2::Address officeIdentity(int place) { return {0x7f010001u + static_cast<std::uint32_t>(place), 4569}; }
iax2::Address processorIdentity(int place) { return {0x7f020001u + static_cast<std::uint32_t>(place), 4569}; }

Fleet identified(Fleet fleet) {
  for (std::size_t i = 0; i < fleet.places.size(); ++i) {
    fleet.places[i].office = officeIdentity(static_cast<int>(i));
    fleet.places[i].processor = processorIdentity(static_cast<int>(i));
  }
  fleet.directory = kDirectory;
  return fleet;
}

namespace {

class VirtualTestbed final : public Testbed {
 public:
  VirtualTestbed(Fleet fleet, ControllerFactory make)
      : fleet_(identified(std::move(fleet))), make_(std::move(make)), clock_(context_), network_(clock_) {}
  ~VirtualTestbed() override {
    // The coroutines end before what they refer to.
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

  void place(iax2::Address identity, DatagramHandler& handler) override {
    if (hosts_.contains(identity)) throw TestbedError("two stations at " + iax2::text(identity));
    auto host = std::make_unique<Host>(clock_);
    host->port = network_.port(identity);
    host->runner = std::make_unique<net::DatagramRunner>(
        context_.get_executor(), handler, *host->port, host->clock,
        [identity](const char* what) { throw TestbedError("station " + iax2::text(identity) + ": " + what); });
    hosts_[identity] = std::move(host);
  }
  void remove(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it == hosts_.end()) return;
    it->second->port->close();
    it->second->runner.reset();
    // The coroutines may still refer to port and clock until they have run once more.
    clock_.at(clock_.now() + Span::ms(1), [gone = std::shared_ptr<Host>(std::move(it->second))] {});
    hosts_.erase(it);
  }
  void wakeUp(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it != hosts_.end()) it->second->runner->wakeUp();
  }

  void startOffice(int place, std::uint64_t seed) override {
    OfficeOptions setting;
    setting.place = place;
    setting.seed = seed;
    auto office = std::make_unique<Office>(fleet_, setting, clock_.now(), make_);
    this->place(officeIdentity(place), *office);
    offices_[place] = std::move(office);
  }
  void killOffice(int place) override {
    remove(officeIdentity(place));
    clock_.at(clock_.now() + Span::ms(2), [gone = std::shared_ptr<Office>(std::move(offices_[place]))] {});
    offices_.erase(place);
  }
  void freezeOffice(int place, bool frozen) override {
    network_.freeze(officeIdentity(place), frozen);
    const auto host = hosts_.find(officeIdentity(place));
    if (host != hosts_.end()) host->second->clock.freeze(frozen);
  }
  void stopOffice(int place) override {
    const auto office = offices_.find(place);
    if (office == offices_.end()) return;
    office->second->stop(clock_.now());
    wakeUp(officeIdentity(place));
  }
  void budgets(const std::vector<zones::Budget>& budgets) override {
    fleet_.budgets = budgets;
    for (const auto& [place, office] : offices_) {
      office->updateBudgets(clock_.now(), budgets);
      wakeUp(officeIdentity(place));
    }
  }
  std::optional<std::string> ask(int place, std::string_view question) override {
    const auto office = offices_.find(place);
    if (office == offices_.end()) return std::nullopt;
    return office->second->answerQuery(clock_.now(), question);
  }

  void at(Instant when, std::function<void()> what) override { clock_.at(when, std::move(what)); }
  void runUntil(Instant end) override { clock_.runUntil(end); }

 private:
  struct Host {
    explicit Host(net::VirtualClock& of) : clock(of) {}
    net::VirtualHost clock;
    std::unique_ptr<net::Port> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };

  Fleet fleet_;
  ControllerFactory make_;
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
