#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int BoundSocket(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t question = target.find('?');
  if (question == std::string::npos) {
    return "";
  }
  std::istringstream items(target.substr(question + 1));
  for (std::string item; std::getline(items, item, '&');) {
    if (item.rfind(name + "=", 0) == 0) {
      return item.substr(name.size() + 1);
    }
  }
  return "";
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    throw CannotRun{"the record can't be written"};
  }
}

Record::~Record() {
  fclose(file_);
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fprintf(file_, "%8.3f  %s\n", Now(), text.c_str());
  fflush(file_);
}

Socket::~Socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

Socket Socket::Connect(const std::string& ip, int port, double seconds) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Socket result(fd);
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    pollfd event{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&event, 1, static_cast<int>(seconds * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return Socket();
    }
  }
  fcntl(fd, F_SETFL, flags);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return result;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

bool Socket::Send(const std::string& bytes) {
  return SendAll(fd_, bytes);
}

std::string Message::Find(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (Lower(key) == name) {
      return value;
    }
  }
  return "";
}

std::string Message::Method() const {
  return start.substr(0, start.find(' '));
}

std::string Message::Target() const {
  const size_t first = start.find(' ');
  const size_t last = start.rfind(' ');
  return start.substr(first + 1, last - first - 1);
}

int Message::Status() const {
  const size_t space = start.find(' ');
  return space == std::string::npos ? 0 : atoi(start.c_str() + space);
}

bool Reader::Fill(double until) {
  const double left = until - Now();
  pollfd event{fd_, POLLIN, 0};
  if (left <= 0 || poll(&event, 1, static_cast<int>(left * 1000) + 1) != 1) {
    timed_out_ = true;
    return false;
  }
  char bytes[65536];
  const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    ended_ = true;
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(size));
  return true;
}

bool Reader::ReadHead(Message* message, double seconds) {
  const double until = Now() + seconds;
  *message = Message();
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  std::istringstream lines(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message->start.empty()) {
      message->start = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message->headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return true;
}

bool Reader::ReadBytes(size_t size, std::string* bytes, double seconds) {
  const double until = Now() + seconds;
  while (buffer_.size() < size) {
    if (!Fill(until)) {
      return false;
    }
  }
  *bytes = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Reader::Read(Message* message, double seconds, bool no_body) {
  const double until = Now() + seconds;
  if (!ReadHead(message, seconds)) {
    return false;
  }
  const std::string length = message->Find("content-length");
  return no_body || length.empty() ||
         ReadBytes(static_cast<size_t>(atoll(length.c_str())), &message->body,
                   until - Now());
}

Listener::Listener(const std::string& ip,
                   int port,
                   std::function<void(Socket)> serve)
    : fd_(BoundSocket(ip, port)), serve_(std::move(serve)) {
  if (fd_ < 0 || listen(fd_, 512) != 0) {
    throw CannotRun{"the port " + std::to_string(port) + " of " + ip +
                    " is in use"};
  }
  thread_ = std::thread([this] {
    while (!stop_) {
      pollfd event{fd_, POLLIN, 0};
      if (poll(&event, 1, 100) != 1) {
        continue;
      }
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { serve_(Socket(fd)); }).detach();
    }
  });
}

Listener::~Listener() {
  stop_ = true;
  thread_.join();
  close(fd_);
}

Store::Store(const std::string& ip, int port)
    : listener_(std::make_unique<Listener>(ip, port, [this](Socket socket) {
        Serve(std::move(socket));
      })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
}

json Store::PutLocked(const std::string& kind,
                      const std::string& name,
                      json spec) {
  ++revision_;
  json& object = objects_[{kind, name}];
  const uint64_t created =
      object.is_null() ? revision_
                       : object["metadata"]["create_revision"].get<uint64_t>();
  object = {{"metadata",
             {{"name", name},
              {"revision", revision_},
              {"create_revision", created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", std::move(spec)},
            {"status", nullptr}};
  changes_.push_back({revision_, kind, object});
  changed_.notify_all();
  return object;
}

void Store::Put(const std::string& kind, const std::string& name, json spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  PutLocked(kind, name, std::move(spec));
}

std::vector<std::string> Store::Kinds() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> kinds;
  for (const auto& [key, object] : objects_) {
    if (kinds.empty() || kinds.back() != key.first) {
      kinds.push_back(key.first);
    }
  }
  return kinds;
}

std::string Store::Overwrite(const std::string& kind, const json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [key, object] : objects_) {
    if (key.first == kind) {
      names.push_back(key.second);
    }
  }
  std::string text;
  for (const std::string& name : names) {
    text += kind + "/" + name + " was " +
            objects_[{kind, name}]["spec"].dump() + ", now " + spec.dump();
    PutLocked(kind, name, spec);
  }
  return text;
}

void Store::Serve(Socket socket) {
  Reader reader(socket.fd());
  Message request;
  while (reader.Read(&request, 60)) {
    const auto [status, body] = Handle(request);
    const std::string text = body.dump();
    if (!socket.Send("HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

std::pair<int, json> Store::Handle(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const size_t kind_at = std::string("/objects/").size();
  if (path.size() <= kind_at) {
    return {404, json::object()};
  }
  const size_t slash = path.find('/', kind_at);
  const std::string kind = path.substr(kind_at, slash - kind_at);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string watch = QueryValue(target, "watch");
  if (request.Method() == "GET" && !watch.empty()) {
    const auto from = static_cast<uint64_t>(atoll(watch.c_str()));
    const std::string wait = QueryValue(target, "wait_ms");
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(atoi(wait.c_str()));
    while (true) {
      json events = json::array();
      for (const Change& change : changes_) {
        if (change.revision > from && change.kind == kind) {
          events.push_back({{"object", change.object}, {"deleted", false}});
        }
      }
      if (!events.empty() || stop_ ||
          changed_.wait_until(lock, until) == std::cv_status::timeout) {
        return {200, {{"events", events}, {"at", revision_}}};
      }
    }
  }
  const auto found = objects_.find({kind, name});
  if (request.Method() == "GET") {
    if (!name.empty()) {
      return found == objects_.end() ? std::pair(404, json::object())
                                     : std::pair(200, found->second);
    }
    json items = json::array();
    for (const auto& [key, object] : objects_) {
      if (key.first == kind) {
        items.push_back(object);
      }
    }
    return {200, {{"items", items}, {"has_more", false}, {"at", revision_}}};
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    return {400, json::object()};
  }
  if (request.Method() == "POST") {
    const std::string created = body["metadata"].value("name", "");
    const auto existing = objects_.find({kind, created});
    return existing != objects_.end()
               ? std::pair(409, existing->second)
               : std::pair(200, PutLocked(kind, created, body["spec"]));
  }
  if (found == objects_.end()) {
    return {404, json::object()};
  }
  const uint64_t revision = body["metadata"].value("revision", uint64_t{0});
  if (revision != 0 && revision != found->second["metadata"]["revision"]) {
    return {409, found->second};
  }
  return {200, PutLocked(kind, name, body["spec"])};
}

json Configuration(uint32_t version,
                   const std::vector<Route>& routes,
                   const std::vector<std::string>& services) {
  json rows = json::array();
  for (const Route& route : routes) {
    rows.push_back({route.name, "desk.example", route.prefix, route.kind,
                    route.timeout, route.target_latency, 1, route.service,
                    route.attempts, nullptr});
  }
  json service_rows = json::array();
  for (const std::string& service : services) {
    service_rows.push_back({service, "/healthz", 120, "h1", false});
  }
  char text[9];
  snprintf(text, sizeof(text), "%08x", version);
  return {
      {"version", text},
      {"routes",
       {{"columns",
         {"name", "host", "path_prefix", "kind", "timeout", "target_latency",
          "priority", "service", "attempts", "traffic_split"}},
        {"rows", rows}}},
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

Node::Node(const std::string& repository,
           const std::string& folder,
           const std::string& ip,
           const std::string& zone,
           const std::string& region,
           const std::string& service,
           const std::string& store)
    : repository_(repository),
      folder_(folder),
      ip_(ip),
      zone_(zone),
      region_(region),
      service_(service),
      store_(store) {}

Node::~Node() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Node::Start() {
  const std::map<std::string, std::string> fields = {
      {"node_id", "sidecar-" + ip_},
      {"region", region_},
      {"zone", zone_},
      {"ip", ip_},
      {"service", service_},
      {"listen_addresses.outbound", ip_ + ":8304"},
      {"listen_addresses.inbound", ip_ + ":8300"},
      {"listen_addresses.ready_address", ip_ + ":8302"},
      {"listen_addresses.control", ip_ + ":8306"},
      {"internal_port_range.0", "7620"},
      {"internal_port_range.1", "7635"},
      {"platform.address", store_},
      {"app_address", ip_ + ":8301"},
      {"heartbeat", "1500ms"},
      {"bounds.grace", "6s"},
      {"bounds.drain", drain_},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_window", "10s"},
      {"bounds.budget_slack", "60"}};
  std::ifstream input(repository_ + "/deploy/settings.ini");
  std::stringstream all;
  all << input.rdbuf();
  std::string text = all.str();
  if (text.empty()) {
    throw CannotRun{"deploy/settings.ini can't be read"};
  }
  for (size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    const size_t end = text.find("}}", at);
    const auto field = fields.find(text.substr(at + 2, end - at - 2));
    text.replace(at, end + 2 - at, field == fields.end() ? "" : field->second);
  }
  const std::string path = folder_ + "/" + ip_ + ".ini";
  std::ofstream(path) << text;
  const std::string program = repository_ + "/target/dragonflytackd-platform";
  if (access(program.c_str(), X_OK) != 0) {
    throw CannotRun{"target/dragonflytackd-platform is missing"};
  }
  const std::string log = folder_ + "/" + ip_ + ".log";
  const std::string variable = "DRAGONFLYTACK_CONFIG=" + path;
  const std::string search = "PATH=/usr/bin:/bin";
  char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()),
                               const_cast<char*>(search.c_str()), nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (chdir(repository_.c_str()) == 0) {
      execve(program.c_str(), arguments, environment);
    }
    _exit(127);
  }
}

void Node::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool Node::Wait(double seconds) {
  const double until = Now() + seconds;
  while (pid_ > 0) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    } else if (Now() >= until) {
      return false;
    } else {
      Sleep(0.005);
    }
  }
  return true;
}

bool Node::IsReady() const {
  Socket socket = Socket::Connect(ip_, kReady, 1);
  Message answer;
  return socket.ok() && socket.Send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
         Reader(socket.fd()).Read(&answer, 1) && answer.Status() == 200;
}

void Node::AwaitReady(double seconds) const {
  const double until = Now() + seconds;
  while (!IsReady()) {
    if (Now() > until) {
      throw CannotRun{"the node " + ip_ + " doesn't get ready"};
    }
    Sleep(0.05);
  }
}

Endpoint::Endpoint(const Node* node, std::string id, Handler handler, int slots)
    : node_(node),
      id_(std::move(id)),
      handler_(std::move(handler)),
      slots_(slots),
      born_(WallMillis()),
      listener_(std::make_unique<Listener>(
          node->ip(),
          kApp,
          [this](Socket socket) { Serve(std::move(socket)); })),
      beats_([this] {
        double next = 0;
        while (!stop_) {
          if (Now() >= next) {
            next = Now() + (sequence_ < 4 ? 0.4 : 1.5);
            Beat("ready");
          }
          Sleep(0.02);
        }
      }) {}

Endpoint::~Endpoint() {
  stop_ = true;
  beats_.join();
}

int Endpoint::Beat(const std::string& state) {
  return LateBeat(state, ++sequence_);
}

int Endpoint::LateBeat(const std::string& state, int sequence) {
  return Post(
      "heartbeat",
      {{"address", node_->ip() + ":" + std::to_string(kApp)},
       {"born", born_},
       {"info",
        {{"service", node_->service()},
         {"version", "v1"},
         {"zone", node_->zone()},
         {"slots", slots_}}},
       {"status",
        {{"state", state}, {"seq", sequence}, {"warmup_left", "0ms"}}}});
}

int Endpoint::Deregister() {
  return Post("deregister", {{"born", born_}});
}

int Endpoint::Post(const std::string& call, const json& body) const {
  const std::string text = body.dump();
  Socket socket = Socket::Connect(node_->ip(), kControl, 0.5);
  Message answer;
  if (!socket.ok() ||
      !socket.Send("POST /rpc?call=instances." + call + "&of=" + id_ +
                   " HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                   std::to_string(text.size()) + "\r\n\r\n" + text) ||
      !Reader(socket.fd()).Read(&answer, 1)) {
    return 0;
  }
  return answer.Status();
}

void Endpoint::Serve(Socket socket) {
  Reader reader(socket.fd());
  EndpointConnection connection{socket.fd(), 0, {}};
  Message request;
  while (reader.Read(&request, 60)) {
    if (request.Find("expected-instance") != id_) {
      socket.Send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " +
                  request.Find("attempt-id") + "\r\nUpstream-Instance: " + id_ +
                  "\r\nContent-Length: 0\r\n\r\n");
    } else if (!handler_(request, &connection)) {
      return;
    }
    ++connection.earlier;
  }
}

std::string EndpointResponse(const std::string& status_line,
                             const std::string& attempt,
                             const std::string& signature,
                             const std::string& body) {
  return "HTTP/1.1 " + status_line + "\r\nAttempt-Id: " + attempt +
         "\r\nUpstream-Signature: " + signature +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string NextAttemptId() {
  static std::atomic<uint64_t> next{0x9c41000000000000};
  char text[17];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(++next));
  return text;
}

std::string Request(const std::string& method,
                    const std::string& target,
                    const std::string& attempt,
                    int deadline_ms,
                    const std::string& body) {
  std::string text =
      method + " " + target +
      " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt +
      "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

Message Call(const Node& node,
             const std::string& request,
             double seconds,
             int* status) {
  Socket socket = Socket::Connect(node.ip(), kOutbound, 1);
  Message answer;
  *status = 0;
  if (socket.ok() && socket.Send(request) &&
      Reader(socket.fd()).Read(&answer, seconds)) {
    *status = answer.Status();
  }
  return answer;
}

std::string FindSubnet(int hosts) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 50; ++tries) {
    const std::string subnet = "127." + std::to_string(20 + random() % 200) +
                               "." + std::to_string(1 + random() % 250) + ".";
    bool is_free = true;
    for (int host = 1; host <= hosts; ++host) {
      for (const int port :
           {kInbound, kApp, kReady, kOutbound, kControl, 8309, 7620, 7635}) {
        const int fd = BoundSocket(subnet + std::to_string(host), port);
        is_free = is_free && fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (is_free) {
      return subnet;
    }
  }
  throw CannotRun{"no loopback network has free ports"};
}

}  // namespace review
