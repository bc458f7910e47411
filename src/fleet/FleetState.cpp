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

  CommandResult operator()(const ProposeBundle &Request) {
    return Bundles_.propose(Request);
  }
  CommandResult operator()(const SignBundle &Request) {
    return Bundles_.sign(Request);
  }
  CommandResult operator()(const SubmitJob &Request) {
    return Jobs_.submit(Request);
  }
  CommandResult operator()(const AssignJob &Request) {
    return Jobs_.assign(Request);
  }
  CommandResult operator()(const ReleaseJob &Request) {
    return Jobs_.release(Request);
  }
  CommandResult operator()(const CancelJob &Request) {
    return Jobs_.cancel(Request);
  }
  CommandResult operator()(const EndJob &Request) { return Jobs_.end(Request); }
};

} // namespace

CommandResult FleetState::apply(const Command &Request) {
  return std::visit(Applier{Bundles_, Jobs_}, Request);
}
