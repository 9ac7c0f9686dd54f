#include "calls/pipelined_input.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "calls/owned_request.h"

namespace dragonflytack {

PipelinedInput::PipelinedInput(TimerService* timers,
                               evhttp_connection* connection,
                               size_t max_requests,
                               std::function<void()> on_input)
    : timers_(timers),
      input_(
          bufferevent_get_input(evhttp_connection_get_bufferevent(connection))),
      on_input_(std::move(on_input)),
      reader_(max_requests) {
  evbuffer_add_cb(input_, &PipelinedInput::OnInput, this);
}

PipelinedInput::~PipelinedInput() {
  timers_->Cancel(timer_);
  evbuffer_remove_cb(input_, &PipelinedInput::OnInput, this);
}

bool PipelinedInput::HasMore() const {
  return evbuffer_get_length(input_) > reader_.taken_bytes();
}

const RequestHead* PipelinedInput::Next() {
  return reader_.Next(Copy(reader_.taken_bytes(), RequestHead::kMaxBytes));
}

bool PipelinedInput::Deliver(evhttp_request* request) {
  return request->major == 1 && request->minor == 1 &&
         evbuffer_get_length(evhttp_request_get_input_buffer(request)) == 0 &&
         reader_.Deliver(ReadHead(request), Copy(0, reader_.taken_bytes()));
}

// The buffer is being changed, and a call that is started here could end at
// once, so the bytes are read in the next iteration of the event loop.
void PipelinedInput::OnInput(evbuffer* /*buffer*/,
                             const evbuffer_cb_info* info,
                             void* self) {
  auto* const input = static_cast<PipelinedInput*>(self);
  if (info->n_added > 0 && input->timer_ == 0) {
    input->timer_ =
        input->timers_->SubscribeOnce(Milliseconds::zero(), [input] {
          input->timer_ = 0;
          input->on_input_();
        });
  }
}

std::string PipelinedInput::Copy(size_t offset, size_t size) const {
  const size_t length = evbuffer_get_length(input_);
  std::string bytes(std::min(size, length - std::min(length, offset)), '\0');
  evbuffer_ptr begin;
  if (bytes.empty() ||
      evbuffer_ptr_set(input_, &begin, offset, EVBUFFER_PTR_SET) != 0) {
    return {};
  }
  evbuffer_copyout_from(input_, &begin, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace dragonflytack
