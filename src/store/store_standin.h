#ifndef DRAGONFLYTACK_STORE_STORE_STANDIN_H_
#define DRAGONFLYTACK_STORE_STORE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

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

// Counts of the requests that the store stand-in received.
struct StoreCounters final {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t deletes = 0;
  uint64_t watches = 0;
  uint64_t lists = 0;
  uint64_t conflicts = 0;
  uint64_t rate_limited = 0;
  uint64_t lost_responses = 0;
};

// An in-memory object store that implements docs/store-protocol.md and can
// simulate faults. For tests and measurements only. It runs on the loop that it
// is given, which may also run the client of a test.
//
// Its admin port serves GET /admin/state (JSON with the fault settings,
// the counters, the number of pending watches, the era and the version of the
// last write as "revision"), POST /admin/faults?NAME=VALUE&...,
// POST /admin/reset, which sets the counters to 0, and
// POST /admin/return?age_ms=N, which calls ReturnFromCopy().
class StoreStandin final {
 public:
  // How old a copy may be from which the store returns.
  static constexpr Milliseconds kMaxCopyAge{30'000};

  // With port 0 the system chooses a port. The admin port is opened only if
  // `admin` has an address. Returns null, with kAddressInUse, if a port cannot
  // be bound.
  static std::unique_ptr<StoreStandin> Make(EventLoop* loop,
                                            const HostPort& listen,
                                            const HostPort& admin,
                                            Failure* reason);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  // Returns false if the port cannot be bound again after StoreOutage::kRefuse.
  bool SetFaults(const StoreFaults& faults);
  const StoreFaults& faults() const { return faults_; }

  // Replaces the objects by a copy of this age, begins the next era and closes
  // the connections of all requests without a response. An age above
  // kMaxCopyAge counts as kMaxCopyAge.
  void ReturnFromCopy(Milliseconds age);

  const StoreCounters& counters() const { return counters_; }
  int pending_watches() const;
  // The listening address, with the port that was bound.
  const HostPort& address() const { return listen_; }
  const HostPort& admin_address() const { return admin_; }
  MemoryStore& objects() { return objects_; }

 private:
  struct Response {
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
  };
  // A request that has no response yet. Its connection carries no other
  // request.
  struct PendingRequest {
    evhttp_request* request = nullptr;
    std::string watched_key;  // Empty unless this is a pending watch.
    StoreVersion after = 0;
    TimerId timer = 0;
  };
  using Handler = Response (StoreStandin::*)(evhttp_request* request,
                                             const std::string& key);

  StoreStandin(EventLoop* loop, const HostPort& listen, const HostPort& admin);
  evhttp* Listen(HostPort* address, bool admin);
  void CloseServer();
  bool ExceedsRate(bool is_write);
  // Records how many changes the objects have had by now, and drops what is
  // older than kMaxCopyAge.
  void RecordChanges();
  // Responds to every pending watch of the key whose `after` is below the
  // version of its last write.
  void NotifyWatches(const std::string& key);
  void HandleRequest(evhttp_request* request);
  void HandleAdmin(evhttp_request* request);
  void HandleWatch(evhttp_request* request, const std::string& key);
  Response HandleGet(evhttp_request* request, const std::string& key);
  Response HandlePut(evhttp_request* request, const std::string& key);
  Response HandleDelete(evhttp_request* request, const std::string& key);
  Response HandleList(evhttp_request* request, const std::string& key);
  Response MakeWriteResponse(const std::string& key,
                             std::optional<StoreVersion> version);
  std::string StateJson() const;
  // Sends the response after StoreFaults::delay_ms.
  void SendResponse(evhttp_request* request, Response response);
  // Closes the connection of the request without a response.
  void AbortConnection(evhttp_request* request);
  static void OnClose(evhttp_connection* connection, void* self);

  EventLoop* const loop_;
  HostPort listen_;
  HostPort admin_;
  evhttp* server_ = nullptr;
  evhttp* admin_server_ = nullptr;
  MemoryStore objects_;
  StoreFaults faults_;
  StoreCounters counters_;
  std::map<evhttp_connection*, PendingRequest> pending_;
  // Numbers of changes of the objects, with the time at which each was reached.
  std::deque<std::pair<TimePoint, uint64_t>> change_times_;
  int64_t rate_second_ = 0;
  int reads_this_second_ = 0;
  int writes_this_second_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_STANDIN_H_
