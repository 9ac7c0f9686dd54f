#include "calls/native_header_codec.h"

#include <charconv>

#include <event2/http.h>
#include <fmt/format.h>

#include "calls/http_headers.h"

namespace dragonflytack {

bool NativeHeaderCodec::IsReserved(std::string_view /*name*/) const {
  // The headers of docs/interfaces.md are those between nodes too.
  return false;
}

CallerRequestInfo NativeHeaderCodec::ReadCallerHeaders(
    const evkeyvalq* headers) const {
  CallerRequestInfo terms;
  if (!FindHeader(headers, kDeadlineHeader).empty()) {
    const std::optional<int64_t> given = FindNumber(headers, kDeadlineHeader);
    terms.malformed = !given;
    if (given) {
      terms.time_left = Milliseconds(*given);
    }
  }
  return terms;
}

void NativeHeaderCodec::WriteTargetHeaders(const TargetRequestInfo& terms,
                                           evkeyvalq* headers) const {
  AddHeader(headers, kDeadlineHeader, terms.time_left.count());
}

TargetResponseKind NativeHeaderCodec::ClassifyResponse(
    const evkeyvalq* /*call*/,
    int /*status*/,
    const evkeyvalq* /*answer*/) const {
  return TargetResponseKind::kResponse;
}

std::optional<double> NativeHeaderCodec::ReadReportedLoad(
    const evkeyvalq* response) const {
  const std::string_view text = FindHeader(response, kLoadHeader);
  double load = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, load);
  // The comparison also refuses NaN.
  if (text.empty() || error != std::errc() || rest != end || !(load >= 0)) {
    return std::nullopt;
  }
  return load;
}

void NativeHeaderCodec::WriteRetryAfter(Milliseconds after,
                                        evkeyvalq* headers) const {
  constexpr double kMillisPerSecond = 1000;
  evhttp_add_header(headers, "Retry-After",
                    fmt::format("{:.3f}", static_cast<double>(after.count()) /
                                              kMillisPerSecond)
                        .c_str());
}

}  // namespace dragonflytack
