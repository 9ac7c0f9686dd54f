#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_

namespace dragonflytack {

// Distance to a peer. Links between regions are slow, and their traffic is
// billed.
enum class LinkClass { kSameDataCentre, kSameRegion, kOtherRegion };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_
