#ifndef DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_
#define DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/distribution/link_layer.h"

namespace dragonflytack {

// Delivers frames between the cores of one test, with seeded delays and faults.
class FakeNetwork final {
 public:
  // One end of a connection. Each end has its own link id.
  struct LinkEnd {
    HostPort host;
    LinkId link = 0;
  };

  FakeNetwork(ManualClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  Milliseconds delay{1};
  // Limit of the random delay that is added to the delay of each frame.
  Milliseconds jitter{0};
  // Shares of frames, 0 to 1, that are dropped and duplicated. Frames stay in
  // order while `reorder` is false.
  double drop = 0;
  double duplicate = 0;
  bool reorder = false;
  // Share of sends, 0 to 1, that end the link. Both cores receive the event
  // right after the call that sent, which is the earliest moment that LinkLayer
  // allows.
  double end_on_send = 0;
  // Number of bytes that each link reports as queued.
  size_t queued_bytes = 0;
  // Returns whether no frame passes between two hosts.
  std::function<bool(const HostPort&, const HostPort&)> is_partitioned =
      [](const HostPort&, const HostPort&) { return false; };
  // If set, called before the delivery of each frame; drops it by returning
  // false.
  std::function<
      bool(const HostPort& from, const HostPort& to, const std::string& frame)>
      frame_filter;
  // Hosts whose process is paused; their frames are held back.
  std::set<HostPort> paused;

  class Layer final : public LinkLayer {
   public:
    Layer(FakeNetwork* network, HostPort host)
        : network_(network), host_(std::move(host)) {}
    LinkId Connect(const HostPort& peer) override {
      return network_->Connect(host_, peer);
    }
    void Close(LinkId link) override { network_->Close(link); }
    void Send(LinkId link, std::string frame) override {
      network_->Send(link, std::move(frame));
    }
    size_t QueuedBytes(LinkId) const override { return network_->queued_bytes; }

   private:
    FakeNetwork* const network_;
    const HostPort host_;
  };

  void Attach(const HostPort& host, DistributionCore* core) {
    cores_[host] = core;
  }

  // Ends a process. If `is_power_loss` is true, its links are not reported down
  // to its peers.
  void Detach(const HostPort& host, bool is_power_loss) {
    cores_.erase(host);
    std::set<LinkId> ended;
    for (const auto& [id, other] : peers_) {
      if (link_hosts_.at(id) == host) {
        ended.insert(id);
      }
    }
    for (const LinkId id : ended) {
      if (is_power_loss) {
        peers_.erase(id);
      } else {
        Close(id);
      }
    }
  }

  // Runs an action on the core of a host after a delay, unless its process has
  // ended by then.
  void Schedule(const HostPort& host,
                Milliseconds after,
                std::function<void(DistributionCore*)> action) {
    events_.emplace(clock_->Now() + after, std::pair(host, std::move(action)));
  }

  void Deliver() {
    for (auto event = events_.begin();
         event != events_.end() && event->first <= clock_->Now();) {
      if (paused.contains(event->second.first)) {
        ++event;
        continue;
      }
      const auto [host, action] = std::move(event->second);
      events_.erase(event);
      const auto core = cores_.find(host);
      if (core != cores_.end()) {
        action(core->second);
      }
      event = events_.begin();
    }
  }

  // Drops all frames on the existing links between two hosts. The links stay
  // up.
  void DropFramesBetween(const HostPort& a, const HostPort& b) {
    for (const auto& [id, peer] : peers_) {
      if ((link_hosts_.at(id) == a && link_hosts_.at(peer) == b) ||
          (link_hosts_.at(id) == b && link_hosts_.at(peer) == a)) {
        blackholed_.insert(id);
      }
    }
  }

 private:
  LinkId Connect(const HostPort& from, const HostPort& to) {
    const LinkId local_link = ++last_link_;
    const LinkId remote_link = ++last_link_;
    link_hosts_[local_link] = from;
    link_hosts_[remote_link] = to;
    Handshake(local_link, remote_link, from, to);
    return local_link;
  }

  void Handshake(LinkId local_link,
                 LinkId remote_link,
                 const HostPort& from,
                 const HostPort& to) {
    Schedule(from, delay * 2,
             [this, local_link, remote_link, from, to](DistributionCore* core) {
               if (paused.contains(to) && !closed_.contains(local_link)) {
                 Handshake(local_link, remote_link, from, to);
                 return;
               }
               const auto target = cores_.find(to);
               if (target == cores_.end() || is_partitioned(from, to)) {
                 core->OnLinkDown(local_link, {FailureCode::kPeerUnreachable,
                                               to.ToString(), "no connection"});
                 return;
               }
               if (closed_.contains(local_link)) {
                 return;
               }
               peers_[local_link] = remote_link;
               peers_[remote_link] = local_link;
               const NodeRecord self = core->self();
               Schedule(to, Milliseconds(0),
                        [this, remote_link, self](DistributionCore* other) {
                          if (!ended_.contains(remote_link)) {
                            other->OnLinkUp(remote_link, self, false);
                          }
                        });
               core->OnLinkUp(local_link, target->second->self(), true);
             });
  }

  void Close(LinkId link) {
    closed_.insert(link);
    const auto found = peers_.find(link);
    if (found == peers_.end()) {
      return;
    }
    const LinkId other = found->second;
    peers_.erase(found);
    const bool is_peer_notified =
        !blackholed_.contains(link) &&
        !is_partitioned(link_hosts_[link], link_hosts_[other]);
    if (peers_.erase(other) != 0 && is_peer_notified) {
      Schedule(link_hosts_[other], delay, [other](DistributionCore* core) {
        core->OnLinkDown(other,
                         {FailureCode::kPeerUnreachable, "peer", "closed"});
      });
    }
  }

  // Ends one end of a link by a failure.
  void End(LinkId link) {
    peers_.erase(link);
    ended_.insert(link);
    events_.emplace(
        TimePoint::min(),
        std::pair(link_hosts_[link], [this, link](DistributionCore* core) {
          if (!closed_.contains(link)) {
            core->OnLinkDown(link,
                             {FailureCode::kPeerUnreachable, "peer", "ended"});
          }
        }));
  }

  void Send(LinkId link, std::string frame) {
    const auto found = peers_.find(link);
    if (found == peers_.end() || blackholed_.contains(link)) {
      return;
    }
    const LinkId to = found->second;
    if (end_on_send > 0 && random_.Unit() < end_on_send) {
      End(link);
      End(to);
      return;
    }
    const int copies =
        random_.Unit() < drop ? 0 : (random_.Unit() < duplicate ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      Milliseconds after = delay;
      if (jitter.count() > 0) {
        after += Milliseconds(random_.Below(jitter.count()));
      }
      TimePoint& last = last_arrival_[to];
      if (!reorder && clock_->Now() + after < last) {
        after = std::chrono::duration_cast<Milliseconds>(last - clock_->Now());
      }
      last = clock_->Now() + after;
      Schedule(
          link_hosts_[to], after,
          [this, link, to, frame](DistributionCore* core) {
            const HostPort& from = link_hosts_[link];
            if (closed_.contains(to) || blackholed_.contains(link) ||
                is_partitioned(from, link_hosts_[to]) ||
                (frame_filter && !frame_filter(from, link_hosts_[to], frame))) {
              return;
            }
            core->OnFrame(to, frame);
          });
    }
  }

  ManualClock* const clock_;
  Random random_;
  LinkId last_link_ = 0;
  std::map<HostPort, DistributionCore*> cores_;
  std::map<LinkId, HostPort> link_hosts_;
  std::map<LinkId, LinkId> peers_;
  std::set<LinkId> blackholed_;
  std::set<LinkId> closed_;
  // Links that ended by a failure.
  std::set<LinkId> ended_;
  std::map<LinkId, TimePoint> last_arrival_;
  std::multimap<TimePoint,
                std::pair<HostPort, std::function<void(DistributionCore*)>>>
      events_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_
