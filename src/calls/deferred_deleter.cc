#include "calls/deferred_deleter.h"

#include <utility>

#include <event2/event.h>

namespace dragonflytack {

DeferredDeleter::DeferredDeleter(event_base* base)
    : event_(event_new(base, -1, 0, &DeferredDeleter::OnEvent, this)) {}

DeferredDeleter::~DeferredDeleter() {
  event_free(event_);
  event_ = nullptr;
  while (!objects_.empty()) {
    std::vector<std::shared_ptr<void>> objects = std::move(objects_);
    objects_.clear();
  }
}

void DeferredDeleter::Add(std::shared_ptr<void> object) {
  objects_.push_back(std::move(object));
  if (objects_.size() == 1 && event_ != nullptr) {
    event_active(event_, EV_TIMEOUT, 1);
  }
}

void DeferredDeleter::OnEvent(int /*fd*/, short /*what*/, void* self) {
  // A destructor may add further objects.
  const std::vector<std::shared_ptr<void>> objects =
      std::exchange(static_cast<DeferredDeleter*>(self)->objects_, {});
}

}  // namespace dragonflytack
