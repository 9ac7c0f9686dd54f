// A relay between the daemons and the store, whose open connections can go
// silent for good, without a reset, while new ones work.
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

 private:
  void Serve(int socket);

  const std::string to_;
  const uint16_t to_port_;
  std::atomic<uint64_t> generation_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RELAY_H_
