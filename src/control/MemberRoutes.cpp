#include "control/MemberRoutes.h"

#include "control/GroupJson.h"
#include "control/OperatorErrors.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;
using replication::Member;
using replication::MemberId;
using replication::Replica;
using replication::ReplicaStatus;

static constexpr std::size_t MaxNameBytes = 128;
static constexpr Duration PassOnTimeout = std::chrono::seconds(25);
static constexpr Duration ChangeTimeout = std::chrono::seconds(20);
static constexpr Duration AskTimeout = std::chrono::seconds(2);
static constexpr Duration RetryPause = std::chrono::milliseconds(200);
/// Calls below this prefix came from another control and go no further.
static constexpr std::string_view PassedOn = "/passed-on";

/// One change of members while it runs.
struct MemberRoutes::Change {
  std::string GroupName_;
  Replica *Group_ = nullptr;
  MemberId Id_;
  TimePoint Deadline_;
  OperatorDone Done_;
};

const RouteEntry<MemberRoutes> MemberRoutes::Table[] = {
    {"GET", "/members", &MemberRoutes::list},
    {"GET", "/passed-on/members", &MemberRoutes::list},
    {"POST", "/members/{}/add", &MemberRoutes::add},
    {"POST", "/members/{}/promote", &MemberRoutes::promote},
    {"POST", "/members/{}/remove", &MemberRoutes::remove},
    {"POST", "/members/{}/replace", &MemberRoutes::replace},
    {"POST", "/passed-on/members/{}/add", &MemberRoutes::add},
    {"POST", "/passed-on/members/{}/promote", &MemberRoutes::promote},
    {"POST", "/passed-on/members/{}/remove", &MemberRoutes::remove},
    {"POST", "/passed-on/members/{}/replace", &MemberRoutes::replace}};

static Outcome<MemberId> parseMember(const std::string &Body) {
  Outcome<JsonFields> Parsed = JsonFields::parse(Body);
  if (!Parsed)
    return std::move(Parsed).as_failure();
  JsonFields &Fields = Parsed.value();
  MemberId Id;
  Id.Name_ = Fields.takeText("name", true, MaxNameBytes);
  Id.Incarnation_ = static_cast<std::uint64_t>(
      Fields.takeInteger("incarnation", 0, 0, INT64_MAX));
  if (const Outcome<void> Checked = Fields.finish(); !Checked)
    return Checked.as_failure();
  return Id;
}

static bool holdsMember(const Replica &Group, const MemberId &Id) {
  const ReplicaStatus Status = Group.getStatus();
  return std::any_of(Status.Members_.begin(), Status.Members_.end(),
                     [&Id](const Member &Value) { return Value.Id_ == Id; });
}

/// A member of Id's name under another incarnation, if there is one.
static std::optional<MemberId> findOther(const Replica &Group,
                                         const MemberId &Id) {
  for (const Member &Value : Group.getStatus().Members_)
    if (Value.Id_.Name_ == Id.Name_ && Value.Id_ != Id)
      return Value.Id_;
  return std::nullopt;
}

/// The incarnation under which a member that holds nothing asked to join; 0 if
/// none of that name did.
static std::uint64_t findWaiting(const Replica &Group,
                                 const std::string &Name) {
  std::uint64_t Newest = 0;
  for (const MemberId &Id : Group.getStatus().JoinRequests_)
    if (Id.Name_ == Name)
      Newest = std::max(Newest, Id.Incarnation_);
  return Newest;
}

/// The incarnation that a control has in a group, from its list of members;
/// 0 if it does not say.
static std::uint64_t findIncarnation(const std::string &Listed,
                                     const std::string &Group) {
  const Json Parsed = Json::parse(Listed, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("groups"))
    return 0;
  for (const Json &One : Parsed["groups"])
    if (One.value("group", "") == Group && One.contains("self"))
      return One["self"].value("incarnation", std::uint64_t(0));
  return 0;
}

static bool isWorthRepeating(const Error &Value) {
  return Value.Code_ == ErrorCode::Unavailable ||
         Value.Code_ == ErrorCode::Timeout ||
         Value.Code_ == ErrorCode::Conflict;
}

MemberRoutes::MemberRoutes(std::vector<GroupHandle> Groups, PeerCaller &Peers,
                           Executor &Timers, const Clock &Time)
    : Groups_(std::move(Groups)), Peers_(Peers), Timers_(Timers), Time_(Time) {}

RouteMatch MemberRoutes::handle(const wire::OperatorCall &Call,
                                OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

void MemberRoutes::list(const RoutedCall &, OperatorDone Done) {
  Json Groups = Json::array();
  for (const GroupHandle &Handle : Groups_)
    Groups.push_back(
        makeGroupJson(Handle.Group_, Handle.Replica_->getStatus()));
  Done({200, renderJson({{"groups", std::move(Groups)}})});
}

void MemberRoutes::add(const RoutedCall &Call, OperatorDone Done) {
  start(Call, std::move(Done), &MemberRoutes::runAdd);
}

void MemberRoutes::promote(const RoutedCall &Call, OperatorDone Done) {
  start(Call, std::move(Done), &MemberRoutes::runPromote);
}

void MemberRoutes::remove(const RoutedCall &Call, OperatorDone Done) {
  start(Call, std::move(Done), &MemberRoutes::runRemove);
}

void MemberRoutes::replace(const RoutedCall &Call, OperatorDone Done) {
  start(Call, std::move(Done), &MemberRoutes::runReplace);
}

void MemberRoutes::start(const RoutedCall &Call, OperatorDone Done,
                         Action What) {
  const std::string &Name = Call.Words_.front();
  const auto Found = std::find_if(
      Groups_.begin(), Groups_.end(),
      [&Name](const GroupHandle &Handle) { return Handle.Group_ == Name; });
  if (Found == Groups_.end())
    return Done(makeErrorAnswer(Error::make(
        ErrorCode::NotFound, "this data centre takes part in no group " + Name +
                                 "; ask an entry of that one")));
  Outcome<MemberId> Id = parseMember(Call.Call_.Body_);
  if (!Id)
    return Done(makeErrorAnswer(Id.error()));
  const ReplicaStatus Status = Found->Replica_->getStatus();
  if (!Status.IsLeader_)
    return passOn(Call, Status.LeaderName_, std::move(Done));
  (this->*What)(std::make_shared<Change>(
      Change{Name, Found->Replica_, std::move(Id.value()),
             Time_.now() + ChangeTimeout, std::move(Done)}));
}

void MemberRoutes::passOn(const RoutedCall &Call, const std::string &Leader,
                          OperatorDone Done) {
  const bool Again = Call.Call_.Path_.starts_with(PassedOn);
  if (Leader.empty() || Again)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::Unavailable,
                    "the group has no leader at the moment; try again")));
  wire::OperatorCall Passed = Call.Call_;
  Passed.Path_ = std::string(PassedOn) + Passed.Path_;
  Peers_.request(Leader, Passed, PassOnTimeout,
                 [Done = std::move(Done)](Outcome<wire::OperatorAnswer> Got) {
                   Done(Got ? Got.value() : makeErrorAnswer(Got.error()));
                 });
}

void MemberRoutes::runAdd(std::shared_ptr<Change> Work) {
  Work->Group_->addLearner(Work->Id_, [this, Work](Outcome<void> Result) {
    finish(Work, std::move(Result));
  });
}

void MemberRoutes::runPromote(std::shared_ptr<Change> Work) {
  Work->Group_->promote(Work->Id_, [this, Work](Outcome<void> Result) {
    finish(Work, std::move(Result));
  });
}

void MemberRoutes::runRemove(std::shared_ptr<Change> Work) {
  Work->Group_->remove(Work->Id_, [this, Work](Outcome<void> Result) {
    finish(Work, std::move(Result));
  });
}

void MemberRoutes::runReplace(std::shared_ptr<Change> Work) {
  if (Work->Id_.Incarnation_ == 0)
    Work->Id_.Incarnation_ = findWaiting(*Work->Group_, Work->Id_.Name_);
  if (Work->Id_.Incarnation_ != 0)
    return removeOther(std::move(Work));
  const wire::OperatorCall Ask{"GET", "/passed-on/members", "", ""};
  Peers_.request(Work->Id_.Name_, Ask, AskTimeout,
                 [this, Work](Outcome<wire::OperatorAnswer> Got) {
                   if (!Got)
                     return finish(Work, std::move(Got).as_failure());
                   Work->Id_.Incarnation_ =
                       findIncarnation(Got.value().Body_, Work->GroupName_);
                   if (Work->Id_.Incarnation_ == 0)
                     return finish(Work, fail(ErrorCode::Unavailable,
                                              Work->Id_.Name_ +
                                                  " does not say its "
                                                  "incarnation; give it"));
                   Timers_.post([this, Work] { removeOther(Work); });
                 });
}

// A replacement removes first: the member is gone anyway, and with it out of
// the voters the others need one vote less. The new one votes only after it
// holds the log.
void MemberRoutes::removeOther(std::shared_ptr<Change> Work) {
  const std::optional<MemberId> Other = findOther(*Work->Group_, Work->Id_);
  if (!Other)
    return addNew(std::move(Work));
  if (Other->Incarnation_ > Work->Id_.Incarnation_)
    return finish(Work,
                  fail(ErrorCode::Conflict,
                       "incarnation " + std::to_string(Other->Incarnation_) +
                           " of it is a member already; leave the "
                           "incarnation out to replace by the newest"));
  Work->Group_->remove(*Other, [this, Work](Outcome<void> Result) {
    if (Result || Result.error().Code_ == ErrorCode::NotFound)
      return Timers_.post([this, Work] { removeOther(Work); });
    finish(Work, std::move(Result));
  });
}

void MemberRoutes::addNew(std::shared_ptr<Change> Work) {
  if (holdsMember(*Work->Group_, Work->Id_))
    return promoteNew(std::move(Work));
  Work->Group_->addLearner(Work->Id_, [this, Work](Outcome<void> Result) {
    if (Result || Result.error().Code_ == ErrorCode::AlreadyExists)
      return Timers_.post([this, Work] { promoteNew(Work); });
    finish(Work, std::move(Result));
  });
}

void MemberRoutes::promoteNew(std::shared_ptr<Change> Work) {
  Work->Group_->promote(Work->Id_, [this, Work](Outcome<void> Result) {
    const bool Again = !Result && isWorthRepeating(Result.error()) &&
                       Time_.now() + RetryPause < Work->Deadline_;
    if (!Again)
      return finish(Work, std::move(Result));
    Timers_.postAfter(RetryPause, [this, Work] { promoteNew(Work); });
  });
}

void MemberRoutes::finish(const std::shared_ptr<Change> &Work,
                          Outcome<void> Result) {
  if (!Result && Result.error().Code_ != ErrorCode::AlreadyExists)
    return Work->Done_(makeErrorAnswer(Result.error()));
  Json Members = Json::array();
  for (const Member &Value : Work->Group_->getStatus().Members_)
    Members.push_back(makeMemberJson(Value));
  Work->Done_({200, renderJson({{"members", std::move(Members)}})});
}
