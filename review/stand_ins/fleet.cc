#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The command of the deploy file, from the root of the repository.
std::string RunCommand() {
  const std::string text = ReadFile("deploy/system.toml");
  const std::string key = "\nrun = \"";
  const size_t begin = text.find(key);
  return begin == std::string::npos
             ? ""
             : text.substr(
                   begin + key.size(),
                   text.find('"', begin + key.size()) - (begin + key.size()));
}

std::string Render(std::string text,
                   const std::map<std::string, std::string>& values) {
  size_t begin = 0;
  while ((begin = text.find("{{")) != std::string::npos) {
    const size_t end = text.find("}}", begin);
    const auto found = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin,
                 found == values.end() ? "" : found->second);
  }
  return text;
}

}  // namespace

json MakeConfiguration(unsigned version,
                       const std::vector<Route>& routes,
                       const std::vector<std::string>& services) {
  char text[16];
  std::snprintf(text, sizeof(text), "%08x", version);
  json route_rows = json::array();
  for (const Route& route : routes) {
    route_rows.push_back({route.name, route.host, route.prefix, route.kind,
                          route.timeout, route.target_latency, 1, route.service,
                          route.attempts, nullptr});
  }
  json service_rows = json::array();
  for (const std::string& service : services) {
    service_rows.push_back({service, "/healthz", 120, "h1", false});
  }
  return {
      {"version", text},
      {"routes",
       {{"columns",
         {"name", "host", "path_prefix", "kind", "timeout", "target_latency",
          "priority", "service", "attempts", "traffic_split"}},
        {"rows", route_rows}}},
      {"services",
       {{"columns",
         {"name", "health_path", "max_connections", "protocol", "tls"}},
        {"rows", service_rows}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 67108864},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}}};
}

Node::Node(Options options, std::string folder, Record* record)
    : options_(std::move(options)),
      folder_(std::move(folder)),
      record_(record) {}

Node::~Node() {
  if (process_ > 0) {
    Signal(SIGKILL);
    WaitForEnd(5);
  }
}

bool Node::Start() {
  const auto listen = [this](uint16_t port) {
    return options_.ip + ":" + std::to_string(port);
  };
  std::map<std::string, std::string> values = {
      {"node_id", options_.id},
      {"region", options_.region},
      {"zone", options_.zone},
      {"ip", options_.ip},
      {"service", options_.service},
      {"app_address", listen(kApp)},
      {"heartbeat", options_.heartbeat},
      {"listen_addresses.outbound", listen(kOutbound)},
      {"listen_addresses.inbound", listen(kInbound)},
      {"listen_addresses.ready_address", listen(kReady)},
      {"listen_addresses.control", listen(kControl)},
      {"internal_port_range.0", "7620"},
      {"internal_port_range.1", "7635"},
      {"platform.address", options_.store}};
  for (const auto& [name, value] : options_.bounds) {
    values["bounds." + name] = value;
  }
  const std::string settings = folder_ + "/" + options_.id + ".ini";
  std::ofstream(settings) << Render(ReadFile("deploy/settings.ini"), values);
  const std::string command = RunCommand();
  const std::string log = folder_ + "/" + options_.id + ".log";
  process_ = fork();
  if (process_ == 0) {
    // The daemon must not outlive the script.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("DRAGONFLYTACK_CONFIG", settings.c_str(), 1);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(command.c_str(), command.c_str(), nullptr);
    _exit(127);
  }
  record_->Line("node %s starts at %s: process %d, %s", options_.id.c_str(),
                options_.ip.c_str(), static_cast<int>(process_),
                command.c_str());
  return process_ > 0;
}

void Node::Signal(int signal) {
  if (process_ > 0) {
    record_->Line("node %s gets signal %d", options_.id.c_str(), signal);
    kill(process_, signal);
  }
}

void Node::WaitForEnd(double seconds) {
  const TimePoint end = Clock::now() + std::chrono::milliseconds(
                                           static_cast<int>(seconds * 1000));
  int status = 0;
  while (process_ > 0 && waitpid(process_, &status, WNOHANG) == 0) {
    if (Clock::now() > end) {
      kill(process_, SIGKILL);
      waitpid(process_, &status, 0);
      break;
    }
    SleepFor(0.005);
  }
  record_->Line("node %s has ended: status %d", options_.id.c_str(), status);
  process_ = -1;
}

bool Node::IsReady() const {
  const int socket = Connect(options_.ip, kReady, 0.2);
  if (socket < 0) {
    return false;
  }
  Message answer;
  Reader reader(socket);
  const bool came =
      SendAll(socket, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
      reader.Read(Clock::now() + std::chrono::seconds(1), true, &answer);
  close(socket);
  return came && answer.Status() == 200;
}

bool Node::WaitUntilReady(double seconds) const {
  const double end = record_->Now() + seconds;
  while (!IsReady()) {
    if (record_->Now() > end) {
      return false;
    }
    SleepFor(0.05);
  }
  return true;
}

Place::Place() {
  const unsigned seed = static_cast<unsigned>(getpid());
  for (unsigned i = 0; i < 200 && network_.empty(); ++i) {
    const unsigned block = seed + i * 257;
    const std::string network = "127." + std::to_string(64 + block % 128) +
                                "." + std::to_string(block / 128 % 250) + ".";
    const int probe = Listen(network + "1", kOutbound);
    if (probe >= 0) {
      close(probe);
      network_ = network;
    }
  }
  const char* base = std::getenv("TMPDIR");
  std::string pattern =
      std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) != nullptr) {
    folder_ = pattern;
  }
}

Place::~Place() {
  std::error_code error;
  if (!folder_.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_, error);
  }
}

std::string Place::Ip(int host) const {
  return network_ + std::to_string(host);
}

Answer Call(const std::string& ip,
            const Route& route,
            const std::string& method,
            const std::string& attempt,
            int deadline_ms,
            Record* record,
            const std::string& path) {
  Answer result;
  result.attempt = attempt;
  result.sent_at = record->Now();
  record->Line("client sends %s %s %s%s%s to %s", attempt.c_str(),
               method.c_str(), route.host.c_str(), route.prefix.c_str(),
               path.c_str(), ip.c_str());
  const int socket = Connect(ip, kOutbound, 1);
  if (socket >= 0) {
    const std::string request =
        method + " " + route.prefix + path +
        " HTTP/1.1\r\nHost: " + route.host + "\r\nAttempt-Id: " + attempt +
        "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
        (method == "GET" ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
    Message answer;
    Reader reader(socket);
    if (SendAll(socket, request) &&
        reader.Read(Clock::now() + std::chrono::milliseconds(deadline_ms), true,
                    &answer)) {
      result.status = answer.Status();
      result.is_signed = !answer.Header("upstream-signature").empty();
      result.body = answer.body;
    }
    close(socket);
  }
  result.answered_at = record->Now();
  record->Line("client gets %s: %d%s %.80s", attempt.c_str(), result.status,
               result.is_signed ? " signed" : "", result.body.c_str());
  return result;
}

}  // namespace review
