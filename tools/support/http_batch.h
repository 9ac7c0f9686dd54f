#ifndef TOOLS_SUPPORT_HTTP_BATCH_H_
#define TOOLS_SUPPORT_HTTP_BATCH_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// One HTTP request of a batch and its response. Status 0 means that no response
// was received.
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

// Sends all requests concurrently, each on a separate connection, and returns
// when all responses have arrived or `timeout_ms` has passed.
void RunHttpBatch(std::vector<HttpExchange>* exchanges, int timeout_ms);

// Sends a single request.
HttpExchange RunHttp(HttpExchange exchange, int timeout_ms);

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_HTTP_BATCH_H_
