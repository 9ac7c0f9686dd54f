#ifndef DRAGONFLYTACK_STORE_STORE_RESPONSE_CHECKER_H_
#define DRAGONFLYTACK_STORE_STORE_RESPONSE_CHECKER_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/store/store_client.h"
#include "net/http_connection.h"

namespace dragonflytack {

class Logger;

// Checks of responses that are common to the store clients. Each failure is
// logged once and contains the key and the address of the store.
class StoreResponseChecker final {
 public:
  // `logger` must outlive the object. `max_response_bytes` is reported with
  // HttpOutcome::kTooLarge.
  StoreResponseChecker(const HostPort& store,
                       size_t max_response_bytes,
                       Logger* logger);

  // Returns the failure if no complete response was received, or std::nullopt.
  std::optional<Failure> FindTransportFailure(const HttpResponse& response,
                                              const std::string& key) const;

  // Logs the failure of a call for the key and returns it.
  Failure LogFailure(FailureCode code,
                     const std::string& key,
                     std::string detail) const;

  // Calls the callback with the version. If `failure` is not kNone, calls it
  // with that failure instead; if the version is missing from a successful
  // response, with kStoreTimeout.
  void ReportVersion(const Failure& failure,
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
