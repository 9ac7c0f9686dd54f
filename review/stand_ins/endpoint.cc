#include "endpoint.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

namespace {

// An acknowledgement counts if it arrives within a second.
constexpr double kAckSeconds = 1;

int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Endpoint::Endpoint(Options options, Record* record)
    : options_(std::move(options)), record_(record) {}

Endpoint::~Endpoint() {
  Crash();
}

bool Endpoint::Start() {
  born_ms_ = UnixMillis();
  sequence_ = 0;
  draining_ = false;
  beating_ = true;
  server_ = std::make_unique<Server>(options_.address, options_.port,
                                     [this](int socket) { Serve(socket); });
  if (!server_->ok()) {
    return false;
  }
  record_->Line("endpoint %s starts: id %s, born %lld", options_.name.c_str(),
                options_.id.c_str(), static_cast<long long>(born_ms_));
  beater_ = std::thread([this, boot = ++boot_] { BeatLoop(boot); });
  return true;
}

void Endpoint::Crash() {
  if (server_ == nullptr) {
    return;
  }
  ++boot_;
  beating_ = false;
  slot_free_.notify_all();
  server_->Stop();
  beater_.join();
  server_.reset();
  record_->Line("endpoint %s ends: id %s, born %lld", options_.name.c_str(),
                options_.id.c_str(), static_cast<long long>(born_ms_));
}

Report Endpoint::MakeHeartbeat(const std::string& state) {
  const json body = {
      {"address", options_.address + ":" + std::to_string(options_.port)},
      {"born", born_ms_},
      {"info",
       {{"service", options_.service},
        {"version", "v1"},
        {"zone", options_.zone},
        {"slots", options_.slots}}},
      {"status",
       {{"state", state}, {"seq", ++sequence_}, {"warmup_left", "0ms"}}}};
  return {"/rpc?call=instances.heartbeat&of=" + options_.id, body.dump()};
}

Report Endpoint::MakeDeregistration() const {
  return {"/rpc?call=instances.deregister&of=" + options_.id,
          json{{"born", born_ms_}}.dump()};
}

int Endpoint::Send(const Report& report) const {
  const int socket =
      Connect(options_.address, options_.control_port, kAckSeconds);
  if (socket < 0) {
    return 0;
  }
  const std::string request =
      "POST " + report.target + " HTTP/1.1\r\nHost: " + options_.address +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(report.body.size()) + "\r\n\r\n" + report.body;
  Message answer;
  Reader reader(socket);
  const bool came =
      SendAll(socket, request) &&
      reader.Read(Clock::now() + std::chrono::milliseconds(
                                     static_cast<int>(kAckSeconds * 1000)),
                  true, &answer);
  close(socket);
  return came ? answer.Status() : 0;
}

bool Endpoint::Beat(const std::string& state) {
  draining_ = state == "draining";
  const Report report = MakeHeartbeat(state);
  const int status = Send(report);
  if (state != "ready") {
    record_->Line("endpoint %s reports %s: answer %d", options_.name.c_str(),
                  report.body.c_str(), status);
  }
  return status >= 200 && status < 300;
}

bool Endpoint::Deregister() {
  beating_ = false;
  const Report report = MakeDeregistration();
  const int status = Send(report);
  record_->Line("endpoint %s sends %s %s: answer %d", options_.name.c_str(),
                report.target.c_str(), report.body.c_str(), status);
  return status >= 200 && status < 300;
}

void Endpoint::BeatLoop(uint64_t boot) {
  while (boot_ == boot) {
    if (beating_) {
      Beat(draining_ ? "draining" : "ready");
    }
    const TimePoint end =
        Clock::now() + std::chrono::milliseconds(
                           static_cast<int>(options_.heartbeat_s * 1000));
    while (boot_ == boot && Clock::now() < end) {
      SleepFor(0.01);
    }
  }
}

std::vector<Endpoint::Arrival> Endpoint::TakeArrivals() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(arrivals_, {});
}

void Endpoint::Serve(int socket) {
  Reader reader(socket);
  Message request;
  while (
      reader.Read(Clock::now() + std::chrono::seconds(10), false, &request)) {
    const std::string answer = Run(request, socket);
    if (answer.empty() || !SendAll(socket, answer)) {
      return;
    }
  }
}

std::string Endpoint::Run(const Message& request, int socket) {
  const uint64_t boot = boot_;
  const std::string attempt = request.Header("attempt-id");
  const std::string expected = request.Header("expected-instance");
  const std::string id_header = "Attempt-Id: " + attempt;
  Arrival arrival{record_->Now(), attempt, options_.id, request.Target(),
                  false};
  if (request.Target() == "/healthz") {
    return Response(draining_ ? 503 : 200,
                    {"Upstream-Instance: " + options_.id}, "");
  }
  if (!expected.empty() && expected != options_.id) {
    record_->Line("endpoint %s rejects %s with 421: expected %s",
                  options_.name.c_str(), attempt.c_str(), expected.c_str());
    return Response(421, {id_header, "Upstream-Instance: " + options_.id}, "");
  }
  std::unique_lock<std::mutex> lock(mutex_);
  const bool is_full = running_ >= options_.slots && waiting_ >= options_.queue;
  arrival.ran = !is_full;
  arrivals_.push_back(arrival);
  record_->Line("endpoint %s gets %s %s %s for %s from %s, %s ms left",
                options_.name.c_str(), attempt.c_str(),
                request.Method().c_str(), request.Target().c_str(),
                expected.c_str(), request.Header("downstream-service").c_str(),
                request.Header("deadline-ms").c_str());
  if (is_full) {
    return Response(503, {id_header, "Not-Executed: 1"}, "");
  }
  const TimePoint deadline =
      Clock::now() + std::chrono::milliseconds(
                         std::atoll(request.Header("deadline-ms").c_str()));
  ++waiting_;
  while (running_ >= options_.slots && boot_ == boot) {
    slot_free_.wait_for(lock, std::chrono::milliseconds(5));
    if (Clock::now() > deadline) {
      --waiting_;
      return Response(503, {id_header, "Not-Executed: 1"}, "");
    }
  }
  --waiting_;
  ++running_;
  lock.unlock();
  const TimePoint end = std::min(
      deadline, Clock::now() + std::chrono::microseconds(static_cast<int64_t>(
                                   options_.work_s * 1e6)));
  bool is_gone = false;
  while (Clock::now() < end && boot_ == boot && !is_gone) {
    SleepFor(0.002);
    is_gone = IsClosed(socket);
  }
  lock.lock();
  --running_;
  const int running = running_;
  slot_free_.notify_all();
  lock.unlock();
  if (is_gone || boot_ != boot) {
    return {};
  }
  return Response(
      Clock::now() >= deadline ? 504 : 200,
      {id_header, "Upstream-Signature: " + options_.id + "." + attempt,
       "Upstream-Load: " + std::to_string(running) + ",0," +
           std::to_string(options_.slots),
       "Keep-Alive: timeout=10"},
      "from " + options_.service);
}

}  // namespace review
