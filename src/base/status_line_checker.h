#ifndef DRAGONFLYTACK_SRC_BASE_STATUS_LINE_CHECKER_H_
#define DRAGONFLYTACK_SRC_BASE_STATUS_LINE_CHECKER_H_

#include <string_view>

namespace dragonflytack {

// Whether a response with this status may end a request (RFC 9110, section 15).
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

// Checks the status in each head of a response while the bytes arrive. evhttp
// reads it with atoi(), so that "0200" or "4294967496" would count as 200.
class StatusLineChecker final {
 public:
  // Starts with a new response.
  void Begin() { part_ = Part::kVersion; }

  // Takes the next bytes of the response. Returns false if a status is not a
  // number of three digits from 100 to 599. The rest of a head is left to
  // evhttp.
  bool Accept(std::string_view bytes);

  // Whether the head with the final status has ended.
  bool is_complete() const { return part_ == Part::kBody; }

 private:
  enum class Part { kVersion, kStatus, kReason, kFields, kBody };

  bool AcceptByte(char next);
  bool AcceptStatus(char next);
  void SkipField(char next);

  Part part_ = Part::kVersion;
  int digits_ = 0;
  bool is_interim_ = false;
  bool line_has_text_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_STATUS_LINE_CHECKER_H_
