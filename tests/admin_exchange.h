#ifndef DRAGONFLYTACK_TESTS_ADMIN_EXCHANGE_H_
#define DRAGONFLYTACK_TESTS_ADMIN_EXCHANGE_H_

#include <optional>

#include <criterion/criterion.h>

#include "daemon/admin_handler.h"

namespace dragonflytack {

// Returns the response of a handler that responds before it returns.
inline AdminResponse Exchange(const AdminHandler& handler,
                              const AdminRequest& request) {
  std::optional<AdminResponse> response;
  handler.Handle(request, [&response](const AdminResponse& sent) {
    cr_assert_not(response.has_value(), "two responses");
    response = sent;
  });
  cr_assert(response.has_value());
  return *response;
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_ADMIN_EXCHANGE_H_
