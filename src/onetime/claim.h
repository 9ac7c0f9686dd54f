#ifndef DRAGONFLYTACK_ONETIME_CLAIM_H_
#define DRAGONFLYTACK_ONETIME_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"
#include "onetime/begin_reason.h"
#include "onetime/one_time_key.h"

namespace dragonflytack {

// The claim of a key that a caller invented: a store object that maps it to a
// key of the mesh, so that from then on both kinds of keys are served alike.
// This class decides the steps of one call; a caller carries them out.
class Claim final {
 public:
  static constexpr std::string_view kPrefix = "claims/";
  // Shorter ones are too likely to be the same by chance; longer ones only
  // cost.
  static constexpr size_t kMinKeyBytes = 8;
  static constexpr size_t kMaxKeyBytes = 255;

  enum class Step {
    // Put value() at object() if its version is if_version().
    kPut,
    // Get object().
    kGet,
    // The call belongs to key(): go on as if the caller had presented it.
    kFollow,
    // Not run, for this request.
    kRefuse,
    // There is a claim that cannot be read, so the outcome is unknown.
    kUnknown,
  };

  // Whether a caller may invent this key.
  static bool IsAllowed(std::string_view key);
  // Returns the name of the store object.
  static std::string ObjectName(std::string_view service, std::string_view key);
  // Returns the key in a claim's value, nothing when it is malformed.
  static std::optional<OneTimeKey> ReadValue(const std::string& value,
                                             std::string_view secret);

  // `minted` is a fresh key of this process, whose id serves as the claim ID.
  Claim(std::string object, OneTimeKey minted, std::string secret);

  // The events. Each returns the next step.
  Step Start();
  Step OnPut(std::optional<StoreVersion> version, const Failure& reason);
  Step OnGet(std::optional<StoreObject> object, const Failure& reason);
  // The home answered that no call with key() ran or ever will. A claim that an
  // earlier call made is taken over, once, on the condition that it still
  // stands.
  Step OnOwnerRefused();

  const std::string& object() const { return object_; }
  std::string value() const;
  StoreVersion if_version() const { return if_version_; }
  const OneTimeKey& key() const { return key_; }
  const Failure& reason() const { return reason_; }

 private:
  Step Put();
  Step Refuse(const Failure& reason);

  const std::string object_;
  const OneTimeKey minted_;
  const std::string secret_;
  StoreVersion if_version_ = 0;
  StoreVersion read_version_ = 0;
  int puts_ = 0;
  bool taken_over_ = false;
  OneTimeKey key_;
  Failure reason_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_CLAIM_H_
