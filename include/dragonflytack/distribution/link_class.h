#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_

namespace dragonflytack {

// How far a peer is away. Links between regions are slow and billed.
enum class LinkClass { kSameDataCentre, kSameRegion, kOtherRegion };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_CLASS_H_
