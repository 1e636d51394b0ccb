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

// Longest wait for the far ends to confirm the releases sent on SIGTERM. Ends that haven't confirmed by then have to
// detect the loss of the office themselves.
constexpr Span kStopTimeout = Span::ms(2000);

// Creates the office's logger. Throws spdlog::spdlog_ex if the log file can't be opened.
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

/// Writes log lines for an office's events. Names consist of letters, digits, - and _ (the settings reader checks
/// that), so the reason is the only field that needs quotes in logfmt.
class EventLog {
 public:
  EventLog(std::shared_ptr<spdlog::logger> log, std::string office, bool json)
      : log_(std::move(log)), office_(std::move(office)), json_(json) {}

  void write(spdlog::level::level_enum level, std::string_view event, std::uint64_t session, std::string_view exchange,
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
  void operator()(const OfficeEvent& event) {
    using Kind = OfficeEvent::Kind;
    static constexpr std::string_view kEventNames[] = {"taken", "invited",   "stood",     "ended", "refused",
                                                       "cut",   "peer-lost", "peer-back", "listed"};
    const bool ofSession = event.kind <= Kind::dropped;
    write(ofSession                      ? spdlog::level::debug
          : event.kind == Kind::peerLost ? spdlog::level::warn
                                         : spdlog::level::info,
          kEventNames[static_cast<std::size_t>(event.kind)], event.session, event.exchange, event.reason);
  }
  spdlog::logger& log() { return *log_; }

 private:
  std::shared_ptr<spdlog::logger> log_;
  std::string office_;
  bool json_;
};

/// Datagram handler of the office's port: answers the queries of `thistlefold status` and `thistlefold zones`, and
/// passes all other datagrams on to the office.
class QueryHandler final : public DatagramHandler {
 public:
  /// `rereadBudgets` reads the fleet file's budgets and returns the answer to the request for it. `office` must outlive
  /// this handler.
  QueryHandler(Office& office, std::function<std::string()> rereadBudgets)
      : office_(office), rereadBudgets_(std::move(rereadBudgets)) {}
  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override {
    const std::string_view text(reinterpret_cast<const char*>(datagram.data()), datagram.size());
    // Queries are answered to this host only: the answers are not public, and being longer than the queries they could
    // be used for amplification. Messages between offices and from the directory also begin with "thistlefold" but are
    // not queries.
    const bool isQuery = text.starts_with("thistlefold status ") || text.starts_with("thistlefold zones ") ||
                         text.starts_with("thistlefold series ") || text == kReread;
    if (isQuery && from.ip >> 24 == 127) {
      if (queries_.size() < 16) queries_.emplace_back(from, text);
    } else {
      office_.receive(now, from, datagram);
    }
  }
  void process(Instant now, const DatagramSender& out) override {
    for (const auto& [sender, query] : queries_) {
      const std::string answer = query == kReread ? rereadBudgets_() : office_.answerQuery(now, query).value_or("{}");
      out(sender, {reinterpret_cast<const std::uint8_t*>(answer.data()), answer.size()});
    }
    queries_.clear();
    office_.process(now, out);
  }
  Instant nextDeadline() const override { return office_.nextDeadline(); }

 private:
  static constexpr std::string_view kReread = "thistlefold reread 1\n";

  Office& office_;
  std::function<std::string()> rereadBudgets_;
  std::vector<std::pair<iax2::Address, std::string>> queries_;
};

/// Runs the office of this office file until SIGTERM or SIGINT. Returns the exit status. Throws SettingsError for a
/// faulty file, std::runtime_error if the socket can't be bound or fails.
int serve(const std::string& path) {
  const settings::OfficeFile file = settings::openOfficeFile(path);
  const std::string& name = file.fleet.places[static_cast<std::size_t>(file.options.place)].name;
  EventLog eventLog(openLog(file.log), name, file.log.format == "json");
  Host host(file.listen);
  Office office(file.fleet, file.options, host.clock().now(), makeController, std::ref(eventLog));
  // Only budgets can be changed in service; all other settings take effect when the office is restarted.
  const auto rereadBudgets = [&]() -> std::string {
    try {
      const Fleet fleet = settings::openFleet(file.fleetPath);
      if (fleet.zones() != file.fleet.zones() || fleet.offeredServices.size() != file.fleet.offeredServices.size()) {
        throw settings::SettingsError(file.fleetPath +
                                      ": its zones or services differ from those that this office was started with");
      }
      office.updateBudgets(host.clock().now(), fleet.budgets);
      eventLog.write(spdlog::level::info, "budgets", 0, "", std::to_string(fleet.budgets.size()) + " taken");
      return "taken " + std::to_string(fleet.budgets.size()) + "\n";
    } catch (const settings::SettingsError& error) {
      std::string message = error.what();
      std::replace(message.begin(), message.end(), '"', '\'');
      eventLog.write(spdlog::level::err, "budgets", 0, "", message + "; they stay as they were");
      return message + "; they stay as they were\n";
    }
  };
  QueryHandler handler(office, rereadBudgets);

  asio::signal_set terminate(host.context(), SIGTERM, SIGINT), toggleLevel(host.context(), SIGUSR1),
      hangUp(host.context(), SIGHUP);
  const auto untilStopped = [&]() -> asio::awaitable<void> {
    const Instant deadline = host.clock().now() + kStopTimeout;
    const auto timer = host.clock().makeTimer();
    while (!office.stopped() && host.clock().now() < deadline) {
      timer->set(host.clock().now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    host.stop();
  };
  terminate.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    eventLog.write(spdlog::level::info, "stopping", 0, "", std::to_string(office.sessions()) + " sessions in progress");
    office.stop(host.clock().now());
    host.runner().wakeUp();
    asio::co_spawn(host.context(), untilStopped(), asio::detached);
  });
  std::function<void()> waitForToggleLevel = [&] {
    toggleLevel.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      auto& log = eventLog.log();
      log.set_level(log.level() == spdlog::level::debug ? spdlog::level::info : spdlog::level::debug);
      eventLog.write(spdlog::level::info, "log-level", 0, "", log.level() == spdlog::level::debug ? "debug" : "info");
      waitForToggleLevel();
    });
  };
  waitForToggleLevel();
  std::function<void()> waitForHangUp = [&] {
    hangUp.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      rereadBudgets();
      host.runner().wakeUp();
      waitForHangUp();
    });
  };
  waitForHangUp();
  std::cout << "listening " << text(host.port().address()) << std::endl;
  eventLog.write(spdlog::level::info, "started", 0, "",
                 "listening at " + text(host.port().address()) + ", receive buffer " +
                     std::to_string(host.port().counters().receiveBufferBytes) + " bytes");
  host.run(handler);
  eventLog.write(spdlog::level::info, "stopped", 0, "", std::to_string(office.sessions()) + " sessions remaining");
  return office.stopped() ? 0 : 1;
}

}  // namespace

void addServe(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("serve", "Run one office: a softswitch on a UDP socket");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "the office file")->required();
  command->footer(
      "Prints `listening ADDRESS:PORT` once it accepts calls. SIGTERM: accepts no new session, ends each open one\n"
      "with a single answer and exits within two seconds; the exit status is 0 if all far ends have confirmed.\n"
      "SIGUSR1: toggles the log level between info and debug. SIGHUP: reads the budgets between zones from the\n"
      "fleet file again.");
  command->callback([=, &status] {
    try {
      status = serve(*path);
    } catch (const settings::SettingsError& error) {
      std::cerr << error.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
