#ifndef TOOLS_SOAK_DRIVER_CALL_RECORD_H_
#define TOOLS_SOAK_DRIVER_CALL_RECORD_H_

#include <chrono>
#include <string>

namespace dragonflytack {

using SoakTime = std::chrono::steady_clock::time_point;

// What a caller presents where the table has client accounts.
enum class ApiKey { kValid, kRevoked, kNone };

// The keys of the soak's accounts; that of ApiKey::kRevoked is revoked during
// the run.
inline constexpr char kValidApiKey[] = "soak-api-key-1";
inline constexpr char kRevokedApiKey[] = "soak-api-key-2";

// A request of a caller and its response.
struct CallRecord final {
  // Request id, which the target counts and echoes.
  std::string id;
  // Key of a one-time call; empty for other calls and without a key.
  std::string key;
  bool one_time = false;
  // Request for a key; it reaches no target.
  bool key_fetch = false;
  // How often the key had been presented before.
  int presented = 0;
  int entry = 0;
  ApiKey api_key = ApiKey::kValid;
  SoakTime sent;
  SoakTime ended;
  // 0 if the connection ended without a response.
  int status = 0;
  // Headers x-outcome, x-reason and x-not-run-scope.
  std::string outcome;
  std::string reason;
  std::string scope;
  // The response before it closed the connection, so that the call must not
  // have run and gets no response.
  bool is_behind_close = false;
  // Whether the response body names the request.
  bool own_response = false;

  // A refusal for the API key counts as success if the key may be refused.
  bool Succeeded() const {
    if (api_key != ApiKey::kValid && reason == "unknown_key") {
      return status == 401;
    }
    return status == 200 && (key_fetch || (outcome == "done" && own_response));
  }
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_CALL_RECORD_H_
