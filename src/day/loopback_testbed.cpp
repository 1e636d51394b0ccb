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

// An office says where it listens within milliseconds; a loaded machine may take seconds to start a process.
constexpr int kStartWithin = 20000;

/// A child process that ends with this one.
class Process {
 public:
  Process(const std::vector<std::string>& words, const std::string& logPath) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw TestbedError("no pipe for an office");
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::vector<char*> arguments;
    for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    id_ = ::fork();
    if (id_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      ::dup2(ends[1], STDOUT_FILENO);
      if (log >= 0) ::dup2(log, STDERR_FILENO);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    ::close(ends[1]);
    if (log >= 0) ::close(log);
    out_ = ends[0];
    if (id_ < 0) throw TestbedError("no process for an office");
  }
  ~Process() {
    if (!reaped_) {
      ::kill(id_, SIGKILL);
      ::waitpid(id_, nullptr, 0);
    }
    ::close(out_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const {
    if (!reaped_) ::kill(id_, number);
  }
  void reap() {
    if (!reaped_) ::waitpid(id_, nullptr, 0);
    reaped_ = true;
  }
  /// The first line that it prints, or nothing within the time.
  std::string line(int milliseconds) {
    std::string text;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (text.find('\n') == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
      pollfd ready{out_, POLLIN, 0};
      if (left.count() <= 0 || ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) return "";
      char bytes[256];
      const auto got = ::read(out_, bytes, sizeof bytes);
      if (got <= 0) return "";
      text.append(bytes, static_cast<std::size_t>(got));
    }
    return text.substr(0, text.find('\n'));
  }

 private:
  pid_t id_ = -1;
  int out_ = -1;
  bool reaped_ = false;
};

/// Every datagram passes a relay: each identity has a face, a port that stands for it towards all others. What comes
/// in at a face from a known socket is delivered from the sender's face, after the delay that fate gives it.
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
      fleet_.places[i].office = face(officeIdentity(place)).port->address();
      fleet_.places[i].processor = face(processorIdentity(place)).port->address();
    }
    fleet_.directory = face(kDirectory).port->address();
    face(kCallers);
    fleetPath_ = folder_ + "/fleet.sexp";
    write(fleetPath_, settings::writeFleet(fleet_));
    asker_ = net::bindPort(context_.get_executor(), kAnyPort);
  }
  ~LoopbackTestbed() override {
    for (auto& [identity, one] : faces_) {
      one->runner.reset();
      one->port->close();
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

  void place(iax2::Address identity, DatagramHandler& handler) override {
    auto host = std::make_unique<Host>();
    host->port = net::bindPort(context_.get_executor(), kAnyPort);
    host->runner = std::make_unique<net::DatagramRunner>(
        context_.get_executor(), handler, *host->port, *clock_,
        [identity](const char* what) { throw TestbedError("station " + iax2::text(identity) + ": " + what); });
    known(identity, host->port->address());
    hosts_[identity] = std::move(host);
  }
  void remove(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it == hosts_.end()) return;
    close(*it->second);
    forget(identity);
    at(now() + Span::ms(5), [gone = std::shared_ptr<Host>(std::move(it->second))] {});
    hosts_.erase(it);
  }
  void wakeUp(iax2::Address identity) override {
    const auto it = hosts_.find(identity);
    if (it != hosts_.end()) it->second->runner->wakeUp();
  }

  void startOffice(int place, std::uint64_t seed) override {
    const std::string& name = fleet_.places[static_cast<std::size_t>(place)].name;
    const iax2::Address before = listened_.contains(place) ? listened_[place] : kAnyPort;
    const std::string path = folder_ + "/office-" + name + ".sexp";
    write(path, "(office " + name + " (fleet \"fleet.sexp\") (listen \"" + iax2::text(before) + "\") (seed " +
                    std::to_string(seed) + "))\n");
    const std::string log = folder_ + "/office-" + name + ".log";
    auto process = std::make_unique<Process>(std::vector<std::string>{program_, "serve", path}, log);
    const std::string line = process->line(kStartWithin);
    const auto address = line.starts_with("listening ") ? iax2::parseAddress(line.substr(10)) : std::nullopt;
    if (!address) throw TestbedError("office " + name + " did not start; see " + log);
    listened_[place] = *address;
    known(officeIdentity(place), *address);
    processes_[place] = std::move(process);
  }
  void killOffice(int place) override {
    processes_.erase(place);
    forget(officeIdentity(place));
  }
  void freezeOffice(int place, bool frozen) override {
    const auto it = processes_.find(place);
    if (it != processes_.end()) it->second->signal(frozen ? SIGSTOP : SIGCONT);
  }
  void stopOffice(int place) override {
    const auto it = processes_.find(place);
    if (it != processes_.end()) it->second->signal(SIGTERM);
  }
  void budgets(const std::vector<zones::Budget>& budgets) override {
    fleet_.budgets = budgets;
    write(fleetPath_, settings::writeFleet(fleet_));
    for (const auto& [place, process] : processes_) process->signal(SIGHUP);
  }
  std::optional<std::string> ask(int place, std::string_view question) override {
    if (!processes_.contains(place)) return std::nullopt;
    asker_->send(listened_[place], {reinterpret_cast<const std::uint8_t*>(question.data()), question.size()});
    std::optional<std::string> account;
    for (int tries = 0; tries < 100 && !account; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      asker_->drain(16, [&](iax2::Address from, std::span<const std::uint8_t> bytes) {
        if (from == listened_[place]) account = std::string(bytes.begin(), bytes.end());
      });
    }
    return account;
  }

  void at(Instant when, std::function<void()> what) override { due_.emplace(when, std::move(what)); }
  void runUntil(Instant end) override {
    while (now() < end) {
      while (!due_.empty() && due_.begin()->first <= now()) {
        const auto what = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        what();
      }
      const Instant next = due_.empty() ? end : std::min(end, due_.begin()->first);
      context_.restart();
      const double wait = std::max(0.0, (next - now()).ms());
      context_.run_one_for(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1000)));
      context_.poll();
    }
  }

 private:
  struct Host {
    std::unique_ptr<net::RealPort> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };
  /// Passes on what reaches a face.
  struct Face final : DatagramHandler {
    Face(LoopbackTestbed& at, iax2::Address whose) : testbed(at), identity(whose) {}
    void receive(Instant at, iax2::Address from, std::span<const std::uint8_t> datagram) override {
      const auto sender = testbed.identityOf_.find(from);
      if (sender != testbed.identityOf_.end()) testbed.carry(at, sender->second, identity, datagram);
    }
    void process(Instant, const DatagramSender&) override {}
    Instant nextDeadline() const override { return Instant::never(); }

    LoopbackTestbed& testbed;
    iax2::Address identity;
    std::unique_ptr<net::RealPort> port;
    std::unique_ptr<net::DatagramRunner> runner;
  };

  Face& face(iax2::Address identity) {
    auto& one = faces_[identity];
    if (one == nullptr) {
      one = std::make_unique<Face>(*this, identity);
      one->port = net::bindPort(context_.get_executor(), kAnyPort);
      one->runner = std::make_unique<net::DatagramRunner>(
          context_.get_executor(), *one, *one->port, *clock_,
          [](const char* what) { throw TestbedError(std::string("relay: ") + what); });
    }
    return *one;
  }
  void known(iax2::Address identity, iax2::Address socket) {
    socketOf_[identity] = socket;
    identityOf_[socket] = identity;
  }
  void forget(iax2::Address identity) {
    const auto it = socketOf_.find(identity);
    if (it == socketOf_.end()) return;
    identityOf_.erase(it->second);
    socketOf_.erase(it);
  }
  static void close(Host& host) {
    host.port->close();
    host.runner.reset();
  }
  void carry(Instant, iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram) {
    std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
    if (tap_) tap_(now(), from, to, datagram, false);
    for (const Span delay : impairment_ ? impairment_(from, to, bytes) : std::vector<Span>{Span::none()}) {
      at(now() + delay, [this, from, to, bytes] {
        const auto socket = socketOf_.find(to);
        if (socket == socketOf_.end()) return;
        if (tap_) tap_(now(), from, to, bytes, true);
        faces_[from]->port->send(socket->second, bytes);
      });
    }
  }
  static void write(const std::string& path, const std::string& text) {
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
  std::multimap<Instant, std::function<void()>> due_;
  std::map<iax2::Address, std::unique_ptr<Face>> faces_;
  std::map<iax2::Address, std::unique_ptr<Host>> hosts_;
  std::map<iax2::Address, iax2::Address> socketOf_, identityOf_;
  std::map<int, std::unique_ptr<Process>> processes_;
  std::map<int, iax2::Address> listened_;
  std::unique_ptr<net::RealPort> asker_;
};

}  // namespace

std::unique_ptr<Testbed> loopbackTestbed(Fleet fleet, std::string program, std::string folder) {
  return std::make_unique<LoopbackTestbed>(std::move(fleet), std::move(program), std::move(folder));
}

}  // namespace thistlefold::day
