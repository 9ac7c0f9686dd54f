#ifndef DRAGONFLYTACK_TESTS_MUTATION_H_
#define DRAGONFLYTACK_TESTS_MUTATION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/base/random.h"

namespace dragonflytack {

// Mutates valid inputs. The result depends only on the seed and the corpus, so
// a failing input can be reproduced from its seed.
class Mutator final {
 public:
  // Maximum size of an input, which limits the time of a run.
  static constexpr size_t kMaxBytes = 16'384;

  explicit Mutator(uint64_t seed) : random_(seed) {}

  // Returns one of `corpus`, which must not be empty, after 1 to 4 mutations.
  std::string Mutate(const std::vector<std::string>& corpus);

 private:
  using Corpus = std::vector<std::string>;
  using Mutation = void (Mutator::*)(const Corpus&, std::string*);

  template <typename Values>
  const auto& Pick(const Values& values) {
    return values[random_.Below(std::size(values))];
  }

  // Returns a position from 0 to the size of `input`, inclusive.
  size_t RandomPosition(const std::string& input) {
    return random_.Below(input.size() + 1);
  }

  void Truncate(const Corpus&, std::string* input) {
    input->resize(RandomPosition(*input));
  }

  void FlipBit(const Corpus&, std::string* input) {
    if (!input->empty()) {
      char& byte = (*input)[random_.Below(input->size())];
      byte = static_cast<char>(byte ^ (1 << random_.Below(8)));
    }
  }

  void ReplaceByte(const Corpus&, std::string* input) {
    if (!input->empty()) {
      (*input)[random_.Below(input->size())] =
          static_cast<char>(random_.Below(256));
    }
  }

  void Erase(const Corpus&, std::string* input) {
    input->erase(RandomPosition(*input), 1 + random_.Below(16));
  }

  void Duplicate(const Corpus&, std::string* input) {
    const std::string part =
        input->substr(RandomPosition(*input), random_.Below(64));
    input->insert(RandomPosition(*input), part);
  }

  void Splice(const Corpus& corpus, std::string* input) {
    const std::string& other = Pick(corpus);
    *input = input->substr(0, RandomPosition(*input)) +
             other.substr(RandomPosition(other));
  }

  // Inserts the head of a CBOR integer, string, array or map that declares up
  // to 2^64 - 1 elements, or an indefinite number.
  void InsertCborLength(const Corpus&, std::string* input) {
    static constexpr uint64_t kLengths[] = {UINT64_MAX,
                                            INT64_MAX,
                                            uint64_t{1} << 60,
                                            uint64_t{1} << 59,
                                            uint64_t{1} << 32,
                                            UINT32_MAX,
                                            65'536,
                                            255};
    static constexpr int kMajors[] = {0x00, 0x20, 0x40, 0x60, 0x80, 0xa0};
    std::string head;
    const int major = Pick(kMajors);
    if (random_.Below(4) == 0) {
      head.push_back(static_cast<char>(major | 0x1f));
    } else {
      const uint64_t length = Pick(kLengths);
      head.push_back(static_cast<char>(major | 0x1b));
      for (int shift = 56; shift >= 0; shift -= 8) {
        head.push_back(static_cast<char>(length >> shift));
      }
    }
    const size_t position = RandomPosition(*input);
    input->replace(position, random_.Below(2), head);
  }

  // Replaces the next run of digits, or appends a number if there is none.
  void InsertNumber(const Corpus&, std::string* input) {
    static constexpr std::string_view kNumbers[] = {"18446744073709551616",
                                                    "18446744073709551615",
                                                    "9223372036854775808",
                                                    "9223372036854775807",
                                                    "-9223372036854775808",
                                                    "4294967296",
                                                    "2147483648",
                                                    "65536",
                                                    "65535",
                                                    "1e308",
                                                    "1e999",
                                                    "-0",
                                                    "-1",
                                                    "0",
                                                    "00",
                                                    "+1"};
    const size_t position = RandomPosition(*input);
    const size_t first =
        std::min(input->find_first_of("0123456789", position), input->size());
    const size_t last =
        std::min(input->find_first_not_of("0123456789", first), input->size());
    input->replace(first, last - first, Pick(kNumbers));
  }

  void InsertToken(const Corpus&, std::string* input) {
    static constexpr std::string_view kTokens[] = {
        "\"",      ",",       "\r\n", "\n",   ";",        "=",    ":",
        "[",       "]",       "{",    "}",    ".",        "-",    "#",
        "\\u0000", "\\ud800", "null", "true", "\xff\xfe", "\xc0", "[]"};
    input->insert(RandomPosition(*input), Pick(kTokens));
  }

  void InsertNesting(const Corpus&, std::string* input) {
    static constexpr std::string_view kOpenings[] = {
        "[",        "{\"a\":", "\x81", "\x9f", "\xa1\x60",
        "\xbf\x60", "\x7f",    "\x5f", "\xc1"};
    const std::string_view opening = Pick(kOpenings);
    std::string nesting;
    for (uint64_t depth = 1 + random_.Below(2'000); depth > 0; --depth) {
      nesting += opening;
    }
    input->insert(RandomPosition(*input), nesting);
  }

  static constexpr std::array<Mutation, 10> kMutations = {
      &Mutator::Truncate,         &Mutator::FlipBit,
      &Mutator::ReplaceByte,      &Mutator::Erase,
      &Mutator::Duplicate,        &Mutator::Splice,
      &Mutator::InsertCborLength, &Mutator::InsertNumber,
      &Mutator::InsertToken,      &Mutator::InsertNesting};

  Random random_;
};

inline std::string Mutator::Mutate(const std::vector<std::string>& corpus) {
  std::string input = Pick(corpus);
  for (uint64_t remaining = 1 + random_.Below(4); remaining > 0; --remaining) {
    (this->*kMutations[random_.Below(kMutations.size())])(corpus, &input);
    input.resize(std::min(input.size(), kMaxBytes));
  }
  return input;
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_MUTATION_H_
