// The softswitch on the real TCP seam over loopback. The test is the only thread: what a caller has sent, closed or
// reset lies in the system's buffers before the softswitch runs at all, so that each crossing is forced by order and
// not by time.

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

const std::string kOne = "00000000000000aa", kTwo = "00000000000000bb";

/// A blocking socket of a caller, or what an exchange accepted.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& from) noexcept : fd_(std::exchange(from.fd_, -1)) {}
  ~Socket() { close(); }
  static Socket to(std::uint16_t port) {
    Socket made(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(made.fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    return made;
  }
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
  /// All that lies there by now.
  std::string take() {
    std::string all;
    char buffer[4096];
    for (ssize_t got; (got = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
      all.append(buffer, static_cast<std::size_t>(got));
    return all;
  }
  bool ended() {
    char byte;
    const ssize_t got = ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return got == 0 || (got < 0 && errno != EAGAIN);
  }
  int fd() const { return fd_; }

 private:
  int fd_;
};

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

/// One softswitch with one exchange beside its own, whose connections and bulletin are this test's.
struct SoftswitchFixture {
  explicit SoftswitchFixture(int descriptors = 256, const std::string& limit = "9000")
      : clock(net::makeRealClock(context.get_executor())),
        deployment(readDeployment(text(descriptors, limit))),
        streams(context.get_executor(), *clock, static_cast<std::size_t>(deployment.connections)),
        office(deployment, clock->now(), streams, makeController, [](std::string_view) {}),
        port(streams.listen({INADDR_LOOPBACK, 0}).port) {
    streams.attend(office, [this](const char* what) { fault = what; });
    until([this] { return standing("sides=1"); });
  }
  ~SoftswitchFixture() { CHECK(fault.empty()); }
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
  bool standing(const char* what) const { return office.account().find(what) != std::string::npos; }
  /// Runs the softswitch until that holds, for five seconds at most.
  template <typename Done>
  bool until(const Done& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      context.run_for(std::chrono::milliseconds(2));
      while (auto one = exchange.accept()) sides.push_back(std::move(*one));
      while (auto one = bulletin.accept()) watches.push_back(std::move(*one));
      for (auto& side : sides) heard += side.take();
    }
    return done();
  }
  void settle() {
    const std::uint64_t before = office.counts().taken;
    until([&] { return office.counts().taken > before || (callerGone() && standing(" open=0 ")); });
    until([this] { return standing(" open=0 "); });
  }
  bool callerGone() const { return standing("callers=0 "); }
  bool heardOf(const std::string& id) const { return heard.find("\"setup\",\"id\":\"" + id) != std::string::npos; }

  static std::string setUp(const std::string& id, std::size_t size = 10) {
    return R"({"type":"setup","id":")" + id +
           R"(","fields":{"class":"voice","left":"3000","key":"7f","extras":"dest:1;width:1"},"sdp":")" +
           std::string(size, 'x') + "\"}\n";
  }
  static std::string release(const std::string& id) {
    return R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})" + "\n";
  }

  boost::asio::io_context context{1};
  Listener exchange, bulletin;
  std::unique_ptr<net::Clock> clock;
  Deployment deployment;
  net::StreamRunner streams;
  Softswitch office;
  std::uint16_t port;
  std::vector<Socket> sides, watches;
  std::string heard, fault;
};

}  // namespace

TEST_CASE("streams: a set-up whose caller closed, half-closed, reset or gave up behind it is never sent on") {
  for (const int how : {0, 1, 2, 3, 4}) {
    CAPTURE(how);
    SoftswitchFixture fixture;
    Socket caller = Socket::to(fixture.port);
    caller.send(SoftswitchFixture::setUp(kOne));
    if (how == 0) caller.close();
    if (how == 1) caller.halfClose();
    if (how == 2) caller.reset();
    if (how == 3) caller.send(SoftswitchFixture::release(kOne));
    if (how == 4) {
      // More than one buffer of it lies between the set-up and its end.
      for (int i = 0; i < 3; ++i) caller.send(SoftswitchFixture::setUp(kTwo.substr(2) + std::to_string(10 + i), 12000));
      caller.close();
    }
    // Another caller behind it, to know that the softswitch has been through all of it.
    Socket other = Socket::to(fixture.port);
    other.send(SoftswitchFixture::setUp(kTwo));
    REQUIRE(fixture.until([&] { return fixture.heardOf(kTwo); }));
    CHECK(!fixture.heardOf(kOne));
  }
}

TEST_CASE("streams: connections that are only being closed leave room for the bulletin, exchanges and callers") {
  SoftswitchFixture fixture(64);
  std::vector<Socket> bad;
  // Each is told that it can't be used, does not close, and so lingers; the system's queue holds the rest.
  for (int i = 0; i < 60; ++i) {
    bad.push_back(Socket::to(fixture.port));
    bad.back().send("noise\n");
  }
  REQUIRE(fixture.until([&] { return fixture.office.counts().unusable >= 60; }));
  CHECK(fixture.streams.held() <= static_cast<std::size_t>(fixture.deployment.connections));
  fixture.watches.clear();
  CHECK(fixture.until([&] { return !fixture.watches.empty(); }));  // asked again
  Socket usual = Socket::to(fixture.port);
  usual.send(SoftswitchFixture::setUp(kOne));
  CHECK(fixture.until([&] { return fixture.heardOf(kOne); }));
}

TEST_CASE("streams: connections that were closed and have gone are forgotten") {
  SoftswitchFixture fixture;
  REQUIRE(fixture.until([&] { return !fixture.watches.empty(); }));  // all that the softswitch dials by itself stands
  const std::size_t before = fixture.streams.held();
  for (std::uint64_t i = 1; i <= 40; ++i) {
    Socket bad = Socket::to(fixture.port);
    bad.send("noise\n");
    REQUIRE(fixture.until([&] { return fixture.office.counts().unusable >= i; }));
    bad.close();
    REQUIRE(fixture.until([&] { return fixture.streams.held() <= before; }));
  }
  CHECK(fixture.streams.closing() <= 2);
}

TEST_CASE("streams: idle callers fill their share, and a set-up that lies unread is not closed with its connection") {
  SoftswitchFixture fixture(64);
  std::vector<Socket> idle;
  for (int i = 0; i < 24; ++i) idle.push_back(Socket::to(fixture.port));
  REQUIRE(fixture.until([&] { return fixture.standing("callers=24 "); }));
  // The longest silent one speaks, and as many others come as there is room for, before the softswitch runs again.
  idle.front().send(SoftswitchFixture::setUp(kOne));
  for (int i = 0; i < 10; ++i) idle.push_back(Socket::to(fixture.port));
  REQUIRE(fixture.until([&] { return fixture.heardOf(kOne); }));
  CHECK(!idle.front().ended());
  CHECK(fixture.standing("callers=24 "));
}

TEST_CASE("streams: after a planned restart's last answer nothing that was sent is lost, and nobody is let in") {
  SoftswitchFixture fixture(256, "100");
  Socket caller = Socket::to(fixture.port);
  fixture.office.stop(fixture.clock->now());
  caller.send(SoftswitchFixture::setUp(kOne));
  REQUIRE(fixture.until([&] { return fixture.heardOf(kOne); }));
  REQUIRE(fixture.until([&] { return fixture.office.stopped(fixture.clock->now()); }));
  // What comes while it ends lies unread; a close there and then would be a reset, which takes the answer along.
  caller.send(SoftswitchFixture::setUp(kTwo));
  CHECK(!fixture.office.stopped(fixture.clock->now()));
  REQUIRE(fixture.until([&] { return fixture.office.stopped(fixture.clock->now()); }));
  fixture.streams.deafen();
  fixture.office.part(fixture.clock->now());
  CHECK(::connect(::socket(AF_INET, SOCK_STREAM, 0), nullptr, 0) != 0);
  std::string said;
  CHECK(fixture.until([&] { return (said += caller.take(), caller.ended()); }));
  CHECK(said.find("\"release\",\"id\":\"" + kOne) != std::string::npos);
  CHECK(said.find("\"release\",\"id\":\"" + kTwo) != std::string::npos);
  caller.close();
  CHECK(fixture.until([&] { return fixture.streams.held() == 0; }));
}
