#ifndef DRAGONFLYTACK_ONETIME_RECORDED_RESPONSE_H_
#define DRAGONFLYTACK_ONETIME_RECORDED_RESPONSE_H_

#include <string>
#include <utility>
#include <vector>

namespace dragonflytack {

// A target's complete response to a one-time call.
struct RecordedResponse final {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  size_t Bytes() const {
    size_t bytes = sizeof(*this) + body.size();
    for (const auto& [name, value] : headers) {
      bytes += sizeof(headers[0]) + name.size() + value.size();
    }
    return bytes;
  }

  friend bool operator==(const RecordedResponse&,
                         const RecordedResponse&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORDED_RESPONSE_H_
