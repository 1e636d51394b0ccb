#pragma once

// The files of the program: a fleet, an office. What a day says of itself is read by day/.

#include <ostream>
#include <string>

#include "fleet/fleet.hpp"
#include "office/office.hpp"
#include "settings/form.hpp"

namespace thistlefold::settings {

/// Reads (fleet ...). Where `placed` is false, exchanges need no addresses: whoever starts them gives them out.
/// Throws SettingsError.
Fleet readFleet(const Form& form, bool placed = true);
Fleet openFleet(const std::string& path);
/// What openFleet reads back as the same fleet.
std::string writeFleet(const Fleet& fleet);

struct LogSetting {
  std::string level = "info";
  std::string format = "logfmt";
  std::string to = "-";  // a file, or - for standard error
};

/// (office NAME ...): one office of a fleet.
struct OfficeFile {
  std::string fleetPath;  // relative paths are taken from the file's own folder
  Fleet fleet;
  iax2::Address listen;
  OfficeOptions setting;
  LogSetting log;
};
OfficeFile openOfficeFile(const std::string& path);

/// All words of fleet and office files with defaults and meaning.
void explain(std::ostream& out);
/// One vocabulary, as explain() prints it.
void explainKeywords(std::ostream& out, std::string_view title, std::span<const Keyword> words);

iax2::Address asAddress(const Form& form);

}  // namespace thistlefold::settings
