#ifndef DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_

#include <map>
#include <string>

namespace dragonflytack {

// An HTTP request to an AdminServer.
struct AdminRequest final {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Value of the authorization header, empty if it is missing.
  std::string authorization;
  std::string body;
  // IP address from which the request came.
  std::string remote_address;
};

// The HTTP response to an AdminRequest.
struct AdminResponse final {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_
