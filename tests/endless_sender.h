#ifndef DRAGONFLYTACK_TESTS_ENDLESS_SENDER_H_
#define DRAGONFLYTACK_TESTS_ENDLESS_SENDER_H_

#include <sys/socket.h>
#include <algorithm>
#include <atomic>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Sends bytes until the peer closes the connection, and counts them: `prefix`
// once, then `unit` without end, with a pause after each unit. Without a pause
// it sends as fast as it can.
class EndlessSender final {
 public:
  EndlessSender(std::string prefix, const std::string& unit, Milliseconds pause)
      : prefix_(std::move(prefix)), pause_(pause), block_(unit) {
    while (pause.count() == 0 && block_.size() < 65'536) {
      block_ += block_;
    }
  }

  // Script of a ScriptedTarget.
  bool Run(int fd) {
    size_t sent = 0;
    // A fast stream follows the prefix in the same write. Bytes that arrive
    // after a complete response, when the connection may already carry another
    // request, can fail that request.
    bool open =
        Write(fd, pause_.count() == 0 ? prefix_ + block_ : prefix_, &sent);
    while (open) {
      std::this_thread::sleep_for(pause_);
      open = Write(fd, block_, &sent);
    }
    bytes_ = std::max(bytes_.load(), sent);
    ++closed_;
    return false;
  }

  // The largest number of bytes that one connection took.
  size_t bytes() const { return bytes_; }
  // Number of connections that the peer closed.
  int closed() const { return closed_; }
  bool WaitUntilClosed(int count) const {
    for (int i = 0; i < 200 && closed_ < count; ++i) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return closed_ >= count;
  }

 private:
  static bool Write(int fd, const std::string& text, size_t* sent) {
    for (size_t at = 0; at < text.size();) {
      const ssize_t size =
          send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      at += static_cast<size_t>(size);
      *sent += static_cast<size_t>(size);
    }
    return true;
  }

  const std::string prefix_;
  const Milliseconds pause_;
  std::string block_;
  std::atomic<size_t> bytes_ = 0;
  std::atomic<int> closed_ = 0;
};

// Measures by how much the resident size of this process rises at its peak.
class MemoryGrowth final {
 public:
  MemoryGrowth() {
    // Sets the peak to the current size.
    std::ofstream("/proc/self/clear_refs") << "5";
    start_ = Read("VmRSS");
  }
  size_t bytes() const { return Read("VmHWM") - start_; }

 private:
  // Returns a value of this process, for example "VmHWM", from the kernel.
  static size_t Read(const std::string& name) {
    std::ifstream file("/proc/self/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(name + ":")) {
        return std::stoul(line.substr(name.size() + 1)) << 10;
      }
    }
    return 0;
  }

  size_t start_;
};

// What the kernel takes from a sender before the reader closes the connection,
// besides the bytes that are read: the largest receive and send buffers.
inline constexpr size_t kSocketBuffers = (6 << 20) + (4 << 20);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_ENDLESS_SENDER_H_
