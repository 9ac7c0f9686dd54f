#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_CBOR_READER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_CBOR_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace dragonflytack {

// Reads the elements of a decoded CBOR array one after the other. The first
// element with a wrong type or out of range makes it fail; all later reads then
// return empty values.
class CborReader final {
 public:
  // `value` must outlive the reader. Fails when it is not an array.
  explicit CborReader(const nlohmann::json& value);

  uint64_t Unsigned(uint64_t maximum = UINT64_MAX);
  int64_t Signed(int64_t minimum, int64_t maximum);
  bool Boolean();
  std::string Text(size_t maximum_size);
  // Reads a byte string of little-endian 64-bit numbers.
  std::vector<uint64_t> Numbers(size_t maximum_count);
  // Returns an element that is an array, or an empty array.
  const nlohmann::json& Array();

  bool AtEnd() const { return next_ >= value_.size(); }
  bool ok() const { return ok_; }
  // Returns whether every element was read without a failure.
  bool Finished() const { return ok_ && AtEnd(); }
  void Fail() { ok_ = false; }

 private:
  const nlohmann::json* Next();

  const nlohmann::json& value_;
  size_t next_ = 0;
  bool ok_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_CBOR_READER_H_
