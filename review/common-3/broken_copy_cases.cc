// A faulty endpoint sends a second copy of an answer late, at the point where
// the next answer is expected, and breaks it off within its head.
#include "broken_copy_cases.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace review {

namespace {

// The site files spoil at most 0.03 of the answers of 0.6 of the endpoints for
// 5.5 s. Here one of two endpoints spoils one of 40.
constexpr int kOneIn = 40;
constexpr int kCalls = 240;
constexpr double kPause = 0.012;

// An answer of an endpoint that writes its date before the id. `first` are the
// headers before the date.
std::string DatedResponse(const std::string& status_line,
                          const std::string& first,
                          const std::string& headers,
                          const std::string& attempt,
                          const std::string& body) {
  return "HTTP/1.1 " + status_line + "\r\n" + first +
         "Date: Mon, 07 Dec 2026 10:00:00 GMT\r\n" + headers +
         "Attempt-Id: " + attempt +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The bytes of a response up to the middle of its date.
std::string BreakOff(const std::string& response) {
  return response.substr(0, response.find(" 10:00:00"));
}

// What the endpoints have run, and how they answered.
class Ledger {
 public:
  void Run(const std::string& attempt,
           const std::string& endpoint,
           int status) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[attempt].push_back(endpoint + " " + std::to_string(status));
  }
  std::vector<std::string> Runs(const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[attempt];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> runs_;
};

std::string Signature(const std::string& endpoint, const std::string& attempt) {
  return "Upstream-Signature: " + endpoint + "." + attempt + "\r\n";
}

// What differs between the cases.
struct Variant {
  // Attempts of the route.
  int attempts;
  // Whether the answer that is copied is a rejection, or a success that
  // precedes a failure.
  bool copies_rejection;
};

struct Ended {
  std::string attempt;
  int status;
  Message answer;
  std::vector<std::string> runs;
};

std::vector<Ended> Play(const Environment& environment,
                        const Variant& variant) {
  const std::string subnet = FindSubnet(2);
  const std::string store_address = subnet + "1:8309";
  auto* const store = new Store(subnet + "1", 8309);
  store->Put("config", "main",
             Configuration(2,
                           {{"r-pay", "/pay/", "unsafe", "payroll",
                             variant.attempts, "1200ms"}},
                           {"payroll"}));
  auto* const ledger = new Ledger();
  Record* const record = environment.record;
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= 2; ++i) {
    nodes.push_back(std::make_unique<Node>(
        environment.repository, environment.folder, subnet + std::to_string(i),
        "kigali-a", "kigali", "payroll", store_address));
    nodes.back()->Start();
  }
  const bool trouble = environment.trouble;
  auto* const answers = new std::atomic<int>(0);
  const auto faulty = [=](const Message& request,
                          EndpointConnection* connection) {
    const std::string attempt = request.Find("attempt-id");
    const int turn = ++*answers % kOneIn;
    if (variant.copies_rejection && turn == kOneIn / 2) {
      // Full for a moment.
      connection->note = DatedResponse("503 Service Unavailable",
                                       "Not-Executed: 1\r\n", "", attempt, "");
      record->Line(attempt + " i-1 rejects it (503, Not-Executed)");
      SendAll(connection->fd, connection->note);
      return true;
    }
    const bool fails = !variant.copies_rejection && turn == kOneIn / 2;
    ledger->Run(attempt, "i-1", fails ? 500 : 200);
    Sleep(0.005);
    const std::string response = DatedResponse(
        fails ? "500 Internal Server Error" : "200 OK", "",
        Signature("i-1", attempt), attempt, fails ? "not paid" : "paid");
    const bool spoils =
        variant.copies_rejection ? !connection->note.empty() : fails;
    if (spoils && trouble) {
      const std::string extra = BreakOff(connection->note);
      if (!extra.empty()) {
        record->Line(attempt + " i-1 runs it; first sends " +
                     std::to_string(extra.size()) +
                     " bytes of a copy of its answer before");
        SendAll(connection->fd, extra);
      }
    }
    if (spoils) {
      record->Line(attempt + " i-1 answers " + (fails ? "500" : "200"));
    }
    connection->note = variant.copies_rejection ? "" : response;
    SendAll(connection->fd, response);
    return true;
  };
  const auto sound = [=](const Message& request,
                         EndpointConnection* connection) {
    const std::string attempt = request.Find("attempt-id");
    ledger->Run(attempt, "i-2", 200);
    Sleep(0.005);
    SendAll(connection->fd,
            DatedResponse("200 OK", "", Signature("i-2", attempt), attempt,
                          "paid"));
    return true;
  };
  new Endpoint(nodes[0].get(), "i-1", faulty);
  new Endpoint(nodes[1].get(), "i-2", sound);
  for (const auto& node : nodes) {
    node->AwaitReady(10);
  }
  Sleep(4);
  std::vector<Ended> ended;
  for (int i = 0; i < kCalls; ++i) {
    Ended call{NextAttemptId(), 0, {}, {}};
    call.answer = Call(*nodes[static_cast<size_t>(i) % 2],
                       Request("POST", "/pay/" + std::to_string(i),
                               call.attempt, 1000, "amount=70"),
                       3, &call.status);
    ended.push_back(std::move(call));
    Sleep(kPause);
  }
  Sleep(1.2);
  for (Ended& call : ended) {
    call.runs = ledger->Runs(call.attempt);
    std::string text = call.attempt + " POST /pay/ -> the client gets " +
                       std::to_string(call.status) + " '" + call.answer.body +
                       "', signature '" +
                       call.answer.Find("upstream-signature") + "'; run by:";
    for (const std::string& run : call.runs) {
      text += " " + run + ";";
    }
    record->Line(text);
  }
  return ended;
}

}  // namespace

int PayTwice(const Environment& environment) {
  int broken = 0;
  for (const Ended& call : Play(environment, {2, true})) {
    if (call.runs.size() > 1) {
      ++broken;
      environment.record->Line("TWICE: " + call.attempt + " ran " +
                               std::to_string(call.runs.size()) + " times");
    }
  }
  return broken > 0 ? 1 : 0;
}

int FailureAsSuccess(const Environment& environment) {
  int broken = 0;
  for (const Ended& call : Play(environment, {1, false})) {
    const bool failed = call.runs.size() == 1 && call.runs[0] == "i-1 500";
    if (failed && call.status >= 200 && call.status < 300) {
      ++broken;
      environment.record->Line("MIXED: " + call.attempt + " gets " +
                               std::to_string(call.status) +
                               " where the endpoint answered 500");
    }
  }
  return broken > 0 ? 1 : 0;
}

int RunAsRefused(const Environment& environment) {
  int broken = 0;
  for (const Ended& call : Play(environment, {1, true})) {
    if ((call.status == 503 || call.status == 429) && !call.runs.empty()) {
      ++broken;
      environment.record->Line("REFUSED: " + call.attempt + " gets " +
                               std::to_string(call.status) + " and has run");
    }
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace review
