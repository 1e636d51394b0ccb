#include "command/office_query.hpp"

#include <chrono>
#include <thread>

#include "command/host.hpp"

namespace thistlefold::command {
namespace {

// Three questions a second apart: one lost datagram, or an office that stands still for a second, is no silence.
constexpr int kQuestions = 3;
constexpr int kMillisecondsEach = 1000;
constexpr int kLook = 5;

}  // namespace

std::optional<std::string> queryOffice(iax2::Address office, std::string_view question) {
  Host host({0x7f000001, 0});
  std::optional<std::string> account;
  for (int i = 0; i < kQuestions * kMillisecondsEach / kLook && !account; ++i) {
    if (i % (kMillisecondsEach / kLook) == 0) {
      host.port().send(office, {reinterpret_cast<const std::uint8_t*>(question.data()), question.size()});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kLook));
    host.port().drain(16, [&](iax2::Address from, std::span<const std::uint8_t> bytes) {
      if (from == office) account = std::string(bytes.begin(), bytes.end());
    });
  }
  return account;
}

}  // namespace thistlefold::command
