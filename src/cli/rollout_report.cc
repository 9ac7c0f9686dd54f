#include "cli/rollout_report.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "cli/text_table.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr char kPath[] = "/rollouts";

const json& ListMember(const json& object, const char* name) {
  static const json none = json::array();
  const auto found = object.is_object() ? object.find(name) : object.end();
  return object.is_object() && found != object.end() && found->is_array()
             ? *found
             : none;
}

// Returns the numbers of the old and the new release.
std::pair<uint64_t, uint64_t> PairMember(const json& object, const char* name) {
  const json& list = ListMember(object, name);
  return list.size() == 2 && list[0].is_number_unsigned() &&
                 list[1].is_number_unsigned()
             ? std::pair(list[0].get<uint64_t>(), list[1].get<uint64_t>())
             : std::pair(uint64_t{0}, uint64_t{0});
}

void AddShare(const json& item, std::map<std::string, RolloutView>* rollouts) {
  const RolloutShare share{
      TextMember(item, "service"), TextMember(item, "release"),
      static_cast<int>(
          std::min<uint64_t>(NumberMember(item, "share"), RolloutShare::kFull)),
      NumberMember(item, "epoch")};
  const auto [position, is_new] = rollouts->try_emplace(share.service);
  if (is_new || share.Supersedes(position->second.share)) {
    position->second.share = share;
  }
}

void AddSession(const json& item,
                const std::string& controller,
                std::map<std::string, RolloutView>* rollouts) {
  const auto deciding = item.is_object() ? item.find("deciding") : item.end();
  if (!item.is_object() || deciding == item.end() || *deciding != true) {
    return;
  }
  const std::string service = TextMember(item, "service");
  RolloutView& view = (*rollouts)[service];
  view.share.service = service;
  view.release = TextMember(item, "release");
  view.controller = controller;
  view.state = TextMember(item, "progress");
  view.cause = TextMember(item, "cause");
  const auto [old_responses, new_responses] = PairMember(item, "responses");
  const auto [old_failures, new_failures] = PairMember(item, "failures");
  view.old_release = {old_responses, old_failures};
  view.new_release = {new_responses, new_failures};
}

std::string EvidenceText(const RolloutView& view,
                         const RolloutView::Evidence& evidence) {
  return view.controller.empty()
             ? "-"
             : fmt::format("{}/{}", evidence.failures, evidence.responses);
}

json EvidenceToJson(const RolloutView& view,
                    const RolloutView::Evidence& evidence) {
  return view.controller.empty() ? json()
                                 : json{{"responses", evidence.responses},
                                        {"failures", evidence.failures}};
}

std::string TextOrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

std::vector<RolloutView> FetchRollouts(AdminFetcher* fetcher,
                                       const HostPort& node,
                                       const std::vector<FleetNode>& nodes,
                                       Milliseconds timeout) {
  const AdminReply own = fetcher->Fetch(node, kPath, timeout);
  if (!own.value) {
    return {};
  }
  std::map<std::string, RolloutView> rollouts;
  for (const json& share : ListMember(*own.value, "shares")) {
    AddShare(share, &rollouts);
  }
  std::vector<std::string> names;
  std::vector<HostPort> addresses;
  for (const json& id : ListMember(*own.value, "controllers")) {
    const auto found = std::find_if(
        nodes.begin(), nodes.end(),
        [&id](const FleetNode& candidate) { return id == candidate.id; });
    if (found != nodes.end() && found->IsExpected()) {
      names.push_back(found->id);
      addresses.push_back(found->admin);
    }
  }
  const std::vector<AdminReply> replies =
      fetcher->FetchAll(addresses, kPath, timeout);
  for (size_t i = 0; i < replies.size(); ++i) {
    const json reply = replies[i].value.value_or(json());
    for (const json& share : ListMember(reply, "shares")) {
      AddShare(share, &rollouts);
    }
    for (const json& session : ListMember(reply, "sessions")) {
      AddSession(session, names[i], &rollouts);
    }
  }
  std::vector<RolloutView> views;
  for (auto& [service, view] : rollouts) {
    if (view.controller.empty()) {
      view.release = view.share.release;
    }
    if (!view.release.empty()) {
      views.push_back(std::move(view));
    }
  }
  return views;
}

std::string RolloutsToText(const std::vector<RolloutView>& rollouts) {
  if (rollouts.empty()) {
    return "";
  }
  TextTable table({"service", "release", "share", "epoch", "state",
                   "old failures", "new failures", "controller", "cause"});
  for (const RolloutView& view : rollouts) {
    table.Add(
        {view.share.service, view.release,
         view.share.release.empty() ? "-" : std::to_string(view.share.share),
         std::to_string(view.share.epoch), TextOrDash(view.state),
         EvidenceText(view, view.old_release),
         EvidenceText(view, view.new_release), TextOrDash(view.controller),
         TextOrDash(view.cause)});
  }
  return table.ToString();
}

json RolloutsToJson(const std::vector<RolloutView>& rollouts) {
  json list = json::array();
  for (const RolloutView& view : rollouts) {
    list.push_back(
        {{"service", view.share.service},
         {"release", view.release},
         {"share",
          view.share.release.empty() ? json() : json(view.share.share)},
         {"epoch", view.share.epoch},
         {"state", view.state.empty() ? json() : json(view.state)},
         {"cause", view.cause},
         {"controller",
          view.controller.empty() ? json() : json(view.controller)},
         {"old_release", EvidenceToJson(view, view.old_release)},
         {"new_release", EvidenceToJson(view, view.new_release)}});
  }
  return list;
}

}  // namespace dragonflytack
