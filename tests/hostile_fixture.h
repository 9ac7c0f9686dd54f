#ifndef DRAGONFLYTACK_TESTS_HOSTILE_FIXTURE_H_
#define DRAGONFLYTACK_TESTS_HOSTILE_FIXTURE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "call_fixture.h"
#include "support/child_process.h"

namespace dragonflytack {

// What each connection of a crowd sends. It then stays open without sending.
struct HostileInput final {
  int connections = 60;
  // Sent once.
  std::string prefix;
  // Repeated until `bytes` are sent or the node closes the connection.
  std::string unit;
  size_t bytes = 0;
  // Whether each unit is a TCP segment of its own. Each connection then sends
  // one unit in turn, so that the node reads them one at a time.
  bool separate_segments = false;
  // Whether each connection is opened when the one before has sent everything,
  // instead of all before the first byte is sent.
  bool one_after_another = false;
  // Time between two such connections.
  Milliseconds pause{0};
  // How many of these stay open. Beyond them the oldest one is closed.
  int kept_open = 1'000;
};

class Sender;

// A daemon with a store, a target and one table with the service "roster", all
// of them processes of their own. Its budget of buffered bytes is the smallest
// that the settings allow, and its descriptors are limited.
class HostileFixture final {
 public:
  static constexpr uint16_t kCallPort = 7001;
  static constexpr uint16_t kMeshPort = 7002;
  static constexpr uint16_t kPeerPort = 7003;
  static constexpr uint16_t kAdminPort = 7004;
  static constexpr uint16_t kReadyPort = 7008;
  static constexpr uint16_t kTargetPort = 7009;

  // The largest number of descriptors of the daemon.
  static constexpr int kDescriptorLimit = 512;
  // Descriptors that connections to its ports must leave free for links, the
  // store and targets.
  static constexpr int kFreeDescriptors = 64;
  static constexpr size_t kBudgetBytes = 8 << 20;
  // By how much the memory may rise: the budget, as much again for the bytes
  // that the parser and the allocator add, and the same for the connections.
  static constexpr size_t kMemoryBound = 4 * kBudgetBytes;

  // `program` is dragonflytackd, or dragonflytackd-platform, which has a target
  // port but no table in this fixture.
  explicit HostileFixture(const std::string& program = "dragonflytackd",
                          int max_pipelined = 1);
  ~HostileFixture();
  HostileFixture(const HostileFixture&) = delete;
  HostileFixture& operator=(const HostileFixture&) = delete;

  // Sends the input of a crowd to a port. Fails the test unless the daemon
  // lives, keeps its memory and descriptors under the bounds, and answers an
  // ordinary request with `request` while the crowd is still connected.
  void Check(uint16_t port,
             const std::vector<HostileInput>& inputs,
             const std::string& request);

  // Fails the test unless the port answers the request with a status below 500.
  void ExpectAnswer(uint16_t port, const std::string& request) const;

  const std::string& address() const { return address_; }
  int CountDescriptors() const;

 private:
  // Opens the connections of the crowd one after another. Returns the largest
  // number of descriptors of the daemon meanwhile.
  int SendOneAfterAnother(uint16_t port,
                          const HostileInput& input,
                          std::deque<Sender>* senders) const;
  // Returns a value of the daemon in bytes, for example "VmHWM".
  size_t ReadStatus(const std::string& name) const;
  void ImportTable();

  const std::string address_;
  std::string directory_;
  std::optional<ChildProcess> store_;
  std::optional<ChildProcess> daemon_;
  std::optional<ChildProcess> target_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_HOSTILE_FIXTURE_H_
