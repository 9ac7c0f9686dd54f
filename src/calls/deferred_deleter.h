#ifndef DRAGONFLYTACK_SRC_CALLS_DEFERRED_DELETER_H_
#define DRAGONFLYTACK_SRC_CALLS_DEFERRED_DELETER_H_

#include <memory>
#include <vector>

struct event;
struct event_base;

namespace dragonflytack {

// Deletes objects in the next iteration of the event loop. evhttp still uses a
// connection after its callbacks return, and callbacks may release the object
// that they are called for, so neither may be deleted immediately.
class DeferredDeleter final {
 public:
  explicit DeferredDeleter(event_base* base);
  // Deletes the remaining objects.
  ~DeferredDeleter();
  DeferredDeleter(const DeferredDeleter&) = delete;
  DeferredDeleter& operator=(const DeferredDeleter&) = delete;

  void Add(std::shared_ptr<void> object);

 private:
  static void OnEvent(int fd, short what, void* self);

  std::vector<std::shared_ptr<void>> objects_;
  event* event_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_DEFERRED_DELETER_H_
