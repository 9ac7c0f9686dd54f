#ifndef DRAGONFLYTACK_BASE_ADMIN_AUTHORIZATION_H_
#define DRAGONFLYTACK_BASE_ADMIN_AUTHORIZATION_H_

#include <string>
#include <string_view>

namespace dragonflytack {

// Returns the value of the header "authorization" that requests to the admin
// port need when a shared key is set: "Bearer " and the hexadecimal HMAC-SHA256
// of "admin" under the key.
std::string AdminAuthorization(std::string_view shared_key);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_ADMIN_AUTHORIZATION_H_
