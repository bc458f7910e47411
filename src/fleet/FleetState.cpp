//===- FleetState.cpp - The fleet's replicated state ---------------------===//

#include "tulipweir/fleet/FleetState.h"

#include <variant>

using namespace tulipweir;
using namespace tulipweir::fleet;

namespace {

/// Dispatches each kind of command to the registry concerned.
struct Applier {
  BundleRegistry &Bundles_;
  JobRegistry &Jobs_;

  CommandResult operator()(const ProposeBundle &Value) {
    return Bundles_.propose(Value);
  }
  CommandResult operator()(const SignBundle &Value) {
    return Bundles_.sign(Value);
  }
  CommandResult operator()(const SubmitJob &Value) {
    return Jobs_.submit(Value);
  }
  CommandResult operator()(const AssignJob &Value) {
    return Jobs_.assign(Value);
  }
  CommandResult operator()(const ReleaseJob &Value) {
    return Jobs_.release(Value);
  }
  CommandResult operator()(const CancelJob &Value) {
    return Jobs_.cancel(Value);
  }
  CommandResult operator()(const EndJob &Value) { return Jobs_.end(Value); }
};

} // namespace

CommandResult FleetState::apply(const Command &Value) {
  return std::visit(Applier{Bundles_, Jobs_}, Value);
}
