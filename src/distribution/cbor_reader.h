#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_CBOR_READER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_CBOR_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace dragonflytack {

// Reads the elements of a decoded CBOR array in order. The reader fails at the
// first element of a wrong type or out of range; all further reads return empty
// values.
class CborReader final {
 public:
  // `value` must outlive the reader. The reader fails if it is not an array.
  explicit CborReader(const nlohmann::json& value);

  uint64_t Unsigned(uint64_t maximum = UINT64_MAX);
  int64_t Signed(int64_t minimum, int64_t maximum);
  bool Boolean();
  std::string Text(size_t maximum_size);
  std::vector<uint8_t> Bytes(size_t maximum_size);
  // Reads a byte string of little-endian 64-bit numbers.
  std::vector<uint64_t> Numbers(size_t maximum_count);
  // Returns the next element, or an empty array if that is not an array.
  const nlohmann::json& Array();

  bool AtEnd() const { return next_ >= value_.size(); }
  bool ok() const { return ok_; }
  // Returns whether all elements have been read without a failure.
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
