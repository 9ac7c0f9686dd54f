#include "base/status_line_checker.h"

#include <algorithm>
#include <utility>

namespace dragonflytack {

namespace {

constexpr int kStatusDigits = 3;

}  // namespace

bool StatusLineChecker::Accept(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [this](char next) { return AcceptByte(next); });
}

bool StatusLineChecker::AcceptByte(char next) {
  switch (part_) {
    case Part::kVersion:
      if (next == ' ') {
        part_ = Part::kStatus;
        digits_ = 0;
      }
      return true;
    case Part::kStatus:
      return AcceptStatus(next);
    case Part::kReason:
      if (next == '\n') {
        part_ = Part::kFields;
        line_has_text_ = false;
      }
      return true;
    case Part::kFields:
      SkipField(next);
      return true;
    case Part::kBody:
      return true;
  }
  return true;
}

bool StatusLineChecker::AcceptStatus(char next) {
  if (digits_ < kStatusDigits) {
    const char first = digits_ == 0 ? '1' : '0';
    const char last = digits_ == 0 ? '5' : '9';
    if (digits_ == 0) {
      is_interim_ = next == '1';
    }
    ++digits_;
    return next >= first && next <= last;
  }
  part_ = Part::kReason;
  return next == ' ' || next == '\r' || (next == '\n' && AcceptByte(next));
}

void StatusLineChecker::SkipField(char next) {
  if (next != '\n') {
    line_has_text_ |= next != '\r';
  } else if (!std::exchange(line_has_text_, false)) {
    // Another head follows that of an interim response.
    part_ = is_interim_ ? Part::kVersion : Part::kBody;
  }
}

}  // namespace dragonflytack
