#include "distribution/seed_list.h"

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against a designated watcher that terminates because the record of a
// faulty peer contains a data centre or region that is not valid UTF-8.
Test(seed_list, writes_names_that_are_not_utf8) {
  SeedList list;
  list.data_centres["north\xff"] = {"\xc0", {{"127.0.0.1", 80}}};
  Failure reason;
  const auto read = SeedList::Parse(list.ToJson(), &reason);
  cr_assert(read.has_value(), "%s", reason.ToString().c_str());
  cr_assert(read->data_centres.begin()->second.peers ==
            list.data_centres.begin()->second.peers);
}

}  // namespace dragonflytack
