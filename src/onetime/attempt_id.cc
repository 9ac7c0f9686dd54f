#include "onetime/attempt_id.h"

#include <charconv>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr size_t kMaxTextBytes = 130;
constexpr size_t kMaxNodeIdBytes = 63;

bool TakeLastNumber(std::string_view* text, uint64_t* number) {
  const size_t dot = text->rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  const std::string_view part = text->substr(dot + 1);
  const auto [end, error] =
      std::from_chars(part.data(), part.data() + part.size(), *number);
  *text = text->substr(0, dot);
  return error == std::errc() && end == part.data() + part.size() &&
         *number > 0;
}

}  // namespace

std::string AttemptId::ToText() const {
  return fmt::format("{}.{}.{}.{}", dispatcher, incarnation, target_incarnation,
                     sequence);
}

std::optional<AttemptId> AttemptId::Parse(std::string_view text) {
  AttemptId id;
  if (text.size() > kMaxTextBytes || !TakeLastNumber(&text, &id.sequence) ||
      !TakeLastNumber(&text, &id.target_incarnation) ||
      !TakeLastNumber(&text, &id.incarnation) || text.empty() ||
      text.size() > kMaxNodeIdBytes) {
    return std::nullopt;
  }
  id.dispatcher = text;
  return id;
}

}  // namespace dragonflytack
