#include "calls/response_writes.h"

#include <utility>

#include <event2/http.h>

namespace dragonflytack {

ResponseWrites::ResponseWrites(std::function<void()> on_none)
    : on_none_(std::move(on_none)) {}

void ResponseWrites::Add(evhttp_request* request) {
  ++count_;
  evhttp_request_set_on_complete_cb(request, &ResponseWrites::OnWritten, this);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                &ResponseWrites::OnClosed, this);
}

void ResponseWrites::OnWritten(evhttp_request* request, void* self) {
  auto* const writes = static_cast<ResponseWrites*>(self);
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      writes->on_closed_ ? &ResponseWrites::OnIdleClosed : nullptr,
      writes->on_closed_ ? writes : nullptr);
  writes->Remove();
}

void ResponseWrites::OnClosed(evhttp_connection* connection, void* self) {
  auto* const writes = static_cast<ResponseWrites*>(self);
  writes->ReportClosed(connection);
  writes->Remove();
}

void ResponseWrites::OnIdleClosed(evhttp_connection* connection, void* self) {
  static_cast<ResponseWrites*>(self)->ReportClosed(connection);
}

void ResponseWrites::ReportClosed(evhttp_connection* connection) const {
  if (on_closed_) {
    on_closed_(connection);
  }
}

void ResponseWrites::Remove() {
  if (--count_ == 0) {
    on_none_();
  }
}

}  // namespace dragonflytack
