#ifndef DRAGONFLYTACK_DAEMON_READINESS_H_
#define DRAGONFLYTACK_DAEMON_READINESS_H_

#include <functional>
#include <utility>

#include "daemon/admin_handler.h"

namespace dragonflytack {

// Tells whoever sends callers to this node whether it can take them: status 200
// once a table is in force and until a stop begins, 503 otherwise.
class Readiness final : public AdminHandler {
 public:
  // Whoever asks sends no more callers after this many refusals in a row.
  static constexpr int kRefusalsToTurnAway = 2;

  // `on_turned_away` is called when that many have been answered.
  explicit Readiness(std::function<void()> on_turned_away)
      : on_turned_away_(std::move(on_turned_away)) {}

  void set_ready(bool ready);
  bool ready() const { return ready_; }

  AdminResponse Handle(const AdminRequest& request) const override;

 private:
  const std::function<void()> on_turned_away_;
  bool ready_ = false;
  // Refusals since the last change of `ready_`. Answering counts, so it changes
  // in a constant method.
  mutable int refusals_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_READINESS_H_
