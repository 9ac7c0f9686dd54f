#include "dragonflytack/base/admin_authorization.h"

#include "dragonflytack/base/hash.h"

namespace dragonflytack {

std::string AdminAuthorization(std::string_view shared_key) {
  return "Bearer " + ToHex(HmacSha256(shared_key, "admin"));
}

}  // namespace dragonflytack
