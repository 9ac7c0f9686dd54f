#ifndef DRAGONFLYTACK_SRC_CALLS_LOAD_REPORT_FORWARDER_H_
#define DRAGONFLYTACK_SRC_CALLS_LOAD_REPORT_FORWARDER_H_

#include <string>

struct evkeyvalq;

namespace dragonflytack {

struct CallContext;
struct LocalTarget;

// Passes the load reports of the local target on to the nodes that called it.
// Reports that are not valid are counted, and logged once per target.
class LoadReportForwarder final {
 public:
  // `context` must outlive the object.
  explicit LoadReportForwarder(const CallContext* context)
      : context_(context) {}

  // Adds the load that a response of `target` reports to the response to the
  // calling node.
  void Forward(const LocalTarget& target,
               const evkeyvalq* target_response,
               evkeyvalq* node_response);

 private:
  const CallContext* const context_;
  // Service and instance of the target whose report was logged as not valid.
  std::string logged_service_;
  std::string logged_instance_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_LOAD_REPORT_FORWARDER_H_
