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
  // Iterative, so that no nesting fills the stack; numbers stay as they were written.
  constexpr unsigned kFlags =
      rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag | rapidjson::kParseNumbersAsStringsFlag;
  rapidjson::Document read;
  read.Parse<kFlags>(line.data(), line.size());
  if (read.HasParseError() || !read.IsObject()) return std::nullopt;
  Message message;
  bool typed = false;
  for (const auto& member : read.GetObject()) {
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
    const std::string_view word = text(value);
    if (name == "type") {
      typed = true;
      const auto kind = std::find(kKinds.begin(), kKinds.end(), word);
      message.kind = static_cast<Kind>(kind - kKinds.begin());
    } else if (name == "id") {
      if (word.size() != 16 || !readHex(word)) return std::nullopt;
      message.id = word;
    } else if (name == "sdp") {
      message.description = word;
    } else {
      const auto cause = readNumber(word);
      if (!cause || *cause < 0 || *cause > 127 || *cause != std::floor(*cause)) return std::nullopt;
      message.cause = static_cast<int>(*cause);
    }
  }
  if (!typed) return std::nullopt;
  return message;
}

std::string writeMessage(Kind kind, std::string_view id, const Fields& fields, int cause,
                         std::string_view description) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto put = [&](std::string_view value) {
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  put("type");
  put(kKinds[static_cast<std::size_t>(kind)]);
  put("id");
  put(id);
  put("fields");
  json.StartObject();
  for (const auto& [name, value] : fields) {
    put(name);
    put(value);
  }
  json.EndObject();
  if (cause >= 0) {
    put("cause");
    json.Int(cause);
  }
  if (!description.empty()) {
    put("sdp");
    put(description);
  }
  json.EndObject();
  out.Put('\n');
  return {out.GetString(), out.GetSize()};
}

std::optional<double> readNumber(std::string_view text) {
  double value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string milliseconds(Span span) { return std::to_string(static_cast<long long>(std::llround(span.ms()))); }

std::optional<std::string_view> figure(std::string_view figures, std::string_view name) {
  while (!figures.empty()) {
    const auto end = std::min(figures.find(';'), figures.size());
    const std::string_view one = figures.substr(0, end);
    const auto colon = one.find(':');
    if (colon != std::string_view::npos && one.substr(0, colon) == name) return one.substr(colon + 1);
    figures.remove_prefix(std::min(end + 1, figures.size()));
  }
  return std::nullopt;
}

std::optional<std::uint64_t> readHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() > 16 || read.ec != std::errc() || read.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::uint32_t> readExchangeId(std::string_view text) {
  if (!text.starts_with("s-") || text.size() != 10) return std::nullopt;
  const auto id = readHex(text.substr(2));
  if (!id) return std::nullopt;
  return static_cast<std::uint32_t>(*id);
}

bool Lines::add(std::string_view bytes) {
  waiting_.erase(0, at_);
  at_ = 0;
  waiting_.append(bytes);
  // A whole line that is too long is found when it is asked for; here only what has not ended yet counts.
  const auto last = waiting_.rfind('\n');
  const std::size_t open = waiting_.size() - (last == std::string::npos ? 0 : last + 1);
  return open <= kLongestMessage;
}

std::optional<std::string_view> Lines::next() {
  const auto end = waiting_.find('\n', at_);
  if (end == std::string::npos) return std::nullopt;
  const std::string_view line = std::string_view(waiting_).substr(at_, end - at_);
  at_ = end + 1;
  return line;
}

}  // namespace thistlefold::platform
