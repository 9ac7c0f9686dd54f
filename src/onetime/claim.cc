#include "onetime/claim.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

// A first write, and a second one if the claim was deleted or the response to
// the first write was lost.
constexpr int kMaxPuts = 2;

}  // namespace

bool Claim::IsAllowed(std::string_view key) {
  return key.size() >= kMinKeyBytes && key.size() <= kMaxKeyBytes &&
         !key.starts_with(OneTimeKey::kPrefix) &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string Claim::ObjectName(std::string_view service, std::string_view key) {
  // A fixed HMAC key keeps the name the same when the shared key changes.
  std::string text(service);
  text += '\n';
  text += key;
  return std::string(kPrefix) + ToHex(HmacSha256("claim name", text));
}

std::optional<OneTimeKey> Claim::ReadValue(const std::string& value,
                                           std::string_view shared_key) {
  const nlohmann::json json =
      nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("key") || !json["key"].is_string()) {
    return std::nullopt;
  }
  Failure reason;
  return OneTimeKey::Parse(json["key"].get<std::string>(), shared_key, &reason);
}

Claim::Claim(std::string object, OneTimeKey new_key, std::string shared_key)
    : object_(std::move(object)),
      new_key_(std::move(new_key)),
      shared_key_(std::move(shared_key)) {}

std::string Claim::value() const {
  return nlohmann::json{{"key", new_key_.ToText(shared_key_)}}.dump();
}

Claim::Step Claim::Start() {
  return Put();
}

Claim::Step Claim::Put() {
  if (puts_ >= kMaxPuts) {
    return Refuse(
        {FailureCode::kConflict, object_, "no claim present after 2 writes"});
  }
  ++puts_;
  return Step::kPut;
}

Claim::Step Claim::Refuse(const Failure& reason) {
  reason_ = reason;
  return Step::kRefuse;
}

Claim::Step Claim::OnPut(std::optional<StoreVersion> version,
                         const Failure& reason) {
  if (version) {
    key_ = new_key_;
    return Step::kUseKey;
  }
  // After a lost response the claim ID shows whether the write took effect.
  if (reason.code == FailureCode::kConflict ||
      reason.code == FailureCode::kStoreTimeout) {
    return Step::kGet;
  }
  return Refuse(reason);
}

Claim::Step Claim::OnGet(std::optional<StoreObject> object,
                         const Failure& reason) {
  if (!object) {
    return Refuse(reason);
  }
  if (object->version == 0) {
    if_version_ = 0;
    return Put();
  }
  const std::optional<OneTimeKey> key = ReadValue(object->value, shared_key_);
  if (!key) {
    reason_ = {FailureCode::kInvalidMessage, object_, "unreadable claim"};
    return Step::kUnknown;
  }
  key_ = *key;
  read_version_ = object->version;
  return Step::kUseKey;
}

Claim::Step Claim::OnOwnerRefused() {
  if (key_ == new_key_ || taken_over_) {
    return Refuse({FailureCode::kOverloaded, object_,
                   "the owner of the key refused the call"});
  }
  taken_over_ = true;
  puts_ = 0;
  if_version_ = read_version_;
  return Put();
}

}  // namespace dragonflytack
