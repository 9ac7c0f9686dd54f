#ifndef DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_
#define DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/distribution/distribution_status.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/distribution/traffic_counters.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

class LinkLayer;
class Logger;
class StoreClient;
class Table;
class TimerService;
struct Endpoint;
struct RouteSnapshot;
struct Settings;

// Decides what table version and which endpoints are in force on this node, and
// what is sent to whom. It does no I/O of its own and runs on the control
// task's thread.
class DistributionCore final {
 public:
  using RoutesCallback =
      std::function<void(std::shared_ptr<const RouteSnapshot>)>;

  // All pointers must outlive the core. `seed` feeds jitter and choices, so
  // that a test can repeat them.
  DistributionCore(const Settings& settings,
                   TimerService* timers,
                   StoreClient* store,
                   LinkLayer* links,
                   Logger* logger,
                   uint64_t seed);
  ~DistributionCore();
  DistributionCore(const DistributionCore&) = delete;
  DistributionCore& operator=(const DistributionCore&) = delete;

  // Called with each new snapshot that is put in force.
  void set_on_routes(RoutesCallback on_routes);

  // Begins to join the fleet.
  void Start();

  // Reports of the link layer. `peer` is the record that the peer presented in
  // the handshake.
  void OnLinkUp(LinkId link, const NodeRecord& peer, bool outgoing);
  void OnFrame(LinkId link, std::string_view frame);
  void OnLinkDown(LinkId link, const Failure& reason);

  // The local target's announcement: its service, state, and slots (0: the
  // table's value applies).
  void SetTarget(const std::string& service, TargetState state, int slots);

  // Announces `draining` at once on all links. The rest of a planned stop is up
  // to the caller.
  void BeginDrain();

  // Announces who answers for this node's one-time records from now on, with
  // the state `left`.
  void AnnounceSuccessor(const NodeId& successor);

  // Announces that this node took over the one-time records of (home,
  // incarnation).
  void AnnounceTakeover(const NodeId& owner, uint64_t incarnation);

  // This node's own record, which the link layer presents in handshakes.
  const NodeRecord& self() const;

  // The table in force; null before the first one.
  std::shared_ptr<const Table> table() const;

  // What operators see of this node.
  DistributionStatus Status() const;

  // Frames and bytes on the links since the start.
  const TrafficCounters& traffic() const;

  // All records in the registry, sorted by id, with what is believed of each
  // node.
  std::vector<Endpoint> KnownNodes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_
