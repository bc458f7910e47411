#include "control/FleetSurvey.h"

#include "control/OperatorErrors.h"

#include <memory>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::string_view ForwardedPrefix = "/passed-on";
static constexpr Duration QueryTimeout = std::chrono::milliseconds(800);
static constexpr Duration ForwardTimeout = std::chrono::seconds(25);

/// The state of a survey until all answers or timeouts arrived.
struct FleetSurvey::PendingSurvey {
  std::mutex Mutex_;
  std::size_t Remaining_ = 0;
  SurveyResult Result_;
  Callback Done_;
};

ForwardedPath control::parseForwardedPath(const std::string &Path) {
  if (!Path.starts_with(ForwardedPrefix))
    return {Path, false};
  return {Path.substr(ForwardedPrefix.size()), true};
}

FleetSurvey::FleetSurvey(PeerCaller &Peers, std::vector<std::string> PeerNames,
                         SelfReport Self)
    : Peers_(Peers), PeerNames_(std::move(PeerNames)), Self_(std::move(Self)) {}

void FleetSurvey::collectReports(Callback Done) {
  auto Survey = std::make_shared<PendingSurvey>();
  Survey->Remaining_ = PeerNames_.size();
  Survey->Result_.Reports_.push_back(Self_());
  if (PeerNames_.empty())
    return Done(std::move(Survey->Result_));
  Survey->Done_ = std::move(Done);
  const wire::OperatorCall Request{
      "GET", std::string(ForwardedPrefix) + "/report", "", ""};
  for (const std::string &Name : PeerNames_)
    Peers_.request(Name, Request, QueryTimeout,
                   [Survey, Name](Outcome<wire::OperatorAnswer> Answer) {
                     std::unique_lock Lock(Survey->Mutex_);
                     std::optional<ControlReport> Report;
                     if (Answer)
                       Report = parseReport(Answer.value().Body_);
                     if (Report)
                       Survey->Result_.Reports_.push_back(std::move(*Report));
                     else
                       Survey->Result_.Unanswered_.push_back(Name);
                     if (--Survey->Remaining_ > 0)
                       return;
                     Lock.unlock();
                     Survey->Done_(std::move(Survey->Result_));
                   });
}

void FleetSurvey::forward(const DataCentreId &To,
                          const wire::OperatorCall &Call, OperatorDone Done) {
  collectReports([this, To, Call, Done = std::move(Done)](SurveyResult Result) {
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
  wire::OperatorCall Forwarded = Call;
  Forwarded.Path_ = std::string(ForwardedPrefix) + Call.Path_;
  Peers_.request(
      Leader, Forwarded, ForwardTimeout,
      [Done = std::move(Done)](Outcome<wire::OperatorAnswer> Answer) {
        Done(Answer ? Answer.value() : makeErrorAnswer(Answer.error()));
      });
}
