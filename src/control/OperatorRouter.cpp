#include "control/OperatorRouter.h"

#include "control/OperatorErrors.h"

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::uint32_t MethodNotAllowed = 405;

OperatorRouter::OperatorRouter(std::vector<RouteSet *> Parts)
    : Parts_(std::move(Parts)) {}

void OperatorRouter::handle(const wire::OperatorCall &Call,
                            OperatorDone Done) const {
  bool PathKnown = false;
  for (RouteSet *Part : Parts_) {
    const RouteMatch Match = Part->handle(Call, Done);
    if (Match == RouteMatch::Handled)
      return;
    PathKnown = PathKnown || Match == RouteMatch::WrongMethod;
  }
  if (!PathKnown)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound, "there is no path " + Call.Path_)));
  wire::OperatorAnswer Answer = makeErrorAnswer(
      Error::make(ErrorCode::InvalidArgument,
                  Call.Method_ + " is not supported on " + Call.Path_));
  Answer.Status_ = MethodNotAllowed;
  Done(std::move(Answer));
}
