// An in-memory object store for tests and measurements; see
// docs/store-protocol.md and src/store/store_standin.h.

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>
#include <boost/program_options.hpp>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/system_clock.h"
#include "store/store_standin.h"

namespace {

using dragonflytack::EventLoop;
using dragonflytack::HostPort;
using dragonflytack::StoreFaults;
using dragonflytack::StoreStandin;
namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Accepts loopback addresses only, so that the stand-in cannot be reached from
// other hosts.
std::optional<HostPort> ParseLoopback(const std::string& text) {
  const std::optional<HostPort> address = HostPort::Parse(text);
  return address && address->address.starts_with("127.") ? address
                                                         : std::nullopt;
}

void OnSignal(evutil_socket_t, short, void* loop) {
  static_cast<EventLoop*>(loop)->Stop();
}

int Run(const HostPort& listen,
        const HostPort& admin,
        const StoreFaults& faults) {
  // Writing to a connection that the caller has closed raises SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  const dragonflytack::SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  dragonflytack::Failure reason;
  const std::unique_ptr<StoreStandin> standin =
      StoreStandin::Make(loop.get(), listen, admin, &reason);
  if (standin == nullptr) {
    fmt::print(stderr, "store_standin: {}\n", reason.ToString());
    return kExitFailed;
  }
  standin->SetFaults(faults);
  event* terminate = evsignal_new(loop->base(), SIGTERM, OnSignal, loop.get());
  event* interrupt = evsignal_new(loop->base(), SIGINT, OnSignal, loop.get());
  evsignal_add(terminate, nullptr);
  evsignal_add(interrupt, nullptr);
  fmt::print("listening on {}\n", listen.ToString());
  std::fflush(stdout);
  loop->Run();
  event_free(terminate);
  event_free(interrupt);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "store_standin: an object store in memory, for tests\n\nOptions");
  std::string listen;
  std::string admin;
  std::vector<std::string> faults_text;
  description.add_options()("help", "print this text")(
      "listen", options::value(&listen)->required(),
      "IP:port of the store, within 127.0.0.0/8")(
      "admin", options::value(&admin),
      "IP:port of the admin server, within 127.0.0.0/8")(
      "fault", options::value(&faults_text)->composing(),
      "NAME=VALUE; names: outage (off, refuse, hang, close, unavailable), "
      "delay_ms, lose_answers, writes_per_s, reads_per_s");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    fmt::print(stderr, "store_standin: {}\n", error.what());
    return kExitUsage;
  }
  const std::optional<HostPort> listen_address = ParseLoopback(listen);
  const std::optional<HostPort> admin_address = ParseLoopback(admin);
  StoreFaults faults;
  for (const std::string& text : faults_text) {
    const size_t equals = std::min(text.find('='), text.size());
    if (equals == text.size() ||
        !faults.Set(text.substr(0, equals), text.substr(equals + 1))) {
      fmt::print(stderr, "store_standin: invalid fault \"{}\"\n", text);
      return kExitUsage;
    }
  }
  if (!listen_address || (!admin.empty() && !admin_address)) {
    fmt::print(stderr,
               "store_standin: an address is not an IP:port in 127.0.0.0/8\n");
    return kExitUsage;
  }
  return Run(*listen_address, admin_address.value_or(HostPort{}), faults);
}
