#ifndef DRAGONFLYTACK_SRC_BASE_BUFFER_BUDGET_H_
#define DRAGONFLYTACK_SRC_BASE_BUFFER_BUDGET_H_

#include <cstddef>

namespace dragonflytack {

// The bytes that the connections of a thread hold for messages that have
// arrived and are not passed on. Each connection may hold as much as is left of
// the budget (dynamic thresholds, Choudhury and Hahne 1998): a few connections
// may hold large messages, many share the budget, and a part of it always stays
// free for those that hold little. Must be used on one thread.
class BufferBudget final {
 public:
  // A connection may always hold this much, so that a head or a short message
  // is never refused.
  static constexpr size_t kGuaranteedBytes = 64 << 10;

  // The smallest hosts have 160 MB, which the daemon shares with its target.
  // The memory of the host may not show such a limit of the process.
  static constexpr size_t kMaxDefaultLimit = 64 << 20;

  // The bytes held by one connection.
  class Share final {
   public:
    // `budget` must outlive the share; null for no limit.
    explicit Share(BufferBudget* budget) : budget_(budget) {}
    ~Share() { Release(); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Adds bytes that have arrived. Returns false if the connection may not
    // hold that many; they are counted nevertheless until Release().
    bool Add(size_t bytes);
    // Removes bytes that are no longer held. `bytes` must not exceed bytes().
    void Remove(size_t bytes);
    void Release();
    size_t bytes() const { return bytes_; }

   private:
    BufferBudget* const budget_;
    size_t bytes_ = 0;
  };

  // `limit` is in bytes.
  explicit BufferBudget(size_t limit) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  size_t limit() const { return limit_; }
  size_t held() const { return held_; }

  // Returns a quarter of the memory of the host, at most kMaxDefaultLimit. The
  // rest is for the state of the daemon, for the parser and for the target.
  static size_t DefaultLimit();

 private:
  const size_t limit_;
  size_t held_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_BUFFER_BUDGET_H_
