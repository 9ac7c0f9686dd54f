#ifndef DRAGONFLYTACK_BASE_SIGNAL_STACK_H_
#define DRAGONFLYTACK_BASE_SIGNAL_STACK_H_

namespace dragonflytack {

// An alternate signal stack for the thread that creates the object. Without
// one, CrashHandler cannot run after a stack overflow. The object must be
// destroyed on the same thread. Does nothing if the thread already has an
// alternate stack, for example that of a sanitizer.
class SignalStack final {
 public:
  SignalStack();
  ~SignalStack();
  SignalStack(const SignalStack&) = delete;
  SignalStack& operator=(const SignalStack&) = delete;

 private:
  // Null if this object did not set the stack of the thread.
  void* memory_ = nullptr;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SIGNAL_STACK_H_
