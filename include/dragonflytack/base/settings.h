#ifndef DRAGONFLYTACK_BASE_SETTINGS_H_
#define DRAGONFLYTACK_BASE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/logger.h"

namespace dragonflytack {

// The settings of one daemon, validated when they are loaded. The comments name
// the INI keys; the settings reference in docs/ lists units, ranges and
// defaults.
struct Settings final {
  // [node]
  std::string node_id;       // id
  std::string region;        // region
  std::string data_centre;   // data_centre
  std::string address;       // address: IP address of this host
  std::string service;       // service: that of the local target
  uint16_t call_port = 0;    // call_port
  uint16_t mesh_port = 0;    // mesh_port
  uint16_t peer_port = 0;    // peer_port
  uint16_t admin_port = 0;   // admin_port
  uint16_t ready_port = 0;   // ready_port; 0 if not set
  uint16_t target_port = 0;  // target_port: for announcements; 0 if not set
  // [store]
  HostPort store;               // address, port
  std::string store_region;     // region: the region nearest to the store
  int store_timeout_ms = 2000;  // timeout_ms
  bool watch_on_every_node =
      false;  // watch_on_every_node: baseline for benchmarks
  // [peers]
  std::vector<HostPort> seeds;  // seeds: IP:port, separated by commas
  // [security]
  std::string shared_key;     // shared_key; if empty, only loopback peers
  bool open_network = false;  // open_network: peers need no key
  // [trace]
  double trace_sample = 0.01;               // sample: share of calls, 0 to 1
  std::optional<HostPort> trace_collector;  // collector: IP:port
  // [log]
  LogLevel log_level = LogLevel::kInfo;  // level
  // [calls]
  int drain_timeout_ms =
      30'000;  // drain_timeout_ms: maximum wait for calls in flight at a stop
  int max_buffered_mb = 0;    // max_buffered_mb; 0 for a quarter of the memory
  int max_pipelined = 1;      // max_pipelined: requests of one connection of
                              // the call port that are processed at once
  bool routes_calls = false;  // addressing: "routes" instead of "services"
  // [input]
  int head_timeout_ms = 5'000;      // head_timeout: from its first byte on
  int body_timeout_ms = 10'000;     // body_timeout: without a byte of it
  int max_connections = 0;          // max_connections: of the call port and of
                                    // the mesh port; 0 for a part of the
                                    // descriptors
  int control_max_connections = 0;  // control_max_connections: of each other
                                    // HTTP port; 0 as above
  int control_buffered_mb = 8;      // control_buffered_mb: of these ports
  // [target]
  std::optional<HostPort> target_address;    // address: only this is accepted
  int target_heartbeat_timeout_ms = 15'000;  // heartbeat: four times its value
  int target_leaving_ms = 2'000;  // drain: no call later after a leaving
  // [retry]: in each window, the whole fleet may make at most ratio times the
  // number of calls of a service, plus slack, as retries of these calls
  double retry_ratio = 0.1;      // ratio
  int retry_window_ms = 10'000;  // window
  int retry_slack = 30;          // slack
  // [rollout]: a bad release gets at most exposure times the calls of its
  // service, plus exposure_slack, and none later than rollback after its 50th
  // bad response. Without exposure or rollback there are no roll-outs.
  double rollout_exposure = 0;     // exposure
  int rollout_exposure_slack = 0;  // exposure_slack
  int rollout_rollback_ms = 0;     // rollback

  bool has_rollouts() const {
    return rollout_exposure > 0 && rollout_rollback_ms > 0;
  }

  // [allowance]: bound of the calls of an account in each window, in the whole
  // fleet; see AllowanceBounds
  int allowance_window_ms = 0;  // window; 0 if no limit is to be enforced
  double allowance_over = 0;    // over
  int allowance_slack = 0;      // slack

  // Loads an INI file. Returns std::nullopt if a setting is missing, unknown or
  // invalid; `reason` then names the file and the line.
  static std::optional<Settings> Load(const std::string& path, Failure* reason);

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SETTINGS_H_
