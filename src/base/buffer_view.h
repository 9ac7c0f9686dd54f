#ifndef DRAGONFLYTACK_SRC_BASE_BUFFER_VIEW_H_
#define DRAGONFLYTACK_SRC_BASE_BUFFER_VIEW_H_

#include <cstddef>
#include <string_view>
#include <vector>

struct evbuffer;

namespace dragonflytack {

// Returns the contiguous parts of `size` bytes from `offset` on, without a
// copy; none if the buffer ends before `offset`. They are valid until the
// buffer changes.
std::vector<std::string_view> ViewBytes(evbuffer* buffer,
                                        size_t offset,
                                        size_t size);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_BUFFER_VIEW_H_
