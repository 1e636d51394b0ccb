#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

#include "day/testbed.hpp"
#include "net/datagram_runner.hpp"
#include "net/real.hpp"
#include "settings/files.hpp"

namespace thistlefold::day {
namespace {

namespace asio = boost::asio;

constexpr iax2::Address kAnyPort{0x7f000001, 0};

// An office prints its address within milliseconds; a loaded machine may take seconds to start a process.
constexpr int kStartTimeoutMs = 20000;

/// A child process, killed when this object is destroyed or this process ends. Its standard error goes to a log file,
/// its standard output to a pipe.
class Process {
 public:
  /// Throws TestbedError if there is no pipe or process left.
  Process(const std::vector<std::string>& command, const std::string& logPath) {
    int pipeEnds[2];
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0) throw TestbedError("can't create a pipe for an office process");
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      ::dup2(pipeEnds[1], STDOUT_FILENO);
      if (log >= 0) ::dup2(log, STDERR_FILENO);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    ::close(pipeEnds[1]);
    if (log >= 0) ::close(log);
    output_ = pipeEnds[0];
    if (pid_ < 0) throw TestbedError("can't start an office process");
  }
  ~Process() {
    if (!reaped_) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(output_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const {
    if (!reaped_) ::kill(pid_, number);
  }
  void reap() {
    if (!reaped_) ::waitpid(pid_, nullptr, 0);
    reaped_ = true;
  }
  /// The first line that the process prints; empty if it prints none within the time.
  std::string readLine(int milliseconds) {
    std::string text;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (text.find('\n') == std::string::npos) {
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
      pollfd ready{output_, POLLIN, 0};
      if (remaining.count() <= 0 || ::poll(&ready, 1, static_cast<int>(remaining.count())) <= 0) return "";
      char bytes[256];
      const auto got = ::read(output_, bytes, sizeof bytes);
      if (got <= 0) return "";
      text.append(bytes, static_cast<std::size_t>(got));
    }
    return text.substr(0, text.find('\n'));
  }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  bool reaped_ = false;
};

/// Each office is a process of its own, the simulators run in this one. Every datagram passes a relay: each identity
/// has a relay port at which all others reach it. A datagram that is received at a relay port from a known socket is
/// forwarded to the socket of the port's identity, from the relay port of the sender, after the delay that the
/// impairment gives.
class LoopbackTestbed final : public Testbed {
 public:
  LoopbackTestbed(Fleet fleet, std::string program, std::string folder)
      : fleet_(std::move(fleet)),
        program_(std::move(program)),
        folder_(std::move(folder)),
        clock_(net::makeRealClock(context_.get_executor())) {
    std::filesystem::create_directories(folder_);
    for (std::size_t i = 0; i < fleet_.places.size(); ++i) {
      const int place = static_cast<int>(i);
      fleet_.places[i].office = relayPort(officeIdentity(place)).port->address();
      fleet_.places[i].processor = relayPort(processorIdentity(place)).port->address();
    }
    fleet_.directory = relayPort(kDirectoryIdentity).port->address();
    relayPort(kCallersIdentity);
    fleetPath_ = folder_ + "/fleet.sexp";
    writeFile(fleetPath_, settings::writeFleet(fleet_));
    queryPort_ = net::bindPort(context_.get_executor(), kAnyPort);
  }
  // A handler that throws while the testbed is destroyed ends the process.
  ~LoopbackTestbed() override {  // NOLINT(bugprone-exception-escape): a failure in a handler must not be hidden
    for (auto& [identity, relay] : relayPorts_) {
      relay->runner.reset();
      relay->port->close();
    }
    for (auto& [identity, host] : hosts_) close(*host);
    context_.restart();
    context_.poll();
    hosts_.clear();
  }

  Instant now() const override { return clock_->now(); }
  void setImpairment(net::Impairment impairment) override { impairment_ = std::move(impairment); }
  void setTap(net::MemoryNetwork::Tap tap) override { tap_ = std::move(tap); }
  const Fleet& fleet() const override { return fleet_; }

  void attach(iax2::Address identity, DatagramHandler& handler) override {
    auto host = std::make_unique<Host>();
    host->port = net::bindPort(context_.get_executor(), kAnyPort);
    host->runner = std::make_unique<net::DatagramRunner>(
        context_.get_executor(), handler, *host->port, *clock_,
        [identity](const char* problem) { throw TestbedError("handler at " + iax2::text(identity) + ": " + problem); });
    registerSocket(identity, host->port->address());
    hosts_[identity] = std::move(host);
  }
  void detach(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it == hosts_.end()) return;
    close(*it->second);
    unregisterSocket(identity);
    schedule(now() + Span::ms(5), [kept = std::shared_ptr<Host>(std::move(it->second))] {});
    hosts_.erase(it);
  }
  void wakeUp(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it != hosts_.end()) it->second->runner->wakeUp();
  }

  void startOffice(int place, std::uint64_t seed) override {
    const std::string& name = fleet_.places[static_cast<std::size_t>(place)].name;
    const iax2::Address listenAddress = listenAddresses_.contains(place) ? listenAddresses_[place] : kAnyPort;
    const std::string path = folder_ + "/office-" + name + ".sexp";
    writeFile(path, "(office " + name + " (fleet \"fleet.sexp\") (listen \"" + iax2::text(listenAddress) +
                        "\") (seed " + std::to_string(seed) + "))\n");
    const std::string log = folder_ + "/office-" + name + ".log";
    auto process = std::make_unique<Process>(std::vector<std::string>{program_, "serve", path}, log);
    const std::string line = process->readLine(kStartTimeoutMs);
    const auto address = line.starts_with("listening ") ? iax2::parseAddress(line.substr(10)) : std::nullopt;
    if (!address) throw TestbedError("office " + name + " did not start; see " + log);
    listenAddresses_[place] = *address;
    registerSocket(officeIdentity(place), *address);
    processes_[place] = std::move(process);
  }
  void killOffice(int place) override {
    processes_.erase(place);
    unregisterSocket(officeIdentity(place));
  }
  void freezeOffice(int place, bool frozen) override {
    const auto it = processes_.find(place);
    if (it != processes_.end()) it->second->signal(frozen ? SIGSTOP : SIGCONT);
  }
  void stopOffice(int place) override {
    const auto it = processes_.find(place);
    if (it != processes_.end()) it->second->signal(SIGTERM);
  }
  void setBudgets(const std::vector<zones::Budget>& budgets) override {
    fleet_.budgets = budgets;
    writeFile(fleetPath_, settings::writeFleet(fleet_));
    for (const auto& [place, process] : processes_) process->signal(SIGHUP);
  }
  std::optional<std::string> query(int place, std::string_view question) override {
    if (!processes_.contains(place)) return std::nullopt;
    queryPort_->send(listenAddresses_[place],
                     {reinterpret_cast<const std::uint8_t*>(question.data()), question.size()});
    std::optional<std::string> answer;
    for (int attempt = 0; attempt < 100 && !answer; ++attempt) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      queryPort_->drain(16, [&](iax2::Address from, std::span<const std::uint8_t> bytes) {
        if (from == listenAddresses_[place]) answer = std::string(bytes.begin(), bytes.end());
      });
    }
    return answer;
  }

  void schedule(Instant when, std::function<void()> action) override { scheduled_.emplace(when, std::move(action)); }
  void runUntil(Instant end) override {
    while (now() < end) {
      while (!scheduled_.empty() && scheduled_.begin()->first <= now()) {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
      const Instant next = scheduled_.empty() ? end : std::min(end, scheduled_.begin()->first);
      context_.restart();
      const double wait = std::max(0.0, (next - now()).ms());
      context_.run_one_for(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1000)));
      context_.poll();
    }
  }

 private:
  /// What runs an attached handler.
  struct Host {
    std::unique_ptr<net::RealPort> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };
  /// The port that stands for one identity, and forwards what it receives.
  struct RelayPort final : DatagramHandler {
    RelayPort(LoopbackTestbed& of, iax2::Address represented) : testbed(of), identity(represented) {}
    void receive(Instant at, iax2::Address from, std::span<const std::uint8_t> datagram) override {
      const auto sender = testbed.identityOf_.find(from);
      if (sender != testbed.identityOf_.end()) testbed.forward(at, sender->second, identity, datagram);
    }
    void process(Instant, const DatagramSender&) override {}
    Instant nextDeadline() const override { return Instant::never(); }

    LoopbackTestbed& testbed;
    iax2::Address identity;
    std::unique_ptr<net::RealPort> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };

  RelayPort& relayPort(iax2::Address identity) {
    auto& relay = relayPorts_[identity];
    if (relay == nullptr) {
      relay = std::make_unique<RelayPort>(*this, identity);
      relay->port = net::bindPort(context_.get_executor(), kAnyPort);
      relay->runner = std::make_unique<net::DatagramRunner>(
          context_.get_executor(), *relay, *relay->port, *clock_,
          [](const char* problem) { throw TestbedError(std::string("relay: ") + problem); });
    }
    return *relay;
  }
  void registerSocket(iax2::Address identity, iax2::Address socket) {
    socketOf_[identity] = socket;
    identityOf_[socket] = identity;
  }
  void unregisterSocket(iax2::Address identity) {
    const auto it = socketOf_.find(identity);
    if (it == socketOf_.end()) return;
    identityOf_.erase(it->second);
    socketOf_.erase(it);
  }
  static void close(Host& host) {
    host.port->close();
    host.runner.reset();
  }
  void forward(Instant, iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram) {
    std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
    if (tap_) tap_(now(), from, to, datagram, false);
    for (const Span delay : impairment_ ? impairment_(from, to, bytes) : std::vector<Span>{Span::none()}) {
      schedule(now() + delay, [this, from, to, bytes] {
        const auto socket = socketOf_.find(to);
        if (socket == socketOf_.end()) return;
        if (tap_) tap_(now(), from, to, bytes, true);
        relayPorts_[from]->port->send(socket->second, bytes);
      });
    }
  }
  static void writeFile(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::trunc);
    out << text;
    if (!out.flush()) throw TestbedError(path + ": can't be written");
  }

  Fleet fleet_;
  std::string program_, folder_, fleetPath_;
  asio::io_context context_;
  std::unique_ptr<net::Clock> clock_;
  net::Impairment impairment_;
  net::MemoryNetwork::Tap tap_;
  std::multimap<Instant, std::function<void()>> scheduled_;
  std::map<iax2::Address, std::unique_ptr<RelayPort>> relayPorts_;
  std::map<iax2::Address, std::unique_ptr<Host>> hosts_;
  std::map<iax2::Address, iax2::Address> socketOf_, identityOf_;
  std::map<int, std::unique_ptr<Process>> processes_;
  std::map<int, iax2::Address> listenAddresses_;
  std::unique_ptr<net::RealPort> queryPort_;
};

}  // namespace

std::unique_ptr<Testbed> loopbackTestbed(Fleet fleet, std::string program, std::string folder) {
  return std::make_unique<LoopbackTestbed>(std::move(fleet), std::move(program), std::move(folder));
}

}  // namespace thistlefold::day
