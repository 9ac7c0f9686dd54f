#include "net/cbor.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Accepts any item up to a depth and keeps nothing.
class DepthCheck final : public nlohmann::json_sax<json> {
 public:
  explicit DepthCheck(int max_depth) : left_(max_depth) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(size_t /*size*/) override { return --left_ >= 0; }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return ++left_ > 0; }
  bool start_array(size_t /*size*/) override { return --left_ >= 0; }
  bool end_array() override { return ++left_ > 0; }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int left_;
};

}  // namespace

std::string EncodeCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::optional<json> DecodeCbor(std::string_view bytes,
                               Failure* reason,
                               int max_depth) {
  DepthCheck check(max_depth);
  if (json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
    json value = json::from_cbor(bytes, /*strict=*/true,
                                 /*allow_exceptions=*/false);
    if (!value.is_discarded()) {
      return value;
    }
  }
  *reason = {FailureCode::kInvalidMessage, "CBOR",
             "malformed or too deeply nested"};
  return std::nullopt;
}

}  // namespace dragonflytack
