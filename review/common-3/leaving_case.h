#ifndef REVIEW_COMMON_3_LEAVING_CASE_H_
#define REVIEW_COMMON_3_LEAVING_CASE_H_

#include "lab.h"

namespace review {

// A stopping node passes requests on to an endpoint long after it has
// acknowledged that the endpoint is leaving.
int LateAfterLeaving(const Environment& environment);

// An endpoint that has left gets requests after all processes were killed.
int LeavingForgotten(const Environment& environment);

}  // namespace review

#endif  // REVIEW_COMMON_3_LEAVING_CASE_H_
