#include "base/buffer_view.h"

#include <algorithm>

#include <event2/buffer.h>

namespace dragonflytack {

std::vector<std::string_view> ViewBytes(evbuffer* buffer,
                                        size_t offset,
                                        size_t size) {
  evbuffer_ptr begin;
  if (evbuffer_ptr_set(buffer, &begin, offset, EVBUFFER_PTR_SET) != 0) {
    return {};
  }
  const auto length = static_cast<ev_ssize_t>(size);
  const int count = evbuffer_peek(buffer, length, &begin, nullptr, 0);
  std::vector<evbuffer_iovec> parts(static_cast<size_t>(std::max(count, 0)));
  evbuffer_peek(buffer, length, &begin, parts.data(), count);
  std::vector<std::string_view> views;
  for (const evbuffer_iovec& part : parts) {
    views.emplace_back(static_cast<const char*>(part.iov_base), part.iov_len);
  }
  return views;
}

}  // namespace dragonflytack
