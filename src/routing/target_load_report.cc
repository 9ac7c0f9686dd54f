#include "dragonflytack/routing/target_load_report.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <system_error>

namespace dragonflytack {

namespace {

// The figures that every report has, and the one that it may have.
constexpr size_t kRequiredFigures = 3;
constexpr size_t kFigures = 4;

constexpr std::string_view kNotANumber = "a figure is not a number";
constexpr std::string_view kOutOfRange = "a figure is out of range";

std::string_view TrimSpaces(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Parses all of `text` as a number. Returns the error, empty if there is none.
template <typename Number>
std::string_view ParseNumber(std::string_view text, Number* number) {
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *number);
  if (error == std::errc::result_out_of_range) {
    return kOutOfRange;
  }
  return text.empty() || error != std::errc() || rest != end
             ? kNotANumber
             : std::string_view();
}

std::string_view ParseWorkTime(std::string_view text, int* percent) {
  double number = 0;
  if (const auto error = ParseNumber(text, &number); !error.empty()) {
    return error;
  }
  // The comparison also rejects NaN.
  if (!(number >= 0 && number <= TargetLoad::kMaxFigure)) {
    return kOutOfRange;
  }
  *percent = static_cast<int>(std::lround(number));
  return {};
}

}  // namespace

TargetLoadReport TargetLoadReport::ParseFigures(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  std::array<int, kFigures> figures = {0, 0, 0, TargetLoad::kUsualWorkTime};
  size_t count = 0;
  for (bool more = true; more && count < kFigures; ++count) {
    const size_t comma = text.find(',');
    const std::string_view figure = TrimSpaces(text.substr(0, comma));
    const std::string_view error = count < kRequiredFigures
                                       ? ParseNumber(figure, &figures[count])
                                       : ParseWorkTime(figure, &figures[count]);
    if (!error.empty()) {
      return {std::nullopt, error};
    }
    if (figures[count] < 0 || figures[count] > TargetLoad::kMaxFigure) {
      return {std::nullopt, kOutOfRange};
    }
    more = comma != std::string_view::npos;
    text.remove_prefix(more ? comma + 1 : text.size());
  }
  if (count < kRequiredFigures) {
    return {std::nullopt, "fewer than three figures"};
  }
  const auto [running, waiting, slots, work_time] = figures;
  if (slots == 0 || work_time == 0) {
    return {std::nullopt, kOutOfRange};
  }
  return {TargetLoad(running, waiting, slots, work_time), {}};
}

TargetLoadReport TargetLoadReport::ParseShare(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  double share = 0;
  if (const auto error = ParseNumber(text, &share); !error.empty()) {
    return {std::nullopt, error};
  }
  // The comparison also rejects NaN.
  if (!(share >= 0)) {
    return {std::nullopt, kOutOfRange};
  }
  return {TargetLoad::FromShare(share), {}};
}

TargetLoadReport TargetLoadReport::ParseHeader(std::string_view text) {
  if (text.empty() || text.find(',') != std::string_view::npos) {
    return ParseFigures(text);
  }
  int thousandths = 0;
  if (const auto error = ParseNumber(text, &thousandths); !error.empty()) {
    return {std::nullopt, error};
  }
  if (thousandths < 0) {
    return {std::nullopt, kOutOfRange};
  }
  return {TargetLoad(std::min(thousandths, TargetLoad::kShareSlots), 0,
                     TargetLoad::kShareSlots),
          {}};
}

}  // namespace dragonflytack
