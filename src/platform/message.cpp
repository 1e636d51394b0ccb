#include "platform/message.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace thistlefold::platform {
namespace {

constexpr std::array<std::string_view, 8> kKinds = {"setup",    "progress", "answer", "release",
                                                    "released", "ping",     "pong",   "state"};

std::string_view text(const rapidjson::Value& value) { return {value.GetString(), value.GetStringLength()}; }

}  // namespace

std::optional<std::string_view> Message::field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return std::nullopt;
}

std::optional<Message> readMessage(std::string_view line) {
  // The parser is iterative so that deep nesting can't overflow the stack. Numbers keep the text they were written
  // with.
  constexpr unsigned kFlags =
      rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag | rapidjson::kParseNumbersAsStringsFlag;
  rapidjson::Document parsed;
  parsed.Parse<kFlags>(line.data(), line.size());
  if (parsed.HasParseError() || !parsed.IsObject()) return std::nullopt;
  Message message;
  bool hasType = false;
  for (const auto& member : parsed.GetObject()) {
    const std::string_view name = text(member.name);
    const auto& value = member.value;
    if (name == "fields") {
      if (!value.IsObject()) return std::nullopt;
      for (const auto& field : value.GetObject()) {
        if (!field.value.IsString()) return std::nullopt;
        message.fields.emplace_back(text(field.name), text(field.value));
      }
      continue;
    }
    if (name != "type" && name != "id" && name != "sdp" && name != "cause") continue;
    if (!value.IsString()) return std::nullopt;
    const std::string_view content = text(value);
    if (name == "type") {
      hasType = true;
      const auto kind = std::find(kKinds.begin(), kKinds.end(), content);
      message.kind = static_cast<MessageKind>(kind - kKinds.begin());
    } else if (name == "id") {
      if (content.size() != 16 || !readHex(content)) return std::nullopt;
      message.id = content;
    } else if (name == "sdp") {
      message.description = content;
    } else {
      const auto cause = readNumber(content);
      if (!cause || *cause < 0 || *cause > 127 || *cause != std::floor(*cause)) return std::nullopt;
      message.cause = static_cast<int>(*cause);
    }
  }
  if (!hasType) return std::nullopt;
  return message;
}

std::string writeMessage(MessageKind kind, std::string_view id, const Fields& fields, int cause,
                         std::string_view description) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto writeString = [&](std::string_view value) {
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  writeString("type");
  writeString(kKinds[static_cast<std::size_t>(kind)]);
  writeString("id");
  writeString(id);
  writeString("fields");
  json.StartObject();
  for (const auto& [name, value] : fields) {
    writeString(name);
    writeString(value);
  }
  json.EndObject();
  if (cause >= 0) {
    writeString("cause");
    json.Int(cause);
  }
  if (!description.empty()) {
    writeString("sdp");
    writeString(description);
  }
  json.EndObject();
  out.Put('\n');
  return {out.GetString(), out.GetSize()};
}

std::optional<double> readNumber(std::string_view text) {
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string formatMilliseconds(Span span) { return std::to_string(static_cast<long long>(std::llround(span.ms()))); }

std::optional<std::string_view> findFigure(std::string_view figures, std::string_view name) {
  while (!figures.empty()) {
    const auto end = std::min(figures.find(';'), figures.size());
    const std::string_view entry = figures.substr(0, end);
    const auto colon = entry.find(':');
    if (colon != std::string_view::npos && entry.substr(0, colon) == name) return entry.substr(colon + 1);
    figures.remove_prefix(std::min(end + 1, figures.size()));
  }
  return std::nullopt;
}

std::optional<std::uint64_t> readHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() > 16 || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::uint32_t> readExchangeId(std::string_view text) {
  if (!text.starts_with("s-") || text.size() != 10) return std::nullopt;
  const auto id = readHex(text.substr(2));
  if (!id) return std::nullopt;
  return static_cast<std::uint32_t>(*id);
}

bool LineReader::add(std::string_view bytes) {
  buffer_.erase(0, position_);
  position_ = 0;
  buffer_.append(bytes);
  // Only the unterminated line is checked here. A complete line that is too long is detected when it is read.
  const auto last = buffer_.rfind('\n');
  const std::size_t partial = buffer_.size() - (last == std::string::npos ? 0 : last + 1);
  return partial <= kMaxMessageBytes;
}

std::optional<std::string_view> LineReader::next() {
  const auto end = buffer_.find('\n', position_);
  if (end == std::string::npos) {
    // Hundreds of connections may be quiet: each keeps the memory of its incomplete line alone.
    buffer_ = std::string(buffer_, position_);
    position_ = 0;
    return std::nullopt;
  }
  const std::string_view line = std::string_view(buffer_).substr(position_, end - position_);
  position_ = end + 1;
  return line;
}

}  // namespace thistlefold::platform
