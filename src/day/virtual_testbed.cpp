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

class VirtualStage final : public Stage {
 public:
  VirtualStage(Fleet fleet, MakeController make)
      : fleet_(identified(std::move(fleet))), make_(std::move(make)), clock_(context_), network_(clock_) {}
  ~VirtualStage() override {
    // The coroutines end before what they refer to.
    for (auto& [identity, host] : hosts_) {
      host->port->close();
      host->attendance.reset();
    }
    context_.restart();
    context_.poll();
    hosts_.clear();
  }

  Instant now() const override { return clock_.now(); }
  audit::Slack slack() const override { return audit::kVirtualSlack; }
  void fate(net::Fate fate) override { network_.fate(std::move(fate)); }
  void tap(net::MemoryNetwork::Tap tap) override { network_.tap(std::move(tap)); }
  const Fleet& fleet() const override { return fleet_; }

  void place(iax2::Address identity, Station& station) override {
    if (hosts_.contains(identity)) throw StageFault("two stations at " + iax2::text(identity));
    auto host = std::make_unique<Host>(clock_);
    host->port = network_.port(identity);
    host->attendance = std::make_unique<net::Attendance>(
        context_.get_executor(), station, *host->port, host->clock,
        [identity](const char* what) { throw StageFault("station " + iax2::text(identity) + ": " + what); });
    hosts_[identity] = std::move(host);
  }
  void remove(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it == hosts_.end()) return;
    it->second->port->close();
    it->second->attendance.reset();
    // The coroutines may still refer to port and clock until they have run once more.
    clock_.at(clock_.now() + Span::ms(1), [gone = std::shared_ptr<Host>(std::move(it->second))] {});
    hosts_.erase(it);
  }
  void nudge(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it != hosts_.end()) it->second->attendance->nudge();
  }

  void startOffice(int place, std::uint64_t seed) override {
    OfficeSetting setting;
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
    nudge(officeIdentity(place));
  }
  void budgets(const std::vector<zones::Budget>& budgets) override {
    fleet_.budgets = budgets;
    for (const auto& [place, office] : offices_) {
      office->budgets(clock_.now(), budgets);
      nudge(officeIdentity(place));
    }
  }
  std::optional<std::string> ask(int place, std::string_view question) override {
    const auto office = offices_.find(place);
    if (office == offices_.end()) return std::nullopt;
    return office->second->answer(clock_.now(), question);
  }

  void at(Instant when, std::function<void()> what) override { clock_.at(when, std::move(what)); }
  void runUntil(Instant end) override { clock_.runUntil(end); }

 private:
  struct Host {
    explicit Host(net::VirtualClock& of) : clock(of) {}
    net::VirtualHost clock;
    std::unique_ptr<net::Port> port;
    std::unique_ptr<net::Attendance> attendance;
  };

  Fleet fleet_;
  MakeController make_;
  boost::asio::io_context context_;
  net::VirtualClock clock_;
  net::MemoryNetwork network_;
  std::map<int, std::unique_ptr<Office>> offices_;
  std::map<iax2::Address, std::unique_ptr<Host>> hosts_;
};

}  // namespace

std::unique_ptr<Stage> virtualStage(Fleet fleet, MakeController make) {
  return std::make_unique<VirtualStage>(std::move(fleet), std::move(make));
}

}  // namespace thistlefold::day
