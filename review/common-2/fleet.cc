#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>

namespace review {

using nlohmann::json;

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  const std::lock_guard lock(mutex_);
  file_ << time << text << "\n" << std::flush;
}

Store::Store(Address address, Record* record)
    : address_(std::move(address)), record_(record) {
  std::thread([this, listener = Listen(address_)] {
    Accept(listener);
  }).detach();
}

void Store::Accept(int listener) {
  while (true) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
}

void Store::Serve(int fd) {
  Reader reader(fd);
  while (const auto request = reader.Read()) {
    if (!SendAll(fd, Handle(*request))) {
      break;
    }
  }
  close(fd);
}

namespace {

std::string JsonResponse(int status, const json& body) {
  return Response(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::map<std::string, std::string> ParseQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, '&')) {
    const size_t at = part.find('=');
    query[part.substr(0, at)] =
        at == std::string::npos ? "" : part.substr(at + 1);
  }
  return query;
}

}  // namespace

std::string Store::Handle(const Message& request) {
  const size_t mark = request.second.find('?');
  const std::string path = request.second.substr(0, mark);
  const auto query = ParseQuery(
      mark == std::string::npos ? "" : request.second.substr(mark + 1));
  std::vector<std::string> parts;
  std::istringstream split(path);
  std::string part;
  while (std::getline(split, part, '/')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  if (parts.size() < 2 || parts[0] != "objects") {
    return JsonResponse(404, json::object());
  }
  const std::string& kind = parts[1];
  if (request.first == "GET") {
    if (query.contains("watch")) {
      return Watch(
          kind, std::stoull(query.at("watch")),
          query.contains("wait_ms") ? std::stoi(query.at("wait_ms")) : 0);
    }
    const std::lock_guard lock(mutex_);
    if (parts.size() == 3) {
      const auto found = objects_[kind].find(parts[2]);
      return found == objects_[kind].end() ? JsonResponse(404, json::object())
                                           : JsonResponse(200, found->second);
    }
    json items = json::array();
    for (const auto& [name, object] : objects_[kind]) {
      if (!query.contains("after") || name > query.at("after")) {
        items.push_back(object);
      }
    }
    return JsonResponse(
        200, {{"items", items}, {"has_more", false}, {"at", revision_}});
  }
  const std::lock_guard lock(mutex_);
  if (request.first == "DELETE" && parts.size() == 3) {
    auto& objects = objects_[kind];
    const auto found = objects.find(parts[2]);
    if (found == objects.end()) {
      return JsonResponse(404, json::object());
    }
    if (query.contains("revision") &&
        std::stoull(query.at("revision")) !=
            found->second["metadata"]["revision"].get<uint64_t>()) {
      return JsonResponse(409, found->second);
    }
    ++revision_;
    events_.push_back({revision_, kind, found->second, true});
    objects.erase(found);
    changed_.notify_all();
    return JsonResponse(200, json::object());
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    return JsonResponse(400, json::object());
  }
  if (request.first == "POST" && parts.size() == 2) {
    return Write(kind, body["metadata"].value("name", ""), body, true, false);
  }
  if (request.first == "PUT" && parts.size() >= 3) {
    return Write(kind, parts[2], body, false,
                 parts.size() == 4 && parts[3] == "status");
  }
  return JsonResponse(404, json::object());
}

std::string Store::Write(const std::string& kind,
                         const std::string& name,
                         const json& body,
                         bool create,
                         bool is_status) {
  auto& objects = objects_[kind];
  const auto found = objects.find(name);
  if (create != (found == objects.end())) {
    return create ? JsonResponse(409, found->second)
                  : JsonResponse(404, json::object());
  }
  json object = create ? json{{"metadata", {{"name", name}}},
                              {"spec", nullptr},
                              {"status", nullptr}}
                       : found->second;
  const json& metadata = body["metadata"];
  if (!create && metadata.contains("revision") &&
      metadata["revision"] != object["metadata"]["revision"]) {
    return JsonResponse(409, object);
  }
  const json before = object;
  const char* const member = is_status ? "status" : "spec";
  object[member] = body.contains(member) ? body[member] : json();
  if (!create && object == before) {
    return JsonResponse(200, object);
  }
  object["metadata"]["revision"] = ++revision_;
  if (create) {
    object["metadata"]["create_revision"] = revision_;
  }
  objects[name] = object;
  events_.push_back({revision_, kind, object, false});
  changed_.notify_all();
  return JsonResponse(create ? 201 : 200, object);
}

std::string Store::Watch(const std::string& kind, uint64_t after, int wait_ms) {
  std::unique_lock lock(mutex_);
  json events = json::array();
  const auto collect = [&] {
    for (const Event& event : events_) {
      if (event.kind == kind && event.revision > after) {
        events.push_back(
            {{"object", event.object}, {"deleted", event.deleted}});
      }
    }
    return !events.empty();
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
  return JsonResponse(200, {{"events", events}, {"at", revision_}});
}

void Store::WriteConfiguration(const json& configuration) {
  const std::lock_guard lock(mutex_);
  const bool create = !objects_["config"].contains("main");
  Write("config", "main",
        {{"metadata", {{"name", "main"}}}, {"spec", configuration}}, create,
        false);
  record_->Line("the store acknowledges configuration " +
                configuration["version"].get<std::string>());
}

Relay::Relay(Address from, Address to)
    : from_(std::move(from)), to_(std::move(to)) {
  std::thread([this, listener = Listen(from_)] { Accept(listener); }).detach();
}

void Relay::Accept(int listener) {
  while (true) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int out = Connect(to_, 1.0);
    if (out < 0) {
      close(fd);
      continue;
    }
    auto pair = std::make_shared<Pair>();
    pair->a = fd;
    pair->b = out;
    {
      const std::lock_guard lock(mutex_);
      pairs_.remove_if([](const auto& item) { return item.expired(); });
      pairs_.push_back(pair);
    }
    std::thread([pair] { Copy(pair, true); }).detach();
    std::thread([pair] { Copy(pair, false); }).detach();
  }
}

// Bytes that arrive after the connection went silent are lost, and neither end
// learns of it.
void Relay::Copy(std::shared_ptr<Pair> pair, bool forward) {
  const int from = forward ? pair->a : pair->b;
  const int to = forward ? pair->b : pair->a;
  char bytes[65536];
  while (true) {
    const ssize_t size = recv(from, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      break;
    }
    if (!pair->silent &&
        !SendAll(to, std::string(bytes, static_cast<size_t>(size)))) {
      break;
    }
  }
  if (!pair->silent) {
    shutdown(to, SHUT_WR);
  }
}

void Relay::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  for (const auto& item : pairs_) {
    if (const auto pair = item.lock()) {
      pair->silent = true;
    }
  }
}

void Runs::Add(const Run& run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(run);
}

std::vector<Run> Runs::All() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Machine::Machine(const NodeOptions& options,
                 uint16_t base_port,
                 const Address& store,
                 const std::string& folder,
                 Runs* runs,
                 Record* record,
                 const Bounds& bounds)
    : options_(options),
      base_port_(base_port),
      folder_(folder),
      bounds_(bounds),
      runs_(runs),
      record_(record),
      store_relay_({options.ip, static_cast<uint16_t>(base_port + 9)}, store),
      instance_("i-" + NewId()),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  work_ = [](const Message&) {
    Sleep(0.02);
    return std::string();
  };
}

Machine::~Machine() {
  StopDaemon();
}

// Renders the template of the deploy file.
std::string Machine::WriteSettings() const {
  std::ifstream file(Repository() + "/deploy/settings.ini");
  std::stringstream content;
  content << file.rdbuf();
  std::string text = content.str();
  const std::map<std::string, std::string> values = {
      {"node_id", options_.id},
      {"region", options_.region},
      {"zone", options_.zone},
      {"ip", options_.ip},
      {"service", options_.service},
      {"listen_addresses.outbound", outbound().Text()},
      {"listen_addresses.inbound", Address{options_.ip, port(0)}.Text()},
      {"listen_addresses.ready_address", ready().Text()},
      {"listen_addresses.control", control().Text()},
      {"internal_port_range.0", std::to_string(port(7))},
      {"internal_port_range.1", std::to_string(port(8))},
      {"platform.address", store_relay_.address().Text()},
      {"app_address", endpoint().Text()},
      {"heartbeat", "1500ms"},
      {"bounds.drain", bounds_.drain},
      {"bounds.grace", bounds_.grace},
      {"bounds.retry_budget_ratio", bounds_.retry_budget_ratio},
      {"bounds.budget_window", bounds_.budget_window},
      {"bounds.budget_slack", bounds_.budget_slack},
      {"bounds.quota_window", bounds_.quota_window},
      {"bounds.quota_over", bounds_.quota_over},
      {"bounds.quota_slack", bounds_.quota_slack}};
  std::string result;
  size_t at = 0;
  while (at < text.size()) {
    const size_t begin = text.find("{{", at);
    if (begin == std::string::npos) {
      result += text.substr(at);
      break;
    }
    const size_t end = text.find("}}", begin);
    result += text.substr(at, begin - at);
    const auto found = values.find(text.substr(begin + 2, end - begin - 2));
    result += found == values.end() ? "" : found->second;
    at = end + 2;
  }
  const std::string path = folder_ + "/" + options_.id + ".ini";
  std::ofstream(path) << result;
  return path;
}

void Machine::StartDaemon() {
  const std::string settings = "DRAGONFLYTACK_CONFIG=" + WriteSettings();
  const std::string log = folder_ + "/" + options_.id + ".log";
  const std::string repository = Repository();
  const std::string path =
      std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
  daemon_ = fork();
  if (daemon_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(repository.c_str()) != 0) {
      _exit(2);
    }
    char program[] = "target/dragonflytackd-platform";
    char* arguments[] = {program, nullptr};
    char* environment[] = {const_cast<char*>(settings.c_str()),
                           const_cast<char*>(path.c_str()), nullptr};
    execve(program, arguments, environment);
    _exit(2);
  }
}

void Machine::StopDaemon() {
  if (daemon_ > 0) {
    kill(daemon_, SIGKILL);
    waitpid(daemon_, nullptr, 0);
    daemon_ = -1;
  }
}

void Machine::StartEndpoint() {
  std::thread([this, listener = Listen(endpoint())] {
    AcceptCalls(listener);
  }).detach();
  std::thread([this] { SendHeartbeats(); }).detach();
}

void Machine::AcceptCalls(int listener) {
  while (true) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const std::lock_guard lock(endpoint_mutex_);
    if (endpoint_ended_) {
      close(fd);
      continue;
    }
    endpoint_connections_.insert(fd);
    std::thread([this, fd] { ServeCalls(fd); }).detach();
  }
}

std::set<std::string> Machine::EndEndpoint() {
  beats_ = false;
  const std::lock_guard lock(endpoint_mutex_);
  endpoint_ended_ = true;
  for (const int fd : endpoint_connections_) {
    shutdown(fd, SHUT_RDWR);
  }
  return at_work_;
}

void Machine::ServeCalls(int fd) {
  Reader reader(fd);
  while (const auto request = reader.Read()) {
    const std::string id = request->Header("attempt-id");
    const std::string expected = request->Header("expected-instance");
    if (!expected.empty() && expected != instance_) {
      SendAll(fd, Response(421,
                           {{"Attempt-Id", id},
                            {"Not-Executed", "1"},
                            {"Upstream-Instance", instance_}},
                           ""));
      continue;
    }
    {
      const std::lock_guard lock(endpoint_mutex_);
      if (endpoint_ended_) {
        break;
      }
      at_work_.insert(id);
    }
    runs_->Add({Now(), id, instance_, options_.service, request->second});
    record_->Line("run " + id + " by " + options_.service + " at " +
                  options_.id + " " + request->second);
    std::string response = work_(*request);
    if (response.empty()) {
      response = Response(200,
                          {{"Attempt-Id", id},
                           {"Upstream-Signature", "sig-" + id},
                           {"Upstream-Load", "1,0,12"}},
                          "body of " + id);
    }
    {
      const std::lock_guard lock(endpoint_mutex_);
      at_work_.erase(id);
      if (endpoint_ended_) {
        break;
      }
    }
    if (!SendAll(fd, response)) {
      break;
    }
  }
  const std::lock_guard lock(endpoint_mutex_);
  endpoint_connections_.erase(fd);
  close(fd);
}

std::string Machine::MakeHeartbeat(const std::string& state) {
  const json body = {
      {"address", endpoint().Text()},
      {"born", born_},
      {"info",
       {{"service", options_.service},
        {"version", "v1"},
        {"zone", options_.zone},
        {"slots", 12}}},
      {"status",
       {{"state", state}, {"seq", ++sequence_}, {"warmup_left", "0ms"}}}};
  return body.dump();
}

int Machine::SendReport(const std::string& call, const std::string& body) {
  const int fd = Connect(control(), 1.0);
  if (fd < 0) {
    return 0;
  }
  SetReadTimeout(fd, 1.0);
  SendAll(fd, "POST /rpc?call=instances." + call + "&of=" + instance_ +
                  " HTTP/1.1\r\nHost: " + control().Text() +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto response = Reader(fd).Read();
  close(fd);
  return response ? response->Status() : 0;
}

int Machine::Deregister() {
  return SendReport("deregister", json{{"born", born_}}.dump());
}

void Machine::SendHeartbeats() {
  while (true) {
    if (beats_) {
      SendReport("heartbeat", MakeHeartbeat("ready"));
    }
    Sleep(beats_ && sequence_ < 10 ? 0.3 : 1.5);
  }
}

bool Machine::IsReady() const {
  const int fd = Connect(ready(), 0.5);
  if (fd < 0) {
    return false;
  }
  SetReadTimeout(fd, 1.0);
  SendAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto response = Reader(fd).Read();
  close(fd);
  return response && response->Status() == 200;
}

Answer Call(const Address& to,
            const std::string& method,
            const std::string& host,
            const std::string& path,
            const std::string& id,
            int deadline_ms,
            const std::string& body,
            const std::string& key) {
  Answer answer;
  answer.sent = Now();
  const int fd = Connect(to, 1.0);
  if (fd >= 0) {
    SetReadTimeout(fd, deadline_ms / 1000.0);
    answer.sent = Now();
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nAttempt-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\n";
    if (!key.empty()) {
      text += "Key: " + key + "\r\n";
    }
    if (method != "GET") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    SendAll(fd, text + "\r\n" + body);
    if (const auto response = Reader(fd).Read()) {
      answer.status = response->Status();
      answer.headers = response->headers;
      answer.body = response->body;
    }
    close(fd);
  }
  answer.ended = Now();
  return answer;
}

void AwaitReady(const std::vector<std::unique_ptr<Machine>>& machines,
                double timeout) {
  const double end = Now() + timeout;
  for (const auto& machine : machines) {
    while (!machine->IsReady()) {
      if (Now() > end) {
        std::fprintf(stderr, "%s does not become ready\n",
                     machine->options().id.c_str());
        std::exit(2);
      }
      Sleep(0.1);
    }
  }
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

double Random(double least, double most) {
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(least, most)(random);
}

uint16_t FreeBasePort(const std::vector<std::string>& ips, int count) {
  std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const auto base = static_cast<uint16_t>(10000 + random() % 20000);
    bool is_free = true;
    for (const std::string& ip : ips) {
      for (int i = 0; i < count && is_free; ++i) {
        const int fd = Connect({ip, static_cast<uint16_t>(base + i)}, 0.2);
        if (fd >= 0) {
          close(fd);
          is_free = false;
        }
      }
    }
    if (is_free) {
      return base;
    }
  }
  std::fprintf(stderr, "no free ports\n");
  std::exit(2);
}

void Exit(const std::vector<std::unique_ptr<Machine>>& machines, int code) {
  for (const auto& machine : machines) {
    machine->StopDaemon();
  }
  std::fflush(nullptr);
  std::_Exit(code);
}

std::string Repository() {
  const char* const folder = std::getenv("REPOSITORY");
  if (folder == nullptr) {
    std::fprintf(stderr, "REPOSITORY is not set\n");
    std::exit(2);
  }
  return folder;
}

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

json MakeConfiguration(uint32_t version,
                       const std::vector<std::string>& services,
                       const std::vector<json>& routes) {
  char text[16];
  std::snprintf(text, sizeof(text), "%08x", version);
  json service_rows = json::array();
  for (const std::string& service : services) {
    service_rows.push_back({service, "/healthz", 120, "h1", false});
  }
  return {{"version", text},
          {"routes",
           {{"columns",
             {"name", "host", "path_prefix", "kind", "timeout",
              "target_latency", "priority", "attempts", "service"}},
            {"rows", routes}}},
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

}  // namespace review
