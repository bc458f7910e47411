//===- Fakes.cpp ----------------------------------------------------------===//

#include "entry/support/Fakes.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using net::HttpStage;
using std::chrono::milliseconds;
using wire::RequestDisposition;

template <class Fault> static Fault takeFirst(std::vector<Fault> &Faults) {
  if (Faults.empty())
    return Fault::None;
  const Fault First = Faults.front();
  Faults.erase(Faults.begin());
  return First;
}

TryFault FakeBackend::takeFault(const net::Endpoint &To) {
  const auto FaultIt = ServerFaults_.find(To);
  return FaultIt != ServerFaults_.end() ? FaultIt->second : takeFirst(Script_);
}

void FakeBackend::end(std::uint64_t Exchange, net::HttpResult Result) {
  auto Node = Open_.extract(Exchange);
  if (!Node.empty())
    Node.mapped()(std::move(Result));
}

void FakeBackend::endAfter(Duration Delay, std::uint64_t Exchange,
                           net::HttpResult Result) {
  Timers_.runAfter(Delay, [this, Exchange, Result = std::move(Result)] {
    end(Exchange, Result);
  });
}

std::uint64_t FakeBackend::send(const net::Endpoint &To,
                                net::HttpRequest Request, TimePoint Deadline,
                                net::HttpClient::Callback Done) {
  const std::uint64_t Exchange = ++Last_;
  Open_.emplace(Exchange, std::move(Done));
  Sent_.push_back({To, Request, Deadline, Clock_.now()});
  endAfter(Deadline - Clock_.now(), Exchange,
           {HttpStage::Sent, fail(ErrorCode::Timeout, "deadline")});
  net::HttpResponse Good;
  Good.Headers_ = {
      {header::RequestId, std::string(Request.findHeader(header::RequestId))},
      {"Content-Type", "text/plain"}};
  Good.Body_ = makeAnswerBody(Request.Body_);
  const auto Run = [&] { ++Runs_[Request.Body_]; };
  const auto Break = [&](HttpStage Stage, ErrorCode Code) {
    endAfter(ServiceTime_, Exchange, {Stage, fail(Code, "fault")});
  };
  net::HttpResponse Busy = Good;
  Busy.Status_ = 503;
  Busy.Headers_.push_back({header::NotRun, "1"});
  const TryFault Fault = takeFault(To);
  switch (Fault) {
  case TryFault::Refused:
    Break(HttpStage::NothingSent, ErrorCode::Unavailable);
    return Exchange;
  case TryFault::Busy:
    endAfter(milliseconds(1), Exchange, {HttpStage::Answered, Busy});
    return Exchange;
  case TryFault::BrokenBeforeRun:
    Break(HttpStage::Sent, ErrorCode::Unavailable);
    return Exchange;
  case TryFault::Frozen:
    return Exchange;
  default:
    break;
  }
  Run();
  net::HttpResponse Other = Fault == TryFault::BusyForOther ? Busy : Good;
  Other.Headers_[0].Value_ = "another";
  switch (Fault) {
  case TryFault::BrokenAfterRun:
    Break(HttpStage::Sent, ErrorCode::Unavailable);
    break;
  case TryFault::Truncated:
    Break(HttpStage::Sent, ErrorCode::Malformed);
    break;
  case TryFault::TooLarge:
    Break(HttpStage::Sent, ErrorCode::TooLarge);
    break;
  case TryFault::WrongId:
  case TryFault::BusyForOther:
    endAfter(ServiceTime_, Exchange, {HttpStage::Answered, Other});
    break;
  case TryFault::RunFrozen:
    break;
  case TryFault::Slow:
    endAfter(ServiceTime_ * 20, Exchange, {HttpStage::Answered, Good});
    break;
  case TryFault::Late:
    endAfter(Deadline - Clock_.now() + milliseconds(5), Exchange,
             {HttpStage::Answered, Good});
    break;
  default:
    endAfter(ServiceTime_, Exchange, {HttpStage::Answered, Good});
  }
  return Exchange;
}

template <class Reply>
void FakeControl::answer(std::vector<CallFault> &Faults, Duration Timeout,
                         std::function<Reply()> Apply,
                         std::function<void(Outcome<Reply>)> Done) {
  const CallFault Fault = takeFirst(Faults);
  if (Fault == CallFault::Unavailable)
    return Done(fail(ErrorCode::Unavailable, "no leader"));
  if (Fault == CallFault::LostBefore || Fault == CallFault::LostAfter) {
    if (Fault == CallFault::LostAfter)
      Apply();
    Timers_.runAfter(Timeout,
                     [Done] { Done(fail(ErrorCode::Timeout, "lost")); });
    return;
  }
  Timers_.runAfter(milliseconds(1), [Apply, Done] { Done(Apply()); });
}

void FakeControl::report(const wire::EntryReport &Report, Duration Timeout,
                         ControlCallback<wire::EntryReport> Done) {
  Reports_.push_back(Report);
  std::vector<CallFault> Faults;
  if (ReportsLost_)
    Faults.push_back(CallFault::LostBefore);
  answer<wire::EntryReportReply>(
      Faults, Timeout,
      [this, Report] {
        wire::EntryReportReply Reply = Reply_;
        if (Report.Held_ >= Reply.InForce_)
          Reply.Bundle_.reset();
        if (Report.RoutesHeld_ == Reply.RoutesVersion_)
          Reply.Routes_.reset();
        return Reply;
      },
      Done);
}

void FakeControl::announce(const wire::Announcement &Announcement,
                           Duration Timeout,
                           ControlCallback<wire::Announcement> Done) {
  Announcements_.push_back(Announcement);
  std::vector<CallFault> Faults;
  if (ReportsLost_)
    Faults.push_back(CallFault::LostBefore);
  answer<wire::AnnouncementReply>(
      Faults, Timeout,
      [] {
        return wire::AnnouncementReply{6000, 500, {}, {}};
      },
      Done);
}

void FakeControl::begin(const wire::BeginRequest &Request, Duration Timeout,
                        ControlCallback<wire::BeginRequest> Done) {
  answer<wire::BeginRequestReply>(
      BeginFaults_, Timeout, [this, Request] { return applyBegin(Request); },
      Done);
}

void FakeControl::finish(const wire::FinishRequest &Request, Duration Timeout,
                         ControlCallback<wire::FinishRequest> Done) {
  answer<wire::RecordReply>(
      FinishFaults_, Timeout, [this, Request] { return applyFinish(Request); },
      Done);
}

void FakeControl::abandon(const wire::AbandonRequest &Request, Duration Timeout,
                          ControlCallback<wire::AbandonRequest> Done) {
  answer<wire::RecordReply>(
      AbandonFaults_, Timeout,
      [this, Request] { return applyAbandon(Request); }, Done);
}

void FakeControl::callOperator(const wire::OperatorCall &Call, Duration Timeout,
                               ControlCallback<wire::OperatorCall> Done) {
  OperatorCalls_.push_back(Call);
  std::vector<CallFault> Faults;
  answer<wire::OperatorAnswer>(
      Faults, Timeout,
      [] {
        return wire::OperatorAnswer{200, "[]"};
      },
      Done);
}

wire::BeginRequestReply
FakeControl::applyBegin(const wire::BeginRequest &Request) {
  if (NextDisposition_) {
    wire::BeginRequestReply BeginReply;
    BeginReply.Disposition_ = *NextDisposition_;
    return BeginReply;
  }
  Record &Stored = Records_[Request.Key_];
  if (Stored.Attempt_ == 0 || Stored.Abandoned_) {
    const std::uint64_t Attempt = Stored.Attempt_ + 1;
    Stored = {
        Request.Digest_, RequestDisposition::Running, false,       Attempt,
        Request.Nonce_,  Request.EntryIncarnation_,   std::nullopt};
    return {RequestDisposition::Run, Attempt, std::nullopt};
  }
  if (Stored.Digest_ != Request.Digest_)
    return {RequestDisposition::Conflict, Stored.Attempt_, std::nullopt};
  const bool SameBegin = Stored.Nonce_ == Request.Nonce_ &&
                         Stored.Incarnation_ == Request.EntryIncarnation_ &&
                         Stored.State_ == RequestDisposition::Running;
  return {SameBegin ? RequestDisposition::Run : Stored.State_, Stored.Attempt_,
          Stored.Answer_};
}

wire::RecordReply FakeControl::applyFinish(const wire::FinishRequest &Request) {
  Record &Stored = Records_[Request.Key_];
  if (Stored.Attempt_ != Request.Attempt_ || Stored.Abandoned_ ||
      Stored.State_ == RequestDisposition::Replay)
    return {Stored.Answer_ == Request.Answer_};
  Stored.Answer_ = Request.Answer_;
  Stored.State_ = Request.Answer_ ? RequestDisposition::Replay
                                  : RequestDisposition::Unknown;
  return {true};
}

wire::RecordReply
FakeControl::applyAbandon(const wire::AbandonRequest &Request) {
  Record &Stored = Records_[Request.Key_];
  if (Stored.Attempt_ != Request.Attempt_ ||
      Stored.State_ != RequestDisposition::Running)
    return {false};
  Stored.Abandoned_ = true;
  return {true};
}

void FakeControl::markEntryLost() {
  for (auto &[Key, Stored] : Records_)
    if (Stored.State_ == RequestDisposition::Running && !Stored.Abandoned_)
      Stored.State_ = RequestDisposition::Unknown;
}

EntryHarness::EntryHarness(unsigned Servers, unsigned SlotsEach) {
  for (unsigned Number = 1; Number <= Servers; ++Number) {
    wire::Route Route;
    Route.Server_ = BackendServerId("s" + std::to_string(Number));
    Route.Boot_ = BootId("b");
    Route.Address_ = "127.0.0.1:" + std::to_string(Number);
    Route.Services_ = {ServiceId(ServiceName)};
    Route.Slots_ = SlotsEach;
    Route.Connections_ = SlotsEach;
    Routes_.push_back(Route);
  }
  Control_->Reply_.GrantTtlMs_ = 3000;
  setRoutes(Routes_);
  setBundle(1);
  restartEntry();
}

void EntryHarness::setRoutes(std::vector<wire::Route> Routes) {
  Routes_ = std::move(Routes);
  Control_->Reply_.Routes_ = Routes_;
  ++Control_->Reply_.RoutesVersion_;
}

void EntryHarness::setBundle(std::uint64_t Version,
                             const std::string &ServiceExtra,
                             const std::string &Extra) {
  wire::SignedBundle Signed;
  Signed.Version_ = BundleVersion(Version);
  const std::string Key(64, '1');
  Signed.Text_ =
      R"({"version":)" + std::to_string(Version) + R"(,"parentVersion":)" +
      std::to_string(Version - 1) + R"(,"parentDigest":")" +
      (Version == 1 ? "" : std::string(64, 'a')) +
      R"(","note":"n","signOffsNeeded":1,"operators":[{"operator":"o",)" +
      R"("publicKey":")" +
      "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a" +
      R"("}],"services":[{"service":"booking")" + ServiceExtra + "}]" + Extra +
      "}";
  Signed.Digest_ = fleet::computeDigest(Signed.Text_);
  Control_->Reply_.Bundle_ = Signed;
  Control_->Reply_.InForce_ = Signed.Version_;
}

void EntryHarness::restartEntry() {
  if (Entry_)
    PreviousEntries_.push_back(std::move(Entry_));
  EntryIdentity Identity{EntryId("e1"), DataCentreId("dc1"), "127.0.0.1:1",
                         ++Incarnation_};
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Controls = {
      {DataCentreId("dc1"), Control_}};
  if (RemoteKnown_)
    Controls[DataCentreId("far")] = nullptr;
  Entry_ = std::make_unique<Entry>(EntryDependencies{
      Identity, Controls, Backend_, Timers_, Clock_,
      [this] { return Random_ = Random_ * 6364136223846793005ULL + 1; },
      Metrics_});
  Entry_->start();
  advance(milliseconds(5));
}

std::shared_ptr<EntryHarness::Call>
EntryHarness::call(const std::string &Body,
                   std::vector<net::HttpHeader> Headers,
                   const std::string &Method, const std::string &Path) {
  auto Result = std::make_shared<Call>();
  Result->Body_ = Body;
  Result->At_ = Clock_.now();
  net::HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Body_ = Body;
  Request.Headers_ = std::move(Headers);
  Entry_->handle(std::move(Request), [this, Result](net::HttpResponse Got) {
    Result->Answers_.push_back({std::move(Got), Clock_.now()});
  });
  return Result;
}
