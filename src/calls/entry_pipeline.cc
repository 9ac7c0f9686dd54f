#include "calls/entry_pipeline.h"

#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "calls/allowance_exchange.h"
#include "calls/call_metrics.h"
#include "calls/deferred_deleter.h"
#include "calls/entry_call.h"
#include "calls/owned_request.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"

// The functions of CallEntry for calls that are started early.
namespace dragonflytack {

namespace {

// A call is started early only if this part of the memory for messages is free.
// The rest remains for the requests and responses of calls whose turn it is.
constexpr size_t kFreePart = 2;

// Returns whether requests after this one may overtake it.
bool MayBeOvertaken(evhttp_request* request) {
  return request->major == 1 && request->minor == 1 &&
         evbuffer_get_length(evhttp_request_get_input_buffer(request)) == 0 &&
         ReadHead(request).FindOrder() == RequestOrder::kMayOvertake &&
         evhttp_find_header(evhttp_request_get_output_headers(request),
                            "Connection") == nullptr;
}

}  // namespace

CallEntry::Pipeline::Pipeline(CallEntry* entry, Call* first)
    : input(&entry->context_->loop->timers(),
            first->connection,
            entry->context_->max_pipelined,
            [this, entry] { entry->ReadAhead(this); }),
      current(first) {
  first->pipeline = this;
}

void CallEntry::BeginPipeline(Call* call) {
  auto owned = std::make_unique<Pipeline>(this, call);
  Pipeline* const pipeline = owned.get();
  pipelines_.insert_or_assign(call->connection, std::move(owned));
  ReadAhead(pipeline);
}

bool CallEntry::HasRoomForEarlyCall() const {
  const BufferBudget* const budget = context_->budget;
  return budget == nullptr || budget->held() + BufferBudget::kGuaranteedBytes <=
                                  budget->limit() / kFreePart;
}

void CallEntry::ReadAhead(Pipeline* pipeline) {
  while (!starts_none_early_ && !pipeline->is_closing &&
         pipeline->current != nullptr && pipeline->input.HasMore()) {
    if (!pipeline->is_checked) {
      // No request was started early, so this is still the first call.
      if (!MayBeOvertaken(pipeline->current->inbound->request())) {
        return;
      }
      pipeline->is_checked = true;
    }
    const RequestHead* const head = pipeline->input.Next();
    if (head == nullptr) {
      return;
    }
    if (!HasRoomForEarlyCall()) {
      pipeline->input.PutBack(/*must_wait=*/false);
      context_->metrics->CountPipelined(PipelineEvent::kNoRoom);
      return;
    }
    if (!StartEarly(pipeline, *head)) {
      pipeline->input.PutBack(/*must_wait=*/true);
      return;
    }
  }
}

bool CallEntry::StartEarly(Pipeline* pipeline, const RequestHead& head) {
  if (context_->has_one_time_keys && head.uri == kKeysPath) {
    return false;
  }
  auto owned =
      std::make_unique<Call>(this, MakeRequest(head, context_->deleter));
  Call* const call = owned.get();
  // A refusal may close the connection, so it is made in its turn.
  if (Prepare(call->copy.get(), call)) {
    return false;
  }
  // The reader's copy of the bytes and the parsed one.
  call->memory.Add(2 * pipeline->input.last_bytes());
  calls_.emplace(call, std::move(owned));
  ++early_calls_;
  context_->metrics->entry_calls()->Set(static_cast<int64_t>(calls_.size()));
  context_->metrics->CountPipelined(PipelineEvent::kStarted);
  pipeline->early.push_back(call);
  Admit(call);
  return true;
}

void CallEntry::Keep(Call* call, CallResult result) {
  size_t size = 0;
  if (result.response != nullptr) {
    size = evbuffer_get_length(
        evhttp_request_get_input_buffer(result.response.get()));
  }
  if (!call->memory.Add(size)) {
    // As for a response that exceeds the budget while it is received.
    call->memory.Remove(size);
    result = CallResult::Unknown(CallReason::kTooLarge,
                                 "the response exceeds the memory that is left "
                                 "while it waits for its turn");
  }
  call->result = std::move(result);
}

bool CallEntry::DeliverEarly(evhttp_request* request) {
  const auto found = pipelines_.find(evhttp_request_get_connection(request));
  if (found == pipelines_.end()) {
    return false;
  }
  Pipeline* const pipeline = found->second.get();
  if (!pipeline->input.Deliver(request)) {
    context_->logger->Warning(
        "pipelined_mismatch",
        {{"early_calls", static_cast<uint64_t>(pipeline->early.size())}});
    EndPipeline(found->first, PipelineEvent::kMismatched);
    return false;
  }
  Call* const call = pipeline->early.front();
  pipeline->early.pop_front();
  --early_calls_;
  context_->metrics->CountPipelined(PipelineEvent::kAnswered);
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  pipeline->is_closing |= evhttp_find_header(headers, "Connection") != nullptr;
  if (!pipeline->early.empty()) {
    // The last early call closes the connection of a node that stops, or has
    // too many: its caller could not tell whether a call after a closing
    // response has run.
    evhttp_remove_header(headers, "Connection");
  } else if (pipeline->is_closing) {
    evhttp_remove_header(headers, "Connection");
    evhttp_add_header(headers, "Connection", "close");
  }
  call->Deliver(this, request);
  call->pipeline = pipeline;
  pipeline->current = call;
  ReadAhead(pipeline);
  if (call->result) {
    const CallResult result = std::move(*call->result);
    SendResponse(call, result);
    Remove(call);
  }
  return true;
}

void CallEntry::EndPipeline(evhttp_connection* connection,
                            PipelineEvent event) {
  const auto found = pipelines_.find(connection);
  if (found == pipelines_.end()) {
    return;
  }
  const std::unique_ptr<Pipeline> pipeline = std::move(found->second);
  pipelines_.erase(found);
  if (pipeline->current != nullptr) {
    pipeline->current->pipeline = nullptr;
  }
  for (Call* const call : pipeline->early) {
    context_->metrics->CountPipelined(event);
    --early_calls_;
    if (!call->result) {
      call->span->End(CallReasonName(CallReason::kCallerDisconnected));
    }
    // Cancels the call downstream immediately; the rest is deleted later.
    call->routed.reset();
    call->result.reset();
    call->memory.Release();
    Remove(call);
  }
}

}  // namespace dragonflytack
