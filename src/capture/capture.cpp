#include "capture/capture.hpp"

#include <cstring>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace thistlefold::capture {
namespace {

// pcapng (draft-ietf-opsawg-pcapng): section header, two interface descriptions, enhanced packet blocks.
constexpr std::uint32_t kSection = 0x0a0d0d0a, kInterface = 1, kPacket = 6, kByteOrder = 0x1a2b3c4d;
constexpr std::uint16_t kRawIp = 101;  // LINKTYPE_RAW

class Block {
 public:
  template <typename T>
  void put(T value) {
    const auto* raw = reinterpret_cast<const char*>(&value);
    bytes.insert(bytes.end(), raw, raw + sizeof value);
  }
  void network(std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<char>(value >> (8 * i)));
  }
  void text(std::string_view value) { bytes.insert(bytes.end(), value.begin(), value.end()); }
  void pad() {
    while (bytes.size() % 4 != 0) bytes.push_back(0);
  }
  std::vector<char> bytes;
};

void writeBlock(std::ofstream& out, std::uint32_t kind, Block body) {
  body.pad();
  Block whole;
  const auto length = static_cast<std::uint32_t>(body.bytes.size() + 12);
  whole.put(kind);
  whole.put(length);
  whole.bytes.insert(whole.bytes.end(), body.bytes.begin(), body.bytes.end());
  whole.put(length);
  out.write(whole.bytes.data(), static_cast<std::streamsize>(whole.bytes.size()));
}

Block interfaceBlock(std::string_view name) {
  Block block;
  block.put(kRawIp);
  block.put(std::uint16_t{0});
  block.put(std::uint32_t{0});  // no limit of length
  block.put(std::uint16_t{2});  // if_name; microseconds are the default resolution
  block.put(static_cast<std::uint16_t>(name.size()));
  block.text(name);
  block.pad();
  block.put(std::uint32_t{0});  // end of options
  return block;
}

std::uint16_t checksum(const std::vector<char>& head, std::size_t from) {
  std::uint32_t sum = 0;
  for (std::size_t i = from; i + 1 < from + 20; i += 2) {
    sum += static_cast<std::uint32_t>(static_cast<std::uint8_t>(head[i]) << 8 | static_cast<std::uint8_t>(head[i + 1]));
  }
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

}  // namespace

Writer::Writer(const std::string& path) : out_(path, std::ios::binary | std::ios::trunc), path_(path) {
  if (!out_) throw std::runtime_error(path + ": can't be written");
  Block section;
  section.put(kByteOrder);
  section.put(std::uint16_t{1});
  section.put(std::uint16_t{0});
  section.put(std::int64_t{-1});
  writeBlock(out_, kSection, section);
  writeBlock(out_, kInterface, interfaceBlock("sent"));
  writeBlock(out_, kInterface, interfaceBlock("delivered"));
}

void Writer::write(const Packet& packet) {
  const auto us = static_cast<std::uint64_t>((packet.at - Instant()).ms() * 1000 + 0.5);
  const auto size = static_cast<std::uint32_t>(packet.payload.size() + 28);
  Block block;
  block.put(std::uint32_t{packet.delivered ? 1u : 0u});
  block.put(static_cast<std::uint32_t>(us >> 32));
  block.put(static_cast<std::uint32_t>(us));
  block.put(size);
  block.put(size);
  const std::size_t ip = block.bytes.size();
  block.network(0x4500, 2);
  block.network(size, 2);
  block.network(0, 4);
  block.network(0x4011, 2);  // time to live 64, UDP
  block.network(0, 2);
  block.network(packet.from.ip, 4);
  block.network(packet.to.ip, 4);
  const std::uint16_t sum = checksum(block.bytes, ip);
  block.bytes[ip + 10] = static_cast<char>(sum >> 8);
  block.bytes[ip + 11] = static_cast<char>(sum);
  block.network(packet.from.port, 2);
  block.network(packet.to.port, 2);
  block.network(packet.payload.size() + 8, 2);
  block.network(0, 2);  // no checksum, which UDP over IPv4 allows
  block.text({reinterpret_cast<const char*>(packet.payload.data()), packet.payload.size()});
  writeBlock(out_, kPacket, std::move(block));
}

void Writer::note(Instant at, const std::string& text) {
  write(
      {at, false, kScriptAddress, kDiscardAddress, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}});
}

void Writer::close() {
  out_.close();
  if (!out_) throw std::runtime_error(path_ + ": not written whole (no room?)");
}

void read(const std::string& path, const std::function<void(const Packet&)>& take) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": can't be read");
  std::uint64_t offset = 0;
  const auto wrong = [&](const char* what) {
    throw std::runtime_error(path + ": offset " + std::to_string(offset) + ": " + what);
  };
  std::vector<std::uint8_t> body;
  for (bool first = true;; first = false) {
    std::uint32_t head[2];
    in.read(reinterpret_cast<char*>(head), sizeof head);
    if (in.gcount() == 0) {
      if (first) wrong("an empty file");
      return;
    }
    if (in.gcount() != sizeof head) wrong("cut short");
    if (first && head[0] != kSection) wrong("no pcapng capture");
    if (head[1] < 12 || head[1] % 4 != 0 || head[1] > 1 << 20) wrong("a block of impossible length");
    body.resize(head[1] - 8);
    in.read(reinterpret_cast<char*>(body.data()), static_cast<std::streamsize>(body.size()));
    if (static_cast<std::size_t>(in.gcount()) != body.size()) wrong("cut short");
    if (first && std::memcmp(body.data(), &kByteOrder, 4) != 0) wrong("written on a machine of another byte order");
    if (head[0] == kPacket) {
      std::uint32_t fields[5];
      if (body.size() < sizeof fields + 28) wrong("a packet without UDP header");
      std::memcpy(fields, body.data(), sizeof fields);
      if (fields[3] < 28 || fields[3] > body.size() - sizeof fields - 4) wrong("a packet of impossible length");
      const std::uint8_t* ip = body.data() + sizeof fields;
      if (ip[0] != 0x45 || ip[9] != 17) wrong("no UDP over IPv4");
      const auto number = [&](std::size_t at, std::size_t size) {
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < size; ++i) value = value << 8 | ip[at + i];
        return value;
      };
      Packet packet;
      const std::uint64_t us = std::uint64_t{fields[1]} << 32 | fields[2];
      packet.at = Instant::ms(static_cast<double>(us) / 1000);
      packet.delivered = fields[0] == 1;
      packet.from = {number(12, 4), static_cast<std::uint16_t>(number(20, 2))};
      packet.to = {number(16, 4), static_cast<std::uint16_t>(number(22, 2))};
      packet.payload = {ip + 28, fields[3] - 28};
      take(packet);
    }
    offset += head[1];
  }
}

}  // namespace thistlefold::capture
