#pragma once

// The world of a case: a softswitch as a process of its own, and stand-ins for the bulletin, exchanges and callers, on
// loopback TCP and the real clock. The stand-ins follow the platform's pages; a case changes single steps of them.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/document.h>

namespace world {

/// The case could not run: ends the program with 2.
struct CannotRun {
  std::string why;
};

inline double unixMs() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<double>(t.tv_sec) * 1000.0 + static_cast<double>(t.tv_nsec) / 1e6;
}

/// Milliseconds since the start of the program.
inline double now() {
  static const double start = unixMs();
  return unixMs() - start;
}

/// What was sent, answered and run, a line each.
class Record {
 public:
  explicit Record(const char* path) : file_(std::fopen(path, "w")) {
    if (file_ == nullptr) throw CannotRun{std::string(path) + " can't be written"};
    std::setvbuf(file_, nullptr, _IOLBF, 0);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%9.1f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
  }

 private:
  FILE* file_;
};

/// Sockets and timers of all stand-ins, on one thread.
class Loop {
 public:
  void at(double ms, std::function<void()> run) { timers_.emplace(ms, std::move(run)); }
  void in(double ms, std::function<void()> run) { at(now() + ms, std::move(run)); }
  /// `events` tells what is waited for; `ready` gets what has happened.
  void watch(int fd, std::function<short()> events, std::function<void(short)> ready) {
    watched_[fd] = {std::move(events), std::move(ready)};
  }
  void forget(int fd) { watched_.erase(fd); }
  void runUntil(double end) {
    while (now() < end) {
      while (!timers_.empty() && timers_.begin()->first <= now()) {
        auto run = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        run();
      }
      std::vector<pollfd> polled;
      for (auto& [fd, entry] : watched_) polled.push_back({fd, entry.events(), 0});
      double next = end;
      if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
      const int wait = static_cast<int>(std::max(0.0, std::ceil(next - now())));
      if (::poll(polled.data(), polled.size(), wait) < 0 && errno != EINTR) throw CannotRun{"poll failed"};
      for (const pollfd& one : polled) {
        const auto it = watched_.find(one.fd);
        if (one.revents == 0 || it == watched_.end()) continue;
        const auto ready = it->second.ready;
        ready(one.revents);
      }
    }
  }

 private:
  struct Watched {
    std::function<short()> events;
    std::function<void(short)> ready;
  };
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, Watched> watched_;
};

struct Address {
  std::uint32_t ip = INADDR_LOOPBACK;
  std::uint16_t port = 0;
  sockaddr_in native() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(ip);
    out.sin_port = htons(port);
    return out;
  }
  std::string text() const {
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." + std::to_string(ip >> 8 & 255) + "." +
           std::to_string(ip & 255) + ":" + std::to_string(port);
  }
};

inline int newSocket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw CannotRun{"no socket"};
  return fd;
}

/// Listens on a free port, or on `port`.
inline int listenOn(Address& at) {
  const int fd = newSocket(), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in wanted = at.native();
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof wanted) != 0 || ::listen(fd, 256) != 0)
    throw CannotRun{"can't listen on " + at.text()};
  sockaddr_in got{};
  socklen_t size = sizeof got;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&got), &size);
  at.port = ntohs(got.sin_port);
  return fd;
}

/// One TCP connection of a stand-in.
class Wire : public std::enable_shared_from_this<Wire> {
 public:
  std::function<void(std::string_view)> onBytes;
  std::function<void()> onUp;     ///< a connection that was opened is established
  std::function<void()> onEnded;  ///< the other side closed or reset it; not called after close() or reset()
  int number = 0;                 ///< for the record

  static std::shared_ptr<Wire> accepted(Loop& loop, int fd) {
    auto wire = std::shared_ptr<Wire>(new Wire(loop, fd, true));
    wire->start();
    return wire;
  }
  static std::shared_ptr<Wire> to(Loop& loop, const Address& there) {
    const int fd = newSocket();
    const sockaddr_in native = there.native();
    auto wire = std::shared_ptr<Wire>(new Wire(loop, fd, false));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 && errno != EINPROGRESS) {
      ::close(fd);
      wire->fd_ = -1;
      return wire;
    }
    wire->start();
    return wire;
  }
  ~Wire() { close(); }
  bool isOpen() const { return fd_ >= 0; }
  bool isUp() const { return fd_ >= 0 && up_; }
  void send(std::string_view bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    if (up_) flush();
  }
  void close() {
    if (fd_ < 0) return;
    loop_->forget(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    if (fd_ < 0) return;
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

 private:
  Wire(Loop& loop, int fd, bool up) : loop_(&loop), fd_(fd), up_(up) {
    static int last = 0;
    number = ++last;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  void start() {
    loop_->watch(
        fd_, [this] { return static_cast<short>(POLLIN | (!up_ || !out_.empty() ? POLLOUT : 0)); },
        [weak = weak_from_this()](short happened) {
          if (const auto self = weak.lock()) self->ready(happened);
        });
  }
  void ready(short happened) {
    const auto keep = shared_from_this();
    if (!up_) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return end();
      if ((happened & POLLOUT) == 0) return;
      up_ = true;
      if (onUp) onUp();
    }
    flush();
    if ((happened & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[16384];
    while (fd_ >= 0) {
      const ssize_t got = ::read(fd_, buffer, sizeof buffer);
      if (got > 0) {
        if (onBytes) onBytes({buffer, static_cast<std::size_t>(got)});
      } else if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
      } else {
        return end();
      }
    }
  }
  void flush() {
    while (fd_ >= 0 && !out_.empty()) {
      const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void end() {
    if (fd_ < 0) return;
    close();
    if (onEnded) onEnded();
  }

  Loop* loop_;
  int fd_;
  bool up_;
  std::string out_;
};
using WirePtr = std::shared_ptr<Wire>;

/// A message of the platform's protocol, as far as the stand-ins need it.
struct Message {
  std::string type, id, description;
  int cause = -1;
  std::map<std::string, std::string> fields;
};

inline std::optional<Message> readMessage(std::string_view line) {
  rapidjson::Document parsed;
  parsed.Parse(line.data(), line.size());
  if (parsed.HasParseError() || !parsed.IsObject() || !parsed.HasMember("type") || !parsed["type"].IsString())
    return std::nullopt;
  const auto text = [](const rapidjson::Value& value) {
    if (value.IsString()) return std::string(value.GetString(), value.GetStringLength());
    if (value.IsInt64()) return std::to_string(value.GetInt64());
    return value.IsNumber() ? std::to_string(value.GetDouble()) : std::string();
  };
  Message message;
  message.type = text(parsed["type"]);
  if (parsed.HasMember("id")) message.id = text(parsed["id"]);
  if (parsed.HasMember("sdp")) message.description = text(parsed["sdp"]);
  if (parsed.HasMember("cause") && parsed["cause"].IsInt()) message.cause = parsed["cause"].GetInt();
  if (parsed.HasMember("fields") && parsed["fields"].IsObject())
    for (const auto& field : parsed["fields"].GetObject()) message.fields[text(field.name)] = text(field.value);
  return message;
}

/// Calls `each` with every complete line in `buffer` and leaves the rest there.
inline void eachLine(std::string& buffer, std::string_view bytes, const std::function<void(const std::string&)>& each) {
  buffer += bytes;
  for (std::size_t end; (end = buffer.find('\n')) != std::string::npos;) {
    const std::string line = buffer.substr(0, end);
    buffer.erase(0, end + 1);
    each(line);
  }
}

inline std::string escaped(std::string_view text) {
  std::string out;
  for (const char one : text) out += one == '\r' ? "\\r" : one == '\n' ? "\\n" : one == '"' ? "\\\"" : std::string(1, one);
  return out;
}

inline std::string releaseLine(const std::string& id, int cause, const std::string& fields = "") {
  return "{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{" + fields + "},\"cause\":" + std::to_string(cause) + "}\n";
}

inline std::string newId() {
  static std::uint64_t state = static_cast<std::uint64_t>(unixMs() * 1000.0) ^ static_cast<std::uint64_t>(::getpid()) << 40;
  state += 0x9e3779b97f4a7c15;
  std::uint64_t mixed = state;
  mixed = (mixed ^ mixed >> 30) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ mixed >> 27) * 0x94d049bb133111eb;
  mixed ^= mixed >> 31;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(mixed));
  return text;
}

// ---- The bulletin ---------------------------------------------------------------------------------------------------

struct ListedExchange {
  std::uint32_t id;
  Address address;
  int state;  // 0 ready, 1 draining, 2 gone
  int place;
  std::uint64_t started = 0;
};

/// Numbered events, an empty frame each second.
class Bulletin {
 public:
  Address address;
  bool telling = true;  ///< false: silent, but open

  Bulletin(Loop& loop, Record& record) : loop_(&loop), record_(&record), fd_(listenOn(address)) {
    loop.watch(fd_, [] { return static_cast<short>(POLLIN); }, [this](short) { accept(); });
    tick();
  }
  ~Bulletin() {
    loop_->forget(fd_);
    ::close(fd_);
  }
  /// Adds an event: the first holds the whole list.
  void tell(std::vector<ListedExchange> changed) {
    const bool whole = events_.empty();
    for (const auto& one : changed)
      record_->line("bulletin event %zu: s-%08x place %d %s at %s", events_.size() + 1, one.id, one.place,
                    one.state == 0 ? "ready" : one.state == 1 ? "draining" : "gone", one.address.text().c_str());
    events_.push_back({whole, std::move(changed)});
    for (auto& subscriber : subscribers_) update(*subscriber);
  }
  /// The events as the configuration holds them under `known`.
  std::string known() const {
    std::string items;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      std::string targets;
      for (const auto& one : events_[i].changed) {
        char uid[16];
        std::snprintf(uid, sizeof uid, "s-%08x", one.id);
        targets += std::string(targets.empty() ? "" : ",") + "{\"uid\":\"" + uid + "\",\"endpoint\":\"" +
                   one.address.text() + "\",\"az\":\"prince-george\",\"model\":\"std-1core\",\"pod_group\":" +
                   std::to_string(one.place) + ",\"state\":\"" +
                   (one.state == 0 ? "ready" : one.state == 1 ? "draining" : "gone") +
                   "\",\"capacity_hint\":1,\"boot_ms\":" + std::to_string(one.started) + "}";
      }
      items += std::string(i == 0 ? "" : ",") + "{\"no\":" + std::to_string(i + 1) + ",\"roster\":{\"rev\":" +
               std::to_string(i + 1) + ",\"all\":" + (events_[i].whole ? "true" : "false") + ",\"targets\":[" + targets +
               "]}}";
    }
    return "{\"no\":" + std::to_string(events_.size()) + ",\"items\":[" + items + "]}";
  }

 private:
  struct Event {
    bool whole;
    std::vector<ListedExchange> changed;
  };
  struct Subscriber {
    WirePtr wire;
    std::string in;
    bool asked = false;
    std::uint64_t last = 0;
  };
  static std::string number(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i));
    return out;
  }
  static std::string frame(std::uint64_t no, int kind, const std::string& payload) {
    return number(9 + payload.size(), 4) + number(no, 8) + static_cast<char>(kind) + payload;
  }
  void accept() {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto subscriber = std::make_shared<Subscriber>();
    subscriber->wire = Wire::accepted(*loop_, fd);
    Subscriber* one = subscriber.get();
    subscriber->wire->onBytes = [this, one](std::string_view bytes) {
      one->in += bytes;
      if (one->asked || one->in.size() < 8) return;
      for (int i = 0; i < 8; ++i) one->last = one->last << 8 | static_cast<std::uint8_t>(one->in[static_cast<std::size_t>(i)]);
      one->asked = true;
      record_->line("bulletin asked for what follows event %llu", static_cast<unsigned long long>(one->last));
      update(*one);
    };
    subscriber->wire->onEnded = [] {};
    subscribers_.push_back(std::move(subscriber));
  }
  void update(Subscriber& one) {
    if (!telling || !one.asked || !one.wire->isOpen()) return;
    for (; one.last < events_.size(); ++one.last) {
      const Event& event = events_[one.last];
      std::string payload;
      for (const auto& listed : event.changed)
        payload += number(listed.id, 4) + number(listed.address.ip, 4) + number(listed.address.port, 2) +
                   number(static_cast<std::uint64_t>(listed.state), 1) + number(0, 1) + number(0, 1) +
                   number(static_cast<std::uint64_t>(listed.place), 2) + number(1000, 4) + number(listed.started, 8);
      one.wire->send(frame(one.last + 1, event.whole ? 1 : 2, payload));
    }
  }
  void tick() {
    if (telling)
      for (auto& one : subscribers_)
        if (one->asked && one->wire->isOpen()) one->wire->send(frame(one->last, 0, ""));
    loop_->in(1000, [this] { tick(); });
  }

  Loop* loop_;
  Record* record_;
  int fd_;
  std::vector<Event> events_;
  std::vector<std::shared_ptr<Subscriber>> subscribers_;
};

// ---- Exchanges ------------------------------------------------------------------------------------------------------

/// An exchange that answers each set-up after `answerMs`. A case may replace `onSetup`.
class Exchange {
 public:
  struct Side {
    WirePtr wire;
    std::string in;
    int order = 0;  // of its opening, from 1
  };
  using SidePtr = std::shared_ptr<Side>;
  struct Call {
    std::string description;
    SidePtr side;  // of the last set-up
    bool out = false, stands = false;
    int setups = 0;
    double stoodAt = 0;
  };
  std::uint32_t id;
  int place;
  Address address;
  double answerMs = 30;
  int circuits = 40, busy = 0;
  double capacity = 100;  ///< set-ups a second, as it reports
  std::map<std::string, Call> calls;
  int twoOut = 0;  ///< set-ups of a call of which another was out here
  std::function<void(const SidePtr&, const std::string& id)> onSetup;
  std::function<void(const std::string& id)> onStands;

  Exchange(Loop& loop, Record& record, std::uint32_t exchangeId, int atPlace)
      : id(exchangeId), place(atPlace), loop_(&loop), record_(&record) {
    open();
  }
  ~Exchange() {
    if (fd_ < 0) return;
    loop_->forget(fd_);
    ::close(fd_);
  }
  void open() {
    fd_ = listenOn(address);
    loop_->watch(fd_, [] { return static_cast<short>(POLLIN); }, [this](short) { accept(); });
  }
  std::string name() const {
    char text[16];
    std::snprintf(text, sizeof text, "s-%08x", id);
    return text;
  }
  ListedExchange listed(int state = 0, std::uint64_t started = 0) const { return {id, address, state, place, started}; }
  std::string load() const {
    return "\"load\":\"x0:" + std::to_string(circuits - busy) + ";x1:" + std::to_string(circuits) + ";qps:" +
           std::to_string(static_cast<int>(capacity)) + "\"";
  }
  std::string answerLine(const std::string& callId) {
    Call& call = calls[callId];
    call.description = "exchange " + name() + " call " + callId + " set-up " + std::to_string(call.setups) + "\r\n";
    return "{\"type\":\"answer\",\"id\":\"" + callId + "\",\"fields\":{" + load() + "},\"sdp\":\"" +
           escaped(call.description) + "\"}\n";
  }
  /// The set-up ends as answered: the call stands. Nothing is written.
  void stand(const std::string& callId) {
    Call& call = calls[callId];
    call.out = false;
    call.stands = true;
    call.stoodAt = now();
    ++busy;
    if (onStands) onStands(callId);
  }
  void answer(const std::string& callId) {
    Call& call = calls[callId];
    if (!call.out) return;
    const SidePtr side = call.side;
    stand(callId);
    record_->line("%s answers %s on connection %d", name().c_str(), callId.c_str(), side->order);
    side->wire->send(answerLine(callId));
    tellState();
  }
  void refuse(const std::string& callId, int cause, const std::string& fields) {
    Call& call = calls[callId];
    if (!call.out) return;
    call.out = false;
    record_->line("%s releases %s with cause %d before an answer, on connection %d", name().c_str(), callId.c_str(), cause,
                  call.side->order);
    call.side->wire->send(releaseLine(callId, cause, fields));
  }
  /// A call that stands comes to its end (16) or is cut (41). The release goes out on the connection of its set-up, or
  /// else on any open one, and also on the next one that is opened.
  void end(const std::string& callId, int cause) {
    Call& call = calls[callId];
    if (!call.stands) return;
    call.stands = false;
    --busy;
    SidePtr side = call.side != nullptr && call.side->wire->isOpen() ? call.side : nullptr;
    for (const auto& one : sides)
      if (side == nullptr && one->wire->isOpen()) side = one;
    record_->line("%s ends %s with cause %d, on connection %d", name().c_str(), callId.c_str(), cause,
                  side == nullptr ? 0 : side->order);
    if (side != nullptr) side->wire->send(releaseLine(callId, cause));
    forNext_.push_back({callId, cause});
    tellState();
  }
  /// The process dies: it resets its connections and cuts its calls.
  void die() {
    record_->line("%s dies", name().c_str());
    loop_->forget(fd_);
    ::close(fd_);
    fd_ = -1;
    for (const auto& one : sides) one->wire->reset();
    sides.clear();
    for (auto& [callId, call] : calls) call.stands = call.out = false;
    busy = 0;
    forNext_.clear();
  }
  /// The state comes unasked, on four connections at the most.
  void tellState() {
    int told = 0;
    for (const auto& one : sides) {
      if (!one->wire->isOpen() || told == 4) continue;
      ++told;
      one->wire->send("{\"type\":\"state\",\"fields\":{" + load() + "}}\n");
    }
  }
  std::vector<SidePtr> sides;

 private:
  void accept() {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto side = std::make_shared<Side>();
    side->wire = Wire::accepted(*loop_, fd);
    side->order = ++opened_;
    sides.push_back(side);
    record_->line("%s: connection %d is opened", name().c_str(), side->order);
    side->wire->send("{\"type\":\"state\",\"fields\":{" + load() + "}}\n");
    for (const auto& [callId, cause] : std::exchange(forNext_, {})) {
      record_->line("%s sends the release of %s on connection %d, the next that is opened", name().c_str(),
                    callId.c_str(), side->order);
      side->wire->send(releaseLine(callId, cause));
    }
    side->wire->onBytes = [this, weak = std::weak_ptr(side)](std::string_view bytes) {
      if (const auto one = weak.lock())
        eachLine(one->in, bytes, [&](const std::string& line) { receive(one, line); });
    };
    side->wire->onEnded = [this, weak = std::weak_ptr(side)] {
      if (const auto one = weak.lock()) ended(one);
    };
  }
  void ended(const SidePtr& side) {
    record_->line("%s: connection %d has ended", name().c_str(), side->order);
    for (auto& [callId, call] : calls)
      if (call.out && call.side == side) call.out = false;
    std::erase(sides, side);
  }
  void receive(const SidePtr& side, const std::string& line) {
    if (!side->wire->isOpen()) return;
    const auto message = readMessage(line);
    if (!message) {
      side->wire->close();
      return ended(side);
    }
    if (message->type == "ping") {
      side->wire->send("{\"type\":\"pong\",\"id\":\"" + message->id + "\",\"fields\":{" + load() + "},\"cause\":1}\n");
    } else if (message->type == "setup") {
      Call& call = calls[message->id];
      record_->line("%s gets the set-up %s on connection %d, left %s%s", name().c_str(), message->id.c_str(), side->order,
                    message->fields.count("left") ? message->fields.at("left").c_str() : "-",
                    call.out ? ", WHILE ONE IS OUT" : "");
      if (call.out) ++twoOut;
      call.out = true;
      ++call.setups;
      call.side = side;
      if (onSetup) return onSetup(side, message->id);
      loop_->in(answerMs, [this, callId = message->id] { answer(callId); });
    } else if (message->type == "release") {
      record_->line("%s gets the release of %s on connection %d", name().c_str(), message->id.c_str(), side->order);
      if (const auto it = calls.find(message->id); it != calls.end()) {
        if (it->second.stands) --busy;
        it->second.stands = it->second.out = false;
      }
      side->wire->send("{\"type\":\"released\",\"id\":\"" + message->id + "\",\"fields\":{}}\n");
    }
  }

  Loop* loop_;
  Record* record_;
  int fd_ = -1;
  int opened_ = 0;
  std::vector<std::pair<std::string, int>> forNext_;
};

// ---- Callers --------------------------------------------------------------------------------------------------------

/// Callers of one front. A set-up goes out on an open connection that has none open, or else on a new one. A connection
/// that carries no call is closed after four seconds.
class Front {
 public:
  struct Side {
    WirePtr wire;
    std::string in;
    double idleSince = 0;
    int open = 0;      // set-ups without an answer
    int standing = 0;  // calls whose set-up it carried and that stand
    bool keep = false;
  };
  using SidePtr = std::shared_ptr<Side>;
  struct Call {
    SidePtr side;
    double sentAt = 0, left = 0, stoodAt = 0, overAt = 0, answeredAt = 0;
    enum State { open, stands, refused, failed, over, givenUp } state = open;
    int answers = 0;
    std::string description, exchange;
  };
  std::map<std::string, Call> calls;
  std::string name;
  bool acknowledges = true;   ///< writes `released`
  std::size_t maxSides = 80;  ///< then set-ups share connections: a third of the descriptors
  std::function<void(const std::string& id)> onStands, onFinal;

  Front(Loop& loop, Record& record, Address node, std::string called)
      : name(std::move(called)), loop_(&loop), record_(&record), node_(node) {
    tick();
  }
  SidePtr newSide() {
    auto side = std::make_shared<Side>();
    side->wire = Wire::to(*loop_, node_);
    side->idleSince = now();
    side->wire->onBytes = [this, weak = std::weak_ptr(side)](std::string_view bytes) {
      if (const auto one = weak.lock())
        eachLine(one->in, bytes, [&](const std::string& line) { receive(one, line); });
    };
    side->wire->onEnded = [this, weak = std::weak_ptr(side)] {
      const auto one = weak.lock();
      if (one == nullptr) return;
      record_->line("%s: connection %d was closed by the softswitch; %d set-ups open, %d calls stand", name.c_str(),
                    one->wire->number, one->open, one->standing);
      std::erase(sides, one);
    };
    sides.push_back(side);
    return side;
  }
  SidePtr freeSide() {
    for (const auto& one : sides)
      if (one->open == 0 && one->wire->isOpen()) return one;
    if (sides.size() < maxSides) return newSide();
    SidePtr least = sides.front();
    for (const auto& one : sides)
      if (one->open < least->open) least = one;
    return least;
  }
  /// Sends a set-up and returns its id.
  std::string call(int place, double leftMs = 9000, SidePtr side = nullptr, const std::string& service = "status-check",
                   const std::string& more = "") {
    if (side == nullptr) side = freeSide();
    const std::string id = newId();
    Call& call = calls[id];
    call.side = side;
    call.sentAt = now();
    call.left = leftMs;
    ++side->open;
    record_->line("%s sends the set-up %s to place %d on connection %d", name.c_str(), id.c_str(), place,
                  side->wire->number);
    side->wire->send("{\"type\":\"setup\",\"id\":\"" + id + "\",\"fields\":{\"class\":\"" + service + "\",\"left\":\"" +
                     std::to_string(static_cast<int>(leftMs)) + "\",\"key\":\"" + newId() + "\",\"extras\":\"dest:" +
                     std::to_string(place) + ";width:1;via:-1" + more + "\"},\"sdp\":\"" + id +
                     "\\r\\nc=IN IP4 127.0.0.1\\r\\nm=audio 31000 RTP/AVP 0\\r\\n\"}\n");
    loop_->in(leftMs, [this, id] { giveUp(id); });
    return id;
  }
  /// Names a call that stands at an exchange.
  void nameCall(const std::string& id, const std::string& exchange, int place, SidePtr side = nullptr) {
    if (side == nullptr) side = freeSide();
    record_->line("%s names the call %s at %s on connection %d", name.c_str(), id.c_str(), exchange.c_str(),
                  side->wire->number);
    side->idleSince = now();
    side->wire->send("{\"type\":\"setup\",\"id\":\"" + id +
                     "\",\"fields\":{\"class\":\"status-check\",\"left\":\"9000\",\"key\":\"" + newId() +
                     "\",\"extras\":\"dest:" + std::to_string(place) + ";width:1;via:-1;at:" + exchange +
                     "\"},\"sdp\":\"v=0\\r\\n\"}\n");
  }
  /// The caller hangs up a call that stands.
  void hangUp(const std::string& id) {
    Call& call = calls[id];
    if (call.state != Call::stands) return;
    const SidePtr side = call.side != nullptr && call.side->wire->isOpen() ? call.side : freeSide();
    record_->line("%s hangs up %s on connection %d", name.c_str(), id.c_str(), side->wire->number);
    side->wire->send(releaseLine(id, 16));
    over(id);
  }
  std::vector<SidePtr> sides;

 private:
  void over(const std::string& id) {
    Call& call = calls[id];
    call.state = Call::over;
    call.overAt = now();
    if (call.side == nullptr) return;
    --call.side->standing;
    call.side->idleSince = now();
  }
  void giveUp(const std::string& id) {
    Call& call = calls[id];
    if (call.state != Call::open) return;
    record_->line("%s gives %s up without an answer", name.c_str(), id.c_str());
    call.state = Call::givenUp;
    --call.side->open;
    call.side->idleSince = now();
    if (call.side->wire->isOpen()) call.side->wire->send(releaseLine(id, 16));
  }
  void receive(const SidePtr& side, const std::string& line) {
    const auto message = readMessage(line);
    if (!message) {
      record_->line("%s gets what can't be read: %s", name.c_str(), line.c_str());
      return;
    }
    const auto it = calls.find(message->id);
    if (message->type == "answer" || message->type == "release")
      record_->line("%s gets %s %s, cause %d, on connection %d%s", name.c_str(), message->type.c_str(),
                    message->id.c_str(), message->cause, side->wire->number, it == calls.end() ? ", of a stranger" : "");
    if (it == calls.end()) return;
    Call& call = it->second;
    if (message->type == "answer") {
      ++call.answers;
      if (call.state != Call::open) return;
      call.state = Call::stands;
      call.stoodAt = call.answeredAt = now();
      call.description = message->description;
      --call.side->open;
      ++call.side->standing;
      if (onStands) onStands(message->id);
    } else if (message->type == "release") {
      if (acknowledges && side->wire->isOpen())
        side->wire->send("{\"type\":\"released\",\"id\":\"" + message->id + "\",\"fields\":{}}\n");
      if (call.state == Call::stands) {
        over(message->id);
      } else if (call.state == Call::open) {
        ++call.answers;
        call.answeredAt = now();
        call.state = message->cause == 34 || message->cause == 42 || message->cause == 102 ? Call::refused : Call::failed;
        --call.side->open;
        call.side->idleSince = now();
      } else {
        return;
      }
      if (onFinal) onFinal(message->id);
    }
  }
  void tick() {
    for (std::size_t i = sides.size(); i-- > 0;) {
      const auto one = sides[i];
      if (one->keep || one->open > 0 || one->standing > 0 || now() - one->idleSince < 4000) continue;
      record_->line("%s closes connection %d, which carries no call", name.c_str(), one->wire->number);
      one->wire->close();
      sides.erase(sides.begin() + static_cast<std::ptrdiff_t>(i));
    }
    loop_->in(50, [this] { tick(); });
  }

  Loop* loop_;
  Record* record_;
  Address node_;
};

// ---- The softswitch -------------------------------------------------------------------------------------------------

/// The softswitch, started by the command `run` of the deploy file from the repository's root.
class Node {
 public:
  Address address;
  int sockets = 256;
  int ownPlace = 0, fleet = 3;  ///< place of its own exchange; softswitches in the fleet

  Node(Record& record, std::string root) : record_(&record), root_(std::move(root)) {
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary != nullptr ? temporary : "/tmp") + "/thistlefold-review-XXXXXX";
    if (::mkdtemp(folder_.data()) == nullptr) throw CannotRun{"no temporary folder"};
    // A free port, at an address that no stand-in listens at: until the softswitch listens nobody else gets the port.
    const auto process = static_cast<std::uint32_t>(::getpid());
    address.ip = 127u << 24 | (64 + (process >> 8) % 64) << 16 | (process & 255) << 8 | 1;
    const int fd = listenOn(address);
    ::close(fd);
  }
  ~Node() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    for (const char* name : {"/config.json", "/node.log"}) ::unlink((folder_ + name).c_str());
    ::rmdir(folder_.c_str());
  }
  void configure(const Bulletin& bulletin) {
    FILE* file = std::fopen((folder_ + "/config.json").c_str(), "w");
    if (file == nullptr) throw CannotRun{"no configuration"};
    std::string settings = kSettings;
    const auto set = [&](const std::string& field, const char* example, int value) {
      settings.replace(settings.find(field + example), field.size() + std::strlen(example), field + std::to_string(value));
    };
    set("\"ThisNode\":", "0", ownPlace);
    set("\"ReplicasOfMe\":", "3", fleet);
    std::fprintf(file,
                 "{\"name\":\"n%d\",\"listen\":\"%s\",\"seed\":\"%s\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,"
                 "\"sockets\":%d},\"bulletin\":\"%s\",\"known\":%s,\"settings\":%s}\n",
                 ownPlace + 1, address.text().c_str(), newId().c_str(), sockets, bulletin.address.text().c_str(),
                 bulletin.known().c_str(), settings.c_str());
    std::fclose(file);
  }
  void start() {
    const std::string run = runCommand();
    record_->line("softswitch: %s", run.c_str());
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun{"no process"};
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(root_.c_str()) != 0) _exit(127);
      const int log = ::open((folder_ + "/node.log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const rlimit files{static_cast<rlim_t>(sockets), static_cast<rlim_t>(sockets)};
      ::setrlimit(RLIMIT_NOFILE, &files);
      ::setenv("PROXY_NAME", ("n" + std::to_string(ownPlace + 1)).c_str(), 1);
      ::setenv("PROXY_LISTEN", address.text().c_str(), 1);
      ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      _exit(127);
    }
  }
  /// Waits until it takes connections.
  void waitReady() {
    for (const double end = now() + 30000; now() < end;) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in native = address.native();
      const bool up = ::connect(fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0;
      ::close(fd);
      if (up) return;
      if (!isRunning()) throw CannotRun{"the softswitch did not start: " + log()};
      ::usleep(20000);
    }
    throw CannotRun{"the softswitch is not ready after 30 s"};
  }
  void signal(int which) {
    record_->line("softswitch n%d gets signal %d", ownPlace + 1, which);
    ::kill(pid_, which);
  }
  bool isRunning() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    record_->line("softswitch has ended, status %d", status);
    pid_ = -1;
    return false;
  }
  std::string log() const {
    std::string text;
    if (FILE* file = std::fopen((folder_ + "/node.log").c_str(), "r")) {
      char buffer[4096];
      for (std::size_t got; (got = std::fread(buffer, 1, sizeof buffer, file)) > 0;) text.append(buffer, got);
      std::fclose(file);
    }
    return text;
  }
  void recordLog() {
    std::string text = log();
    record_->line("log of the softswitch:\n%s", text.c_str());
  }

 private:
  // The settings of the wire page's example.
  static constexpr const char* kSettings = R"({"Callers":{"MarksRetry":false},
"Caps":{"ConnIdle":600000.0,"ConnectTimeout":500.0,"CpuUsPerRequest":0.0,"CpuUsPerS":300000,"MaxAttempts":6,
"MaxRetryAfter":2000.0,"MayCancel":true,"MayProbe":true,"OpenCap":20000,"Peers":false,"RetryAfter":true,
"SecondCopies":false,"StreamsPerConn":1048576},"Dcs":["prince-george","terrace","fort-st-john"],"Discovery":"pushed",
"FamilyInfo":{"Advice":false,"ChannelsNeeded":[1,4],"ClassCells":[],"ClearWait":300.0,"FarState":"inline",
"MeanHold":[10000.0,10000.0],"T1":0.0,"TellsWait":true,"ThisNode":0,"Topology":"mesh"},
"Goal":{"Whole":0.55,"WorstClass":0.35,"WorstTenant":0.0,"WorstWindow":0.1},
"Grades":[{"Aim":2000.0,"Credit":1.0,"DedupWindow":5000.0,"GiveUp":9000.0,"Group":"all","LateValue":0.25,
"Name":"status-check","Semantics":"read_like","Stream":true},{"Aim":1500.0,"Credit":2.0,"DedupWindow":5000.0,
"GiveUp":9000.0,"Group":"all","LateValue":0.25,"Name":"proof-pull","Semantics":"read_like","Stream":true}],
"KindOfService":"trunks","Layers":["track-hubs"],"Obligations":{"AnswerSlack":20.0,"AskWithin":10000.0,"ColdFrom":0.3,
"DrainGrace":500.0,"FallMultiple":3.0,"TipAfter":1500.0,"WarmAfter":15000.0},"OverShareWorth":0.1,"Position":0,
"Prices":{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.033,"Moves":0.0,"Origin":0.0,
"Peer":0.0,"Probe":0.004,"Waste":0.02},"ReplicasOfMe":3,"Report":{"How":"inline","Names":["free","size","can_take"]},
"Shapes":["std-1core"],"Step":5.0,"Tenants":[],"Tier":0,"Weights":"off","WorthBy":"request","Zone":0})";

  // `run` of deploy/balancer.toml.
  std::string runCommand() const {
    FILE* file = std::fopen((root_ + "/deploy/balancer.toml").c_str(), "r");
    if (file == nullptr) throw CannotRun{"no deploy/balancer.toml"};
    char line[4096];
    std::string found;
    while (std::fgets(line, sizeof line, file) != nullptr) {
      const std::string_view text(line);
      if (!text.starts_with("run = \"")) continue;
      found = std::string(text.substr(7, text.find('"', 7) - 7));
    }
    std::fclose(file);
    if (found.empty()) throw CannotRun{"no `run` in deploy/balancer.toml"};
    return found;
  }

  Record* record_;
  std::string root_, folder_;
  pid_t pid_ = -1;
};

/// A small deployment: the own exchange (place 0) and two others, with the bulletin and the softswitch.
struct Small {
  Loop loop;
  Record record;
  Bulletin bulletin;
  Exchange own, first, second;
  Node node;
  bool trouble;

  Small(const char* path, const std::string& root)
      : record(path),
        bulletin(loop, record),
        own(loop, record, 0x0a51c000, 0),
        first(loop, record, 0x0a51c001, 1),
        second(loop, record, 0x0a51c002, 2),
        node(record, root) {
    const char* wanted = std::getenv("TROUBLE");
    trouble = wanted == nullptr || std::string_view(wanted) != "0";
    record.line("TROUBLE=%d", trouble ? 1 : 0);
    bulletin.tell({own.listed(), first.listed(), second.listed()});
  }
  /// Starts the softswitch and waits until it has a connection to each exchange.
  void start() {
    node.configure(bulletin);
    node.start();
    node.waitReady();
    loop.runUntil(now() + 1000);
    if (first.sides.empty() || second.sides.empty()) throw CannotRun{"the softswitch has not dialled the exchanges"};
  }
};

/// Runs a case: `play` returns whether the rule held.
inline int runCase(int argc, char** argv, const std::function<bool(const char* path, const std::string& root)>& play) {
  now();
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s ROOT RECORD\n", argv[0]);
    return 2;
  }
  try {
    return play(argv[2], argv[1]) ? 0 : 1;
  } catch (const CannotRun& reason) {
    std::fprintf(stderr, "the case can't run: %s\n", reason.why.c_str());
    return 2;
  }
}

}  // namespace world
