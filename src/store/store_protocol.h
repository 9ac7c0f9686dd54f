#ifndef DRAGONFLYTACK_STORE_STORE_PROTOCOL_H_
#define DRAGONFLYTACK_STORE_STORE_PROTOCOL_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// The parts of docs/store-protocol.md that are common to the client and the
// store stand-in.
struct StoreProtocol final {
  static constexpr size_t kMaxKeyBytes = 512;
  static constexpr size_t kMaxValueBytes = 1'000'000;
  // Largest body of a response.
  static constexpr size_t kMaxResponseBytes = 1'100'000;
  static constexpr int kMaxListLimit = 1000;

  static constexpr char kObjectsPath[] = "/v1/objects/";
  static constexpr char kWatchPath[] = "/v1/watch/";
  static constexpr char kListPath[] = "/v1/list";
  static constexpr char kVersionHeader[] = "x-version";
  static constexpr char kConditionHeader[] = "x-if-version";
  static constexpr char kMoreHeader[] = "x-more";
  static constexpr char kEraHeader[] = "x-era";
  static constexpr char kEraConditionHeader[] = "x-if-era";

  // A key has 1 to kMaxKeyBytes bytes of a-z, A-Z, 0-9, '.', '_', '-' and '/'.
  static bool IsKey(std::string_view key);

  // Parses a version: only decimal digits, at most 64 bits. Returns
  // std::nullopt for any other text.
  static std::optional<StoreVersion> ParseVersion(std::string_view text);

  // The body of a response to a list request is a sequence of encoded objects.
  // DecodeObjects() returns std::nullopt if it is malformed.
  static std::string EncodeObject(const StoreObject& object);
  static std::optional<std::vector<StoreObject>> DecodeObjects(
      std::string_view body);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_PROTOCOL_H_
