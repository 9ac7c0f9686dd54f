#include "distribution/link_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "distribution/message_codec.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/distribution/link_layer.h"

namespace dragonflytack {

static_assert(TrafficCounters::kKindNames.size() ==
              std::variant_size_v<Message>);

LinkTable::LinkTable(LinkLayer* layer,
                     const Clock* clock,
                     std::string region,
                     std::string data_centre)
    : layer_(layer),
      clock_(clock),
      region_(std::move(region)),
      data_centre_(std::move(data_centre)) {}

void LinkTable::Dial(const HostPort& address, const NodeId& peer) {
  if (!may_dial_) {
    return;
  }
  is_calling_layer_ = true;
  const LinkId id = layer_->Connect(address);
  is_calling_layer_ = false;
  LinkState& link = links_[id];
  link.id = id;
  link.address = address;
  link.outgoing = true;
  link.peer = peer;
  link.opened = clock_->Now();
}

LinkState* LinkTable::MarkUp(LinkId id, const NodeRecord& peer, bool outgoing) {
  assert(!is_calling_layer_);
  LinkState& link = links_[id];
  link.id = id;
  link.address = HostPort{peer.address, peer.peer_port};
  link.outgoing = outgoing;
  link.up = true;
  link.peer = peer.id;
  link.data_centre = peer.data_centre;
  link.link_class = peer.data_centre == data_centre_
                        ? LinkClass::kSameDataCentre
                    : peer.region == region_ ? LinkClass::kSameRegion
                                             : LinkClass::kOtherRegion;
  link.opened = clock_->Now();
  link.last_received = clock_->Now();
  return &link;
}

void LinkTable::Close(LinkId id) {
  if (Erase(id)) {
    is_calling_layer_ = true;
    layer_->Close(id);
    is_calling_layer_ = false;
  }
}

void LinkTable::Remove(LinkId id) {
  assert(!is_calling_layer_);
  Erase(id);
}

bool LinkTable::Erase(LinkId id) {
  if (links_.erase(id) == 0) {
    return false;
  }
  if (on_removed_) {
    on_removed_(id);
  }
  return true;
}

void LinkTable::Send(LinkState* link, const Message& message) {
  SendFrame(link, message.index(), MessageCodec::Encode(message));
}

void LinkTable::Flush() {
  layer_->Flush();
}

void LinkTable::SendFrame(LinkState* link,
                          size_t kind,
                          const std::string& frame) {
  TrafficCounters::Count& count =
      traffic_.sent[kind][static_cast<size_t>(link->link_class)];
  ++count.frames;
  count.bytes += frame.size();
  is_calling_layer_ = true;
  layer_->Send(link->id, frame);
  is_calling_layer_ = false;
}

void LinkTable::CountReceived(const LinkState& link,
                              size_t kind,
                              size_t bytes) {
  TrafficCounters::Count& count =
      traffic_.received[kind][static_cast<size_t>(link.link_class)];
  ++count.frames;
  count.bytes += bytes;
}

size_t LinkTable::QueuedBytes(const LinkState& link) const {
  return layer_->QueuedBytes(link.id);
}

LinkState* LinkTable::Find(LinkId id) {
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : &found->second;
}

LinkState* LinkTable::FindUp(const NodeId& peer) {
  for (auto& [id, link] : links_) {
    if (link.up && link.peer == peer) {
      return &link;
    }
  }
  return nullptr;
}

std::vector<LinkState*> LinkTable::Up() {
  std::vector<LinkState*> up;
  for (auto& [id, link] : links_) {
    if (link.up) {
      up.push_back(&link);
    }
  }
  return up;
}

bool LinkTable::IsDialling(const HostPort& address) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
    return !item.second.up && item.second.address == address;
  });
}

bool LinkTable::IsLinkedOrDialling(const HostPort& address) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
    return item.second.address == address;
  });
}

size_t LinkTable::dialling_count() const {
  return links_.size() - up_count();
}

size_t LinkTable::up_count() const {
  return static_cast<size_t>(
      std::count_if(links_.begin(), links_.end(),
                    [](const auto& item) { return item.second.up; }));
}

}  // namespace dragonflytack
