// The daemons of a small deployment, a process each, and what they need.
#ifndef REVIEW_STAND_INS_FLEET_H_
#define REVIEW_STAND_INS_FLEET_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "endpoint.h"
#include "record.h"
#include "store.h"

namespace review {

inline constexpr uint16_t kInbound = 8300;
inline constexpr uint16_t kApp = 8301;
inline constexpr uint16_t kReady = 8302;
inline constexpr uint16_t kOutbound = 8304;
inline constexpr uint16_t kControl = 8306;
inline constexpr uint16_t kStore = 8309;
inline constexpr uint16_t kRelay = 8310;

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  std::string timeout;
  std::string target_latency;
  std::string service;
  int attempts = 2;
};

nlohmann::json MakeConfiguration(unsigned version,
                                 const std::vector<Route>& routes,
                                 const std::vector<std::string>& services);

// A machine: the daemon and the settings that the platform gives it.
class Node final {
 public:
  struct Options {
    std::string id;
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
    std::string store;
    std::string heartbeat = "1500ms";
    std::map<std::string, std::string> bounds;
  };

  Node(Options options, std::string folder, Record* record);
  ~Node();

  bool Start();
  void Signal(int signal);
  // Waits until the process has ended; kills it after `seconds`.
  void WaitForEnd(double seconds);
  bool IsReady() const;
  bool WaitUntilReady(double seconds) const;
  const Options& options() const { return options_; }

 private:
  const Options options_;
  const std::string folder_;
  Record* const record_;
  pid_t process_ = -1;
};

// A free block of loopback addresses and a temporary folder.
class Place final {
 public:
  Place();
  ~Place();
  std::string Ip(int host) const;
  const std::string& folder() const { return folder_; }
  bool ok() const { return !network_.empty(); }

 private:
  std::string network_;
  std::string folder_;
};

struct Answer {
  // 0 if no whole answer came.
  int status = 0;
  bool is_signed = false;
  std::string body;
  std::string headers;
  double sent_at = 0;
  double answered_at = 0;
  std::string attempt;
};

// Sends one request on a new connection to the machine's outbound address, for
// `path` below the prefix of the route.
Answer Call(const std::string& ip,
            const Route& route,
            const std::string& method,
            const std::string& attempt,
            int deadline_ms,
            Record* record,
            const std::string& path = "x");

}  // namespace review

#endif  // REVIEW_STAND_INS_FLEET_H_
