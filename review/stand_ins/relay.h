// A relay between a daemon and the store. Its open connections can go silent
// for good, without a reset, while new ones work; or it can turn the daemon
// away with 503, as the store may do with some machines.
#ifndef REVIEW_STAND_INS_RELAY_H_
#define REVIEW_STAND_INS_RELAY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "http.h"

namespace review {

class Relay final {
 public:
  Relay(const std::string& address,
        uint16_t port,
        std::string to,
        uint16_t to_port);
  bool ok() const { return server_->ok(); }
  // From now on, the connections that are open carry nothing more.
  void SilenceOpen() { ++generation_; }
  // While set, each request is answered with 503; a watch that waits is cut.
  void set_turns_away(bool turns_away) { turns_away_ = turns_away; }
  // Whether the last request that was passed on is a watch.
  bool carries_watch() const { return watches_ > 0; }

 private:
  void Serve(int socket);
  void TurnAway(int socket);

  const std::string to_;
  const uint16_t to_port_;
  std::atomic<uint64_t> generation_ = 0;
  std::atomic<bool> turns_away_ = false;
  // Watches that wait for their answers.
  std::atomic<int> watches_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RELAY_H_
