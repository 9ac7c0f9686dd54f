#include "table/table_edit.h"

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

Table::Rows TwoRows() {
  return {{"a", ServiceRow{.service = "a"}}, {"b", ServiceRow{.service = "b"}}};
}

}  // namespace

// Guards against an edit that overwrites the change of another operator, and
// against conflicts between edits that do not overlap.
Test(table_edit, merges_disjoint_edits_and_reports_conflicts) {
  const Table::Rows base = TwoRows();
  Failure reason;
  Table::Rows unchanged = base;
  cr_assert_eq(
      ApplyCells(*SetCell(base, "a", "slots", "12", "11", &reason), &unchanged)
          .size(),
      1u);
  cr_assert(SetCell(base, "a", "slots", "12", "012", &reason)->empty());
  const auto slots = SetCell(base, "a", "slots", "5", {}, &reason);
  const auto slots_again = SetCell(base, "a", "slots", "6", {}, &reason);
  const auto queue = SetCell(base, "a", "max_queue", "9", {}, &reason);
  const auto remove = RemoveRow(base, "a", &reason);
  const auto add = AddRow(base, "c", {{"kind", "one_time"}}, &reason);
  Table::Rows rows = base;
  cr_assert(ApplyCells(*slots, &rows).empty());
  cr_assert(ApplyCells(*queue, &rows).empty());
  cr_assert(ApplyCells(*add, &rows).empty());
  cr_assert_eq(rows["a"].slots, 5);
  cr_assert_eq(rows["a"].max_queue, 9);
  cr_assert(rows["c"].kind == ServiceKind::kOneTime);
  const Table::Rows before = rows;
  const std::vector<CellConflict> one = {{"a", "slots", "12", "5"}};
  cr_assert(ApplyCells(*slots_again, &rows) == one);
  cr_assert(ApplyCells(*slots, &rows) == one);
  // A removal conflicts with every changed cell of its row.
  cr_assert_eq(ApplyCells(*remove, &rows).size(), 2u);
  cr_assert(ApplyCells(*add, &rows) ==
            (std::vector<CellConflict>{{"c", "service", "", "c"}}));
  cr_assert(rows == before);
  rows.erase("a");
  cr_assert(ApplyCells(*slots, &rows) ==
            (std::vector<CellConflict>{{"a", "slots", "12", ""}}));
}

Test(table_edit, applied_diff_gives_the_target_rows) {
  const Table::Rows from = TwoRows();
  Table::Rows to = from;
  to.erase("a");
  to["b"].weights["north"] = 3;
  to["c"] = ServiceRow{.service = "c", .kind = ServiceKind::kOneTime};
  Table::Rows rows = from;
  cr_assert(ApplyCells(DiffRows(from, to), &rows).empty());
  cr_assert(rows == to);
  cr_assert(DiffRows(to, to).empty());
}

Test(table_edit, refuses_invalid_edits) {
  const Table::Rows base = TwoRows();
  Failure reason;
  const auto refused = [&](bool given, FailureCode code) {
    return !given && reason.code == code;
  };
  cr_assert(refused(SetCell(base, "x", "slots", "1", {}, &reason).has_value(),
                    FailureCode::kNotFound));
  cr_assert(refused(SetCell(base, "a", "colour", "1", {}, &reason).has_value(),
                    FailureCode::kInvalidArgument));
  cr_assert(refused(SetCell(base, "a", "service", "c", {}, &reason).has_value(),
                    FailureCode::kInvalidArgument));
  cr_assert(refused(SetCell(base, "a", "slots", "0", {}, &reason).has_value(),
                    FailureCode::kInvalidArgument));
  cr_assert(refused(AddRow(base, "c", {}, &reason).has_value(),
                    FailureCode::kInvalidArgument));
  cr_assert(
      refused(AddRow(base, "a", {{"kind", "one_time"}}, &reason).has_value(),
              FailureCode::kConflict));
  cr_assert(refused(RemoveRow(base, "x", &reason).has_value(),
                    FailureCode::kNotFound));
}

}  // namespace dragonflytack
