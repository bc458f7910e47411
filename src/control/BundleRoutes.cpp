#include "control/BundleRoutes.h"

#include "control/BundleJson.h"
#include "control/OperatorErrors.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <charconv>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration ProposeTimeout = std::chrono::seconds(8);
static constexpr std::size_t DefaultHistory = 50;
static constexpr std::size_t MaxHistory = 1000;

const RouteEntry<BundleRoutes> BundleRoutes::Table[] = {
    {"POST", "/bundles/check", &BundleRoutes::check},
    {"POST", "/bundles", &BundleRoutes::propose},
    {"POST", "/bundles/{}/sign", &BundleRoutes::sign},
    {"GET", "/bundles", &BundleRoutes::listHistory},
    {"GET", "/bundles/current", &BundleRoutes::showCurrent},
    {"GET", "/bundles/status", &BundleRoutes::showStatus},
    {"GET", "/bundles/{}", &BundleRoutes::showVersion},
    {"GET", "/limits", &BundleRoutes::showLimits},
    {"GET", "/passed-on/report", &BundleRoutes::showReport}};

BundleRoutes::BundleRoutes(const fleet::FleetStateMachine &Fleet,
                           BundleStore &Store, FleetProposer &Proposer,
                           FleetSurvey &Survey, const Clock &Time)
    : Fleet_(Fleet), Store_(Store), Proposer_(Proposer), Survey_(Survey),
      Time_(Time) {}

RouteMatch BundleRoutes::handle(const wire::OperatorCall &Call,
                                OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

void BundleRoutes::check(const RoutedCall &Call, OperatorDone Done) {
  const std::string Text = extractBundleText(Call.Call_.Body_);
  Done({200, renderJson(makeCheckJson(fleet::checkBundle(Text), Text))});
}

void BundleRoutes::propose(const RoutedCall &Call, OperatorDone Done) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  Outcome<fleet::ProposeBundle> Request =
      parseProposal(Call.Call_.Body_, WallMs);
  if (!Request)
    return Done(makeErrorAnswer(Request.error()));
  const fleet::BundleCheck Check = fleet::checkBundle(Request.value().Text_);
  if (!Check.Problems_.empty()) {
    Json Body = makeCheckJson(Check, Request.value().Text_);
    Body["error"] = getErrorName(ErrorCode::InvalidArgument);
    Body["message"] = "the bundle has " +
                      std::to_string(Check.Problems_.size()) +
                      " problems; nothing was proposed";
    return Done({400, renderJson(Body)});
  }
  send(std::move(Request.value()), std::move(Done));
}

void BundleRoutes::sign(const RoutedCall &Call, OperatorDone Done) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  Outcome<fleet::SignBundle> Request =
      parseSignOff(Digest(Call.PathParams_.front()), Call.Call_.Body_, WallMs);
  if (!Request)
    return Done(makeErrorAnswer(Request.error()));
  send(std::move(Request.value()), std::move(Done));
}

void BundleRoutes::send(const fleet::Command &Command, OperatorDone Done) {
  Proposer_.propose(
      fleet::encodeCommand(Command), ProposeTimeout,
      [this, Done = std::move(Done)](Outcome<std::string> Bytes) {
        if (!Bytes)
          return Done(makeErrorAnswer(
              getErrorName(Bytes.error().Code_),
              Bytes.error().Message_ +
                  "; the outcome is unknown, sending it again is safe"));
        const Outcome<fleet::CommandResult> Result =
            fleet::decodeResult(Bytes.value());
        if (!Result)
          return Done(makeErrorAnswer(Result.error()));
        const std::uint32_t Status =
            Result.value().Error_.empty()
                ? 200
                : getErrorStatus(Result.value().Error_);
        // Replies only after this process has applied the bundle, so that a
        // caller that receives "accepted" sees it in force here.
        Store_.runAfterUpdates(
            [Done, Answer = wire::OperatorAnswer{
                       Status, renderJson(makeResultJson(Result.value()))}] {
              Done(Answer);
            });
      });
}

void BundleRoutes::listHistory(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t Limit =
      Call.getNumberParam("limit", DefaultHistory, MaxHistory);
  Json Bundles = Json::array();
  for (const fleet::AcceptedBundle &Bundle : Fleet_.listHistory(Limit))
    Bundles.push_back(makeAcceptedJson(Bundle));
  Json Proposals = Json::array();
  Fleet_.read([&Proposals](const fleet::FleetState &State) {
    for (const auto &[Digest, Proposal] : State.bundles().proposals())
      Proposals.push_back(makeProposedJson(Digest, Proposal));
    return 0;
  });
  Done({200, renderJson({{"bundles", std::move(Bundles)},
                         {"proposals", std::move(Proposals)}})});
}

static wire::OperatorAnswer
makeBundleAnswer(const std::optional<fleet::AcceptedBundle> &Accepted,
                 const std::string &WhenMissing) {
  if (!Accepted)
    return makeErrorAnswer(Error::make(ErrorCode::NotFound, WhenMissing));
  Json Body = makeAcceptedJson(*Accepted);
  Body["text"] = Accepted->Text_;
  return {200, renderJson(Body)};
}

void BundleRoutes::showCurrent(const RoutedCall &, OperatorDone Done) {
  const std::shared_ptr<const StoredBundle> Held = Store_.get();
  Done(makeBundleAnswer(Held ? std::optional(Held->Accepted_) : std::nullopt,
                        "no bundle is in force yet; propose the first one"));
}

void BundleRoutes::showVersion(const RoutedCall &Call, OperatorDone Done) {
  const std::string &Text = Call.PathParams_.front();
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Version);
  if (Read.ec != std::errc() || Read.ptr != End)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::InvalidArgument,
                    "a version must be an integer, not " + Text)));
  Done(makeBundleAnswer(Fleet_.findBundle(BundleVersion(Version)),
                        "no bundle with version " + Text + " was accepted"));
}

void BundleRoutes::showStatus(const RoutedCall &, OperatorDone Done) {
  Survey_.collectReports([Done = std::move(Done)](const SurveyResult &Result) {
    Done({200, renderJson(makeStatusJson(Result))});
  });
}

void BundleRoutes::showReport(const RoutedCall &, OperatorDone Done) {
  Done({200, renderJson(makeReportJson(Survey_.makeSelfReport()))});
}

void BundleRoutes::showLimits(const RoutedCall &, OperatorDone Done) {
  const std::shared_ptr<const fleet::Bundle> InForce = Store_.getBundle();
  if (!InForce)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound, "no bundle is in force yet")));
  Done({200, renderJson(makeLimitsJson(*InForce))});
}
