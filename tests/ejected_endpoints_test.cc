#include "daemon/ejected_endpoints.h"

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

// Guards against endpoints that are shown as ejected after the ejection period
// or for another service, and against ejected ones that are not shown.
Test(ejected_endpoints, shows_an_endpoint_until_its_period_ends) {
  ManualClock clock;
  EjectedEndpoints ejected(&clock);
  cr_expect(ejected.EjectionReason("s", "n1").empty());
  ejected.Add("s", "n1", Milliseconds(1000));
  clock.Advance(Milliseconds(400));
  cr_expect(ejected.EjectionReason("s", "n1") ==
            "ejected after failed calls, 600 ms left");
  cr_expect(ejected.EjectionReason("t", "n1").empty());
  cr_expect(ejected.EjectionReason("s", "n2").empty());
  cr_expect_eq(ejected.Count(), 1);
  // The period of a second ejection starts at that ejection.
  ejected.Add("s", "n1", Milliseconds(2000));
  clock.Advance(Milliseconds(1999));
  cr_expect(!ejected.EjectionReason("s", "n1").empty());
  clock.Advance(Milliseconds(1));
  cr_expect(ejected.EjectionReason("s", "n1").empty());
  cr_expect_eq(ejected.Count(), 0);
}

}  // namespace dragonflytack
