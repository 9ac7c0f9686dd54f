#include "dragonflytack/base/host_port.h"

#include <string>

#include <criterion/criterion.h>

#include "net/loopback.h"

namespace dragonflytack {

// Guards against an address of which inet_pton() reads only the part before a
// NUL: it passed the checks for loopback and IP addresses, and the text after
// the NUL got into logs and records.
Test(host_port, rejects_text_after_a_nul) {
  const std::string v4("127.0.0.1\0x", 11);
  const std::string v6("::1\0x", 5);
  cr_expect(HostPort::Parse("127.0.0.1:80").has_value());
  cr_expect(HostPort::Parse("[::1]:80").has_value());
  cr_expect_not(HostPort::Parse(v4 + ":80").has_value());
  cr_expect_not(HostPort::Parse("[" + v6 + "]:80").has_value());
  cr_expect(IsLoopback("127.0.0.1"));
  cr_expect_not(IsLoopback(v4));
  cr_expect_not(IsLoopback(v6));
}

}  // namespace dragonflytack
