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

struct Spot {
  int line, column;
};

[[noreturn]] void wrongAt(const std::string& name, Spot at, const std::string& what) {
  throw SettingsError(name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what);
}

// The library parses but does not say where; this notes where each list and atom begins, in the order in which the
// tree is walked, blanks out comments, and finds what is not balanced.
std::string locate(const std::string& name, const std::string& text, std::vector<Spot>& spots) {
  std::string clean = text;
  std::vector<Spot> open;
  Spot at{1, 0};
  enum class In { blank, word, quoted, comment } in = In::blank;
  Spot quote{};
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    ++at.column;
    const Spot here = at;
    if (c == '\n') at = {at.line + 1, 0};
    if (in == In::comment) {
      if (c == '\n') in = In::blank;
      if (c != '\n') clean[i] = ' ';
      continue;
    }
    if (in == In::quoted) {
      if (c == '\\') {
        ++i;
        ++at.column;
      } else if (c == '"') {
        in = In::blank;
      }
      continue;
    }
    const bool space = c == ' ' || c == '\t' || c == '\n' || c == '\r';
    if (c == ';') {
      in = In::comment;
      clean[i] = ' ';
    } else if (c == '(') {
      spots.push_back(here);
      open.push_back(here);
      in = In::blank;
    } else if (c == ')') {
      if (open.empty()) wrongAt(name, here, "a ')' without its '('");
      open.pop_back();
      in = In::blank;
    } else if (c == '"') {
      spots.push_back(here);
      quote = here;
      in = In::quoted;
    } else if (space) {
      in = In::blank;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      if (byte < 32 || byte == '\'' || byte == '`') wrongAt(name, here, "a character that has no meaning here");
      if (in != In::word) spots.push_back(here);
      in = In::word;
    }
  }
  if (in == In::quoted) wrongAt(name, quote, "a text whose closing '\"' is missing");
  if (!open.empty()) wrongAt(name, open.back(), "a list whose ')' is missing");
  return clean;
}

void convert(const sexp_t* from, Form& into, const std::vector<Spot>& spots, std::size_t& next,
             const std::string* file) {
  for (const sexp_t* one = from; one != nullptr; one = one->next) {
    Form form;
    form.file = file;
    if (next < spots.size()) {
      form.line = spots[next].line;
      form.column = spots[next].column;
    }
    ++next;
    if (one->ty == SEXP_LIST) {
      form.kind = Form::Kind::list;
      convert(one->list, form, spots, next, file);
    } else {
      form.kind = one->aty == SEXP_DQUOTE ? Form::Kind::text : Form::Kind::word;
      form.value = one->val == nullptr ? "" : one->val;
    }
    into.items.push_back(std::move(form));
  }
}

std::size_t distance(std::string_view a, std::string_view b) {
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

std::string plain(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string_view Form::head() const {
  return isList() && !items.empty() && items[0].kind == Kind::word ? std::string_view(items[0].value)
                                                                   : std::string_view();
}

void Form::fail(const std::string& what) const { wrongAt(*file, {line, column}, what); }

Document Document::open(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw SettingsError(path + ": can't be read");
  return parse(path, text.str());
}

Document Document::parse(std::string name, const std::string& text) {
  Document document;
  document.name_ = std::make_unique<std::string>(std::move(name));
  std::vector<Spot> spots;
  std::string clean = "(" + locate(*document.name_, text, spots) + "\n)";
  if (spots.empty()) throw SettingsError(*document.name_ + ": nothing in it");
  sexp_t* tree = parse_sexp(clean.data(), clean.size());
  if (tree == nullptr) throw SettingsError(*document.name_ + ": not an S-expression");
  Form all;
  std::size_t next = 0;
  convert(tree->list, all, spots, next, document.name_.get());
  destroy_sexp(tree);
  if (next != spots.size()) throw SettingsError(*document.name_ + ": not an S-expression");
  document.forms_ = std::move(all.items);
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
  std::size_t least = std::numeric_limits<std::size_t>::max();
  for (const std::string_view one : known) {
    const std::size_t apart = distance(word, one);
    if (apart < least) {
      least = apart;
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
    form.fail("a number from " + plain(least) + " to " + plain(most) + " is expected" +
              (form.isList() ? "" : ", not '" + form.value + "'"));
  }
  return value;
}

std::string asText(const Form& form) {
  if (form.isList() || form.value.empty()) form.fail("a word or a text in quotes is expected");
  return form.value;
}

Fields::Fields(const Form& list, std::size_t from, std::span<const Keyword> vocabulary,
               std::span<const std::string_view> many)
    : list_(&list), vocabulary_(vocabulary) {
  for (std::size_t i = from; i < list.items.size(); ++i) {
    const Form& field = list.items[i];
    if (field.head().empty()) field.fail("a list that begins with a word is expected");
    const std::string_view name = field.head();
    const bool known =
        std::any_of(vocabulary.begin(), vocabulary.end(), [&](const Keyword& one) { return one.word == name; });
    if (!known) {
      std::vector<std::string_view> words;
      for (const Keyword& one : vocabulary) words.push_back(one.word);
      failUnknownWord(field.items[0], name, words);
    }
    if (find(name) != nullptr && std::find(many.begin(), many.end(), name) == many.end()) {
      field.fail("'" + std::string(name) + "' stands twice; once is expected");
    }
    fields_.push_back(&field);
  }
  for (const Keyword& one : vocabulary) {
    if (one.byDefault.empty() && find(one.word) == nullptr &&
        std::find(many.begin(), many.end(), one.word) == many.end()) {
      list.fail("(" + std::string(one.word) + " ...) is missing: " + std::string(one.expects) + " is expected");
    }
  }
}

const Form* Fields::find(std::string_view word) const {
  const auto it = std::find_if(fields_.begin(), fields_.end(), [&](const Form* one) { return one->head() == word; });
  return it == fields_.end() ? nullptr : *it;
}

std::vector<const Form*> Fields::all(std::string_view word) const {
  std::vector<const Form*> found;
  std::copy_if(fields_.begin(), fields_.end(), std::back_inserter(found),
               [&](const Form* one) { return one->head() == word; });
  return found;
}

const Keyword& Fields::word(std::string_view word) const {
  return *std::find_if(vocabulary_.begin(), vocabulary_.end(), [&](const Keyword& one) { return one.word == word; });
}

const Form* Fields::single(std::string_view name) const {
  const Form* field = find(name);
  if (field == nullptr) return nullptr;
  if (field->items.size() != 2) {
    field->fail("(" + std::string(name) + " ...) takes one value: " + std::string(word(name).expects));
  }
  return &field->items[1];
}

double Fields::number(std::string_view name, double least, double most) const {
  const Form* value = single(name);
  if (value != nullptr) return asNumber(*value, least, most);
  return std::stod(std::string(word(name).byDefault));
}

int Fields::integer(std::string_view name, int least, int most) const {
  const double value = number(name, least, most);
  if (value != static_cast<int>(value)) single(name)->fail("a whole number is expected");
  return static_cast<int>(value);
}

bool Fields::boolean(std::string_view name) const {
  const Form* value = single(name);
  const std::string text = value == nullptr ? std::string(word(name).byDefault) : asText(*value);
  if (text != "yes" && text != "no") value->fail("yes or no is expected, not '" + text + "'");
  return text == "yes";
}

std::string Fields::text(std::string_view name) const {
  const Form* value = single(name);
  return value == nullptr ? std::string(word(name).byDefault) : asText(*value);
}

}  // namespace thistlefold::settings
