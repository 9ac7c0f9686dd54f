#include "cli/admin_fetcher.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/admin_authorization.h"
#include "dragonflytack/base/event_loop.h"
#include "net/http_connection.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// The records of 5,300 nodes are about 2 MB.
constexpr size_t kMaxResponseBytes = 16'000'000;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

FailureCode FailureCodeOf(int status) {
  if (status == kUnauthorized) {
    return FailureCode::kAuthentication;
  }
  return status == kNotFound ? FailureCode::kNotFound
                             : FailureCode::kPeerRejected;
}

// Returns the "detail" of an error response, or its status if it has none.
std::string ErrorDetailOf(const HttpResponse& response) {
  const json value = json::parse(response.body, nullptr, false);
  if (value.is_object() && value.contains("error") &&
      value["error"].is_object()) {
    const json detail = value["error"].value("detail", json());
    if (detail.is_string()) {
      return detail.get<std::string>();
    }
  }
  return fmt::format("the node responded with status {}", response.status);
}

AdminReply ToReply(const HostPort& node, const HttpResponse& response) {
  if (response.outcome != HttpOutcome::kCompleted) {
    return {std::nullopt,
            Failure{FailureCode::kPeerUnreachable, node.ToString(),
                    response.outcome == HttpOutcome::kNotSent
                        ? "no connection to the admin port was made"
                        : "the admin port sent no complete response"}};
  }
  if (response.status != kOk) {
    return {std::nullopt, Failure{FailureCodeOf(response.status),
                                  node.ToString(), ErrorDetailOf(response)}};
  }
  json value = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return {std::nullopt, Failure{FailureCode::kInvalidMessage, node.ToString(),
                                  "the response is not JSON"}};
  }
  return {std::move(value), Failure{}};
}

}  // namespace

AdminFetcher::AdminFetcher(EventLoop* loop, const std::string& shared_key)
    : loop_(loop),
      authorization_(shared_key.empty() ? "" : AdminAuthorization(shared_key)) {
}

std::vector<AdminReply> AdminFetcher::FetchAll(
    const std::vector<HostPort>& nodes,
    const std::string& target,
    Milliseconds timeout,
    const std::function<void(size_t)>& on_progress) {
  std::vector<AdminReply> replies(nodes.size());
  if (nodes.empty()) {
    return replies;
  }
  HttpRequest request{.target = target};
  if (!authorization_.empty()) {
    request.headers["authorization"] = authorization_;
  }
  std::vector<std::unique_ptr<HttpConnection>> connections(nodes.size());
  size_t next_index = 0;
  size_t completed = 0;
  const std::function<void()> start = [&] {
    const size_t i = next_index++;
    connections[i] =
        std::make_unique<HttpConnection>(loop_, nodes[i], kMaxResponseBytes);
    connections[i]->Send(request, timeout,
                         [&, i](const HttpResponse& response) {
                           replies[i] = ToReply(nodes[i], response);
                           connections[i].reset();
                           ++completed;
                           if (on_progress) {
                             on_progress(completed);
                           }
                           if (next_index < nodes.size()) {
                             start();
                           } else if (completed == nodes.size()) {
                             loop_->Stop();
                           }
                         });
  };
  for (size_t i = 0; i < std::min(kMaxParallelRequests, nodes.size()); ++i) {
    start();
  }
  loop_->Run();
  return replies;
}

AdminReply AdminFetcher::Fetch(const HostPort& node,
                               const std::string& target,
                               Milliseconds timeout) {
  return std::move(FetchAll({node}, target, timeout).front());
}

}  // namespace dragonflytack
