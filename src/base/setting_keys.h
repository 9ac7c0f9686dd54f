#ifndef DRAGONFLYTACK_BASE_SETTING_KEYS_H_
#define DRAGONFLYTACK_BASE_SETTING_KEYS_H_

#include <span>
#include <string>
#include <string_view>

namespace dragonflytack {

struct Settings;

// A key of the settings file.
struct SettingKey final {
  // "section.key".
  std::string_view name;
  bool required;
  // What a value must be, for error messages.
  std::string_view expects;
  // Writes the value into the settings. Returns false when it is out of range
  // or malformed.
  bool (*apply)(const std::string& text, Settings* settings);
};

// Returns every key that a settings file may have.
std::span<const SettingKey> SettingKeys();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SETTING_KEYS_H_
