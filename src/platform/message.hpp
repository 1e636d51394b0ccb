#pragma once

// Codec of the platform's signalling messages: one JSON object per line, terminated by a line feed. Makes no decisions.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold::platform {

/// Maximum length of a message without its line feed. A stream with a longer line is treated as unreadable.
constexpr std::size_t kMaxMessageBytes = std::size_t{16} * 1024;

/// The `type` of a message. `other` stands for every type that is not listed.
enum class MessageKind { setup, progress, answer, release, released, ping, pong, state, other };

/// A decoded message.
struct Message {
  MessageKind kind = MessageKind::other;
  std::string id;                                           ///< call id, 16 hex digits; empty: the message has none
  std::optional<int> cause;                                 ///< release cause, 0 to 127
  std::string description;                                  ///< session description (`sdp`); empty: none
  std::vector<std::pair<std::string, std::string>> fields;  ///< name and value, numbers as they were written

  /// The value of the field; nullopt if it is absent.
  std::optional<std::string_view> field(std::string_view name) const;
};

/// Decodes a line. Returns nullopt unless it is a JSON object with a type and with id, cause, description and fields of
/// the expected form.
std::optional<Message> readMessage(std::string_view line);

/// Names and values of the fields of a message to be written. Each value is written as a JSON string.
using Fields = std::vector<std::pair<std::string_view, std::string>>;
/// Encodes a message as a line with its line feed. A negative cause or an empty description is left out.
std::string writeMessage(MessageKind kind, std::string_view id, const Fields& fields, int cause = -1,
                         std::string_view description = {});

/// Reads a decimal number. Returns nullopt unless the whole text is a finite number.
std::optional<double> readNumber(std::string_view text);
/// Milliseconds as decimal text, rounded to the nearest integer.
std::string formatMilliseconds(Span span);
/// The value of `name` in a list of figures such as "x0:12;x1:40"; nullopt if the list has no such figure.
std::optional<std::string_view> findFigure(std::string_view figures, std::string_view name);

/// Reads a hexadecimal number. Returns nullopt unless the text is one to sixteen hex digits.
std::optional<std::uint64_t> readHex(std::string_view text);
/// Reads an exchange id such as "s-00c41f7a"; nullopt if the text has another form.
std::optional<std::uint32_t> readExchangeId(std::string_view text);

/// Splits the bytes of one connection into lines.
class LineReader {
 public:
  /// Appends received bytes. Returns false once an unterminated line is longer than kMaxMessageBytes.
  bool add(std::string_view bytes);
  /// The next complete line without its line feed, of any length; nullopt if there is none. Valid until the next call
  /// of a member that is not const.
  std::optional<std::string_view> next();
  /// True if bytes wait that next() has not returned, such as a line without its line feed.
  bool hasPartialLine() const { return position_ < buffer_.size(); }

 private:
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace thistlefold::platform
