#include "calls/request_head.h"

#include <algorithm>
#include <array>

#include "calls/http_headers.h"

namespace dragonflytack {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Headers that announce a body, change the protocol or make the call a one-time
// call.
constexpr std::array<std::string_view, 8> kMustWait = {
    "content-length", "transfer-encoding", "expect",   "upgrade",
    "trailer",        "proxy-connection",  kKeyHeader, kOneTimeKeyHeader};

bool IsAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z');
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsAlphanumeric(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) !=
                                    std::string_view::npos;
  });
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

// Returns whether the text is a path with an optional query (RFC 3986).
bool IsPath(std::string_view uri) {
  if (!uri.starts_with('/') || uri.starts_with("//")) {
    return false;
  }
  for (size_t i = 0; i < uri.size(); ++i) {
    if (uri[i] == '%') {
      if (i + 2 >= uri.size() || !IsHexDigit(uri[i + 1]) ||
          !IsHexDigit(uri[i + 2])) {
        return false;
      }
    } else if (!IsAlphanumeric(uri[i]) &&
               std::string_view("/-._~!$&'()*+,;=:@?").find(uri[i]) ==
                   std::string_view::npos) {
      return false;
    }
  }
  return true;
}

// Removes the spaces around a value.
std::string_view Trim(std::string_view value) {
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value.substr(0, value.find_last_not_of(' ') + 1);
}

// Splits off the text before `separator`. Returns false if there is none.
bool Split(std::string_view* text,
           std::string_view separator,
           std::string_view* before) {
  const size_t at = text->find(separator);
  if (at == std::string_view::npos) {
    return false;
  }
  *before = text->substr(0, at);
  text->remove_prefix(at + separator.size());
  return true;
}

// Parses a head without its empty line.
bool Parse(std::string_view text, RequestHead* head) {
  std::string_view line;
  std::string_view method;
  std::string_view uri;
  if (!Split(&text, kLineEnd, &line) || !Split(&line, " ", &method) ||
      !Split(&line, " ", &uri) || line != "HTTP/1.1") {
    return false;
  }
  head->method = method;
  head->uri = uri;
  head->headers.clear();
  while (Split(&text, kLineEnd, &line)) {
    std::string_view name;
    if (!Split(&line, ":", &name) || !IsToken(name) || !IsText(line)) {
      return false;
    }
    head->headers.emplace_back(name, Trim(line));
  }
  return text.empty();
}

}  // namespace

RequestOrder RequestHead::FindOrder() const {
  if ((method != "GET" && method != "HEAD" && method != "OPTIONS") ||
      !IsPath(uri)) {
    return RequestOrder::kMustWait;
  }
  int hosts = 0;
  int connections = 0;
  bool closes = false;
  for (const auto& header : headers) {
    const std::string& name = header.first;
    const std::string& value = header.second;
    if (std::any_of(kMustWait.begin(), kMustWait.end(),
                    [&name](std::string_view other) {
                      return IsHeaderName(name, other);
                    })) {
      return RequestOrder::kMustWait;
    }
    hosts += IsHeaderName(name, "Host") ? 1 : 0;
    if (IsHeaderName(name, "Connection")) {
      ++connections;
      closes = IsHeaderName(value, "close");
      if (!closes && !IsHeaderName(value, "keep-alive")) {
        return RequestOrder::kMustWait;
      }
    }
  }
  if (hosts != 1 || connections > 1) {
    return RequestOrder::kMustWait;
  }
  return closes ? RequestOrder::kMayOvertakeAsLast : RequestOrder::kMayOvertake;
}

RequestOrder RequestHead::Read(std::string_view bytes,
                               RequestHead* head,
                               size_t* size) {
  const std::string_view start = bytes.substr(0, kMaxBytes);
  const size_t end = start.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return start.size() < kMaxBytes ? RequestOrder::kIncomplete
                                    : RequestOrder::kMustWait;
  }
  RequestHead read;
  if (!Parse(start.substr(0, end + kLineEnd.size()), &read)) {
    return RequestOrder::kMustWait;
  }
  const RequestOrder order = read.FindOrder();
  if (order != RequestOrder::kMustWait) {
    *head = std::move(read);
    *size = end + kHeadEnd.size();
  }
  return order;
}

}  // namespace dragonflytack
