#include "settings/form.hpp"

#include <sfsexp/sexp.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

namespace thistlefold::settings {
namespace {

struct Position {
  int line, column;
};

[[noreturn]] void failAt(const std::string& name, Position position, const std::string& message) {
  throw SettingsError(name + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) + ": " +
                      message);
}

// The sfsexp library reports no positions. This scanner therefore records the start of each list and atom, in the order
// in which convert() walks the parsed tree. It returns the text with comments replaced by blanks, and throws
// SettingsError for unbalanced parentheses and quotes and for characters that are not allowed.
std::string scanPositions(const std::string& name, const std::string& text, std::vector<Position>& positions) {
  std::string clean = text;
  std::vector<Position> unclosed;
  Position at{1, 0};
  enum class State { blank, word, quoted, comment } state = State::blank;
  Position openingQuote{};
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    ++at.column;
    const Position here = at;
    if (c == '\n') at = {at.line + 1, 0};
    if (state == State::comment) {
      if (c == '\n') state = State::blank;
      if (c != '\n') clean[i] = ' ';
      continue;
    }
    if (state == State::quoted) {
      if (c == '\\') {
        ++i;
        ++at.column;
      } else if (c == '"') {
        state = State::blank;
      }
      continue;
    }
    const bool isSpace = c == ' ' || c == '\t' || c == '\n' || c == '\r';
    if (c == ';') {
      state = State::comment;
      clean[i] = ' ';
    } else if (c == '(') {
      positions.push_back(here);
      unclosed.push_back(here);
      state = State::blank;
    } else if (c == ')') {
      if (unclosed.empty()) failAt(name, here, "a ')' without its '('");
      unclosed.pop_back();
      state = State::blank;
    } else if (c == '"') {
      positions.push_back(here);
      openingQuote = here;
      state = State::quoted;
    } else if (isSpace) {
      state = State::blank;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      if (byte < 32 || byte == '\'' || byte == '`') failAt(name, here, "this character is not allowed here");
      if (state != State::word) positions.push_back(here);
      state = State::word;
    }
  }
  if (state == State::quoted) failAt(name, openingQuote, "a text whose closing '\"' is missing");
  if (!unclosed.empty()) failAt(name, unclosed.back(), "a list whose ')' is missing");
  return clean;
}

// Appends `from` and its successors to the items of `into`. `next` is the index of the next position to be assigned.
void convert(const sexp_t* from, Form& into, const std::vector<Position>& positions, std::size_t& next,
             const std::string* file) {
  for (const sexp_t* one = from; one != nullptr; one = one->next) {
    Form form;
    form.file = file;
    if (next < positions.size()) {
      form.line = positions[next].line;
      form.column = positions[next].column;
    }
    ++next;
    if (one->ty == SEXP_LIST) {
      form.kind = Form::Kind::list;
      convert(one->list, form, positions, next, file);
    } else {
      form.kind = one->aty == SEXP_DQUOTE ? Form::Kind::text : Form::Kind::word;
      form.value = one->val == nullptr ? "" : one->val;
    }
    into.items.push_back(std::move(form));
  }
}

// Levenshtein distance: the number of characters to insert, delete or replace that turns one word into the other.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t change = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
      corner = row[j];
      row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

std::string format(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string_view Form::head() const {
  return isList() && !items.empty() && items[0].kind == Kind::word ? std::string_view(items[0].value)
                                                                   : std::string_view();
}

void Form::fail(const std::string& message) const { failAt(*file, {line, column}, message); }

Document Document::open(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw SettingsError(path + ": can't be read");
  return parse(path, text.str());
}

Document Document::parse(std::string name, const std::string& text) {
  Document document;
  document.name_ = std::make_unique<std::string>(std::move(name));
  std::vector<Position> positions;
  std::string clean = "(" + scanPositions(*document.name_, text, positions) + "\n)";
  if (positions.empty()) throw SettingsError(*document.name_ + ": the file holds no expression");
  sexp_t* tree = parse_sexp(clean.data(), clean.size());
  if (tree == nullptr) throw SettingsError(*document.name_ + ": not an S-expression");
  Form root;
  std::size_t next = 0;
  convert(tree->list, root, positions, next, document.name_.get());
  destroy_sexp(tree);
  if (next != positions.size()) throw SettingsError(*document.name_ + ": not an S-expression");
  document.forms_ = std::move(root.items);
  return document;
}

const Form& Document::onlyForm(std::string_view word) const {
  const Form& first = forms_.front();
  if (first.head() != word) first.fail("(" + std::string(word) + " ...) is expected");
  if (forms_.size() > 1) forms_[1].fail("nothing more is expected after (" + std::string(word) + " ...)");
  return first;
}

void failUnknownWord(const Form& form, std::string_view word, const std::vector<std::string_view>& known) {
  std::string_view nearest;
  std::size_t smallest = std::numeric_limits<std::size_t>::max();
  for (const std::string_view one : known) {
    const std::size_t current = editDistance(word, one);
    if (current < smallest) {
      smallest = current;
      nearest = one;
    }
  }
  form.fail("unknown word '" + std::string(word) + "'" +
            (nearest.empty() ? std::string() : "; the nearest known is '" + std::string(nearest) + "'"));
}

double asNumber(const Form& form, double least, double most) {
  double value = 0;
  const char* const end = form.value.data() + form.value.size();
  const auto [at, error] = std::from_chars(form.value.data(), end, value);
  if (form.kind != Form::Kind::word || error != std::errc() || at != end || !(value >= least && value <= most)) {
    form.fail("a number from " + format(least) + " to " + format(most) + " is expected" +
              (form.isList() ? "" : ", not '" + form.value + "'"));
  }
  return value;
}

std::string asText(const Form& form) {
  if (form.isList() || form.value.empty()) form.fail("a word or a text in quotes is expected");
  return form.value;
}

Fields::Fields(const Form& list, std::size_t from, std::span<const Keyword> vocabulary,
               std::span<const std::string_view> repeatable)
    : list_(&list), vocabulary_(vocabulary) {
  for (std::size_t i = from; i < list.items.size(); ++i) {
    const Form& field = list.items[i];
    if (field.head().empty()) field.fail("a list that begins with a word is expected");
    const std::string_view name = field.head();
    const bool known =
        std::any_of(vocabulary.begin(), vocabulary.end(), [&](const Keyword& entry) { return entry.word == name; });
    if (!known) {
      std::vector<std::string_view> words;
      for (const Keyword& entry : vocabulary) words.push_back(entry.word);
      failUnknownWord(field.items[0], name, words);
    }
    if (find(name) != nullptr && std::find(repeatable.begin(), repeatable.end(), name) == repeatable.end()) {
      field.fail("'" + std::string(name) + "' is given twice; once is expected");
    }
    fields_.push_back(&field);
  }
  for (const Keyword& entry : vocabulary) {
    if (entry.defaultValue.empty() && find(entry.word) == nullptr &&
        std::find(repeatable.begin(), repeatable.end(), entry.word) == repeatable.end()) {
      list.fail("(" + std::string(entry.word) + " ...) is missing: " + std::string(entry.expects) + " is expected");
    }
  }
}

const Form* Fields::find(std::string_view word) const {
  const auto it =
      std::find_if(fields_.begin(), fields_.end(), [&](const Form* field) { return field->head() == word; });
  return it == fields_.end() ? nullptr : *it;
}

std::vector<const Form*> Fields::all(std::string_view word) const {
  std::vector<const Form*> found;
  std::copy_if(fields_.begin(), fields_.end(), std::back_inserter(found),
               [&](const Form* field) { return field->head() == word; });
  return found;
}

const Keyword& Fields::keyword(std::string_view word) const {
  return *std::find_if(vocabulary_.begin(), vocabulary_.end(),
                       [&](const Keyword& entry) { return entry.word == word; });
}

const Form* Fields::singleValue(std::string_view name) const {
  const Form* field = find(name);
  if (field == nullptr) return nullptr;
  if (field->items.size() != 2) {
    field->fail("(" + std::string(name) + " ...) takes one value: " + std::string(keyword(name).expects));
  }
  return &field->items[1];
}

double Fields::number(std::string_view name, double least, double most) const {
  const Form* value = singleValue(name);
  if (value != nullptr) return asNumber(*value, least, most);
  return std::stod(std::string(keyword(name).defaultValue));
}

int Fields::integer(std::string_view name, int least, int most) const {
  const double value = number(name, least, most);
  if (value != static_cast<int>(value)) singleValue(name)->fail("a whole number is expected");
  return static_cast<int>(value);
}

bool Fields::boolean(std::string_view name) const {
  const Form* value = singleValue(name);
  const std::string text = value == nullptr ? std::string(keyword(name).defaultValue) : asText(*value);
  if (text != "yes" && text != "no") value->fail("yes or no is expected, not '" + text + "'");
  return text == "yes";
}

std::string Fields::text(std::string_view name) const {
  const Form* value = singleValue(name);
  return value == nullptr ? std::string(keyword(name).defaultValue) : asText(*value);
}

}  // namespace thistlefold::settings
