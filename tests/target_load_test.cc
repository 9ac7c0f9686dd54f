#include "dragonflytack/routing/target_load_report.h"

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against reports that a node of another release cannot read: the form
// between nodes keeps all figures, and a share stays one number in thousandths.
Test(target_load, form_between_nodes) {
  for (const TargetLoad& load :
       {TargetLoad(3, 1, 8), TargetLoad(9, 4, 9, 250),
        TargetLoad::FromShare(0.37), TargetLoad(0, 2, 1000)}) {
    const std::string text = load.ToHeader();
    cr_expect(TargetLoadReport::ParseHeader(text).load == load, "%s",
              text.c_str());
  }
  cr_expect(TargetLoad::FromShare(0.37).ToHeader() == "370");
  cr_expect(TargetLoad(3, 1, 8).ToHeader() == "3,1,8,100");
  cr_expect(TargetLoad::FromShare(7) == TargetLoad::FromShare(1));
  for (const char* text : {"x", "-1", "1.5", "3,1", "3,1,0,100", "3,1,8,x"}) {
    cr_expect(!TargetLoadReport::ParseHeader(text).load, "%s", text);
  }
  for (const char* text : {"x", "-1", "nan", "0.5x"}) {
    cr_expect(!TargetLoadReport::ParseShare(text).load, "%s", text);
  }
}

}  // namespace dragonflytack
