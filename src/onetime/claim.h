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

// The claim of a key that a caller chose: a store object that maps it to a key
// issued by the mesh, so that both kinds of keys are then served the same way.
// This class decides the steps for one call; its user performs them.
class Claim final {
 public:
  static constexpr std::string_view kPrefix = "claims/";
  // Shorter keys are too likely to collide by chance; longer ones cost space
  // without a benefit.
  static constexpr size_t kMinKeyBytes = 8;
  static constexpr size_t kMaxKeyBytes = 255;

  enum class Step {
    // Put value() at object() if its version is if_version().
    kPut,
    // Get object().
    kGet,
    // Continue as if the caller had presented key().
    kUseKey,
    // Report this request as not run.
    kRefuse,
    // The claim exists but cannot be read, so the outcome is unknown.
    kUnknown,
  };

  // Returns whether a caller may choose this key.
  static bool IsAllowed(std::string_view key);
  // Returns the name of the store object.
  static std::string ObjectName(std::string_view service, std::string_view key);
  // Returns the key in a claim's value, or std::nullopt if it is malformed.
  static std::optional<OneTimeKey> ReadValue(const std::string& value,
                                             std::string_view shared_key);

  // `new_key` is an unused key of this process; its id serves as the claim ID.
  Claim(std::string object, OneTimeKey new_key, std::string shared_key);

  // Each event returns the next step.
  Step Start();
  Step OnPut(std::optional<StoreVersion> version, const Failure& reason);
  Step OnGet(std::optional<StoreObject> object, const Failure& reason);
  // The owner responded that no call with key() ran or ever will. A claim that
  // an earlier call wrote is taken over, once, provided that it has not changed
  // since it was read.
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
  const OneTimeKey new_key_;
  const std::string shared_key_;
  StoreVersion if_version_ = 0;
  StoreVersion read_version_ = 0;
  int puts_ = 0;
  bool taken_over_ = false;
  OneTimeKey key_;
  Failure reason_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_CLAIM_H_
