#include "audit/audit.hpp"

#include <charconv>
#include <iostream>

#include "audit/session_trace.hpp"
#include "command/commands.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {

void addAudit(CLI::App& app, int& status) {
  struct Wanted {
    std::string capture, fleet, session;
    bool json = false;
  };
  auto* command = app.add_subcommand("audit", "Judge the five rules from a capture and its fleet file alone");
  auto wanted = std::make_shared<Wanted>();
  command->add_option("CAPTURE", wanted->capture, "a capture that `thistlefold day` wrote")->required();
  command->add_option("FLEET", wanted->fleet, "the fleet file that lies beside it (identities.sexp)")->required();
  command->add_option("--session", wanted->session,
                      "print all frames of this session (hex, as the audit names it); `list` names all");
  command->add_flag("--json", wanted->json, "the findings as JSON");
  command->callback([=, &status] {
    try {
      const Fleet fleet = settings::openFleet(wanted->fleet);
      if (wanted->session.empty()) {
        const audit::Findings findings = audit::audit(fleet, wanted->capture);
        std::cout << (wanted->json ? audit::json(findings) + "\n" : audit::describe(findings));
        status = findings.passed() ? 0 : 1;
        return;
      }
      if (wanted->session == "list") {
        for (const std::uint64_t one : audit::sessions(wanted->capture)) std::cout << std::hex << one << '\n';
        return;
      }
      std::uint64_t session = 0;
      const char* const end = wanted->session.data() + wanted->session.size();
      if (const auto read = std::from_chars(wanted->session.data(), end, session, 16);
          read.ec != std::errc() || read.ptr != end) {
        std::cerr << "thistlefold audit: --session: hex digits are expected, not '" << wanted->session << "'\n";
        status = 2;
      } else if (audit::sessionTrace(fleet, wanted->capture, session, std::cout) == 0) {
        std::cerr << "thistlefold audit: no frame of session " << wanted->session << " in the capture\n";
        status = 1;
      }
    } catch (const settings::SettingsError& wrong) {
      std::cerr << wrong.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
