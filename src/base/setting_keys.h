#ifndef DRAGONFLYTACK_BASE_SETTING_KEYS_H_
#define DRAGONFLYTACK_BASE_SETTING_KEYS_H_

#include <span>
#include <string>
#include <string_view>

namespace dragonflytack {

struct Settings;

// A key of the settings file and its validation.
struct SettingKey final {
  // "section.key".
  std::string_view name;
  bool required;
  // Description of valid values, for error messages.
  std::string_view expected;
  // Parses `text` into the settings. Returns false if it is malformed or out of
  // range.
  bool (*apply)(const std::string& text, Settings* settings);
  // Whether a key without a value stands for the default, because a platform
  // that fills in the file may have no value.
  bool may_be_empty = false;
};

// Returns all keys that a settings file may contain.
std::span<const SettingKey> SettingKeys();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SETTING_KEYS_H_
