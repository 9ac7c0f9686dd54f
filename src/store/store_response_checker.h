#ifndef DRAGONFLYTACK_STORE_STORE_RESPONSE_CHECKER_H_
#define DRAGONFLYTACK_STORE_STORE_RESPONSE_CHECKER_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/store/store_client.h"
#include "store/http_connection.h"

namespace dragonflytack {

class Logger;

// What store clients have in common when they judge answers: each failure is
// logged once and names the key and the store.
class StoreResponseChecker final {
 public:
  // `logger` must outlive the object. Longer answers count as lost.
  StoreResponseChecker(const HostPort& store,
                       size_t max_response_bytes,
                       Logger* logger);

  // Returns why no whole answer came, nothing when one did.
  std::optional<Failure> FindLoss(const HttpResponse& response,
                                  const std::string& key) const;

  // Logs and returns a failure of a call for the key.
  Failure Failed(FailureCode code,
                 const std::string& key,
                 std::string detail) const;

  // Gives the version to the callback, or why there is none: `verdict`, or else
  // that the answer of a successful call names none.
  void GiveVersion(const Failure& verdict,
                   std::optional<StoreVersion> version,
                   const std::string& key,
                   const StoreClient::VersionCallback& callback) const;

 private:
  const HostPort store_;
  const size_t max_response_bytes_;
  Logger* const logger_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_RESPONSE_CHECKER_H_
