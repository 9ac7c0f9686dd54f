#ifndef DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_
#define DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_

#include <string>

namespace dragonflytack {

// A target's whole answer to a one-time call.
struct RecordedAnswer final {
  int status = 0;
  std::string content_type;
  std::string body;

  size_t Bytes() const {
    return sizeof(*this) + content_type.size() + body.size();
  }

  friend bool operator==(const RecordedAnswer&,
                         const RecordedAnswer&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORDED_ANSWER_H_
