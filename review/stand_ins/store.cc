#include "store.h"

#include <algorithm>
#include <cstdlib>

namespace review {

using nlohmann::json;

namespace {

std::map<std::string, std::string> ParseQuery(const std::string& text) {
  std::map<std::string, std::string> result;
  for (size_t begin = 0; begin < text.size();) {
    const size_t end = std::min(text.find('&', begin), text.size());
    const std::string item = text.substr(begin, end - begin);
    const size_t equals = std::min(item.find('='), item.size());
    result[item.substr(0, equals)] =
        equals < item.size() ? item.substr(equals + 1) : "";
    begin = end + 1;
  }
  return result;
}

}  // namespace

Store::Store(const std::string& address, uint16_t port)
    : server_(std::make_unique<Server>(address, port, [this](int socket) {
        Serve(socket);
      })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

json Store::Write(const Id& id, const json& spec) {
  const auto found = objects_.find(id);
  if (found != objects_.end() && found->second["spec"] == spec) {
    return found->second;
  }
  ++revision_;
  const json created = found == objects_.end()
                           ? json(revision_)
                           : found->second["metadata"]["create_revision"];
  json object = {{"metadata",
                  {{"name", id.second},
                   {"revision", revision_},
                   {"create_revision", created},
                   {"finalizers", json::array()},
                   {"deleting", false}}},
                 {"spec", spec},
                 {"status", nullptr}};
  objects_[id] = object;
  events_.push_back({revision_, id.first, object, false});
  changed_.notify_all();
  return object;
}

void Store::Configure(const json& configuration) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write({"config", "main"}, configuration);
}

void Store::Serve(int socket) {
  Reader reader(socket);
  Message request;
  while (
      reader.Read(Clock::now() + std::chrono::minutes(10), false, &request)) {
    const auto [status, body] = Handle(request);
    if (!SendAll(socket, Response(status, {"Content-Type: application/json"},
                                  body.dump()))) {
      return;
    }
  }
}

std::pair<int, json> Store::Watch(
    const std::string& kind,
    const std::map<std::string, std::string>& query) {
  const int64_t from = std::atoll(query.at("watch").c_str());
  const auto wait = query.find("wait_ms");
  const TimePoint end =
      Clock::now() +
      std::chrono::milliseconds(
          wait == query.end() ? 0 : std::atoi(wait->second.c_str()));
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    json events = json::array();
    for (const Event& event : events_) {
      if (event.kind == kind && event.revision > from) {
        events.push_back(
            {{"object", event.object}, {"deleted", event.deleted}});
      }
    }
    if (!events.empty() || stopping_ || Clock::now() >= end) {
      return {200, {{"events", events}, {"at", revision_}}};
    }
    changed_.wait_until(lock, end);
  }
}

std::pair<int, json> Store::Handle(const Message& request) {
  const std::string target = request.Target();
  const size_t question = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, question);
  const auto query =
      ParseQuery(question < target.size() ? target.substr(question + 1) : "");
  const std::string prefix = "/objects/";
  if (!path.starts_with(prefix)) {
    return {404, json::object()};
  }
  const std::string rest = path.substr(prefix.size());
  const size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string method = request.Method();
  if (method == "GET" && name.empty() && query.contains("watch")) {
    return Watch(kind, query);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (method == "GET" && name.empty()) {
    json items = json::array();
    const auto after = query.find("after");
    for (const auto& [id, object] : objects_) {
      if (id.first == kind &&
          (after == query.end() || id.second > after->second)) {
        items.push_back(object);
      }
    }
    return {200, {{"items", items}, {"has_more", false}, {"at", revision_}}};
  }
  json body = json::parse(request.body, nullptr, false);
  if (method == "POST" && body.is_object()) {
    name = body["metadata"].value("name", "");
  }
  const auto found = objects_.find({kind, name});
  if (method == "GET") {
    return found == objects_.end() ? std::pair(404, json::object())
                                   : std::pair(200, found->second);
  }
  if (method == "POST") {
    return found != objects_.end()
               ? std::pair(409, found->second)
               : std::pair(200, Write({kind, name}, body["spec"]));
  }
  if (found == objects_.end()) {
    return {404, json::object()};
  }
  int64_t expected = 0;
  if (method == "PUT" && body.is_object()) {
    expected = body["metadata"].value("revision", int64_t{0});
  } else if (query.contains("revision")) {
    expected = std::atoll(query.at("revision").c_str());
  }
  if (expected != 0 && found->second["metadata"]["revision"] != expected) {
    return {409, found->second};
  }
  if (method == "PUT") {
    return {200, Write({kind, name}, body["spec"])};
  }
  if (method == "DELETE") {
    ++revision_;
    const json object = found->second;
    events_.push_back({revision_, kind, object, true});
    objects_.erase(found);
    changed_.notify_all();
    return {200, object};
  }
  return {405, json::object()};
}

}  // namespace review
