#include "calls/pipeline_reader.h"

namespace dragonflytack {

const RequestHead* PipelineReader::Next(std::string_view waiting) {
  if (is_closed_ || taken_.size() + 1 >= max_requests_) {
    return nullptr;
  }
  Taken taken;
  size_t size = 0;
  const RequestOrder order = RequestHead::Read(waiting, &taken.head, &size);
  if (order == RequestOrder::kIncomplete) {
    return nullptr;
  }
  is_closed_ = order != RequestOrder::kMayOvertake;
  if (order == RequestOrder::kMustWait) {
    return nullptr;
  }
  taken.bytes = waiting.substr(0, size);
  taken_bytes_ += size;
  return &taken_.emplace_back(std::move(taken)).head;
}

void PipelineReader::PutBack(bool must_wait) {
  taken_bytes_ -= taken_.back().bytes.size();
  taken_.pop_back();
  is_closed_ = must_wait;
}

bool PipelineReader::Deliver(const RequestHead& delivered,
                             std::string_view following) {
  if (taken_.empty() || taken_.front().head != delivered) {
    return false;
  }
  taken_bytes_ -= taken_.front().bytes.size();
  taken_.pop_front();
  for (const Taken& taken : taken_) {
    if (!following.starts_with(taken.bytes)) {
      return false;
    }
    following.remove_prefix(taken.bytes.size());
  }
  return true;
}

}  // namespace dragonflytack
