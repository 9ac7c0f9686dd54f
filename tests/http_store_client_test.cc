#include "store/http_store_client.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "raw_server.h"
#include "store_bench.h"

namespace dragonflytack {

Test(http_store_client, conditions_versions_and_deletions) {
  StoreBench bench;
  cr_assert_eq(bench.Get("a")->version, 0u);
  const StoreVersion first = *bench.Put("a", std::string("x\0y", 3), 0);
  cr_assert(bench.Get("a") ==
            (StoreObject{"a", std::string("x\0y", 3), first}));
  cr_assert(!bench.Put("a", "again", 0).has_value());
  cr_assert(bench.reason.code == FailureCode::kConflict);
  const auto erase = [&](StoreVersion if_version) {
    return bench.Await<StoreVersion>(
        [&](auto done) { bench.client->Delete("a", if_version, done); });
  };
  cr_assert(!erase(first + 1).has_value());
  cr_assert(bench.reason.code == FailureCode::kConflict);
  cr_assert_gt(*erase(first), first);
  cr_assert_eq(bench.Get("a")->version, 0u);
  cr_assert_gt(*bench.Put("a", "new", 0), first + 1);
}

Test(http_store_client, lists_pages_until_the_limit) {
  StoreBench bench;
  const std::string large(400'000, 'v');
  for (const char* key : {"h/1", "h/2", "h/3", "h/4", "i"}) {
    cr_assert(bench.Put(key, large, 0).has_value());
  }
  const auto list = [&](const std::string& start, int limit) {
    const auto found = bench.Await<std::vector<StoreObject>>(
        [&](auto done) { bench.client->List("h/", start, limit, done); });
    std::string keys;
    for (const StoreObject& object : *found) {
      cr_assert(object.value == large);
      keys += object.key + " ";
    }
    return keys;
  };
  cr_assert_eq(list("", 10), "h/1 h/2 h/3 h/4 ");
  cr_assert_eq(list("h/1", 2), "h/2 h/3 ");
  cr_assert_eq(list("h/4", 2), "");
}

Test(http_store_client, watch_answers_changes_deletions_and_timeouts) {
  StoreBench bench;
  cr_assert_eq(*bench.Watch("a", 0, 30), 0u);
  const StoreVersion first = *bench.Put("a", "1", 0);
  cr_assert_eq(*bench.Watch("a", 0, 5000), first);
  bench.loop->timers().SubscribeOnce(Milliseconds(20), [&] {
    bench.client->Delete("a", first, [](auto, const Failure&) {});
  });
  cr_assert_eq(*bench.Watch("a", first, 5000), first + 1);
  cr_assert_eq(*bench.Watch("a", first + 1, 30), first + 1);
}

// Guards against watches that hold up other calls, and against watches that the
// store keeps after the client is gone.
Test(http_store_client, watches_have_connections_of_their_own) {
  StoreBench bench;
  for (int i = 0; i < HttpStoreClient::kMaxWatches + 1; ++i) {
    bench.client->Watch("a", 0, Milliseconds(60'000),
                        [](auto, const Failure&) { cr_assert(false); });
  }
  cr_assert(bench.Put("b", "1", 0).has_value());
  cr_assert_eq(bench.standin->waiting_watches(), HttpStoreClient::kMaxWatches);
  bench.client.reset();
  bench.Settle(50);
  cr_assert_eq(bench.standin->waiting_watches(), 0);
}

// Each fault must be reported with the kind that says whether a write may have
// taken effect.
Test(http_store_client, faults_of_the_store) {
  struct Case {
    std::string fault;
    std::string value;
    FailureCode code;
    bool written;
  };
  const std::vector<Case> cases = {
      {"outage", "refuse", FailureCode::kStoreUnreachable, false},
      {"outage", "hang", FailureCode::kStoreTimeout, false},
      {"outage", "close", FailureCode::kStoreTimeout, false},
      {"outage", "unavailable", FailureCode::kStoreRejected, false},
      {"delay_ms", "2000", FailureCode::kStoreTimeout, true},
      {"lose_answers", "1", FailureCode::kStoreTimeout, true},
  };
  for (const Case& item : cases) {
    StoreBench bench(Milliseconds(300));
    cr_assert(bench.Put("a", "1", 0).has_value());
    StoreFaults faults;
    cr_assert(faults.Set(item.fault, item.value));
    cr_assert(bench.standin->SetFaults(faults));
    bench.Settle(20);
    cr_assert(!bench.Put("a", "2", 1).has_value());
    cr_assert(bench.reason.code == item.code, "%s=%s: %s", item.fault.c_str(),
              item.value.c_str(), bench.reason.ToString().c_str());
    cr_assert(bench.standin->SetFaults({}));
    cr_assert_eq(bench.Get("a")->value, item.written ? "2" : "1");
    cr_assert_leq(bench.standin->counters().writes, 2u);
  }
}

Test(http_store_client, rate_limit_and_sizes_are_refusals) {
  StoreBench bench;
  const std::string largest(1'000'000, 'v');
  cr_assert(bench.Put("a", largest, 0).has_value());
  cr_assert(bench.Get("a")->value == largest);
  cr_assert(!bench.Put("a", largest + "v", 1).has_value());
  cr_assert(bench.reason.code == FailureCode::kTooLarge);
  cr_assert(!bench.Put("a b", "", 0).has_value());
  cr_assert(bench.reason.code == FailureCode::kStoreRejected);
  StoreFaults faults;
  faults.reads_per_s = 1;
  bench.standin->SetFaults(faults);
  bool refused = false;
  // Three reads cannot fall into three different seconds.
  for (int i = 0; i < 3; ++i) {
    refused |= !bench.Get("a").has_value();
  }
  cr_assert(refused && bench.standin->counters().rate_limited > 0);
}

// Guards against answers that are taken for whole or for valid, and pins that
// evhttp never sends a request a second time when a connection ends.
Test(http_store_client, malformed_answers_are_lost_and_nothing_is_sent_twice) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  struct Case {
    std::string response;
    bool close;
  };
  const std::vector<Case> cases = {
      {"", true},
      {"", false},
      {"HTTP/1.1 200", true},
      {"no http\r\n\r\n", true},
      {ok + "x-version: 7\r\nContent-Length: 10\r\n\r\ncut", true},
      {ok + "x-version: 7\r\n\r\nno length", true},
      {ok + "x-version: 7\r\nx: " + std::string(100'000, 'x'), false},
      {ok + "x-version: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncu", true},
      {ok + "Content-Length: 2\r\n\r\nhi", false},
      {ok + "x-version: -1\r\nContent-Length: 2\r\n\r\nhi", false},
      {ok + "x-version: 7x\r\nContent-Length: 2\r\n\r\nhi", false},
      {ok + "x-version: 99999999999999999999\r\nContent-Length: 0\r\n\r\n",
       false},
      {ok + "x-version: 7\r\nContent-Length: 2000000\r\n\r\n" +
           std::string(2'000'000, 'v'),
       false},
      {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false},
  };
  for (const Case& item : cases) {
    StoreBench bench;
    RawServer server(bench.loop.get(), item.response, item.close);
    bench.Connect(server.address(), Milliseconds(400));
    cr_assert(!bench.Put("a", "value", 0).has_value());
    cr_assert(bench.reason.code == FailureCode::kStoreTimeout, "%.60s: %s",
              item.response.c_str(), bench.reason.ToString().c_str());
    bench.Settle(50);
    cr_assert_eq(server.requests(), 1, "%.60s", item.response.c_str());
    cr_assert(!bench.Get("a").has_value());
    cr_assert(bench.reason.code == FailureCode::kStoreTimeout);
    cr_assert_eq(server.requests(), 2, "%d %.60s %s", server.requests(),
                 item.response.c_str(), bench.reason.ToString().c_str());
  }
}

// Guards against a request that fails, or is sent again, because the store
// closed an idle connection.
Test(http_store_client, reconnects_after_an_idle_close) {
  StoreBench bench;
  RawServer server(bench.loop.get(),
                   "HTTP/1.1 200 OK\r\nx-version: 7\r\n"
                   "Content-Length: 0\r\n\r\n",
                   true);
  bench.Connect(server.address(), Milliseconds(500));
  for (int i = 1; i <= 3; ++i) {
    const auto version = bench.Put("a", "value", 0);
    cr_assert(version == 7u, "%d: %s", i, bench.reason.ToString().c_str());
    bench.Settle(20);
    cr_assert_eq(server.requests(), i);
    cr_assert_eq(server.connections(), i);
  }
}

// Guards against a second copy of a request when the store closes a connection
// at the moment of its next use.
Test(http_store_client, sends_once_on_a_connection_that_is_closing) {
  StoreBench bench;
  RawServer server(bench.loop.get(),
                   "HTTP/1.1 200 OK\r\nx-version: 7\r\n"
                   "Content-Length: 0\r\n\r\n",
                   true);
  bench.Connect(server.address(), Milliseconds(500));
  for (int i = 1; i <= 50; ++i) {
    const auto version = bench.Put("a", "value", 0);
    cr_assert(version.has_value() ||
              bench.reason.code == FailureCode::kStoreTimeout);
    cr_assert_leq(server.requests(), i);
  }
}

// Guards against a use of the client after its owner destroyed it in an answer.
Test(http_store_client, may_be_destroyed_in_an_answer) {
  StoreBench bench;
  int answers = 0;
  for (int i = 0; i < 10; ++i) {
    bench.client->Get("a", [&](auto, const Failure&) {
      ++answers;
      bench.client.reset();
      bench.loop->Stop();
    });
  }
  bench.loop->Run();
  bench.Settle(30);
  cr_assert_eq(answers, 1);
}

}  // namespace dragonflytack
