#ifndef DRAGONFLYTACK_STORE_STORE_STANDIN_H_
#define DRAGONFLYTACK_STORE_STORE_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"
#include "store/memory_store.h"
#include "store/store_faults.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace dragonflytack {

class EventLoop;

// Requests that the stand-in has received.
struct StoreCounters final {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t deletes = 0;
  uint64_t watches = 0;
  uint64_t lists = 0;
  uint64_t conflicts = 0;
  uint64_t rate_limited = 0;
  uint64_t lost_answers = 0;
};

// An object store in memory that speaks docs/store-protocol.md, with switches
// for faults. For tests and measurements only. It runs on the loop that it is
// given, which may also carry the client of a test.
//
// Its admin port answers GET /admin/state (JSON with switches, counters,
// waiting watches and revision), POST /admin/faults?NAME=VALUE&... and POST
// /admin/reset, which sets the counters to 0.
class StoreStandin final {
 public:
  // Port 0 lets the system choose. An admin port is opened when `admin` has an
  // address. Returns nothing when a port cannot be bound.
  static std::unique_ptr<StoreStandin> Make(EventLoop* loop,
                                            const HostPort& listen,
                                            const HostPort& admin,
                                            Failure* reason);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  // Returns false when the port cannot be bound again after an outage.
  bool SetFaults(const StoreFaults& faults);
  const StoreFaults& faults() const { return faults_; }

  const StoreCounters& counters() const { return counters_; }
  int waiting_watches() const;
  // Where the stand-in listens, with the port that was chosen.
  const HostPort& address() const { return listen_; }
  const HostPort& admin_address() const { return admin_; }
  MemoryStore& objects() { return objects_; }

 private:
  struct Answer {
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
  };
  // A request without an answer so far. Its connection carries no other one.
  struct Pending {
    evhttp_request* request = nullptr;
    std::string watched_key;  // Empty unless it is a waiting watch.
    StoreVersion after = 0;
    TimerId timer = 0;
  };
  using Handler = Answer (StoreStandin::*)(evhttp_request* request,
                                           const std::string& key);

  StoreStandin(EventLoop* loop, const HostPort& listen, const HostPort& admin);
  evhttp* Listen(HostPort* address, bool admin);
  void CloseServer();
  bool ExceedsRate(bool write);
  // Tells every watch that waits for the key about its last write.
  void NotifyWatches(const std::string& key);
  void Handle(evhttp_request* request);
  void HandleAdmin(evhttp_request* request);
  void HandleWatch(evhttp_request* request, const std::string& key);
  Answer HandleGet(evhttp_request* request, const std::string& key);
  Answer HandlePut(evhttp_request* request, const std::string& key);
  Answer HandleDelete(evhttp_request* request, const std::string& key);
  Answer HandleList(evhttp_request* request, const std::string& key);
  Answer WriteResponse(const std::string& key,
                       std::optional<StoreVersion> version);
  std::string StateJson() const;
  // Answers after the delay that is set.
  void Reply(evhttp_request* request, Answer response);
  void Abort(evhttp_request* request);
  static void OnClose(evhttp_connection* connection, void* self);

  EventLoop* const loop_;
  HostPort listen_;
  HostPort admin_;
  evhttp* server_ = nullptr;
  evhttp* admin_server_ = nullptr;
  MemoryStore objects_;
  StoreFaults faults_;
  StoreCounters counters_;
  std::map<evhttp_connection*, Pending> pending_;
  int64_t rate_second_ = 0;
  int reads_this_second_ = 0;
  int writes_this_second_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_STANDIN_H_
