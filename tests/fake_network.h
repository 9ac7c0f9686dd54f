#ifndef DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_
#define DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_

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

// Carries frames between cores of one test, with seeded delays and faults.
class FakeNetwork final {
 public:
  // One end of a connection sees it under its own id.
  struct End {
    HostPort host;
    LinkId link = 0;
  };

  FakeNetwork(ManualClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  Milliseconds delay{1};
  // Added to each frame's delay, drawn from 0 up to this.
  Milliseconds jitter{0};
  // Shares of frames, 0 to 1. Frames stay in order while `reorder` is false.
  double drop = 0;
  double duplicate = 0;
  bool reorder = false;
  // Whether nothing passes between two hosts.
  std::function<bool(const HostPort&, const HostPort&)> cut =
      [](const HostPort&, const HostPort&) { return false; };
  // Sees every frame that is delivered and may drop it by returning false.
  std::function<
      bool(const HostPort& from, const HostPort& to, const std::string& frame)>
      tap;
  // Hosts whose frames wait because their process is paused.
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
    size_t QueuedBytes(LinkId) const override { return 0; }

   private:
    FakeNetwork* const network_;
    const HostPort host_;
  };

  void Attach(const HostPort& host, DistributionCore* core) {
    cores_[host] = core;
  }

  // Ends a process. With `silent`, its peers are not told, as when a host
  // loses power.
  void Detach(const HostPort& host, bool silent) {
    cores_.erase(host);
    std::set<LinkId> ended;
    for (const auto& [id, other] : peers_) {
      if (owner_.at(id) == host) {
        ended.insert(id);
      }
    }
    for (const LinkId id : ended) {
      if (silent) {
        peers_.erase(id);
      } else {
        Close(id);
      }
    }
  }

  // Calls a core, if its process still runs.
  void Call(const HostPort& host,
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

  // Stops all frames of the links between two hosts, which stay up.
  void Silence(const HostPort& a, const HostPort& b) {
    for (const auto& [id, peer] : peers_) {
      if ((owner_.at(id) == a && owner_.at(peer) == b) ||
          (owner_.at(id) == b && owner_.at(peer) == a)) {
        silent_.insert(id);
      }
    }
  }

 private:
  LinkId Connect(const HostPort& from, const HostPort& to) {
    const LinkId near = ++last_link_;
    const LinkId far = ++last_link_;
    owner_[near] = from;
    owner_[far] = to;
    Handshake(near, far, from, to);
    return near;
  }

  void Handshake(LinkId near,
                 LinkId far,
                 const HostPort& from,
                 const HostPort& to) {
    Call(from, delay * 2, [this, near, far, from, to](DistributionCore* core) {
      if (paused.contains(to) && !closed_.contains(near)) {
        Handshake(near, far, from, to);
        return;
      }
      const auto target = cores_.find(to);
      if (target == cores_.end() || cut(from, to)) {
        core->OnLinkDown(near, {FailureCode::kPeerUnreachable, to.ToString(),
                                "no connection"});
        return;
      }
      if (closed_.contains(near)) {
        return;
      }
      peers_[near] = far;
      peers_[far] = near;
      const NodeRecord self = core->self();
      Call(to, Milliseconds(0), [far, self](DistributionCore* other) {
        other->OnLinkUp(far, self, false);
      });
      core->OnLinkUp(near, target->second->self(), true);
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
    const bool told =
        !silent_.contains(link) && !cut(owner_[link], owner_[other]);
    if (peers_.erase(other) != 0 && told) {
      Call(owner_[other], delay, [other](DistributionCore* core) {
        core->OnLinkDown(other,
                         {FailureCode::kPeerUnreachable, "peer", "closed"});
      });
    }
  }

  void Send(LinkId link, std::string frame) {
    const auto found = peers_.find(link);
    if (found == peers_.end() || silent_.contains(link)) {
      return;
    }
    const LinkId to = found->second;
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
      Call(owner_[to], after, [this, link, to, frame](DistributionCore* core) {
        const HostPort& from = owner_[link];
        if (closed_.contains(to) || silent_.contains(link) ||
            cut(from, owner_[to]) || (tap && !tap(from, owner_[to], frame))) {
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
  std::map<LinkId, HostPort> owner_;
  std::map<LinkId, LinkId> peers_;
  std::set<LinkId> silent_;
  std::set<LinkId> closed_;
  std::map<LinkId, TimePoint> last_arrival_;
  std::multimap<TimePoint,
                std::pair<HostPort, std::function<void(DistributionCore*)>>>
      events_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_FAKE_NETWORK_H_
