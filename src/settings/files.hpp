#pragma once

// Readers of fleet files and office files. Day files are read by day/script.hpp, which uses readFleet().

#include <ostream>
#include <string>

#include "fleet/fleet.hpp"
#include "office/office.hpp"
#include "settings/form.hpp"

namespace thistlefold::settings {

/// Reads (fleet ...). Every exchange and the directory must have addresses if `requireAddresses` is true, and a mesh is
/// then an error; if it is false, the caller assigns the missing addresses. Throws SettingsError.
Fleet readFleet(const Form& form, bool requireAddresses = true);
/// Reads a file that holds one (fleet ...) with all addresses. Throws SettingsError.
Fleet openFleet(const std::string& path);
/// Text of a fleet file that openFleet() reads back as the same fleet.
std::string writeFleet(const Fleet& fleet);

/// Logging of an office.
struct LogSettings {
  std::string level = "info";     // debug, info, warn or error
  std::string format = "logfmt";  // logfmt or json
  std::string to = "-";           // a file, or - for standard error
};

/// Content of an office file, (office NAME ...), together with the fleet that it refers to.
struct OfficeFile {
  std::string fleetPath;  // resolved: a relative path in the file is relative to the file's own folder
  Fleet fleet;
  /// Address to listen on: the file's own, or the fleet's address of this office.
  iax2::Address listen;
  OfficeOptions options;
  LogSettings log;
};
/// Reads an office file and its fleet file. Throws SettingsError.
OfficeFile openOfficeFile(const std::string& path);

/// Prints all keywords of fleet and office files with their defaults and meanings.
void explain(std::ostream& out);
/// Prints one vocabulary in the format of explain(); `title` is the head of its list, with what follows the head.
void explainKeywords(std::ostream& out, std::string_view title, std::span<const Keyword> vocabulary);

/// Reads a word or text of the form ADDRESS:PORT. Throws SettingsError.
iax2::Address asAddress(const Form& form);

}  // namespace thistlefold::settings
