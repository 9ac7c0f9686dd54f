#ifndef DRAGONFLYTACK_TESTS_OUTPUT_PIPE_H_
#define DRAGONFLYTACK_TESTS_OUTPUT_PIPE_H_

#include <fcntl.h>
#include <unistd.h>

#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

// Captures the standard output of the process while it exists.
class OutputPipe final {
 public:
  OutputPipe() : saved_stdout_(dup(STDOUT_FILENO)) {
    cr_assert_eq(pipe(ends_), 0);
    dup2(ends_[1], STDOUT_FILENO);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~OutputPipe() {
    dup2(saved_stdout_, STDOUT_FILENO);
    for (const int end : {ends_[0], ends_[1], saved_stdout_}) {
      close(end);
    }
  }
  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  std::vector<std::string> TakeLines() {
    char bytes[65'536];
    std::string text;
    for (ssize_t count = 0;
         (count = read(ends_[0], bytes, sizeof(bytes))) > 0;) {
      text.append(bytes, static_cast<size_t>(count));
    }
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
    cr_expect(text.empty() || text.back() == '\n');
    return lines;
  }

 private:
  const int saved_stdout_;
  int ends_[2] = {};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_OUTPUT_PIPE_H_
