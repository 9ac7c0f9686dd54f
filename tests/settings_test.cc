#include "dragonflytack/base/settings.h"

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

#include "base/setting_keys.h"

namespace dragonflytack {

namespace {

constexpr char kComplete[] = R"([node]
id = n-1.a
region = north
data_centre = north-1
address = 127.0.0.5
call_port = 7001
mesh_port = 7002
peer_port = 7003
admin_port = 7004
[store]
address = 127.0.0.1
port = 7100
region = south
)";

std::optional<Settings> LoadText(const std::string& text, Failure* reason) {
  char path[] = "/tmp/dragonflytack-settings-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << text;
  std::optional<Settings> settings = Settings::Load(path, reason);
  std::remove(path);
  // The file name is random; tests compare only the text that follows it.
  if (reason->subject.rfind(path, 0) == 0) {
    reason->subject = reason->subject.substr(sizeof(path) - 1);
  }
  return settings;
}

}  // namespace

// Guards against wrong defaults and values that are stored in the wrong member.
Test(settings, reads_every_key) {
  Failure reason;
  std::optional<Settings> settings = LoadText(kComplete, &reason);
  cr_assert(settings.has_value(), "%s", reason.ToString().c_str());
  Settings expected;
  expected.node_id = "n-1.a";
  expected.region = "north";
  expected.data_centre = "north-1";
  expected.address = "127.0.0.5";
  expected.call_port = 7001;
  expected.mesh_port = 7002;
  expected.peer_port = 7003;
  expected.admin_port = 7004;
  expected.store = {"127.0.0.1", 7100};
  expected.store_region = "south";
  cr_assert(*settings == expected);

  settings = LoadText(std::string(kComplete) + R"(timeout_ms = 100
watch_on_every_node = true
[peers]
seeds = 127.0.0.1:1 , [::1]:65535
[security]
shared_key = 0123456789abcdef
[trace]
sample = 0.5
collector = 127.0.0.1:4318
[log]
level = error  # comment
[calls]
drain_timeout_ms = 600000
[allowance]
window = 5s
over = 0.1
slack = 20
)",
                      &reason);
  cr_assert(settings.has_value(), "%s", reason.ToString().c_str());
  expected.store_timeout_ms = 100;
  expected.watch_on_every_node = true;
  expected.seeds = {{"127.0.0.1", 1}, {"::1", 65535}};
  expected.shared_key = "0123456789abcdef";
  expected.trace_sample = 0.5;
  expected.trace_collector = HostPort{"127.0.0.1", 4318};
  expected.log_level = LogLevel::kError;
  expected.drain_timeout_ms = 600'000;
  expected.allowance_window_ms = 5'000;
  expected.allowance_over = 0.1;
  expected.allowance_slack = 20;
  cr_assert(*settings == expected);
}

// Guards against a node that does not start, or limits accounts, where the
// platform fills in no value.
Test(settings, allowance_without_values_is_off) {
  Failure reason;
  const std::optional<Settings> settings = LoadText(
      std::string(kComplete) + "[allowance]\nwindow =\nover =\nslack =\n",
      &reason);
  cr_assert(settings.has_value(), "%s", reason.ToString().c_str());
  cr_assert_eq(settings->allowance_window_ms, 0);
}

// Guards against a node that does not start beside a target whose service has a
// name that only the platform's operators may choose.
Test(settings, service_may_have_a_name_of_another_system) {
  for (const std::string& name :
       {std::string("Booking_1"), std::string("caf\xc3\xa9"),
        std::string("shift booking"), std::string(63, 's')}) {
    Failure reason;
    const auto settings = LoadText(
        std::string(kComplete) + "[node]\nservice = " + name + "\n", &reason);
    cr_expect(settings && settings->service == name, "%s: %s", name.c_str(),
              reason.ToString().c_str());
  }
  for (const std::string& name : {std::string(64, 's'), std::string("a\tb")}) {
    Failure reason;
    cr_expect_not(
        LoadText(std::string(kComplete) + "[node]\nservice = " + name + "\n",
                 &reason)
            .has_value());
  }
}

// Guards against invalid settings that are accepted, and against messages that
// do not name the line and the key. The text is appended after line 13 of the
// complete file, in its section [store].
Test(settings, reports_each_fault_with_its_line) {
  const struct {
    const char* appended;
    const char* location;
    const char* detail;
  } faults[] = {
      {"timeout = 5", ":14", "unknown key store.timeout"},
      {"timeout_ms = 99", ":14", "store.timeout_ms is invalid"},
      {"timeout_ms = 60001", ":14", "store.timeout_ms is invalid"},
      {"timeout_ms = 5x", ":14", "store.timeout_ms is invalid"},
      {"timeout_ms = 99999999999", ":14", "store.timeout_ms is invalid"},
      {"timeout_ms =", ":14", "store.timeout_ms has no value"},
      {"timeout_ms", ":14", ""},
      {"port = 7101", ":14", "store.port is already set in line 12"},
      {"watch_on_every_node = yes", ":14", "is invalid; expected true or"},
      {"[peers]\n\nseeds = 127.0.0.1", ":16", "peers.seeds is invalid"},
      {"[peers]\nseeds = localhost:1", ":15", "peers.seeds is invalid"},
      {"[peers]\nseeds = 127.0.0.1:1,", ":15", "peers.seeds is invalid"},
      {"[peers]\nseeds = ,127.0.0.1:1", ":15", "peers.seeds is invalid"},
      {"[security]\nshared_key = short", ":15", "shared_key is invalid"},
      {"[security]\nshared_key = 0123456789 abcdef", ":15", "is invalid"},
      {"[trace]\nsample = 1.1", ":15", "trace.sample is invalid"},
      {"[trace]\nsample = nan", ":15", "trace.sample is invalid"},
      {"[trace]\ncollector = 127.0.0.1:0", ":15", "trace.collector is invalid"},
      {"[log]\nlevel = verbose", ":15", "log.level is invalid"},
      {"[calls]\ndrain_timeout_ms = 0", ":15", "drain_timeout_ms is invalid"},
      {"[node]\nid = n2", ":15", "node.id is already set in line 2"},
      {"[\x01node\nx = 1", ":14", ""},
  };
  for (const auto& fault : faults) {
    Failure reason;
    const std::string text = std::string(kComplete) + fault.appended + "\n";
    cr_expect(!LoadText(text, &reason).has_value(), "%s", fault.appended);
    cr_expect(reason.code == FailureCode::kInvalidSetting);
    cr_expect(reason.subject == fault.location &&
                  reason.detail.find(fault.detail) != std::string::npos,
              "%s: %s", fault.appended, reason.ToString().c_str());
    cr_expect(reason.detail.find("0123456789") == std::string::npos);
  }
}

// Guards against required values that are not checked. Each case replaces one
// line of the complete file.
Test(settings, checks_each_required_value) {
  const struct {
    const char* line;
    const char* replacement;
    const char* detail;
  } faults[] = {
      {"id = n-1.a\n", "", "node.id is missing"},
      {"id = n-1.a\n", "id = N1\n", "node.id is invalid"},
      {"address = 127.0.0.5\n", "address = host\n", "node.address is invalid"},
      {"address = 127.0.0.1\n", "address = 1.2.3\n", "store.address is inv"},
      {"port = 7100\n", "port = 65536\n", "store.port is invalid"},
      {"region = south\n", "", "store.region is missing"},
      {"call_port = 7001\n", "call_port = 0\n", "node.call_port is invalid"},
      {"mesh_port = 7002\n", "mesh_port = 7001\n", "mesh_port is the same as"},
  };
  for (const auto& fault : faults) {
    Failure reason;
    std::string text = kComplete;
    text.replace(text.find(fault.line), std::string(fault.line).size(),
                 fault.replacement);
    cr_expect(!LoadText(text, &reason).has_value());
    cr_expect(reason.code == FailureCode::kInvalidSetting &&
                  reason.detail.find(fault.detail) != std::string::npos,
              "%s: %s", fault.line, reason.ToString().c_str());
  }
  Failure reason;
  cr_expect(!Settings::Load("/nonexistent/x.ini", &reason).has_value());
  cr_expect(reason.code == FailureCode::kNotFound);
  cr_expect(!LoadText(kComplete + std::string(70'000, '\n'), &reason));
  cr_expect(reason.code == FailureCode::kTooLarge);
}

// Guards against a settings reference that omits a key or documents one that
// does not exist. The tests run in the root of the source tree.
Test(settings, reference_names_every_key) {
  std::ifstream page("docs/settings.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(page, line);) {
    const size_t end = line.find("` |");
    if (line.rfind("| `", 0) == 0 && end != std::string::npos) {
      documented.insert(line.substr(3, end - 3));
    }
  }
  std::set<std::string> known;
  for (const SettingKey& key : SettingKeys()) {
    known.insert(std::string(key.name));
  }
  cr_assert(documented == known);
}

}  // namespace dragonflytack
