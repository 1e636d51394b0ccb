#pragma once

// The platform's message lines: one JSON object a line, ended by a line feed. A codec; decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold::platform {

/// The most that a message may hold, its line feed not counted. Beyond it the stream can't be read any more.
constexpr std::size_t kLongestMessage = 16 * 1024;

enum class Kind { setup, progress, answer, release, released, ping, pong, state, other };

/// One message as it came. `id` is empty where none was given; every other id has 16 hex digits.
struct Message {
  Kind kind = Kind::other;
  std::string id;
  std::optional<int> cause;
  std::string description;                                  // empty: none
  std::vector<std::pair<std::string, std::string>> fields;  // numbers as they were written

  /// Nothing if the field is not there.
  std::optional<std::string_view> field(std::string_view name) const;
};

/// Nothing for what is no message: no JSON object, no type, an id or a field of another form.
std::optional<Message> readMessage(std::string_view line);

using Fields = std::vector<std::pair<std::string_view, std::string>>;
/// The line, with its line feed. Cause below zero: none. Empty description: none.
std::string writeMessage(Kind kind, std::string_view id, const Fields& fields, int cause = -1,
                         std::string_view description = {});

/// Nothing unless all of the text is a finite number.
std::optional<double> readNumber(std::string_view text);
/// Milliseconds as text, rounded to whole ones.
std::string milliseconds(Span span);
/// One figure of a text as in "x0:12;x1:40": that of `name`; nothing if it is not there or no number.
std::optional<std::string_view> figure(std::string_view figures, std::string_view name);

/// One to sixteen hex digits and nothing else.
std::optional<std::uint64_t> readHex(std::string_view text);
/// "s-00c41f7a"; nothing for another form.
std::optional<std::uint32_t> readExchangeId(std::string_view text);

/// Cuts what comes in into lines. At the bound the stream counts as unreadable.
class Lines {
 public:
  /// Takes bytes; false once a message is longer than the longest.
  bool add(std::string_view bytes);
  /// The next whole line without its line feed; nothing if none is there. Valid until the next call.
  std::optional<std::string_view> next();
  /// Part of a line is waiting for its rest.
  bool broken() const { return at_ < waiting_.size(); }

 private:
  std::string waiting_;
  std::size_t at_ = 0;
};

}  // namespace thistlefold::platform
