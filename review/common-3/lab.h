// A small deployment of the daemon of the deploy file on loopback addresses,
// with stand-ins for the store, the endpoints and the clients that follow
// PROTOCOL.md.
#ifndef REVIEW_COMMON_3_LAB_H_
#define REVIEW_COMMON_3_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

// Thrown if a case could not run.
struct CannotRun {
  std::string reason;
};

double Now();
void Sleep(double seconds);

// Writes record.txt. Each line begins with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};

// Sends all bytes. Returns false if the peer has gone.
bool SendAll(int fd, const std::string& bytes);

// A connected socket that is closed at the end.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  // Returns a socket that is not ok() if there is no connection in time.
  static Socket Connect(const std::string& ip, int port, double seconds);
  bool ok() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Send(const std::string& bytes);

 private:
  int fd_;
};

// A request or response with its whole body.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Value of the first header of this name in lower case, or "".
  std::string Find(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// Reads messages from one connection. Waits at most `seconds` for each.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Returns false at the end, after an error and after the time.
  bool Read(Message* message, double seconds, bool no_body = false);
  // Whether the last Read() failed because the time was over.
  bool timed_out() const { return timed_out_; }
  // Whether the peer ended the connection.
  bool ended() const { return ended_; }
  bool ReadHead(Message* message, double seconds);
  bool ReadBytes(size_t size, std::string* bytes, double seconds);

 private:
  bool Fill(double until);

  int fd_;
  bool timed_out_ = false;
  bool ended_ = false;
  std::string buffer_;
};

// Accepts connections and runs `serve` for each in a thread of its own.
class Listener {
 public:
  Listener(const std::string& ip, int port, std::function<void(Socket)> serve);
  ~Listener();

 private:
  int fd_;
  std::atomic<bool> stop_{false};
  std::function<void(Socket)> serve_;
  std::thread thread_;
};

// The platform's store: objects, revisions and watches.
class Store {
 public:
  Store(const std::string& ip, int port);
  ~Store();
  void Put(const std::string& kind, const std::string& name, json spec);
  std::vector<std::string> Kinds();
  // Replaces the value of each object of a kind. Returns what was replaced.
  std::string Overwrite(const std::string& kind, const json& spec);

 private:
  struct Change {
    uint64_t revision;
    std::string kind;
    json object;
  };
  void Serve(Socket socket);
  std::pair<int, json> Handle(const Message& request);
  json PutLocked(const std::string& kind, const std::string& name, json spec);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  bool stop_ = false;
  std::map<std::pair<std::string, std::string>, json> objects_;
  std::vector<Change> changes_;
  std::unique_ptr<Listener> listener_;
};

struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int attempts = 2;
  std::string timeout = "1200ms";
  std::string target_latency = "300ms";
};

// Returns the value of config/main.
json Configuration(uint32_t version,
                   const std::vector<Route>& routes,
                   const std::vector<std::string>& services);

// A machine with the daemon and an endpoint's address.
class Node {
 public:
  Node(const std::string& repository,
       const std::string& folder,
       const std::string& ip,
       const std::string& zone,
       const std::string& region,
       const std::string& service,
       const std::string& store);
  ~Node();
  // Replaces the bound `drain` of the settings.
  void set_drain(const std::string& drain) { drain_ = drain; }
  void Start();
  void Signal(int signal) const;
  // Waits for the end of the process. Returns false if it still runs.
  bool Wait(double seconds);
  bool IsReady() const;
  void AwaitReady(double seconds) const;
  const std::string& ip() const { return ip_; }
  const std::string& zone() const { return zone_; }
  const std::string& service() const { return service_; }

 private:
  const std::string repository_;
  const std::string folder_;
  const std::string ip_;
  const std::string zone_;
  const std::string region_;
  const std::string service_;
  const std::string store_;
  std::string drain_ = "2000ms";
  pid_t pid_ = -1;
};

constexpr int kInbound = 8300;
constexpr int kApp = 8301;
constexpr int kReady = 8302;
constexpr int kOutbound = 8304;
constexpr int kControl = 8306;

// What one connection of an endpoint gets.
struct EndpointConnection {
  int fd;
  // Number of requests on this connection before the present one.
  int earlier = 0;
  // Free for the handler.
  std::string note;
};

// The endpoint beside a node. Sends liveness reports, rejects requests that
// expect another instance, and passes the others to the handler, which answers.
class Endpoint {
 public:
  // Returns false to close the connection.
  using Handler =
      std::function<bool(const Message& request, EndpointConnection*)>;

  Endpoint(const Node* node, std::string id, Handler handler, int slots = 12);
  ~Endpoint();
  const std::string& id() const { return id_; }
  void StopBeats() { stop_ = true; }
  // Sends a report and returns the status of the answer, 0 if there is none.
  int Beat(const std::string& state);
  // Sends the report of an earlier moment, with that sequence number.
  int LateBeat(const std::string& state, int sequence);
  int Deregister();

 private:
  void Serve(Socket socket);
  int Post(const std::string& call, const json& body) const;

  const Node* node_;
  const std::string id_;
  const Handler handler_;
  const int slots_;
  const int64_t born_;
  std::atomic<int> sequence_{0};
  std::atomic<bool> stop_{false};
  std::unique_ptr<Listener> listener_;
  std::thread beats_;
};

// Returns a response of an endpoint with status, id, signature and body.
std::string EndpointResponse(const std::string& status_line,
                             const std::string& attempt,
                             const std::string& signature,
                             const std::string& body);

// Returns an id that was not returned before.
std::string NextAttemptId();

// Returns the bytes of a request.
std::string Request(const std::string& method,
                    const std::string& target,
                    const std::string& attempt,
                    int deadline_ms,
                    const std::string& body);

// Sends one request on a connection of its own. The status is 0 without a
// complete answer.
Message Call(const Node& node,
             const std::string& request,
             double seconds,
             int* status);

// Returns the first three parts of a loopback network whose ports are free.
std::string FindSubnet(int hosts);

struct Environment {
  std::string repository;
  std::string folder;
  bool trouble;
  Record* record;
};

// Returns 1 if the rule was broken, 0 if it held.
using Case = int (*)(const Environment&);
Case FindCase(const std::string& name);

}  // namespace review

#endif  // REVIEW_COMMON_3_LAB_H_
