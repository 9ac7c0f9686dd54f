#ifndef DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_

#include <map>
#include <string>

namespace dragonflytack {

// A request to the admin port.
struct AdminRequest final {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Value of the header "authorization", empty when there is none.
  std::string authorization;
  std::string body;
  // IP number that the request came from.
  std::string remote_address;
};

// The answer to it.
struct AdminResponse final {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_REQUEST_H_
