#include "capture/capture.hpp"

#include <cstring>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace thistlefold::capture {
namespace {

// Block types of pcapng (draft-ietf-opsawg-pcapng). A capture consists of a section header, two interface descriptions
// and enhanced packet blocks.
constexpr std::uint32_t kSectionHeader = 0x0a0d0d0a, kInterfaceDescription = 1, kEnhancedPacket = 6,
                        kByteOrderMagic = 0x1a2b3c4d;
constexpr std::uint16_t kLinkTypeRaw = 101;  // LINKTYPE_RAW

/// The body of a block, built up field by field.
class Block {
 public:
  template <typename T>
  void put(T value) {
    const auto* raw = reinterpret_cast<const char*>(&value);
    bytes.insert(bytes.end(), raw, raw + sizeof value);
  }
  void putBigEndian(std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<char>(value >> (8 * i)));
  }
  void putText(std::string_view value) { bytes.insert(bytes.end(), value.begin(), value.end()); }
  void padTo32Bits() {
    while (bytes.size() % 4 != 0) bytes.push_back(0);
  }
  std::vector<char> bytes;
};

void writeBlock(std::ofstream& out, std::uint32_t kind, Block body) {
  body.padTo32Bits();
  Block block;
  const auto length = static_cast<std::uint32_t>(body.bytes.size() + 12);
  block.put(kind);
  block.put(length);
  block.bytes.insert(block.bytes.end(), body.bytes.begin(), body.bytes.end());
  block.put(length);
  out.write(block.bytes.data(), static_cast<std::streamsize>(block.bytes.size()));
}

Block interfaceBlock(std::string_view name) {
  Block block;
  block.put(kLinkTypeRaw);
  block.put(std::uint16_t{0});
  block.put(std::uint32_t{0});  // snapshot length: unlimited
  block.put(std::uint16_t{2});  // option if_name; timestamps have the default resolution, microseconds
  block.put(static_cast<std::uint16_t>(name.size()));
  block.putText(name);
  block.padTo32Bits();
  block.put(std::uint32_t{0});  // end of options
  return block;
}

/// Checksum of the IPv4 header of 20 bytes at offset `from`.
std::uint16_t checksum(const std::vector<char>& bytes, std::size_t from) {
  std::uint32_t sum = 0;
  for (std::size_t i = from; i + 1 < from + 20; i += 2) {
    sum +=
        static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[i]) << 8 | static_cast<std::uint8_t>(bytes[i + 1]));
  }
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

}  // namespace

Writer::Writer(const std::string& path) : out_(path, std::ios::binary | std::ios::trunc), path_(path) {
  if (!out_) throw std::runtime_error(path + ": can't be written");
  Block section;
  section.put(kByteOrderMagic);
  section.put(std::uint16_t{1});
  section.put(std::uint16_t{0});
  section.put(std::int64_t{-1});
  writeBlock(out_, kSectionHeader, section);
  writeBlock(out_, kInterfaceDescription, interfaceBlock("sent"));
  writeBlock(out_, kInterfaceDescription, interfaceBlock("delivered"));
}

void Writer::write(const Packet& packet) {
  // NOLINTNEXTLINE(bugprone-incorrect-roundings): lround() differs just below a half; captures must stay the same
  const auto microseconds = static_cast<std::uint64_t>((packet.at - Instant()).ms() * 1000 + 0.5);
  const auto size = static_cast<std::uint32_t>(packet.payload.size() + 28);
  Block block;
  block.put(std::uint32_t{packet.delivered ? 1u : 0u});
  block.put(static_cast<std::uint32_t>(microseconds >> 32));
  block.put(static_cast<std::uint32_t>(microseconds));
  block.put(size);
  block.put(size);
  const std::size_t ipHeader = block.bytes.size();
  block.putBigEndian(0x4500, 2);
  block.putBigEndian(size, 2);
  block.putBigEndian(0, 4);
  block.putBigEndian(0x4011, 2);  // time to live 64, UDP
  block.putBigEndian(0, 2);
  block.putBigEndian(packet.from.ip, 4);
  block.putBigEndian(packet.to.ip, 4);
  const std::uint16_t headerChecksum = checksum(block.bytes, ipHeader);
  block.bytes[ipHeader + 10] = static_cast<char>(headerChecksum >> 8);
  block.bytes[ipHeader + 11] = static_cast<char>(headerChecksum);
  block.putBigEndian(packet.from.port, 2);
  block.putBigEndian(packet.to.port, 2);
  block.putBigEndian(packet.payload.size() + 8, 2);
  block.putBigEndian(0, 2);  // no checksum, which UDP over IPv4 allows
  block.putText({reinterpret_cast<const char*>(packet.payload.data()), packet.payload.size()});
  writeBlock(out_, kEnhancedPacket, std::move(block));
}

void Writer::note(Instant at, const std::string& text) {
  write(
      {at, false, kScriptAddress, kDiscardAddress, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}});
}

void Writer::close() {
  out_.close();
  if (!out_) throw std::runtime_error(path_ + ": could not be written completely (disk full?)");
}

void read(const std::string& path, const std::function<void(const Packet&)>& onPacket) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": can't be read");
  std::uint64_t offset = 0;
  const auto fail = [&](const char* reason) {
    throw std::runtime_error(path + ": offset " + std::to_string(offset) + ": " + reason);
  };
  std::vector<std::uint8_t> body;
  for (bool first = true;; first = false) {
    std::uint32_t blockHeader[2];
    in.read(reinterpret_cast<char*>(blockHeader), sizeof blockHeader);
    if (in.gcount() == 0) {
      if (first) fail("the file is empty");
      return;
    }
    if (in.gcount() != sizeof blockHeader) fail("cut short");
    if (first && blockHeader[0] != kSectionHeader) fail("not a pcapng capture");
    if (blockHeader[1] < 12 || blockHeader[1] % 4 != 0 || blockHeader[1] > 1 << 20) fail("block length out of range");
    body.resize(blockHeader[1] - 8);
    in.read(reinterpret_cast<char*>(body.data()), static_cast<std::streamsize>(body.size()));
    if (static_cast<std::size_t>(in.gcount()) != body.size()) fail("cut short");
    if (first && std::memcmp(body.data(), &kByteOrderMagic, 4) != 0)
      fail("written on a machine with another byte order");
    if (blockHeader[0] == kEnhancedPacket) {
      std::uint32_t fields[5];
      if (body.size() < sizeof fields + 28) fail("packet too short for a UDP header");
      std::memcpy(fields, body.data(), sizeof fields);
      if (fields[3] < 28 || fields[3] > body.size() - sizeof fields - 4) fail("packet length out of range");
      const std::uint8_t* ip = body.data() + sizeof fields;
      if (ip[0] != 0x45 || ip[9] != 17) fail("packet is not UDP over IPv4");
      const auto number = [&](std::size_t at, std::size_t size) {
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < size; ++i) value = value << 8 | ip[at + i];
        return value;
      };
      Packet packet;
      const std::uint64_t microseconds = std::uint64_t{fields[1]} << 32 | fields[2];
      packet.at = Instant::ms(static_cast<double>(microseconds) / 1000);
      packet.delivered = fields[0] == 1;
      packet.from = {number(12, 4), static_cast<std::uint16_t>(number(20, 2))};
      packet.to = {number(16, 4), static_cast<std::uint16_t>(number(22, 2))};
      packet.payload = {ip + 28, fields[3] - 28};
      onPacket(packet);
    }
    offset += blockHeader[1];
  }
}

}  // namespace thistlefold::capture
