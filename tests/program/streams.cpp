// The softswitch on TCP over loopback. The test is the only thread: whatever a caller has sent, closed or reset is in
// the system's buffers before the softswitch runs, so that each race is produced by the order of calls and not by
// timing.

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

#include "net/real.hpp"
#include "net/stream_runner.hpp"
#include "platform/softswitch.hpp"

using namespace thistlefold;
using namespace thistlefold::platform;

namespace {

const std::string kFirstId = "00000000000000aa", kSecondId = "00000000000000bb";

/// A caller's blocking socket, or a connection that the exchange or the bulletin accepted.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& from) noexcept : fd_(std::exchange(from.fd_, -1)) {}
  ~Socket() { close(); }
  static Socket to(std::uint16_t port) {
    Socket client(::socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(client.connect(port));
    return client;
  }
  /// Whether a connection to a port is accepted; it is closed again.
  static bool isAcceptedAt(std::uint16_t port) { return Socket(::socket(AF_INET, SOCK_STREAM, 0)).connect(port); }
  void send(const std::string& bytes) {
    REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  void halfClose() { ::shutdown(fd_, SHUT_WR); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  /// Reads everything that has arrived so far.
  std::string receiveAvailable() {
    std::string all;
    char buffer[4096];
    for (ssize_t received; (received = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
      all.append(buffer, static_cast<std::size_t>(received));
    return all;
  }
  /// True if the other end has closed or reset the connection and nothing is left to read.
  bool isClosed() {
    char byte;
    const ssize_t received = ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return received == 0 || (received < 0 && errno != EAGAIN);
  }
  int fd() const { return fd_; }

 private:
  bool connect(std::uint16_t port) const {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ::connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  }

  int fd_;
};

/// A listening socket on a free port.
struct Listener {
  Listener() : socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(socket.fd(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(socket.fd(), 64) == 0);
    socklen_t size = sizeof at;
    ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  std::optional<Socket> accept() {
    const int fd = ::accept4(socket.fd(), nullptr, nullptr, SOCK_NONBLOCK);
    return fd < 0 ? std::nullopt : std::optional<Socket>(Socket(fd));
  }
  Socket socket;
  std::uint16_t port = 0;
};

/// One softswitch with one exchange besides its own. The test plays the exchange and the bulletin.
struct SoftswitchFixture {
  explicit SoftswitchFixture(int descriptors = 256, const std::string& limit = "9000")
      : clock(net::makeRealClock(context.get_executor())),
        deployment(readDeployment(text(descriptors, limit))),
        streams(context.get_executor(), *clock, static_cast<std::size_t>(deployment.maxConnections)),
        softswitch(deployment, clock->now(), streams, makeController, [](std::string_view) {}),
        port(streams.listen({INADDR_LOOPBACK, 0}).port) {
    streams.serve(softswitch, [this](const char* what) { error = what; });
    runUntil([this] { return statusContains("sides=1"); });
  }
  ~SoftswitchFixture() { CHECK(error.empty()); }
  std::string text(int descriptors, const std::string& limit) const {
    return R"({"name":"n1","listen":"127.0.0.1:0","seed":"8c1f","limits":{"memory_mb":32,"sockets":)" +
           std::to_string(descriptors) + R"(},"bulletin":"127.0.0.1:)" + std::to_string(bulletin.port) +
           R"(","known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[
             {"uid":"s-00000001","endpoint":"127.0.0.1:9","pod_group":0,"state":"ready","boot_ms":0},
             {"uid":"s-00000002","endpoint":"127.0.0.1:)" +
           std::to_string(exchange.port) + R"(","pod_group":1,"state":"ready","boot_ms":0}]}}]},
           "settings":{"Caps":{"ConnectTimeout":500,"MaxAttempts":6,"MaxRetryAfter":2000,"RetryAfter":true},
             "FamilyInfo":{"ChannelsNeeded":[1],"ClearWait":300,"MeanHold":[10000],"ThisNode":0,"Topology":"mesh"},
             "Grades":[{"Name":"voice","Aim":200,"GiveUp":)" +
           limit + R"(}],"Obligations":{"WarmAfter":0}}})";
  }
  bool statusContains(const char* what) const { return softswitch.statusLine().find(what) != std::string::npos; }
  /// Runs the softswitch until the condition holds, for five seconds at most. Returns whether it holds.
  template <typename Done>
  bool runUntil(const Done& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      context.run_for(std::chrono::milliseconds(2));
      while (auto accepted = exchange.accept()) trunkSockets.push_back(std::move(*accepted));
      while (auto accepted = bulletin.accept()) bulletinSockets.push_back(std::move(*accepted));
      for (auto& trunkSocket : trunkSockets) exchangeInput += trunkSocket.receiveAvailable();
    }
    return done();
  }
  bool exchangeReceived(const std::string& id) const {
    return exchangeInput.find("\"setup\",\"id\":\"" + id) != std::string::npos;
  }

  static std::string setupLine(const std::string& id, std::size_t size = 10) {
    return R"({"type":"setup","id":")" + id +
           R"(","fields":{"class":"voice","left":"3000","key":"7f","extras":"dest:1;width:1"},"sdp":")" +
           std::string(size, 'x') + "\"}\n";
  }
  static std::string releaseLine(const std::string& id) {
    return R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})" + "\n";
  }

  boost::asio::io_context context{1};
  Listener exchange, bulletin;
  std::unique_ptr<net::Clock> clock;
  Deployment deployment;
  net::StreamRunner streams;
  Softswitch softswitch;
  std::uint16_t port;
  std::vector<Socket> trunkSockets, bulletinSockets;
  std::string exchangeInput, error;
};

}  // namespace

TEST_CASE("streams: a set-up is not relayed if its caller closed, half-closed, reset or released it right after") {
  for (const int ending : {0, 1, 2, 3, 4}) {
    CAPTURE(ending);
    SoftswitchFixture fixture;
    Socket caller = Socket::to(fixture.port);
    caller.send(SoftswitchFixture::setupLine(kFirstId));
    if (ending == 0) caller.close();
    if (ending == 1) caller.halfClose();
    if (ending == 2) caller.reset();
    if (ending == 3) caller.send(SoftswitchFixture::releaseLine(kFirstId));
    if (ending == 4) {
      // More than one read buffer of data lies between the set-up and the end of the stream.
      for (int i = 0; i < 3; ++i)
        caller.send(SoftswitchFixture::setupLine(kSecondId.substr(2) + std::to_string(10 + i), 12000));
      caller.close();
    }
    // A second caller connects after it; once its set-up is relayed, the softswitch has read all of the first.
    Socket other = Socket::to(fixture.port);
    other.send(SoftswitchFixture::setupLine(kSecondId));
    REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kSecondId); }));
    CHECK(!fixture.exchangeReceived(kFirstId));
  }
}

TEST_CASE("streams: closing connections make room for the bulletin, exchanges and callers") {
  SoftswitchFixture fixture(64);
  std::vector<Socket> invalidCallers;
  // Each is rejected but does not close, so that its connection lingers. The listen backlog holds the rest.
  for (int i = 0; i < 60; ++i) {
    invalidCallers.push_back(Socket::to(fixture.port));
    invalidCallers.back().send("noise\n");
  }
  REQUIRE(fixture.runUntil([&] { return fixture.softswitch.counters().invalidFromCallers >= 60; }));
  CHECK(fixture.streams.connectionCount() <= static_cast<std::size_t>(fixture.deployment.maxConnections));
  fixture.bulletinSockets.clear();
  CHECK(fixture.runUntil([&] { return !fixture.bulletinSockets.empty(); }));  // subscribed again
  Socket regularCaller = Socket::to(fixture.port);
  regularCaller.send(SoftswitchFixture::setupLine(kFirstId));
  CHECK(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId); }));
}

TEST_CASE("streams: closed connections that are gone are not remembered") {
  SoftswitchFixture fixture;
  // Every connection that the softswitch opens by itself is established.
  REQUIRE(fixture.runUntil([&] { return !fixture.bulletinSockets.empty(); }));
  const std::size_t before = fixture.streams.connectionCount();
  for (std::uint64_t i = 1; i <= 40; ++i) {
    Socket invalidCaller = Socket::to(fixture.port);
    invalidCaller.send("noise\n");
    REQUIRE(fixture.runUntil([&] { return fixture.softswitch.counters().invalidFromCallers >= i; }));
    invalidCaller.close();
    REQUIRE(fixture.runUntil([&] { return fixture.streams.connectionCount() <= before; }));
  }
  CHECK(fixture.streams.closingCount() <= 2);
}

TEST_CASE("streams: when idle callers fill their share, a connection with an unread set-up is not evicted") {
  SoftswitchFixture fixture(64);
  std::vector<Socket> idle;
  idle.reserve(34);
  for (int i = 0; i < 24; ++i) idle.push_back(Socket::to(fixture.port));
  REQUIRE(fixture.runUntil([&] { return fixture.statusContains("callers=24 "); }));
  // Before the softswitch runs again, the caller that was silent for longest sends a set-up and ten more connect.
  idle.front().send(SoftswitchFixture::setupLine(kFirstId));
  for (int i = 0; i < 10; ++i) idle.push_back(Socket::to(fixture.port));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId); }));
  CHECK(!idle.front().isClosed());
  CHECK(fixture.statusContains("callers=24 "));
}

TEST_CASE("streams: at the end of a planned restart no answer is lost and no connection is accepted") {
  SoftswitchFixture fixture(256, "100");
  Socket caller = Socket::to(fixture.port);
  fixture.softswitch.stop(fixture.clock->now());
  caller.send(SoftswitchFixture::setupLine(kFirstId));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId); }));
  REQUIRE(fixture.runUntil([&] { return fixture.softswitch.isStopped(fixture.clock->now()); }));
  // A set-up that arrives meanwhile is unread. Closing at once would send a reset, which destroys the answer.
  caller.send(SoftswitchFixture::setupLine(kSecondId));
  CHECK(!fixture.softswitch.isStopped(fixture.clock->now()));
  REQUIRE(fixture.runUntil([&] { return fixture.softswitch.isStopped(fixture.clock->now()); }));
  CHECK(Socket::isAcceptedAt(fixture.port));
  fixture.streams.stopAccepting();
  fixture.softswitch.closeConnections(fixture.clock->now());
  CHECK(!Socket::isAcceptedAt(fixture.port));
  std::string received;
  CHECK(fixture.runUntil([&] { return (received += caller.receiveAvailable(), caller.isClosed()); }));
  CHECK(received.find("\"release\",\"id\":\"" + kFirstId) != std::string::npos);
  CHECK(received.find("\"release\",\"id\":\"" + kSecondId) != std::string::npos);
  caller.close();
  CHECK(fixture.runUntil([&] { return fixture.streams.connectionCount() == 0; }));
}

// Guards against a call's release being read and thrown away because it crossed the softswitch's close of its
// connection.
TEST_CASE("streams: an exchange's release that crosses the close of its connection reaches the caller") {
  SoftswitchFixture fixture;
  Socket caller = Socket::to(fixture.port);
  caller.send(SoftswitchFixture::setupLine(kFirstId));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId); }));
  Socket& trunk = fixture.trunkSockets.front();
  trunk.send(R"({"type":"answer","id":")" + kFirstId + R"(","fields":{},"sdp":"a"})" + "\n");
  std::string received;
  REQUIRE(fixture.runUntil([&] {
    received += caller.receiveAvailable();
    return received.find("\"answer\",\"id\":\"" + kFirstId) != std::string::npos;
  }));
  // A set-up that goes unanswered makes the connection suspect, and the softswitch closes it.
  caller.send(SoftswitchFixture::setupLine(kSecondId));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kSecondId); }));
  REQUIRE(fixture.runUntil([&] { return fixture.trunkSockets.front().isClosed(); }));
  fixture.trunkSockets.front().send(SoftswitchFixture::releaseLine(kFirstId));
  CHECK(fixture.runUntil([&] {
    received += caller.receiveAvailable();
    return received.find("\"release\",\"id\":\"" + kFirstId) != std::string::npos;
  }));
}

// Guards against set-ups being sent on that their caller wrote before it closed, more of them than are read in one go.
TEST_CASE("streams: of more set-ups than are read at once none is relayed whose caller has closed by then") {
  SoftswitchFixture fixture;
  Socket caller = Socket::to(fixture.port);
  std::string lines;
  for (int i = 0; i < 40; ++i)
    lines += SoftswitchFixture::setupLine(kSecondId.substr(2) + std::to_string(10 + i), 8000);
  const int bufferBytes = 1 << 20;
  REQUIRE(::setsockopt(caller.fd(), SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes) == 0);
  caller.send(lines);
  caller.close();
  Socket other = Socket::to(fixture.port);
  other.send(SoftswitchFixture::setupLine(kFirstId));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId) && fixture.statusContains("callers=1 "); }));
  for (int i = 0; i < 40; ++i) CHECK(!fixture.exchangeReceived(kSecondId.substr(2) + std::to_string(10 + i)));
}

// Guards against clients that send at full speed keeping others waiting until each has had its fill.
TEST_CASE("streams: a set-up does not wait until what other clients have sent at full speed is read") {
  SoftswitchFixture fixture;
  constexpr std::size_t kClients = 20, kReadBytes = 16384;
  const std::string ping = "{\"type\":\"ping\"}\n", pong = writeMessage(MessageKind::pong, "", {}, 1);
  std::string pings;
  while (pings.size() < 16 * kReadBytes) pings += ping;
  std::vector<Socket> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(Socket::to(fixture.port));
    const int bufferBytes = 1 << 20;
    REQUIRE(::setsockopt(clients.back().fd(), SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes) == 0);
    clients.back().send(pings);
  }
  Socket caller = Socket::to(fixture.port);
  caller.send(SoftswitchFixture::setupLine(kFirstId));
  REQUIRE(fixture.runUntil([&] { return fixture.exchangeReceived(kFirstId); }));
  std::size_t answeredPings = 0;
  for (Socket& client : clients) answeredPings += client.receiveAvailable().size() / pong.size();
  // One buffer each, and as much again for those whose turn it was to have more.
  CHECK(answeredPings < 2 * kClients * kReadBytes / ping.size());
  CHECK(answeredPings > 0);
}

// Guards against a client that waits for its turn being forgotten.
TEST_CASE("streams: what clients send at full speed is read in the end, also with the connection closed meanwhile") {
  SoftswitchFixture fixture;
  const std::string ping = "{\"type\":\"ping\"}\n", pong = writeMessage(MessageKind::pong, "", {}, 1);
  std::string pings;
  for (int i = 0; i < 4000; ++i) pings += ping;
  std::vector<Socket> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(Socket::to(fixture.port));
    clients.back().send(pings);
  }
  clients[1].reset();
  std::size_t received = 0;
  CHECK(fixture.runUntil([&] {
    for (Socket& client : clients) received += client.receiveAvailable().size();
    return received >= 3 * pong.size() * 4000;
  }));
  CHECK(fixture.runUntil([&] { return fixture.statusContains("callers=3 "); }));
}
