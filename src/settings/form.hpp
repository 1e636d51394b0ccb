#pragma once

// Reader of S-expression files. Every part of an expression keeps its position in the file, so that error messages can
// give file, line and column. A file consists of forms: a form is an atom (a word or a text in quotes) or a list of
// forms in parentheses. A settings file holds one list whose first word, its head, names what it describes; the other
// items of that list are mostly fields, that is lists of the shape (KEYWORD VALUE ...).

#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace thistlefold::settings {

/// A settings file is faulty. The text is "FILE:LINE:COLUMN: MESSAGE", or "FILE: MESSAGE" where the fault has no
/// position.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// One S-expression: a word, a text in quotes, or a list of forms.
struct Form {
  enum class Kind { word, text, list };
  Kind kind = Kind::list;
  /// Content of a word, or of a text without its quotes; empty for a list.
  std::string value;
  /// Items of a list; empty for a word or text.
  std::vector<Form> items;
  /// Position of the first character in the file, both counted from 1; 0 if the form was not read from a file.
  int line = 0, column = 0;
  /// Name of the file, owned by the Document that the form was read from.
  const std::string* file = nullptr;

  /// Whether the form is a list and not an atom.
  bool isList() const { return kind == Kind::list; }
  /// The first word of a list; empty for an atom and for a list that doesn't begin with a word. Valid as long as the
  /// form.
  std::string_view head() const;
  /// Throws SettingsError with the form's position before `message`. The form must come from a Document.
  [[noreturn]] void fail(const std::string& message) const;
};

/// A parsed file. Owns the file name that its forms point to, so they (and copies of them) must not outlive it.
class Document {
 public:
  /// Reads and parses the file. Throws SettingsError if it can't be read, is empty or is not an S-expression.
  static Document open(const std::string& path);
  /// Parses `text`; `name` stands for the file name in error messages. Throws SettingsError like open().
  static Document parse(std::string name, const std::string& text);
  Document(Document&&) = default;
  Document& operator=(Document&&) = default;

  /// The forms at top level, at least one.
  const std::vector<Form>& forms() const { return forms_; }
  /// The file name, as it was given.
  const std::string& name() const { return *name_; }
  /// The file's single form. Throws SettingsError if there are several, or if it doesn't begin with `word`.
  const Form& onlyForm(std::string_view word) const;

 private:
  Document() = default;
  std::unique_ptr<std::string> name_;
  std::vector<Form> forms_;
};

/// One keyword of a vocabulary, that is of the set of fields that a list may have.
struct Keyword {
  std::string_view word;
  /// What the value has to be, for error messages and `check --explain`.
  std::string_view expects;
  /// The value used when the field is absent, which makes the default that `check --explain` prints the effective one.
  /// Empty if the field is required; "-" is printed as "may be left out".
  std::string_view defaultValue;
  /// Meaning of the field, as `check --explain` prints it.
  std::string_view description;
};

/// The fields of a list, checked against a vocabulary. Refers to the list and the vocabulary, which must outlive it.
///
/// The readers below take the name of a keyword of the vocabulary. They return its default value if the field is
/// absent, and throw SettingsError if the field doesn't hold exactly one value of the expected type within the bounds.
class Fields {
 public:
  /// Reads the items of `list` from index `from` on. A keyword may occur once, those in `repeatable` any number of
  /// times. Throws SettingsError for an item that is not a list with a keyword, and for a keyword that is not in the
  /// vocabulary (the message names the nearest one), that occurs too often, or that is required and missing. Keywords
  /// in `repeatable` are never required.
  Fields(const Form& list, std::size_t from, std::span<const Keyword> vocabulary,
         std::span<const std::string_view> repeatable = {});

  /// Whether the list has a field with this keyword.
  bool has(std::string_view word) const { return find(word) != nullptr; }
  /// A number from `least` to `most`. The bounds don't apply to the default value.
  double number(std::string_view word, double least, double most) const;
  /// A whole number from `least` to `most`. The bounds don't apply to the default value.
  int integer(std::string_view word, int least, int most) const;
  /// True for "yes", false for "no".
  bool boolean(std::string_view word) const;
  /// A word or a text in quotes; a given one is never empty.
  std::string text(std::string_view word) const;
  /// The first field with this keyword as a whole list, or null if there is none.
  const Form* find(std::string_view word) const;
  /// All fields with this keyword, in the order of the file.
  std::vector<const Form*> all(std::string_view word) const;
  /// The list that the fields belong to.
  const Form& list() const { return *list_; }

 private:
  const Keyword& keyword(std::string_view word) const;
  const Form* singleValue(std::string_view word) const;

  const Form* list_;
  std::vector<const Form*> fields_;
  std::span<const Keyword> vocabulary_;
};

/// The number that a word spells. Throws SettingsError if it isn't one, or lies outside `least` to `most`.
double asNumber(const Form& form, double least, double most);
/// Content of a word or text. Throws SettingsError if the form is a list or empty.
std::string asText(const Form& form);
/// Throws SettingsError at the position of `form`: `word` is not in `known`, of which the message names the nearest.
[[noreturn]] void failUnknownWord(const Form& form, std::string_view word, const std::vector<std::string_view>& known);

}  // namespace thistlefold::settings
