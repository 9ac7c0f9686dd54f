#ifndef DRAGONFLYTACK_DAEMON_ADMIN_API_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_API_H_

#include <optional>
#include <string>
#include <string_view>

#include "daemon/admin_handler.h"
#include "daemon/admin_request.h"
#include "dragonflytack/base/failure.h"

namespace dragonflytack {

class AdminSource;

// Handles requests to the admin port: checks path, method, body size,
// authorization and parameters, and reads from the source. Does no I/O.
class AdminApi final : public AdminHandler {
 public:
  static constexpr size_t kMaxBodyBytes = 4096;

  // `own_address` is the node's IP address, from which announcements are
  // accepted as well as from loopback addresses. `source` must outlive the
  // object.
  AdminApi(const std::string& shared_key,
           const std::string& own_address,
           AdminSource* source);

  void Handle(const AdminRequest& request, AdminRespond respond) const override;

 private:
  using Handler = AdminResponse (AdminApi::*)(const AdminRequest&) const;
  struct Resource {
    std::string_view method;
    std::string_view path;
    bool needs_authorization;
    // Null for announcements, whose response may be sent later.
    Handler handler;
  };
  static const Resource kResources[];

  // Returns the response to a request that no resource accepts, std::nullopt
  // with the resource otherwise.
  std::optional<AdminResponse> FindRefusal(const AdminRequest& request,
                                           const Resource** resource) const;
  AdminResponse GetStatus(const AdminRequest& request) const;
  AdminResponse GetNodes(const AdminRequest& request) const;
  AdminResponse GetRoutes(const AdminRequest& request) const;
  AdminResponse GetTable(const AdminRequest& request) const;
  AdminResponse GetEvidence(const AdminRequest& request) const;
  AdminResponse GetRollouts(const AdminRequest& request) const;
  AdminResponse GetTrace(const AdminRequest& request) const;
  AdminResponse GetMetrics(const AdminRequest& request) const;
  AdminResponse GetHealth(const AdminRequest& request) const;
  void PostAnnounce(const AdminRequest& request,
                    const AdminRespond& respond) const;

  // Expected value of the authorization header; empty if none is required.
  const std::string authorization_;
  const std::string own_address_;
  AdminSource* const source_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_API_H_
