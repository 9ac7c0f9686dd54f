#ifndef TOOLS_SUPPORT_HTTP_BATCH_H_
#define TOOLS_SUPPORT_HTTP_BATCH_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// One HTTP request of a batch and its answer. Status 0 means that no answer
// came.
struct HttpExchange final {
  HostPort server;
  std::string path;
  // GET, POST or PUT.
  std::string method = "GET";
  std::string body;
  std::map<std::string, std::string> headers;
  int status = 0;
  std::string response;
  std::map<std::string, std::string> response_headers;
};

// Sends all requests at once, each on a connection of its own, and returns when
// each has its answer or `timeout_ms` has passed.
void RunHttpBatch(std::vector<HttpExchange>* exchanges, int timeout_ms);

// Sends one request.
HttpExchange RunHttp(HttpExchange exchange, int timeout_ms);

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_HTTP_BATCH_H_
