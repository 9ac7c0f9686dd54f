#ifndef REVIEW_COMMON_3_ODD_ENTRY_CASE_H_
#define REVIEW_COMMON_3_ODD_ENTRY_CASE_H_

#include "lab.h"

namespace review {

// The nodes do not find each other again after all of them were killed.
int FleetStaysApart(const Environment& environment);

}  // namespace review

#endif  // REVIEW_COMMON_3_ODD_ENTRY_CASE_H_
