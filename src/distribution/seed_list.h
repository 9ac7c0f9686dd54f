#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// The value of the store object "seeds": some peers of each data centre,
// through which a node without links can join. Its JSON form is
// {"<data centre>": {"region": "<region>", "peers": ["IP:port", ...]}, ...}.
struct SeedList final {
  static constexpr size_t kMaxPeers = 8;
  static constexpr size_t kMaxBytes = 100'000;

  struct DataCentre {
    std::string region;
    std::vector<HostPort> peers;

    friend bool operator==(const DataCentre&, const DataCentre&) = default;
  };

  std::map<std::string, DataCentre> data_centres;

  // Returns std::nullopt if the text is no JSON object or too long. Invalid
  // data centres and peers are left out; `reason` then names the first of them.
  static std::optional<SeedList> Parse(const std::string& json,
                                       Failure* reason);
  std::string ToJson() const;

  friend bool operator==(const SeedList&, const SeedList&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_H_
