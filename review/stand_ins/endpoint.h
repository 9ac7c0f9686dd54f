// A stand-in for an application endpoint: it serves requests as PROTOCOL.md
// says and reports its state to the control address of its machine.
#ifndef REVIEW_STAND_INS_ENDPOINT_H_
#define REVIEW_STAND_INS_ENDPOINT_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// A liveness report or a deregistration, ready to be sent.
struct Report {
  std::string target;
  std::string body;
};

class Endpoint final {
 public:
  struct Options {
    std::string name;
    std::string address;
    uint16_t port = 0;
    uint16_t control_port = 0;
    std::string service;
    std::string id;
    std::string zone;
    int slots = 12;
    size_t queue = 48;
    double work_s = 0.05;
    double heartbeat_s = 1.5;
  };
  struct Arrival {
    double at = 0;
    std::string attempt;
    std::string instance;
    std::string target;
    bool ran = false;
  };

  Endpoint(Options options, Record* record);
  ~Endpoint();

  // Starts a boot with the id, or the same one.
  bool Start();
  // Ends the boot as a crash does: nothing is said.
  void Crash();
  // Ends the process as after a planned shutdown.
  void Exit() { Crash(); }

  // Makes the next liveness report of this boot without sending it.
  Report MakeHeartbeat(const std::string& state);
  Report MakeDeregistration() const;
  // Sends a report. Returns the status of the answer, 0 if none came within a
  // second.
  int Send(const Report& report) const;
  // Sends a liveness report now. Returns whether it was acknowledged.
  bool Beat(const std::string& state);
  // Sends a deregistration now. No report follows it.
  bool Deregister();
  // Stops the periodic reports.
  void StopBeating() { beating_ = false; }

  std::vector<Arrival> TakeArrivals();
  const Options& options() const { return options_; }

 private:
  void Serve(int socket);
  void BeatLoop(uint64_t boot);
  std::string Run(const Message& request, int socket);

  const Options options_;
  Record* const record_;
  std::unique_ptr<Server> server_;
  std::thread beater_;
  std::atomic<uint64_t> boot_ = 0;
  std::atomic<bool> beating_ = false;
  std::atomic<bool> draining_ = false;
  int64_t born_ms_ = 0;
  std::atomic<int64_t> sequence_ = 0;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  size_t waiting_ = 0;
  std::vector<Arrival> arrivals_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_ENDPOINT_H_
