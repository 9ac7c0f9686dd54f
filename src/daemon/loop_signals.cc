#include "daemon/loop_signals.h"

namespace dragonflytack {

namespace {

void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kLoopSignals) {
    sigaddset(&signals, signal);
  }
  // It fails only for an invalid `how`.
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void BlockLoopSignals() {
  ChangeMask(SIG_BLOCK);
}

void UnblockLoopSignals() {
  ChangeMask(SIG_UNBLOCK);
}

}  // namespace dragonflytack
