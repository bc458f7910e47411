#include "control/FleetSurvey.h"

#include "control/OperatorErrors.h"

#include <memory>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::string_view Prefix = "/passed-on";
static constexpr Duration AskTimeout = std::chrono::milliseconds(800);
static constexpr Duration CallTimeout = std::chrono::seconds(25);

/// The answers that are still awaited.
struct FleetSurvey::Round {
  std::mutex Mutex_;
  std::size_t Open_ = 0;
  SurveyResult Result_;
  Callback Done_;
};

PassedPath control::readPassedPath(const std::string &Path) {
  if (!Path.starts_with(Prefix))
    return {Path, false};
  return {Path.substr(Prefix.size()), true};
}

FleetSurvey::FleetSurvey(PeerCaller &Peers, std::vector<std::string> Others,
                         SelfReport Self)
    : Peers_(Peers), Others_(std::move(Others)), Self_(std::move(Self)) {}

void FleetSurvey::ask(Callback Done) {
  auto Shared = std::make_shared<Round>();
  Shared->Open_ = Others_.size();
  Shared->Result_.Reports_.push_back(Self_());
  if (Others_.empty())
    return Done(std::move(Shared->Result_));
  Shared->Done_ = std::move(Done);
  const wire::OperatorCall Ask{"GET", std::string(Prefix) + "/report", "", ""};
  for (const std::string &Name : Others_)
    Peers_.request(Name, Ask, AskTimeout,
                   [Shared, Name](Outcome<wire::OperatorAnswer> Got) {
                     std::unique_lock Lock(Shared->Mutex_);
                     std::optional<ControlReport> Report;
                     if (Got)
                       Report = parseReport(Got.value().Body_);
                     if (Report)
                       Shared->Result_.Reports_.push_back(std::move(*Report));
                     else
                       Shared->Result_.Silent_.push_back(Name);
                     if (--Shared->Open_ > 0)
                       return;
                     Lock.unlock();
                     Shared->Done_(std::move(Shared->Result_));
                   });
}

void FleetSurvey::passOn(const DataCentreId &To, const wire::OperatorCall &Call,
                         OperatorDone Done) {
  ask([this, To, Call, Done = std::move(Done)](SurveyResult Result) {
    for (const ControlReport &Report : Result.Reports_)
      if (Report.DataCentre_ == To && Report.Leads_)
        return send(Report.Name_, Call, Done);
    Done(makeErrorAnswer(
        Error::make(ErrorCode::Unavailable,
                    "data centre " + To.value() +
                        " holds this and cannot be reached; ask an entry "
                        "there, or try again")));
  });
}

void FleetSurvey::send(const std::string &Leader,
                       const wire::OperatorCall &Call, OperatorDone Done) {
  wire::OperatorCall Passed = Call;
  Passed.Path_ = std::string(Prefix) + Call.Path_;
  Peers_.request(Leader, Passed, CallTimeout,
                 [Done = std::move(Done)](Outcome<wire::OperatorAnswer> Got) {
                   Done(Got ? Got.value() : makeErrorAnswer(Got.error()));
                 });
}
