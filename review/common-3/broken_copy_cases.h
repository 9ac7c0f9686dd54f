#ifndef REVIEW_COMMON_3_BROKEN_COPY_CASES_H_
#define REVIEW_COMMON_3_BROKEN_COPY_CASES_H_

#include "lab.h"

namespace review {

// A request that isn't idempotent runs on two endpoints.
int PayTwice(const Environment& environment);
// A client gets the failure of an endpoint as a success.
int FailureAsSuccess(const Environment& environment);
// A request that has run is answered 503.
int RunAsRefused(const Environment& environment);

}  // namespace review

#endif  // REVIEW_COMMON_3_BROKEN_COPY_CASES_H_
