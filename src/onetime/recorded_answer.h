#ifndef DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_
#define DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_

#include <string>
#include <utility>
#include <vector>

namespace dragonflytack {

// A target's whole answer to a one-time call.
struct RecordedAnswer final {
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

  friend bool operator==(const RecordedAnswer&,
                         const RecordedAnswer&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_
