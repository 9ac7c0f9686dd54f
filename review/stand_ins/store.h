// A stand-in for the platform's metadata store, as far as the daemons use it.
#ifndef REVIEW_STAND_INS_STORE_H_
#define REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

class Store final {
 public:
  Store(const std::string& address, uint16_t port);
  ~Store();

  bool ok() const { return server_->ok(); }
  // The operator writes a configuration. The return is the acknowledgement.
  void Configure(const nlohmann::json& configuration);

 private:
  using Id = std::pair<std::string, std::string>;
  struct Event {
    int64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };

  void Serve(int socket);
  std::pair<int, nlohmann::json> Handle(const Message& request);
  std::pair<int, nlohmann::json> Watch(
      const std::string& kind,
      const std::map<std::string, std::string>& query);
  // With the mutex held.
  nlohmann::json Write(const Id& id, const nlohmann::json& spec);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int64_t revision_ = 100;
  std::map<Id, nlohmann::json> objects_;
  std::deque<Event> events_;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_STORE_H_
