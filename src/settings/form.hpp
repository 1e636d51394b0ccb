#pragma once

// S-expressions with the place in the file that each part came from.

#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace thistlefold::settings {

/// Something in a file is not as it should be: "FILE:LINE:COLUMN: what, and what was expected".
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A word, a text in quotes, or a list.
struct Form {
  enum class Kind { word, text, list };
  Kind kind = Kind::list;
  std::string value;        // of a word or text
  std::vector<Form> items;  // of a list
  int line = 0, column = 0;
  const std::string* file = nullptr;

  bool isList() const { return kind == Kind::list; }
  /// The first word of a list, or empty.
  std::string_view head() const;
  [[noreturn]] void fail(const std::string& what) const;
};

/// A file that was read; its forms point to its name.
class Document {
 public:
  /// Throws SettingsError.
  static Document open(const std::string& path);
  static Document parse(std::string name, const std::string& text);
  Document(Document&&) = default;
  Document& operator=(Document&&) = default;

  const std::vector<Form>& forms() const { return forms_; }
  const std::string& name() const { return *name_; }
  /// The only form of the file, which must begin with `word`.
  const Form& onlyForm(std::string_view word) const;

 private:
  Document() = default;
  std::unique_ptr<std::string> name_;
  std::vector<Form> forms_;
};

/// One word of a vocabulary. The default is also what is used when the word is absent, so that what `check
/// --explain` prints is what holds. An empty default: must be given.
struct Keyword {
  std::string_view word;
  std::string_view expects;
  std::string_view byDefault;
  std::string_view means;
};

/// The sub-lists of a list, each beginning with a word of a vocabulary.
class Fields {
 public:
  /// Throws SettingsError at a word that is not in the vocabulary, naming the nearest, or that stands twice without
  /// `many`.
  Fields(const Form& list, std::size_t from, std::span<const Keyword> vocabulary,
         std::span<const std::string_view> many = {});

  bool has(std::string_view word) const { return find(word) != nullptr; }
  double number(std::string_view word, double least, double most) const;
  int integer(std::string_view word, int least, int most) const;
  bool boolean(std::string_view word) const;
  std::string text(std::string_view word) const;
  /// The list that begins with `word`, or null.
  const Form* find(std::string_view word) const;
  std::vector<const Form*> all(std::string_view word) const;
  const Form& list() const { return *list_; }

 private:
  const Keyword& word(std::string_view word) const;
  const Form* single(std::string_view word) const;

  const Form* list_;
  std::vector<const Form*> fields_;
  std::span<const Keyword> vocabulary_;
};

double asNumber(const Form& form, double least, double most);
std::string asText(const Form& form);
/// Throws at `form` that `word` is unknown, naming the nearest of `known`.
[[noreturn]] void failUnknownWord(const Form& form, std::string_view word, const std::vector<std::string_view>& known);

}  // namespace thistlefold::settings
