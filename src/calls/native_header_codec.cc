#include "calls/native_header_codec.h"

#include <event2/http.h>
#include <fmt/format.h>

#include "calls/http_headers.h"

namespace dragonflytack {

namespace {

constexpr char kApiKey[] = "x-api-key";
constexpr char kClientAccount[] = "x-client-account";

}  // namespace

bool NativeHeaderCodec::IsReserved(std::string_view /*name*/) const {
  // The native headers are the headers between nodes, which
  // CopyEndToEndHeaders() already omits.
  return false;
}

bool NativeHeaderCodec::IsAccountHeader(std::string_view name) const {
  return IsHeaderName(name, kApiKey) || IsHeaderName(name, kClientAccount);
}

CallerRequestInfo NativeHeaderCodec::ReadCallerHeaders(
    const evkeyvalq* headers) const {
  CallerRequestInfo info;
  info.api_key = FindSingleHeader(headers, kApiKey);
  if (!FindHeader(headers, kDeadlineHeader).empty()) {
    const std::optional<int64_t> deadline_ms =
        FindNumber(headers, kDeadlineHeader);
    info.malformed = !deadline_ms;
    if (deadline_ms) {
      info.time_left = Milliseconds(*deadline_ms);
    }
  }
  return info;
}

void NativeHeaderCodec::WriteTargetHeaders(const TargetRequestInfo& info,
                                           evkeyvalq* headers) const {
  AddHeader(headers, kDeadlineHeader, info.time_left.count());
  if (!info.account.empty()) {
    evhttp_add_header(headers, kClientAccount, info.account.c_str());
  }
}

TargetResponseKind NativeHeaderCodec::ClassifyResponse(
    const evkeyvalq* /*request_headers*/,
    int /*status*/,
    const evkeyvalq* /*response_headers*/) const {
  return TargetResponseKind::kResponse;
}

TargetLoadReport NativeHeaderCodec::ReadReportedLoad(
    const evkeyvalq* response_headers) const {
  const std::string_view text = FindHeader(response_headers, kLoadHeader);
  return text.find(',') == std::string_view::npos
             ? TargetLoadReport::ParseShare(text)
             : TargetLoadReport::ParseFigures(text);
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
