#include "audit/audit.hpp"

#include <charconv>
#include <iostream>

#include "audit/session_trace.hpp"
#include "command/commands.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {

void addAudit(CLI::App& app, int& status) {
  struct Options {
    std::string capture, fleet, session;
    bool json = false;
  };
  auto* command =
      app.add_subcommand("audit", "Check the five rules on a capture, using only the capture and its fleet file");
  auto options = std::make_shared<Options>();
  command->add_option("CAPTURE", options->capture, "a capture written by `thistlefold day`")->required();
  command->add_option("FLEET", options->fleet, "the fleet file written with the capture (identities.sexp)")->required();
  command->add_option(
      "--session", options->session,
      "print all frames of this session, given in hex as the audit prints it; `list` lists all sessions");
  command->add_flag("--json", options->json, "print the findings as JSON");
  command->callback([=, &status] {
    try {
      const Fleet fleet = settings::openFleet(options->fleet);
      if (options->session.empty()) {
        const audit::Findings findings = audit::audit(fleet, options->capture);
        std::cout << (options->json ? audit::json(findings) + "\n" : audit::describe(findings));
        status = findings.passed() ? 0 : 1;
        return;
      }
      if (options->session == "list") {
        for (const std::uint64_t id : audit::sessions(options->capture)) std::cout << std::hex << id << '\n';
        return;
      }
      std::uint64_t session = 0;
      const char* const end = options->session.data() + options->session.size();
      if (const auto parsed = std::from_chars(options->session.data(), end, session, 16);
          parsed.ec != std::errc() || parsed.ptr != end) {
        std::cerr << "thistlefold audit: --session: hex digits are expected, not '" << options->session << "'\n";
        status = 2;
      } else if (audit::sessionTrace(fleet, options->capture, session, std::cout) == 0) {
        std::cerr << "thistlefold audit: no frame of session " << options->session << " in the capture\n";
        status = 1;
      }
    } catch (const settings::SettingsError& error) {
      std::cerr << error.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
