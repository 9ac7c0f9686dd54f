#include "store/table_editor.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"
#include "fake_store_client.h"

namespace dragonflytack {

namespace {

using Fault = FakeStoreClient::Fault;

Fault NoFault(int) {
  return Fault::kNone;
}

TableEditor::MakeCells Set(const std::string& column, const std::string& text) {
  return [=](const TableDocument& table, Failure* reason) {
    const Table::Rows& rows = table.rows;
    return SetCell(rows, "roster", column, text, {}, reason);
  };
}

struct EditorBench final {
  // Starts with a row and `edits` edits in the table.
  explicit EditorBench(size_t edits = 0) {
    TableDocument document;
    document.rows["roster"] = ServiceRow{.service = "roster"};
    for (size_t i = 0; i < edits; ++i) {
      document.recent.push_back(EditRecord{
          "old" + std::to_string(i), "a", 1, {{"roster", "slots", "1", "1"}}});
    }
    objects.Put("table", document.ToJson(), 0);
  }

  // Runs one editor to its end.
  EditOutcome Edit(const FakeStoreClient::Script& script,
                   TableEditor::MakeCells make_cells) {
    FakeStoreClient store(&objects, &timers, script);
    TableEditor editor(&store, &timers, 1);
    EditOutcome outcome;
    int answers = 0;
    editor.Edit({.author = "ana", .timeout = Milliseconds(2000)},
                std::move(make_cells), [&](const EditOutcome& result) {
                  outcome = result;
                  ++answers;
                });
    RunUntil([&] { return answers > 0; });
    // Late writes take effect now.
    for (int i = 0; i < 50; ++i) {
      Step();
    }
    cr_assert_eq(answers, 1);
    return outcome;
  }

  template <typename Done>
  void RunUntil(Done done) {
    for (int i = 0; i < 10'000'000 && !done(); ++i) {
      Step();
    }
    cr_assert(done());
  }

  void Step() {
    clock.Advance(Milliseconds(1));
    timers.RunDue();
  }

  TableDocument Document() {
    Failure reason;
    const auto document =
        TableDocument::Parse(objects.Get("table").value, &reason);
    cr_assert(document.has_value(), "%s", reason.ToString().c_str());
    return *document;
  }

  // Reads all edits as the tool does.
  std::vector<EditRecord> History() {
    FakeStoreClient store(&objects, &timers, NoFault);
    TableHistory history(&store);
    std::optional<std::vector<EditRecord>> all;
    history.Read(0, [&](auto edits, const Failure&) { all = edits; });
    RunUntil([&] { return all.has_value(); });
    return *all;
  }

  ManualClock clock;
  TimerService timers{&clock};
  MemoryStore objects;
};

}  // namespace

// Each fault at each call of an edit that also archives: the edit must land
// once, be reported as landed, and no older edit may be lost.
Test(table_editor, faults_at_each_step_neither_lose_nor_repeat_the_edit) {
  for (const Fault fault :
       {Fault::kUnreachable, Fault::kRejected, Fault::kTimeoutNotApplied,
        Fault::kResponseLost, Fault::kAppliedLate}) {
    for (int step = 0; step < 6; ++step) {
      for (const int retry_share : {1, 3}) {
        EditorBench bench(512);
        const EditOutcome outcome = bench.Edit(
            [=](int call) {
              return call >= step && call < step + retry_share ? fault
                                                               : Fault::kNone;
            },
            Set("slots", "5"));
        const char* failure = FailureCodeName(outcome.failure.code).data();
        cr_assert(outcome.failure.code == FailureCode::kNone, "%d at %d: %s",
                  static_cast<int>(fault), step, failure);
        cr_assert_eq(bench.Document().rows.at("roster").slots, 5);
        cr_assert_eq(bench.Document().recent.size(), 257u);
        const auto history = bench.History();
        cr_assert_eq(history.size(), 513u);
        cr_assert(history.front().edit_id == "old0");
        cr_assert(history.back() == outcome.edit);
        cr_assert(!outcome.merged, "%d at %d x%d", static_cast<int>(fault),
                  step, retry_share);
      }
    }
  }
}

Test(table_editor, store_failures_end_with_their_kind_in_time) {
  struct Case {
    Fault fault;
    int from_call;
    FailureCode code;
    bool unsettled;
  };
  const std::vector<Case> cases = {
      {Fault::kUnreachable, 0, FailureCode::kStoreUnreachable, false},
      {Fault::kRejected, 0, FailureCode::kStoreRejected, false},
      {Fault::kTimeoutNotApplied, 0, FailureCode::kStoreTimeout, false},
      {Fault::kResponseLost, 1, FailureCode::kStoreTimeout, true},
  };
  for (const Case& item : cases) {
    EditorBench bench;
    const EditOutcome outcome = bench.Edit(
        [&](int call) {
          return call >= item.from_call ? item.fault : Fault::kNone;
        },
        Set("slots", "5"));
    cr_assert(outcome.failure.code == item.code);
    cr_assert_eq(outcome.unsettled, item.unsettled);
  }
}

// Two operators at once: edits of different cells both land, edits of the same
// cell end in a conflict that names the cell, also after a lost answer.
Test(table_editor, two_operators_at_once) {
  for (const Fault fault :
       {Fault::kNone, Fault::kResponseLost, Fault::kTimeoutNotApplied}) {
    for (const bool overlap : {false, true}) {
      EditorBench bench;
      FakeStoreClient store_a(&bench.objects, &bench.timers, NoFault);
      FakeStoreClient store_b(&bench.objects, &bench.timers, [=](int call) {
        return call == 1 ? fault : Fault::kNone;
      });
      TableEditor a(&store_a, &bench.timers, 1);
      TableEditor b(&store_b, &bench.timers, 2);
      std::map<char, EditOutcome> outcomes;
      a.Edit({.author = "a"}, Set("slots", "5"),
             [&](const EditOutcome& outcome) { outcomes['a'] = outcome; });
      b.Edit({.author = "b"}, Set(overlap ? "slots" : "max_queue", "7"),
             [&](const EditOutcome& outcome) { outcomes['b'] = outcome; });
      bench.RunUntil([&] { return outcomes.size() == 2; });
      const ServiceRow row = bench.Document().rows.at("roster");
      cr_assert(outcomes['a'].failure.code == FailureCode::kNone);
      cr_assert_eq(row.slots, 5);
      if (overlap) {
        cr_assert(outcomes['b'].failure.code == FailureCode::kConflict);
        cr_assert(!outcomes['b'].unsettled);
        cr_assert(outcomes['b'].conflicts ==
                  (std::vector<CellConflict>{{"roster", "slots", "12", "5"}}));
      } else {
        cr_assert(outcomes['b'].failure.code == FailureCode::kNone);
        cr_assert(outcomes['b'].merged);
        cr_assert_eq(row.max_queue, 7);
        cr_assert_eq(bench.Document().recent.size(), 2u);
      }
    }
  }
}

// Guards against edits that vanish when several operators archive at once under
// faults. Every edit reported as landed must be in the history once.
Test(table_editor, archive_loses_no_edit_under_faults) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    EditorBench bench(500);
    Random random(seed);
    const char* columns[] = {"slots", "max_queue", "max_connections"};
    std::vector<std::unique_ptr<FakeStoreClient>> stores;
    std::vector<std::unique_ptr<TableEditor>> editors(3);
    std::map<std::string, int> landed;
    std::vector<int> done(3, 0);
    std::function<void(size_t)> next = [&](size_t i) {
      editors[i] = std::make_unique<TableEditor>(stores[i].get(), &bench.timers,
                                                 random.Below(1000));
      editors[i]->Edit({.author = "a", .timeout = Milliseconds(60'000)},
                       Set(columns[i], std::to_string(1 + done[i])),
                       [&, i](const EditOutcome& outcome) {
                         cr_assert(outcome.failure.code == FailureCode::kNone,
                                   "%s", outcome.failure.ToString().c_str());
                         ++landed[outcome.edit.edit_id];
                         if (++done[i] < 90) {
                           bench.timers.SubscribeOnce(Milliseconds(1),
                                                      [&, i] { next(i); });
                         }
                       });
    };
    for (size_t i = 0; i < 3; ++i) {
      stores.push_back(std::make_unique<FakeStoreClient>(
          &bench.objects, &bench.timers, [&](int) {
            return random.Below(5) == 0
                       ? static_cast<Fault>(1 + random.Below(5))
                       : Fault::kNone;
          }));
      next(i);
    }
    bench.RunUntil([&] { return done == std::vector<int>(3, 90); });
    const auto history = bench.History();
    cr_assert_eq(landed.size(), 270u);
    cr_assert_eq(history.size(), 770u, "seed %lu: %zu", seed, history.size());
    for (const EditRecord& edit : history) {
      landed.erase(edit.edit_id);
    }
    cr_assert(landed.empty());
    cr_assert_leq(bench.Document().recent.size(), 512u);
  }
}

// Guards against a table whose edits fill its bytes before they are 512.
Test(table_editor, archives_by_size) {
  EditorBench bench;
  const std::string large(400'000, 'x');
  TableDocument document = bench.Document();
  document.recent = {{"big0", "a", 1, {{"roster", "slots", large, ""}}},
                     {"big1", "a", 1, {{"roster", "slots", large, ""}}}};
  const std::string name(180'000, 'y');
  bench.objects.Put("table", document.ToJson(), 1);
  FakeStoreClient store(&bench.objects, &bench.timers, NoFault);
  TableEditor editor(&store, &bench.timers, 1);
  std::optional<EditOutcome> outcome;
  editor.Edit({.author = name + name}, Set("slots", "5"),
              [&](const EditOutcome& result) { outcome = result; });
  bench.RunUntil([&] { return outcome.has_value(); });
  cr_assert(outcome->failure.code == FailureCode::kNone);
  cr_assert_eq(bench.Document().recent.size(), 1u);
  cr_assert_eq(bench.History().size(), 3u);
}

Test(table_editor, bad_results_and_unreadable_tables_are_refused) {
  EditorBench bench;
  const auto invalid = [](const TableDocument& table, Failure*) {
    const Table::Rows& from = table.rows;
    Table::Rows rows = from;
    rows["roster"].slots = 0;
    return std::optional<CellEdits>(DiffRows(from, rows));
  };
  cr_assert(bench.Edit(NoFault, invalid).failure.subject == "roster/slots");
  cr_assert(bench.Edit(NoFault, Set("slots", "x")).failure.code ==
            FailureCode::kInvalidArgument);
  const EditOutcome same = bench.Edit(NoFault, Set("slots", "12"));
  cr_assert(same.failure.code == FailureCode::kNone && same.version == 1);
  cr_assert_eq(bench.objects.revision(), 1u);
  bench.objects.Put("table", "{", 1);
  cr_assert(bench.Edit(NoFault, Set("slots", "5")).failure.code ==
            FailureCode::kInvalidTable);
}

}  // namespace dragonflytack
