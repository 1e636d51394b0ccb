#pragma once

// Stand-ins for the platform round one softswitch: exchanges, the bulletin and callers, on loopback addresses and the
// system's clock, in one thread. They follow the protocol page. A case drives them and judges what they saw.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standin {

/// Exit codes of a case.
enum Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// Unix time in milliseconds.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt. Each line has the milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const char* path) : file_(std::fopen(path, "w")), start_(nowMs()) {
    if (file_ == nullptr) std::exit(kNotRun);
    std::setvbuf(file_, nullptr, _IOLBF, 0);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%9.1f  ", nowMs() - start_);
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
  }

 private:
  std::FILE* file_;
  double start_;
};

// ---- Messages: one flat JSON object a line, as the softswitch writes them ---------------------------------------------

/// The text of a member of a line; empty if it is absent. Enough for objects without escaped quotation marks.
inline std::string member(const std::string& line, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  auto at = line.find(key);
  if (at == std::string::npos) return {};
  at += key.size();
  if (at < line.size() && line[at] == '"') {
    const auto end = line.find('"', at + 1);
    return line.substr(at + 1, end - at - 1);
  }
  return line.substr(at, line.find_first_of(",}", at) - at);
}

inline sockaddr_in socketAddress(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(ip);
  out.sin_port = htons(port);
  return out;
}

inline std::string addressText(std::uint32_t ip, std::uint16_t port) {
  char text[32];
  std::snprintf(text, sizeof text, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255, port);
  return text;
}

/// Opens a listening socket on a loopback address. Port 0 takes a free one. Returns -1 on failure.
inline int listenAt(std::uint32_t ip, std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at = socketAddress(ip, port);
  socklen_t length = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 128) != 0) {
    ::close(fd);
    return -1;
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  port = ntohs(at.sin_port);
  return fd;
}

/// A free port on a loopback address, for the softswitch to listen on.
inline std::uint16_t freePort(std::uint32_t ip) {
  std::uint16_t port = 0;
  const int fd = listenAt(ip, port);
  if (fd < 0) std::exit(kNotRun);
  ::close(fd);
  return port;
}

// ---- Connections and the loop -----------------------------------------------------------------------------------------

/// A TCP connection. Bytes are passed to `onBytes`, or line by line to `onLine`.
struct Connection {
  int fd = -1;
  bool frozen = false;  ///< neither read nor written: its machine has vanished
  bool connecting = false;
  std::string in, out;
  std::function<void(const std::string&)> onLine;
  std::function<void(Connection&)> onBytes;  ///< instead of onLine; takes from `in`
  std::function<void()> onEnd;               ///< the far end closed or reset it
  bool open() const { return fd >= 0; }

  void send(const std::string& bytes) {
    if (!open() || frozen) return;
    out += bytes;
    if (!connecting) flush();
  }
  void flush() {
    while (!out.empty() && open() && !frozen) {
      const ssize_t sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      out.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void close() {
    if (open()) ::close(fd);
    fd = -1;
  }
  /// Ends it with a reset, as a process that dies does.
  void reset() {
    const linger hard{1, 0};
    if (open()) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
};

/// Waits on all sockets and timers.
class Loop {
 public:
  using ConnectionPointer = std::shared_ptr<Connection>;

  ConnectionPointer add(int fd) {
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto connection = std::make_shared<Connection>();
    connection->fd = fd;
    connections_.push_back(connection);
    return connection;
  }
  ConnectionPointer connect(std::uint32_t ip, std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto connection = add(fd);
    const sockaddr_in to = socketAddress(ip, port);
    connection->connecting = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0;
    return connection;
  }
  void listener(int fd, std::function<void(int)> accepted) { listeners_[fd] = std::move(accepted); }
  void forget(int listener) { listeners_.erase(listener); }
  void after(double ms, std::function<void()> what) { timers_.emplace(nowMs() + ms, std::move(what)); }

  /// Runs until `done` returns true or `ms` have passed. Returns whether `done` did.
  bool run(double ms, const std::function<bool()>& done = [] { return false; }) {
    const double end = nowMs() + ms;
    while (!done()) {
      if (nowMs() >= end) return false;
      step(end);
    }
    return true;
  }

 private:
  void step(double end) {
    std::vector<pollfd> polled;
    std::vector<ConnectionPointer> polledConnections;
    std::vector<int> polledListeners;
    for (const auto& [fd, accepted] : listeners_) {
      polled.push_back({fd, POLLIN, 0});
      polledListeners.push_back(fd);
    }
    std::erase_if(connections_, [](const auto& connection) { return !connection->open(); });
    for (const auto& connection : connections_) {
      if (connection->frozen) continue;
      const short events = connection->connecting || !connection->out.empty() ? POLLIN | POLLOUT : POLLIN;
      polled.push_back({connection->fd, events, 0});
      polledConnections.push_back(connection);
    }
    const double next = timers_.empty() ? end : std::min(end, timers_.begin()->first);
    const int wait = static_cast<int>(std::clamp(next - nowMs() + 0.5, 0.0, 50.0));
    ::poll(polled.data(), polled.size(), wait);
    for (std::size_t i = 0; i < polledListeners.size(); ++i) {
      if ((polled[i].revents & POLLIN) == 0) continue;
      for (;;) {
        const auto it = listeners_.find(polledListeners[i]);
        if (it == listeners_.end()) break;
        const int fd = ::accept(polledListeners[i], nullptr, nullptr);
        if (fd < 0) break;
        const auto accepted = it->second;
        accepted(fd);
      }
    }
    for (std::size_t i = 0; i < polledConnections.size(); ++i) {
      const short events = polled[polledListeners.size() + i].revents;
      if (events != 0) serve(*polledConnections[i], events);
    }
    while (!timers_.empty() && timers_.begin()->first <= nowMs()) {
      const auto what = timers_.begin()->second;
      timers_.erase(timers_.begin());
      what();
    }
  }
  static void serve(Connection& connection, short events) {
    if (!connection.open() || connection.frozen) return;
    if ((events & POLLOUT) != 0) {
      connection.connecting = false;
      connection.flush();
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    bool ended = false;
    for (;;) {
      const ssize_t got = ::recv(connection.fd, buffer, sizeof buffer, 0);
      if (got > 0) {
        connection.in.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      ended = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
      break;
    }
    if (connection.onBytes) connection.onBytes(connection);
    while (connection.onLine && connection.open()) {
      const auto end = connection.in.find('\n');
      if (end == std::string::npos) break;
      const std::string line = connection.in.substr(0, end);
      connection.in.erase(0, end + 1);
      connection.onLine(line);
    }
    if (!ended || !connection.open()) return;
    connection.close();
    if (connection.onEnd) connection.onEnd();
  }

  std::map<int, std::function<void(int)>> listeners_;
  std::vector<ConnectionPointer> connections_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- Exchanges --------------------------------------------------------------------------------------------------------

/// A simulated exchange. It reports its group on each new connection, answers set-ups after a while, keeps standing
/// calls, and releases them on the connection of their set-up or else on any open one, and on the next one opened.
class Exchange {
 public:
  Exchange(Loop& loop, Record& record, std::uint32_t uid, int place, std::uint32_t ip, std::uint16_t port = 0)
      : uid(uid), place(place), ip(ip), port(port), loop_(&loop), record_(&record) {
    listener_ = listenAt(ip, this->port);
    if (listener_ < 0) std::exit(kNotRun);
    loop.listener(listener_, [this](int fd) { accept(fd); });
  }
  ~Exchange() {
    if (listener_ >= 0) ::close(listener_);
  }
  std::string name() const {
    char text[16];
    std::snprintf(text, sizeof text, "s-%08x", uid);
    return text;
  }
  std::string addressText() const { return standin::addressText(ip, port); }
  std::size_t openConnections() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto& one) { return one->open(); }));
  }
  bool stands(const std::string& id) const { return standing_.contains(id); }
  const std::map<std::string, double>& setups() const { return setups_; }

  /// The call has come to its normal end, or was cut.
  void release(const std::string& id, int cause) {
    const auto it = standing_.find(id);
    if (it == standing_.end()) return;
    const auto own = it->second.lock();
    standing_.erase(it);
    const std::string line =
        "{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{},\"cause\":" + std::to_string(cause) + "}\n";
    Connection* on = own && own->open() ? own.get() : nullptr;
    for (const auto& connection : connections_)
      if (on == nullptr && connection->open()) on = connection.get();
    record_->line("%s releases %s, cause %d, %s", name().c_str(), id.c_str(), cause,
                  on != nullptr ? "sent" : "no connection is open");
    if (on != nullptr) on->send(line);
    owed_.push_back(line);
  }
  /// Its machine vanishes: open connections stay open and silent, and new ones never come up.
  void vanish() {
    for (const auto& connection : connections_) connection->frozen = true;
    loop_->forget(listener_);
    // With the shortest queue of unaccepted connections filled by its own, the system answers no further one.
    ::listen(listener_, 0);
    for (int i = 0; i < 4; ++i) {
      fillers_.push_back(loop_->connect(ip, port));
      fillers_.back()->frozen = true;
    }
    record_->line("%s vanishes: connections stay silent, new ones never come up; %zu calls stood there",
                  name().c_str(), standing_.size());
    standing_.clear();
  }
  /// Its process dies: connections are reset, calls are cut, new connections are refused.
  void die() {
    record_->line("%s dies: connections are reset, %zu calls are cut", name().c_str(), standing_.size());
    loop_->forget(listener_);
    ::close(listener_);
    listener_ = -1;
    for (const auto& connection : connections_) connection->reset();
    connections_.clear();
    standing_.clear();
  }

  const std::uint32_t uid;
  const int place;
  const std::uint32_t ip;
  std::uint16_t port;
  double answerAfterMs = 30;
  /// Refuses set-ups as full instead of answering them.
  bool refuses = false;
  std::function<void(const std::string& id)> onSetup;

 private:
  void accept(int fd) {
    auto connection = loop_->add(fd);
    connections_.push_back(connection);
    connection->onLine = [this, weak = std::weak_ptr(connection)](const std::string& line) {
      if (const auto from = weak.lock()) read(from, line);
    };
    connection->send("{\"type\":\"state\",\"fields\":{\"load\":\"x0:100;x1:120;qps:40\"}}\n");
    for (const std::string& line : owed_) connection->send(line);
    owed_.clear();
  }
  void read(const Loop::ConnectionPointer& from, const std::string& line) {
    const std::string type = member(line, "type"), id = member(line, "id");
    if (type == "setup") {
      record_->line("%s gets the set-up %s", name().c_str(), id.c_str());
      setups_[id] = nowMs();
      if (onSetup) onSetup(id);
      loop_->after(answerAfterMs, [this, id, weak = std::weak_ptr(from)] {
        const auto to = weak.lock();
        if (!to || !to->open() || to->frozen) return;
        if (refuses) {
          to->send("{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{},\"cause\":34}\n");
          return record_->line("%s refuses %s, cause 34", name().c_str(), id.c_str());
        }
        standing_[id] = to;
        to->send("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"" + id + " at " + name() +
                 "\\r\\n\"}\n");
      });
    } else if (type == "release") {
      record_->line("%s is told to release %s", name().c_str(), id.c_str());
      standing_.erase(id);
      from->send("{\"type\":\"released\",\"id\":\"" + id + "\",\"fields\":{}}\n");
    } else if (type == "ping") {
      from->send("{\"type\":\"pong\",\"id\":\"" + id + "\",\"fields\":{\"load\":\"x0:100;x1:120;qps:40\"},\"cause\":1}\n");
    }
  }

  Loop* loop_;
  Record* record_;
  int listener_ = -1;
  std::vector<Loop::ConnectionPointer> connections_, fillers_;
  std::map<std::string, std::weak_ptr<Connection>> standing_;
  std::map<std::string, double> setups_;
  std::vector<std::string> owed_;
};

// ---- The bulletin -----------------------------------------------------------------------------------------------------

/// State of an exchange in the list.
enum class State { ready = 0, draining = 1, gone = 2 };

struct Entry {
  std::uint32_t uid, ip;
  std::uint16_t port;
  State state;
  int place;
  double startedMs;
};

struct Event {
  std::uint64_t number;
  bool whole;
  std::vector<Entry> entries;
};

inline Entry entryOf(const Exchange& exchange, State state = State::ready, double startedMs = 0) {
  return {exchange.uid, exchange.ip, exchange.port, state, exchange.place, startedMs};
}

/// The discovery service. Sends what a subscriber has missed, then each new event, and an empty frame each second.
class Bulletin {
 public:
  Bulletin(Loop& loop, Record& record, std::uint32_t ip) : ip(ip), loop_(&loop), record_(&record) {
    const int fd = listenAt(ip, port);
    if (fd < 0) std::exit(kNotRun);
    loop.listener(fd, [this](int accepted) { accept(accepted); });
    beat();
  }
  void publish(bool whole, std::vector<Entry> entries) {
    events.push_back({events.size() + 1, whole, std::move(entries)});
    for (const Entry& entry : events.back().entries) {
      static const char* const kStates[] = {"ready", "draining", "gone"};
      record_->line("bulletin, event %zu: s-%08x %s at %s, place %d", events.size(), entry.uid,
                    kStates[static_cast<int>(entry.state)], standin::addressText(entry.ip, entry.port).c_str(), entry.place);
    }
    for (auto& subscriber : subscribers_)
      if (subscriber.connection->open() && subscriber.answered) send(subscriber);
  }
  std::string addressText() const { return standin::addressText(ip, port); }

  std::vector<Event> events;
  double answerAfterMs = 0;  ///< how long a new subscriber waits for its first frame
  int subscriptions = 0;
  const std::uint32_t ip;
  std::uint16_t port = 0;

 private:
  struct Subscriber {
    Loop::ConnectionPointer connection;
    std::uint64_t last = 0;
    bool answered = false;
  };
  static std::string bigEndian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
    return out;
  }
  static std::string frame(std::uint64_t number, int kind, const std::string& payload) {
    return bigEndian(9 + payload.size(), 4) + bigEndian(number, 8) + bigEndian(static_cast<std::uint64_t>(kind), 1) +
           payload;
  }
  void accept(int fd) {
    auto connection = loop_->add(fd);
    connection->onBytes = [this, weak = std::weak_ptr(connection), asked = false](Connection& from) mutable {
      if (asked || from.in.size() < 8) return;
      asked = true;
      std::uint64_t last = 0;
      for (int i = 0; i < 8; ++i) last = last << 8 | static_cast<std::uint8_t>(from.in[static_cast<std::size_t>(i)]);
      from.in.clear();
      ++subscriptions;
      record_->line("bulletin: subscription %d, which has event %llu", subscriptions,
                    static_cast<unsigned long long>(last));
      subscribers_.push_back({weak.lock(), last, false});
      loop_->after(answerAfterMs, [this, weak] {
        for (auto& subscriber : subscribers_) {
          if (subscriber.connection != weak.lock() || !subscriber.connection->open()) continue;
          subscriber.answered = true;
          record_->line("bulletin: answers a subscription with all after event %llu",
                        static_cast<unsigned long long>(subscriber.last));
          send(subscriber);
          subscriber.connection->send(frame(subscriber.last, 0, ""));
        }
      });
    };
  }
  void send(Subscriber& subscriber) {
    for (const Event& event : events) {
      if (event.number <= subscriber.last) continue;
      std::string payload;
      for (const Entry& entry : event.entries) {
        payload += bigEndian(entry.uid, 4) + bigEndian(entry.ip, 4) + bigEndian(entry.port, 2) +
                   bigEndian(static_cast<std::uint64_t>(entry.state), 1) + bigEndian(0, 1) + bigEndian(0, 1) +
                   bigEndian(static_cast<std::uint64_t>(entry.place), 2) + bigEndian(1000, 4) +
                   bigEndian(static_cast<std::uint64_t>(entry.startedMs), 8);
      }
      subscriber.connection->send(frame(event.number, event.whole ? 1 : 2, payload));
      subscriber.last = event.number;
    }
  }
  void beat() {
    for (auto& subscriber : subscribers_)
      if (subscriber.connection->open() && subscriber.answered)
        subscriber.connection->send(frame(subscriber.last, 0, ""));
    std::erase_if(subscribers_, [](const Subscriber& subscriber) { return !subscriber.connection->open(); });
    loop_->after(1000, [this] { beat(); });
  }

  Loop* loop_;
  Record* record_;
  std::vector<Subscriber> subscribers_;
};

// ---- The softswitch, as the deploy file starts it ---------------------------------------------------------------------

/// Figures of a deployment. The defaults are those of the example settings on the wire page.
struct Deployment {
  int sockets = 1024;
  int memoryMb = 192;
  int softswitches = 8;
  int ownPlace = 0;
};

/// One real softswitch process.
class Softswitch {
 public:
  /// `folder`: a temporary folder for its configuration and log. `command`: `run` of the deploy file.
  Softswitch(Loop& loop, Record& record, std::string folder, std::string command)
      : ip(0x7f000001), port(freePort(ip)), loop_(&loop), record_(&record), folder_(std::move(folder)),
        command_(std::move(command)) {}
  ~Softswitch() { kill(); }

  /// Writes the configuration with all events of the bulletin so far, numbered from 1 as one whole list, and starts it.
  void start(const Deployment& deployment, const Bulletin& bulletin) {
    write(deployment, bulletin);
    pid_ = ::fork();
    if (pid_ < 0) std::exit(kNotRun);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive the case, however that ends
      const int log = ::open((folder_ + "/softswitch.log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("PROXY_NAME", "n1", 1);
      ::setenv("PROXY_LISTEN", addressText(ip, port).c_str(), 1);
      ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command_.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record_->line("softswitch started: %s, listens on %s", command_.c_str(), addressText(ip, port).c_str());
    waitUntilReady();
  }
  void kill(int signal = SIGKILL) {
    if (pid_ <= 0) return;
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    record_->line("softswitch killed");
    pid_ = -1;
  }
  /// Whether the process runs. One that ended by itself has crashed.
  bool runs() {
    int status = 0;
    return pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == 0;
  }

  const std::uint32_t ip;
  const std::uint16_t port;

 private:
  void write(const Deployment& deployment, const Bulletin& bulletin) const {
    std::string targets;
    char text[256];
    const Event& last = bulletin.events.back();
    for (const Entry& entry : last.entries) {
      std::snprintf(text, sizeof text,
                    "%s{\"uid\":\"s-%08x\",\"endpoint\":\"%s\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":%d,"
                    "\"state\":\"ready\",\"capacity_hint\":1,\"boot_ms\":%.0f}",
                    targets.empty() ? "" : ",", entry.uid, addressText(entry.ip, entry.port).c_str(), entry.place,
                    entry.startedMs);
      targets += text;
    }
    std::FILE* file = std::fopen((folder_ + "/config.json").c_str(), "w");
    if (file == nullptr) std::exit(kNotRun);
    std::fprintf(
        file,
        "{\"name\":\"n1\",\"listen\":\"%s\",\"seed\":\"8c1f30d27a5be964\",\n"
        "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"bulletin\":\"%s\",\n"
        "\"known\":{\"no\":%llu,\"items\":[{\"no\":%llu,\"roster\":{\"rev\":1,\"all\":true,\"targets\":[%s]}}]},\n"
        "\"settings\":{\"Caps\":{\"ConnIdle\":600000.0,\"ConnectTimeout\":500.0,\"MaxAttempts\":6,"
        "\"MaxRetryAfter\":2000.0,\"MayCancel\":true,\"MayProbe\":true,\"OpenCap\":20000,\"RetryAfter\":true,"
        "\"SecondCopies\":false},\"Dcs\":[\"east\"],\"Discovery\":\"pushed\","
        "\"FamilyInfo\":{\"Advice\":false,\"ChannelsNeeded\":[1,4],\"ClassCells\":[],\"ClearWait\":300.0,"
        "\"FarState\":\"inline\",\"MeanHold\":[10000.0,10000.0],\"T1\":0.0,\"TellsWait\":true,\"ThisNode\":%d,"
        "\"Topology\":\"mesh\"},\"Grades\":[{\"Aim\":2000.0,\"Credit\":1.0,\"GiveUp\":9000.0,\"LateValue\":0.25,"
        "\"Name\":\"status-check\",\"Semantics\":\"read_like\",\"Stream\":true},{\"Aim\":1500.0,\"Credit\":2.0,"
        "\"GiveUp\":9000.0,\"LateValue\":0.25,\"Name\":\"proof-pull\",\"Semantics\":\"read_like\",\"Stream\":true}],"
        "\"Obligations\":{\"AnswerSlack\":20.0,\"AskWithin\":10000.0,\"ColdFrom\":0.3,\"DrainGrace\":500.0,"
        "\"FallMultiple\":3.0,\"TipAfter\":1500.0,\"WarmAfter\":15000.0},\"ReplicasOfMe\":%d,"
        "\"Report\":{\"How\":\"inline\",\"Names\":[\"free\",\"size\",\"can_take\"]},\"Shapes\":[\"std\"],"
        "\"Tenants\":[],\"Tier\":0,\"Weights\":\"off\",\"WorthBy\":\"request\",\"Zone\":0}}\n",
        addressText(ip, port).c_str(), deployment.memoryMb, deployment.sockets, bulletin.addressText().c_str(),
        static_cast<unsigned long long>(last.number), static_cast<unsigned long long>(last.number), targets.c_str(),
        deployment.ownPlace, deployment.softswitches);
    std::fclose(file);
  }
  /// The front takes a softswitch in once it has passed a test.
  void waitUntilReady() {
    const double end = nowMs() + 30000;
    bool passed = false;
    while (!passed && nowMs() < end && runs()) {
      auto test = loop_->connect(ip, port);
      test->onLine = [&passed](const std::string& line) {
        passed = passed || (member(line, "type") == "pong" && member(line, "cause") == "1");
      };
      test->send("{\"type\":\"ping\",\"id\":\"00000000000000aa\",\"fields\":{},\"cause\":0}\n");
      loop_->run(200, [&] { return passed || !test->open(); });
      test->close();
      if (!passed) loop_->run(50);
    }
    if (!passed) {
      record_->line("the softswitch did not become ready");
      std::exit(kNotRun);
    }
    record_->line("softswitch ready");
  }

  Loop* loop_;
  Record* record_;
  std::string folder_, command_;
  pid_t pid_ = -1;
};

// ---- Callers ----------------------------------------------------------------------------------------------------------

/// What the caller knows of one of its calls.
struct CallerCall {
  double sentAt = 0, answeredAt = 0, endedAt = 0;  ///< 0: not yet
  int cause = -1;
  std::string description;
};

/// The platform's callers of one softswitch: connections that carry calls. A message about a call is heard on whichever
/// of the connections it comes.
class Callers {
 public:
  Callers(Loop& loop, Record& record, const Softswitch& softswitch)
      : loop_(&loop), record_(&record), softswitch_(&softswitch) {}

  Loop::ConnectionPointer connect(const char* name) {
    auto connection = loop_->connect(softswitch_->ip, softswitch_->port);
    connection->onLine = [this, name = std::string(name)](const std::string& line) { read(name, line); };
    connection->onEnd = [this, name = std::string(name)] {
      record_->line("caller's connection %s was closed by the softswitch", name.c_str());
    };
    record_->line("caller opens connection %s", name);
    return connection;
  }
  /// Sends a set-up with a new id, which is returned. `more`: further figures.
  std::string setUp(Connection& on, int place, int leftMs = 4000, const std::string& more = "") {
    const std::string id = newId();
    char text[512];
    std::snprintf(text, sizeof text,
                  "{\"type\":\"setup\",\"id\":\"%s\",\"fields\":{\"class\":\"status-check\",\"left\":\"%d\","
                  "\"key\":\"7f3a9c21%08x\",\"extras\":\"dest:%d;width:1;via:-1%s\"},\"sdp\":\"%s\\r\\n\"}\n",
                  id.c_str(), leftMs, nextId_, place, more.c_str(), id.c_str());
    calls[id].sentAt = nowMs();
    record_->line("caller sends the set-up %s to place %d", id.c_str(), place);
    on.send(text);
    return id;
  }
  /// Names a call that stands already at an exchange, to a softswitch that has started again.
  void nameStanding(Connection& on, const std::string& id, const Exchange& at) {
    char text[512];
    std::snprintf(text, sizeof text,
                  "{\"type\":\"setup\",\"id\":\"%s\",\"fields\":{\"class\":\"status-check\",\"left\":\"4000\","
                  "\"key\":\"7f3a9c21e0b4d655\",\"extras\":\"dest:%d;width:1;via:-1;at:%s\"},\"sdp\":\"%s\\r\\n\"}\n",
                  id.c_str(), at.place, at.name().c_str(), id.c_str());
    record_->line("caller names %s, which stands at %s", id.c_str(), at.name().c_str());
    on.send(text);
  }
  bool answered(const std::string& id) const { return calls.at(id).answeredAt > 0; }
  bool ended(const std::string& id) const { return calls.at(id).endedAt > 0; }

  std::map<std::string, CallerCall> calls;

 private:
  std::string newId() {
    char text[24];
    std::snprintf(text, sizeof text, "9b1f03aa%08x", ++nextId_);
    return text;
  }
  void read(const std::string& connection, const std::string& line) {
    const std::string type = member(line, "type"), id = member(line, "id");
    const auto it = calls.find(id);
    if (it == calls.end() || (type != "answer" && type != "release")) return;
    CallerCall& call = it->second;
    if (type == "answer") {
      call.answeredAt = nowMs();
      call.description = member(line, "sdp");
      return record_->line("caller hears on %s: %s stands", connection.c_str(), id.c_str());
    }
    call.cause = std::atoi(member(line, "cause").c_str());
    if (call.endedAt == 0) call.endedAt = nowMs();
    record_->line("caller hears on %s: release of %s, cause %d", connection.c_str(), id.c_str(), call.cause);
  }

  Loop* loop_;
  Record* record_;
  const Softswitch* softswitch_;
  unsigned nextId_ = 0;
};

/// Arguments of every case: the record, a temporary folder, `run` of the deploy file, and whether there is a disruption.
struct Arguments {
  const char* record;
  const char* folder;
  const char* command;
  bool trouble;
};

inline Arguments readArguments(int count, char** values) {
  if (count != 4) std::exit(kNotRun);
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return {values[1], values[2], values[3], trouble == nullptr || std::strcmp(trouble, "0") != 0};
}

}  // namespace standin
