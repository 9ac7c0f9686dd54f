#include "daemon/daemon_main.h"
#include "daemon/environment.h"

int main(int argc, char** argv) {
  return dragonflytack::RunDaemon(argc, argv, {},
                                  dragonflytack::Environment::Native());
}
