#include "calls/http_headers.h"

#include <strings.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <string>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include "dragonflytack/calls/call_header_codec.h"

namespace dragonflytack {

namespace {

constexpr std::array<const char*, 32> kNotForwarded = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "proxy-authenticate",
    "proxy-authorization",
    "content-length",
    kServiceHeader,
    kDeadlineHeader,
    kObjectiveHeader,
    kRankHeader,
    kOutcomeHeader,
    kReasonHeader,
    kAttemptHeader,
    kNotRunHeader,
    kLoadHeader,
    kTargetTimeHeader,
    kTraceHeader,
    kRetriedHeader,
    kScopeHeader,
    kOneTimeKeyHeader,
    kMovedHeader,
    kAttemptIdHeader,
    kCallerHeader,
    kAccountHeader,
    kReachedHeader,
    kRetryAfterHeader,
    kOccupancyHeader,
};

bool IsForwarded(std::string_view name) {
  // Comparing the first letter rules out most names cheaply.
  return std::none_of(kNotForwarded.begin(), kNotForwarded.end(),
                      [name](const char* other) {
                        return (name.empty() || (name[0] | 0x20) == other[0]) &&
                               IsHeaderName(name, other);
                      });
}

}  // namespace

bool IsHeaderName(std::string_view name, std::string_view other) {
  return name.size() == other.size() &&
         strncasecmp(name.data(), other.data(), name.size()) == 0;
}

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    list.remove_prefix(std::min(comma + 1, list.size()));
    item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
    item = item.substr(0, item.find_last_not_of(" \t") + 1);
    if (IsHeaderName(item, name)) {
      return true;
    }
  }
  return false;
}

std::string_view FindHeader(const evkeyvalq* headers, const char* name) {
  const char* value = evhttp_find_header(headers, name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

bool HasSeveralValues(const evkeyvalq* headers, const char* name) {
  const std::string_view first = FindHeader(headers, name);
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    if (IsHeaderName(item->key, name) && item->value != first) {
      return true;
    }
  }
  return false;
}

std::string_view FindSingleHeader(const evkeyvalq* headers, const char* name) {
  return HasSeveralValues(headers, name) ? std::string_view()
                                         : FindHeader(headers, name);
}

std::optional<int64_t> FindNumber(const evkeyvalq* headers, const char* name) {
  const std::string_view text = FindHeader(headers, name);
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || rest != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

void AddHeader(evkeyvalq* headers, const char* name, int64_t number) {
  evhttp_add_header(headers, name, fmt::format_int(number).c_str());
}

void AddHostIfMissing(evkeyvalq* headers, const char* host) {
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", host);
  }
}

void CopyEndToEndHeaders(const CallHeaderCodec& header_codec,
                         const evkeyvalq* from,
                         evkeyvalq* to,
                         AccountHeaders account_headers) {
  const std::string_view connection = FindHeader(from, "Connection");
  for (const evkeyval* item = from->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    if (IsForwarded(item->key) && !header_codec.IsReserved(item->key) &&
        (account_headers == AccountHeaders::kCopy ||
         !header_codec.IsAccountHeader(item->key)) &&
        (connection.empty() || !ListContains(connection, item->key))) {
      evhttp_add_header(to, item->key, item->value);
    }
  }
}

}  // namespace dragonflytack
