#include "distribution/message_codec.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"

namespace dragonflytack {

namespace {

std::vector<Message> AllMessages() {
  const NodeRecord record{"a-1",
                          1'700'000'000'000,
                          3,
                          "north",
                          "north1",
                          "10.0.0.1",
                          1,
                          2,
                          3,
                          "sv",
                          TargetState::kWarming,
                          1'700'000'000'500,
                          4,
                          "b"};
  ServiceRow row;
  row.service = "roster";
  row.weights = {{"north", 3}, {"south", 0}};
  BucketsMessage buckets;
  buckets.buckets[7] = UINT64_MAX;
  return {
      HelloMessage{true, 1, 2, 3, 4, 5, 6},
      HeartbeatMessage{true, 9, {1, UINT64_MAX}},
      RecordsMessage{
          {{record, Liveness::kDead, 17}, {{"x", 1, 1, "r", "d", "1.1.1.1"}}},
          {{{"a", 1, "b", 2}, 3}}},
      SuspicionsMessage{{{"a", 1, 2}, {"b", 3, 4}}},
      DeltaMessage{{1, 2, {row}, {"gone"}, 99}},
      HeldVersionMessage{7},
      TableRequestMessage{true, 8},
      TableMessage{3, 4, {{"roster", row}}},
      SnapshotRequestMessage{},
      SnapshotEndMessage{},
      SnapshotReceivedMessage{},
      SnapshotBusyMessage{500, {{"127.0.0.1", 80}}},
      buckets,
      BucketHashesMessage{{{3, {1, 2}}, {255, {}}}},
      EntryRequestMessage{{1, 2, 3}},
  };
}

}  // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
Test(message_codec, every_kind_round_trips) {
  const std::vector<Message> messages = AllMessages();
  for (size_t i = 0; i < messages.size(); ++i) {
    cr_assert_eq(messages[i].index(), i);
    Failure reason;
    const auto decoded =
        MessageCodec::Decode(MessageCodec::Encode(messages[i]), &reason);
    cr_assert(decoded.has_value(), "kind %zu: %s", i,
              reason.ToString().c_str());
    cr_assert(*decoded == messages[i], "kind %zu", i);
  }
}

// Guards against a state of the watch that is lost, and against one that does
// not exist.
Test(message_codec, heartbeats_carry_the_state_of_the_watch) {
  for (const StoreWatchState state :
       {StoreWatchState::kDefault, StoreWatchState::kServedStandby,
        StoreWatchState::kFailing}) {
    const Message sent = HeartbeatMessage{true, 9, {1, 2}, state};
    Failure reason;
    const auto decoded =
        MessageCodec::Decode(MessageCodec::Encode(sent), &reason);
    cr_expect(decoded == sent);
  }
  std::string frame = MessageCodec::Encode(
      HeartbeatMessage{true, 9, {1, 2}, StoreWatchState::kFailing});
  ++frame.back();
  Failure reason;
  cr_expect(!MessageCodec::Decode(frame, &reason).has_value());
}

// Guards against crashes and partially applied messages on malformed input:
// each such frame gives a typed failure, closes its link and has no other
// effect.
Test(message_codec, malformed_frames_close_the_link) {
  struct Case {
    const char* name;
    std::string frame;
    FailureCode code = FailureCode::kInvalidMessage;
  };
  std::vector<Case> cases = {
      {"empty", ""},
      {"not an array", "\x01"},
      {"empty array", "\x80"},
      {"text", "hello"},
      {"map", std::string("\xa1\x00\x01", 3)},
      {"unknown kind", "\x81\x18\x63"},
      {"negative kind", "\x81\x20"},
      {"kind only", std::string("\x81\x00", 2)},
      {"float kind", std::string("\x81\xfb\0\0\0\0\0\0\0\0", 10)},
      {"nested without end", std::string(1'000'000, '\x81')},
      {"array of unbounded length", "\x9f\x01"},
      {"array that claims 2^60 elements",
       std::string("\x9b\x10\0\0\0\0\0\0\0\x05\x01", 11)},
      {"text that claims 2^60 bytes",
       std::string("\x82\x05\x7b\x10\0\0\0\0\0\0\0", 11)},
      {"extra field", "\x83\x05\x01\x01"},
      {"text for a version", "\x82\x05\x61x"},
      {"trailing bytes", std::string("\x82\x05\x01\x00", 4)},
      {"record with an unknown text index",
       "\x83\x02\x80\x81\x8a\x61"
       "a"
       "\x01\x01\x05\x05\x61"
       "b"
       "\x01\x01\x01\x05"},
      {"over the size limit",
       std::string(MessageCodec::kMaxFrameBytes + 1, '\x80'),
       FailureCode::kTooLarge},
  };
  for (const Message& message : AllMessages()) {
    const std::string frame = MessageCodec::Encode(message);
    for (size_t size = 0; size < frame.size(); size += 1 + frame.size() / 16) {
      cases.push_back({"cut off", frame.substr(0, size)});
    }
  }
  CoreFleet fleet;
  fleet.log_level = static_cast<LogLevel>(4);
  fleet.StartMany({"north1"}, 3);
  cr_assert(fleet.RunUntil(Milliseconds(30'000),
                           [&] { return fleet.AllHaveNodes(3); }));
  CoreFleet::Node& node = fleet.nodes["north1-0"];
  const size_t routes = node.routes->services.size();
  LinkId link = 1'000'000;
  for (const Case& bad : cases) {
    Failure reason;
    cr_assert_not(MessageCodec::Decode(bad.frame, &reason).has_value(), "%s",
                  bad.name);
    cr_assert(reason.code == bad.code, "%s: %s", bad.name,
              reason.ToString().c_str());
    NodeRecord new_peer{"stranger", 1, 1, "north", "north1", "127.0.0.9", 9};
    node.core->OnLinkUp(++link, new_peer, false);
    const size_t links = node.core->Status().links.size();
    node.core->OnFrame(link, bad.frame);
    cr_assert_eq(node.core->Status().links.size(), links - 1, "%s", bad.name);
    // A frame that was in transit when the link was closed has no effect.
    node.core->OnFrame(link, MessageCodec::Encode(HeldVersionMessage{5}));
  }
  cr_assert_eq(node.core->Status().nodes, 4);
  cr_assert_eq(node.routes->services.size(), routes);
}

// Guards against randomly corrupted frames that crash the decoder.
Test(message_codec, corrupted_frames_do_not_crash) {
  Random random(7);
  const std::vector<Message> messages = AllMessages();
  for (int round = 0; round < 20'000; ++round) {
    std::string frame =
        MessageCodec::Encode(messages[random.Below(messages.size())]);
    for (uint64_t damage = 0; damage <= random.Below(3); ++damage) {
      frame[random.Below(frame.size())] = static_cast<char>(random.Below(256));
    }
    Failure reason;
    if (!MessageCodec::Decode(frame, &reason).has_value()) {
      cr_assert(reason.code != FailureCode::kNone);
    }
  }
}

}  // namespace dragonflytack
