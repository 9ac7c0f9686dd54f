#include "table/table_csv.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

Test(table_csv, reads_back_what_it_writes) {
  Table::Rows rows;
  rows["a"] = ServiceRow{.service = "a", .kind = ServiceKind::kOneTime};
  rows["b"] = ServiceRow{.service = "b",
                         .weights = {{"north", 0}, {"south", 7}},
                         .rate_limit = 500};
  Failure reason;
  cr_assert(ParseCsv(FormatCsv(rows), &reason) == rows, "%s",
            reason.ToString().c_str());
}

Test(table_csv, accepts_quotes_defaults_and_all_line_endings) {
  Failure reason;
  const auto rows = ParseCsv(
      "\xEF\xBB\xBF\"kind\",service,weights,slots\r\n"
      "one_time,\"booking\",\"north=1;south=2\",\n\nidempotent,roster,,3",
      &reason);
  cr_assert(rows.has_value(), "%s", reason.ToString().c_str());
  cr_assert_eq(rows->size(), 2u);
  cr_assert_eq(rows->at("booking").weights.at("south"), 2);
  cr_assert_eq(rows->at("booking").slots, 12);
  cr_assert_eq(rows->at("roster").slots, 3);
}

Test(table_csv, refuses_invalid_input_with_line_and_column) {
  const std::string header = "service,kind,weights,slots\n";
  struct Case {
    std::string text;
    std::string subject;
  };
  const std::vector<Case> cases = {
      {"", "line 1"},
      {"service,kind,colour\n", "line 1"},
      {"service,slots\n", "line 1"},
      {"service,kind,kind\n", "line 1"},
      {header + "a,idempotent,\n", "line 2"},
      {header + "a,idempotent,,1\na,idempotent,,2\n", "line 3"},
      {header + "a,idempotent,north=-1,\n", "line 2, column weights"},
      {header + "a,idempotent,north=1001,\n", "line 2, column weights"},
      {header + "a,idempotent,north,\n", "line 2, column weights"},
      {header + "a,idempotent,north=1;,\n", "line 2, column weights"},
      {header + "a,idempotent,north=1;north=2,\n", "line 2, column weights"},
      {header + "a,twice,,\n", "line 2, column kind"},
      {header + "a,,,\n", "line 2, column kind"},
      {header + "A,idempotent,,\n", "line 2, column service"},
      {header + "a,idempotent,,0\n", "line 2, column slots"},
      {header + "a,idempotent,, 1\n", "line 2, column slots"},
      {header + "a,idempotent,,99999999999\n", "line 2, column slots"},
      {header + "\"a\nb\",idempotent,,1\nb,\"idempotent,,1\n", "line 4"},
      {header + "a\"b,idempotent,,1\n", "line 2"},
      {header + "\"a\"b,idempotent,,1\n", "line 2"},
  };
  Failure reason;
  for (const Case& item : cases) {
    cr_assert(!ParseCsv(item.text, &reason).has_value(), "%s",
              item.text.c_str());
    cr_assert(reason.code == FailureCode::kInvalidCsv &&
                  reason.subject == item.subject,
              "%s: %s", item.text.c_str(), reason.ToString().c_str());
  }
  cr_assert(!ParseCsv(header + std::string(1'000'000, ','), &reason));
  cr_assert(reason.code == FailureCode::kTooLarge);
}

}  // namespace dragonflytack
