#ifndef DRAGONFLYTACK_SRC_CALLS_REQUEST_HEAD_H_
#define DRAGONFLYTACK_SRC_CALLS_REQUEST_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflytack {

// Whether a request may be processed while the ones before it on its connection
// have no response yet.
enum class RequestOrder {
  // Its head is incomplete.
  kIncomplete,
  kMayOvertake,
  // The request may be processed, but its response closes the connection.
  kMayOvertakeAsLast,
  // The request and those after it have to wait.
  kMustWait,
};

// The head of a request without a body.
struct RequestHead final {
  using Headers = std::vector<std::pair<std::string, std::string>>;

  // Heads over this size wait for their turn.
  static constexpr size_t kMaxBytes = 16'384;

  std::string method;
  std::string uri;
  Headers headers;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;

  // Returns the order by method, URI and headers: safe methods without a body
  // may overtake. Whatever two parsers could read in different ways, or evhttp
  // could refuse, has to wait.
  RequestOrder FindOrder() const;

  // Reads the head at the start of `bytes`. If it is complete and may overtake,
  // sets `head`, and `size` to its size with the empty line. Stricter than
  // evhttp.
  static RequestOrder Read(std::string_view bytes,
                           RequestHead* head,
                           size_t* size);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_REQUEST_HEAD_H_
