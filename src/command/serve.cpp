#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>

#include "command/commands.hpp"
#include "command/host.hpp"
#include "office/office.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {
namespace {

namespace asio = boost::asio;

// On SIGTERM all that is held is ended at once; the far ends confirm within this or are left to find out.
constexpr Span kStopWithin = Span::ms(2000);

std::shared_ptr<spdlog::logger> openLog(const settings::LogSettings& logSettings) {
  std::shared_ptr<spdlog::logger> log;
  if (logSettings.to == "-") {
    log = std::make_shared<spdlog::logger>("office", std::make_shared<spdlog::sinks::stderr_sink_st>());
  } else {
    log =
        std::make_shared<spdlog::logger>("office", std::make_shared<spdlog::sinks::basic_file_sink_st>(logSettings.to));
  }
  log->set_pattern(logSettings.format == "json" ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                                : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  log->set_level(spdlog::level::from_str(logSettings.level));
  log->flush_on(spdlog::level::warn);
  return log;
}

/// Writes what an office tells. Names are checked where they are read, so nothing in a line needs quoting but the
/// reason.
class Lines {
 public:
  Lines(std::shared_ptr<spdlog::logger> log, std::string office, bool json)
      : log_(std::move(log)), office_(std::move(office)), json_(json) {}

  void say(spdlog::level::level_enum level, std::string_view event, std::uint64_t session, std::string_view exchange,
           std::string_view reason) {
    if (!log_->should_log(level)) return;
    if (json_) {
      log_->log(level, R"("office":"{}","event":"{}","session":"{:x}","exchange":"{}","reason":"{}")", office_, event,
                session, exchange, reason);
    } else {
      log_->log(level, R"(office={} event={} session={:x} exchange={} reason="{}")", office_, event, session,
                exchange.empty() ? "-" : exchange, reason);
    }
  }
  void operator()(const OfficeEvent& one) {
    using What = OfficeEvent::What;
    static constexpr std::string_view kEvents[] = {"taken", "invited",   "stood",     "ended", "refused",
                                                   "cut",   "peer-lost", "peer-back", "listed"};
    const bool session = one.what <= What::cut;
    say(session                      ? spdlog::level::debug
        : one.what == What::peerLost ? spdlog::level::warn
                                     : spdlog::level::info,
        kEvents[static_cast<std::size_t>(one.what)], one.session, one.exchange, one.reason);
  }
  spdlog::logger& log() { return *log_; }

 private:
  std::shared_ptr<spdlog::logger> log_;
  std::string office_;
  bool json_;
};

/// The office, and beside it the answers to questions of `thistlefold status` and `zones`, which come to the same port.
class Counter final : public DatagramHandler {
 public:
  Counter(Office& office, std::function<std::string()> reread) : office_(office), reread_(std::move(reread)) {}
  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override {
    const std::string_view text(reinterpret_cast<const char*>(datagram.data()), datagram.size());
    // Only to this host: an account is longer than the question, and nobody else's business. What offices and the
    // directory tell each other is no question.
    const bool question = text.starts_with("thistlefold status ") || text.starts_with("thistlefold zones ") ||
                          text.starts_with("thistlefold series ") || text == kReread;
    if (question && from.ip >> 24 == 127) {
      if (askers_.size() < 16) askers_.emplace_back(from, text);
    } else {
      office_.receive(now, from, datagram);
    }
  }
  void process(Instant now, const DatagramSender& out) override {
    for (const auto& [asker, question] : askers_) {
      const std::string answer = question == kReread ? reread_() : office_.answer(now, question).value_or("{}");
      out(asker, {reinterpret_cast<const std::uint8_t*>(answer.data()), answer.size()});
    }
    askers_.clear();
    office_.process(now, out);
  }
  Instant nextDeadline() const override { return office_.nextDeadline(); }

 private:
  static constexpr std::string_view kReread = "thistlefold reread 1\n";

  Office& office_;
  std::function<std::string()> reread_;
  std::vector<std::pair<iax2::Address, std::string>> askers_;
};

int serve(const std::string& path) {
  const settings::OfficeFile file = settings::openOfficeFile(path);
  const std::string& name = file.fleet.places[static_cast<std::size_t>(file.options.place)].name;
  Lines lines(openLog(file.log), name, file.log.format == "json");
  Host host(file.listen);
  Office office(file.fleet, file.options, host.clock().now(), makeController, std::ref(lines));
  // Budgets alone are read anew; for all else an office is started anew.
  const auto rereadBudgets = [&]() -> std::string {
    try {
      const Fleet fleet = settings::openFleet(file.fleetPath);
      if (fleet.zones() != file.fleet.zones() || fleet.offeredServices.size() != file.fleet.offeredServices.size()) {
        throw settings::SettingsError(file.fleetPath + ": other zones or services than this office was started with");
      }
      office.budgets(host.clock().now(), fleet.budgets);
      lines.say(spdlog::level::info, "budgets", 0, "", std::to_string(fleet.budgets.size()) + " taken");
      return "taken " + std::to_string(fleet.budgets.size()) + "\n";
    } catch (const settings::SettingsError& wrong) {
      std::string what = wrong.what();
      std::replace(what.begin(), what.end(), '"', '\'');
      lines.say(spdlog::level::err, "budgets", 0, "", what + "; they stay as they were");
      return what + "; they stay as they were\n";
    }
  };
  Counter counter(office, rereadBudgets);

  asio::signal_set ends(host.context(), SIGTERM, SIGINT), levels(host.context(), SIGUSR1),
      reread(host.context(), SIGHUP);
  const auto untilStopped = [&]() -> asio::awaitable<void> {
    const Instant latest = host.clock().now() + kStopWithin;
    const auto timer = host.clock().timer();
    while (!office.stopped() && host.clock().now() < latest) {
      timer->set(host.clock().now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    host.stop();
  };
  ends.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    lines.say(spdlog::level::info, "stopping", 0, "", std::to_string(office.sessions()) + " sessions held");
    office.stop(host.clock().now());
    host.runner().wakeUp();
    asio::co_spawn(host.context(), untilStopped(), asio::detached);
  });
  std::function<void()> onLevel = [&] {
    levels.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      auto& log = lines.log();
      log.set_level(log.level() == spdlog::level::debug ? spdlog::level::info : spdlog::level::debug);
      lines.say(spdlog::level::info, "log-level", 0, "", log.level() == spdlog::level::debug ? "debug" : "info");
      onLevel();
    });
  };
  onLevel();
  std::function<void()> onHup = [&] {
    reread.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      rereadBudgets();
      host.runner().wakeUp();
      onHup();
    });
  };
  onHup();
  std::cout << "listening " << text(host.port().address()) << std::endl;
  lines.say(spdlog::level::info, "started", 0, "",
            "listening at " + text(host.port().address()) + ", receive buffer " +
                std::to_string(host.port().counts().receiveBuffer) + " bytes");
  host.run(counter);
  lines.say(spdlog::level::info, "stopped", 0, "", std::to_string(office.sessions()) + " sessions left");
  return office.stopped() ? 0 : 1;
}

}  // namespace

void addServe(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("serve", "Run one office: a softswitch on a UDP socket");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "the office file")->required();
  command->footer(
      "Prints `listening ADDRESS:PORT` when it takes calls. SIGTERM: takes nothing new, ends all it holds with one\n"
      "answer each, gone within two seconds; status 0 if all was confirmed. SIGUSR1: log level between info and "
      "debug.\n"
      "SIGHUP: the fleet file's budgets between zones are read anew.");
  command->callback([=, &status] {
    try {
      status = serve(*path);
    } catch (const settings::SettingsError& wrong) {
      std::cerr << wrong.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
