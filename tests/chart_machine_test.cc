#include "dragonflytack/statechart/chart_machine.h"

#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

constexpr char kChart[] = R"(<scxml initial="a">
  <state id="a">
    <onentry><script>EnterA</script></onentry>
    <onexit><script>LeaveA</script></onexit>
    <transition event="go" target="b"/>
    <transition event="again" target="a"/>
  </state>
  <state id="b">
    <onentry><script>EnterB</script></onentry>
    <transition event="end" target="c"/>
  </state>
  <final id="c"/>
</scxml>)";

struct Recorder {
  void EnterA() { trace += "+a"; }
  void LeaveA() { trace += "-a"; }
  void EnterB() {
    trace += "+b";
    machine->Handle("end");
    trace += "!";
  }

  std::string trace;
  ChartMachine<Recorder>* machine = nullptr;
};

constexpr ChartAction<Recorder> kActions[] = {
    {"EnterA", &Recorder::EnterA},
    {"LeaveA", &Recorder::LeaveA},
    {"EnterB", &Recorder::EnterB},
};

}  // namespace

// Guards against actions in the wrong order, and against a transition that
// starts while the actions of another one are still running.
Test(chart_machine, runs_exit_before_entry_and_queues_nested_events) {
  Failure reason;
  const auto chart = StateChart::Parse("t", kChart, &reason);
  cr_assert(chart != nullptr, "%s", reason.ToString().c_str());
  Recorder recorder;
  ChartMachine<Recorder> machine(chart, &recorder, kActions);
  recorder.machine = &machine;
  machine.Start();
  cr_assert(!machine.Handle("end"));
  cr_assert(!machine.Handle("unknown"));
  cr_assert(machine.Handle("again"));
  cr_assert(machine.Handle("go"));
  cr_assert_str_eq(recorder.trace.c_str(), "+a-a+a-a+b!");
  cr_assert(machine.is_final() && machine.state() == "c");
  cr_assert(!machine.Handle("go"));
}

// Guards against actions of a chart that are not bound, and bound actions that
// the chart does not use.
Test(chart_machine, finds_unbound_and_unused_actions) {
  Failure reason;
  const auto chart = StateChart::Parse("t", kChart, &reason);
  using Machine = ChartMachine<Recorder>;
  cr_assert(Machine::CheckBinding(*chart, kActions, &reason));
  cr_assert(!Machine::CheckBinding(
      *chart, std::span<const ChartAction<Recorder>>(kActions, 2), &reason));
  cr_assert_str_eq(reason.detail.c_str(), "action EnterB is not bound");
  const ChartAction<Recorder> more[] = {
      kActions[0], kActions[1], kActions[2], {"Other", &Recorder::EnterA}};
  cr_assert(!Machine::CheckBinding(*chart, more, &reason));
  cr_assert_str_eq(reason.detail.c_str(), "action Other is never used");
}

}  // namespace dragonflytack
