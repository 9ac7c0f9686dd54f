// Runs one case: review_case NAME REPOSITORY RECORD FOLDER.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "lab.h"

int main(int argc, char** argv) {
  constexpr int kCannotRun = 2;
  if (argc != 5) {
    fprintf(stderr, "usage: review_case NAME REPOSITORY RECORD FOLDER\n");
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const review::Case run = review::FindCase(argv[1]);
  const char* const trouble = getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || strcmp(trouble, "0") != 0;
  int result = kCannotRun;
  try {
    review::Record record(argv[3]);
    try {
      if (run == nullptr) {
        throw review::CannotRun{"there is no such case"};
      }
      record.Line(has_trouble ? "with the disruption"
                              : "without the disruption (TROUBLE=0)");
      result = run({argv[2], argv[4], has_trouble, &record});
      record.Line(result == 1 ? "the rule was broken" : "the rule held");
    } catch (const review::CannotRun& error) {
      record.Line("the case couldn't run: " + error.reason);
      fprintf(stderr, "%s\n", error.reason.c_str());
    }
  } catch (const review::CannotRun& error) {
    fprintf(stderr, "%s\n", error.reason.c_str());
  }
  // Threads of connections may still wait.
  fflush(nullptr);
  _exit(result);
}
