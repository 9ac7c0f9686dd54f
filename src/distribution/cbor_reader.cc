#include "distribution/cbor_reader.h"

namespace dragonflytack {

using nlohmann::json;

CborReader::CborReader(const json& value)
    : value_(value), ok_(value.is_array()) {}

const json* CborReader::Next() {
  if (!ok_ || AtEnd()) {
    ok_ = false;
    return nullptr;
  }
  return &value_[next_++];
}

uint64_t CborReader::Unsigned(uint64_t maximum) {
  const json* element = Next();
  if (element == nullptr || !element->is_number_unsigned() ||
      element->get<uint64_t>() > maximum) {
    ok_ = false;
    return 0;
  }
  return element->get<uint64_t>();
}

int64_t CborReader::Signed(int64_t minimum, int64_t maximum) {
  const json* element = Next();
  if (element == nullptr || !element->is_number_integer() ||
      (element->is_number_unsigned() &&
       element->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))) {
    ok_ = false;
    return 0;
  }
  const int64_t number = element->get<int64_t>();
  if (number < minimum || number > maximum) {
    ok_ = false;
    return 0;
  }
  return number;
}

bool CborReader::Boolean() {
  const json* element = Next();
  if (element == nullptr || !element->is_boolean()) {
    ok_ = false;
    return false;
  }
  return element->get<bool>();
}

std::string CborReader::Text(size_t maximum_size) {
  const json* element = Next();
  if (element == nullptr || !element->is_string() ||
      element->get_ref<const std::string&>().size() > maximum_size) {
    ok_ = false;
    return {};
  }
  return element->get<std::string>();
}

std::vector<uint8_t> CborReader::Bytes(size_t maximum_size) {
  const json* element = Next();
  if (element == nullptr || !element->is_binary() ||
      element->get_binary().size() > maximum_size) {
    ok_ = false;
    return {};
  }
  return element->get_binary();
}

std::vector<uint64_t> CborReader::Numbers(size_t maximum_count) {
  const json* element = Next();
  if (element == nullptr || !element->is_binary() ||
      element->get_binary().size() % 8 != 0 ||
      element->get_binary().size() / 8 > maximum_count) {
    ok_ = false;
    return {};
  }
  const json::binary_t& bytes = element->get_binary();
  std::vector<uint64_t> numbers(bytes.size() / 8);
  for (size_t i = 0; i < bytes.size(); ++i) {
    numbers[i / 8] |= uint64_t{bytes[i]} << (i % 8 * 8);
  }
  return numbers;
}

const json& CborReader::Array() {
  static const json* const kEmpty = new json(json::array());
  const json* element = Next();
  if (element == nullptr || !element->is_array()) {
    ok_ = false;
    return *kEmpty;
  }
  return *element;
}

}  // namespace dragonflytack
