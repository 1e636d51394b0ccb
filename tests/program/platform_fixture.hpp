#pragma once

// A softswitch of the platform's protocol with the real controller, on fake streams and a clock that the test advances.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>

#include "platform/softswitch.hpp"

namespace thistlefold::platform::test {

/// Records what the softswitch sends.
struct FakeStream final : Stream {
  iax2::Address remote;  // default value: a caller
  std::string sentBytes;
  bool closed = false;
  bool remoteClosed = false;  ///< the remote end has closed, behind data that is unread
  bool hasUnread = false;     ///< received data waits
  std::size_t unsent = 0;     ///< bytes that the remote end does not read
  LateDataHandler onLateData;
  void send(std::string_view bytes) override { sentBytes += bytes; }
  std::size_t unsentBytes() const override { return unsent; }
  bool hasUnreadData() const override { return hasUnread; }
  bool hasRemoteClosed() override { return remoteClosed; }
  void close() override { closed = true; }
  void closeAndDrain(LateDataHandler handler) override {
    closed = true;
    onLateData = std::move(handler);
  }
  void abort() override { closed = true; }
  /// Messages of one kind that were sent, in order.
  std::vector<Message> sent(MessageKind kind) const {
    std::vector<Message> found;
    LineReader lines;
    lines.add(sentBytes);
    while (const auto line = lines.next()) {
      const auto message = readMessage(*line);
      REQUIRE(message);
      if (message->kind == kind) found.push_back(*message);
    }
    return found;
  }
};

inline const char* const kDeploymentTemplate = R"({"name":"n1","listen":"127.0.0.1:5070","seed":"8c1f30d27a5be964",
  "limits":{"cores":1.0,"memory_mb":32,"sockets":DESCRIPTORS},"bulletin":"127.0.0.9:2379",
  "known":{"no":7,"items":[{"no":7,"roster":{"rev":1,"all":true,"targets":[
    {"uid":"s-00000001","endpoint":"127.0.0.2:5000","az":"a","pod_group":0,"state":"ready","boot_ms":0},
    {"uid":"s-00000002","endpoint":"127.0.0.3:5000","az":"a","pod_group":1,"state":"ready","boot_ms":0},
    {"uid":"s-00000003","endpoint":"127.0.0.4:5000","az":"a","pod_group":2,"state":"ready","boot_ms":0}]}}]},
  "settings":{"Caps":{"ConnectTimeout":500,"MaxAttempts":6,"MaxRetryAfter":2000,"RetryAfter":true,"OpenCap":50},
    "FamilyInfo":{"ChannelsNeeded":[1,4,1],"ClearWait":300,"MeanHold":[10000,10000,10000],"ThisNode":0,"Topology":"mesh"},
    "Grades":[{"Name":"voice","Aim":2000,"GiveUp":9000},{"Name":"wide","Aim":1500,"GiveUp":9000,"Credit":2},
      {"Name":"once","Aim":2000,"GiveUp":9000,"Semantics":"non_idempotent"}],
    "Obligations":{"ColdFrom":0.3,"WarmAfter":15000,"FallMultiple":3,"TipAfter":1500},
    "Report":{"Names":["free","size","can_take"]}}})";

inline std::string deploymentText(int descriptors) {
  std::string text = kDeploymentTemplate;
  text.replace(text.find("DESCRIPTORS"), 11, std::to_string(descriptors));
  return text;
}

/// A softswitch with two exchanges besides its own. After construction all its connections are established and both
/// exchanges have reported their trunk groups.
struct SoftswitchFixture : StreamConnector {
  static Deployment makeDeployment(int descriptors, std::size_t memory, Span connectTimeout) {
    Deployment deployment = readDeployment(deploymentText(descriptors));
    deployment.memoryBytes = memory;
    deployment.connectTimeout = connectTimeout;
    return deployment;
  }
  explicit SoftswitchFixture(int descriptors = 256, std::size_t memory = 32 << 20, Span connectTimeout = Span::ms(500))
      : softswitch(makeDeployment(descriptors, memory, connectTimeout), now, *this, makeController,
                   [](std::string_view) {}) {
    advance(250);
    completeConnects();
    advance(25);
  }
  Stream* connect(iax2::Address to) override {
    streams.push_back(std::make_unique<FakeStream>());
    streams.back()->remote = to;
    return streams.back().get();
  }
  /// Open connections that the softswitch made, to `to` or to any address.
  std::vector<FakeStream*> outgoingStreams(iax2::Address to = {}) {
    std::vector<FakeStream*> found;
    for (const auto& stream : streams) {
      if (stream->remote.port != 0 && !stream->closed && (to.port == 0 || stream->remote == to))
        found.push_back(stream.get());
    }
    return found;
  }
  /// Completes a connection attempt. An exchange then reports its load.
  void completeConnect(FakeStream& stream) {
    softswitch.onConnected(now, stream);
    if (stream.remote.port == 5000)
      deliver(stream, R"({"type":"state","id":"","fields":{"load":"x0:20;x1:20;qps:100"}})");
  }
  void completeConnects() {
    for (FakeStream* stream : outgoingStreams()) {
      if (std::find(connectedStreams.begin(), connectedStreams.end(), stream) == connectedStreams.end())
        completeConnect(*stream);
      connectedStreams.push_back(stream);
    }
    advance(1);
  }
  /// Advances the clock and runs all rounds that fall due.
  void advance(double ms) {
    for (const Instant end = now + Span::ms(ms); now < end;) {
      now = std::min(end, std::max(softswitch.nextDeadline(), now + Span::ms(1)));
      softswitch.process(now);
    }
  }
  /// Delivers a line to the softswitch and runs a round. An empty id is left out.
  void deliver(FakeStream& stream, std::string line) {
    if (line.find("\"id\":\"\",") != std::string::npos) line.replace(line.find("\"id\":\"\","), 8, "");
    softswitch.onData(now, stream, line + "\n");
    if (!stream.closed) softswitch.process(now);
  }
  FakeStream& acceptCaller() {
    streams.push_back(std::make_unique<FakeStream>());
    softswitch.onAccepted(now, *streams.back());
    return *streams.back();
  }
  FakeStream& sendSetup(FakeStream& from, const std::string& id, const std::string& extras = "dest:1;width:1;via:-1",
                        int left = 3000) {
    deliver(from, R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":")" + std::to_string(left) +
                      R"(","key":"7f3a9c21e0b4d655","extras":")" + extras + R"("},"sdp":"v=0\r\n"})");
    return from;
  }
  /// The stream on which a call's last set-up was sent; nullptr if fewer than `minCount` were sent.
  FakeStream* invitedStream(const std::string& id, std::size_t minCount = 1) {
    FakeStream* found = nullptr;
    std::size_t count = 0;
    for (const auto& stream : streams) {
      for (const Message& message : stream->sent(MessageKind::setup)) {
        if (message.id == id) found = stream.get(), ++count;
      }
    }
    return count >= minCount ? found : nullptr;
  }
  void sendAnswer(FakeStream& trunk, const std::string& id) {
    deliver(trunk, R"({"type":"answer","id":")" + id + R"(","fields":{},"sdp":"a\r\n"})");
  }
  /// Establishes a call and returns the exchange's stream.
  FakeStream& establishCall(FakeStream& from, const std::string& id) {
    sendSetup(from, id);
    FakeStream* trunk = invitedStream(id);
    REQUIRE(trunk != nullptr);
    sendAnswer(*trunk, id);
    REQUIRE(from.sent(MessageKind::answer).back().id == id);
    return *trunk;
  }

  Instant now = Instant::ms(1e12);
  std::deque<std::unique_ptr<FakeStream>> streams;
  std::vector<FakeStream*> connectedStreams;
  Softswitch softswitch;
};

inline const std::string kFirstId = "00000000000000aa", kSecondId = "00000000000000bb", kThirdId = "00000000000000cc";
inline const iax2::Address kExchangeAddress{0x7f000003, 5000}, kBulletinAddress{0x7f000009, 2379};

inline std::string encodeFrame(std::uint64_t number, int kind, const std::string& payload) {
  const std::size_t length = 9 + payload.size();
  std::string out{0, 0, static_cast<char>(length >> 8), static_cast<char>(length)};
  return out + encodeSubscription(number) + static_cast<char>(kind) + payload;
}

inline std::string encodeRecord(std::uint32_t id, iax2::Address address, int state, int place,
                                std::uint64_t startedMs = 0) {
  std::string out = encodeSubscription(std::uint64_t{id} << 32 | address.ip);
  out += {static_cast<char>(address.port >> 8),
          static_cast<char>(address.port),
          static_cast<char>(state),
          0,
          0,
          0,
          static_cast<char>(place)};
  return out + std::string(4, '\0') + encodeSubscription(startedMs);
}

}  // namespace thistlefold::platform::test
