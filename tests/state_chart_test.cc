#include "dragonflytack/statechart/state_chart.h"

#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

std::string MakeChart(const std::string& states) {
  return "<scxml initial=\"a\">" + states + "</scxml>";
}

}  // namespace

// Guards against charts that are accepted although a part of them is invalid or
// would be ignored.
Test(state_chart, rejects_invalid_charts) {
  const std::string final_b = "<final id=\"b\"/>";
  const std::string to_b =
      "<state id=\"a\"><transition event=\"e\" target=\"b\"/></state>";
  const struct {
    std::string text;
    const char* location;
    const char* detail;
  } faults[] = {
      {"", "byte", "No document element"},
      {"<scxml", "byte", ""},
      {"<scxml initial=\"a\"><state id=\"a\"></scxml>", "byte", "tag"},
      {"<chart/>", "chart", "root element"},
      {"<scxml initial=\"a\"/>", "scxml", "does not exist"},
      {"<scxml datamodel=\"x\"/>", "scxml", "unknown attribute"},
      {"<scxml><final id=\"a\"/></scxml>", "scxml", "initial state"},
      {MakeChart("<parallel id=\"a\"/>"), "parallel", "unknown element"},
      {MakeChart("<state/>"), "state", "without id"},
      {MakeChart("<state id=\"a\"/>"), "a", "that is not final"},
      {MakeChart(to_b), "a", "target b does not exist"},
      {MakeChart(to_b + final_b + final_b), "b", "defined twice"},
      {MakeChart(to_b + final_b + "<final id=\"c\"/>"), "c",
       "cannot be reached"},
      {MakeChart(
           "<final id=\"a\"><transition event=\"e\" target=\"a\"/></final>"),
       "a", "final state with"},
      {MakeChart("<state id=\"a\"><transition target=\"a\"/></state>"), "a",
       "without event"},
      {MakeChart("<state id=\"a\"><transition event=\"e\"/></state>"), "a",
       "without target"},
      {MakeChart(
           "<state id=\"a\"><transition event=\"e.*\" target=\"a\"/></state>"),
       "a", "plain name"},
      {MakeChart(
           "<state id=\"a\"><transition event=\"e e\" target=\"a\"/></state>"),
       "a", "two transitions"},
      {MakeChart("<state id=\"a\"><transition event=\"e\" cond=\"x\" "
                 "target=\"a\"/></state>"),
       "transition", "unknown attribute cond"},
      {MakeChart("<state id=\"a\"><transition event=\"e\" "
                 "target=\"a\"><script>X</script></transition></state>"),
       "a", "with content"},
      {MakeChart("<state id=\"a\"><state id=\"b\"/></state>"), "a",
       "unknown element state"},
      {MakeChart(
           "<final id=\"a\"><onentry><raise event=\"e\"/></onentry></final>"),
       "a", "unknown action raise"},
      {MakeChart("<final id=\"a\"><onentry><script/></onentry></final>"), "a",
       "name of one action"},
      {MakeChart(
           "<final id=\"a\"><onexit><script>A(); B</script></onexit></final>"),
       "a", "name of one action"},
  };
  for (const auto& fault : faults) {
    Failure reason;
    cr_expect(StateChart::Parse("t", fault.text, &reason) == nullptr, "%s",
              fault.text.c_str());
    cr_expect(
        reason.code == FailureCode::kInvalidChart &&
            reason.subject.rfind(std::string("t: ") + fault.location, 0) == 0 &&
            reason.detail.find(fault.detail) != std::string::npos,
        "%s: %s", fault.text.c_str(), reason.ToString().c_str());
  }
}

}  // namespace dragonflytack
