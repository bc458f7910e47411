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
static constexpr Duration ForwardTimeout = std::chrono::seconds(25);
static constexpr Duration ChangeTimeout = std::chrono::seconds(20);
static constexpr Duration QueryTimeout = std::chrono::seconds(2);
static constexpr Duration RetryDelay = std::chrono::milliseconds(200);
/// Calls with this prefix were forwarded by another control process and are not
/// forwarded again.
static constexpr std::string_view ForwardedPrefix = "/passed-on";

/// A membership change in progress.
struct MemberRoutes::MembershipChange {
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
  Id.Name_ = Fields.readString("name", true, MaxNameBytes);
  Id.Incarnation_ = static_cast<std::uint64_t>(
      Fields.readInteger("incarnation", 0, 0, INT64_MAX));
  if (const Outcome<void> Checked = Fields.finish(); !Checked)
    return Checked.as_failure();
  return Id;
}

static bool isMember(const Replica &Group, const MemberId &Id) {
  const ReplicaStatus Status = Group.getStatus();
  return std::any_of(
      Status.Members_.begin(), Status.Members_.end(),
      [&Id](const Member &Existing) { return Existing.Id_ == Id; });
}

/// Returns a member with the name of Id but another incarnation, if there is
/// one.
static std::optional<MemberId> findOtherIncarnation(const Replica &Group,
                                                    const MemberId &Id) {
  for (const Member &Existing : Group.getStatus().Members_)
    if (Existing.Id_.Name_ == Id.Name_ && Existing.Id_ != Id)
      return Existing.Id_;
  return std::nullopt;
}

/// Returns the highest incarnation under which a member of that name without a
/// log waits to join; 0 if there is none.
static std::uint64_t findWaitingIncarnation(const Replica &Group,
                                            const std::string &Name) {
  std::uint64_t Newest = 0;
  for (const MemberId &Id : Group.getStatus().JoinRequests_)
    if (Id.Name_ == Name)
      Newest = std::max(Newest, Id.Incarnation_);
  return Newest;
}

/// Returns a control process's incarnation in a group from its list of members;
/// 0 if the list does not contain it.
static std::uint64_t parseIncarnation(const std::string &Listed,
                                      const std::string &Group) {
  const Json Parsed = Json::parse(Listed, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("groups"))
    return 0;
  for (const Json &GroupJson : Parsed["groups"])
    if (GroupJson.value("group", "") == Group && GroupJson.contains("self"))
      return GroupJson["self"].value("incarnation", std::uint64_t(0));
  return 0;
}

static bool isRetryable(const Error &Existing) {
  return Existing.Code_ == ErrorCode::Unavailable ||
         Existing.Code_ == ErrorCode::Timeout ||
         Existing.Code_ == ErrorCode::Conflict;
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
                         ChangeHandler Handler) {
  const std::string &Name = Call.PathParams_.front();
  const auto It = std::find_if(
      Groups_.begin(), Groups_.end(),
      [&Name](const GroupHandle &Handle) { return Handle.Group_ == Name; });
  if (It == Groups_.end())
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound,
                    "this data centre has no member in group " + Name +
                        "; ask an entry of the data centre that does")));
  Outcome<MemberId> Id = parseMember(Call.Call_.Body_);
  if (!Id)
    return Done(makeErrorAnswer(Id.error()));
  const ReplicaStatus Status = It->Replica_->getStatus();
  if (!Status.IsLeader_)
    return forward(Call, Status.LeaderName_, std::move(Done));
  (this->*Handler)(std::make_shared<MembershipChange>(
      MembershipChange{Name, It->Replica_, std::move(Id.value()),
                       Time_.now() + ChangeTimeout, std::move(Done)}));
}

void MemberRoutes::forward(const RoutedCall &Call, const std::string &Leader,
                           OperatorDone Done) {
  const bool AlreadyForwarded = Call.Call_.Path_.starts_with(ForwardedPrefix);
  if (Leader.empty() || AlreadyForwarded)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::Unavailable,
                    "the group has no leader at the moment; try again")));
  wire::OperatorCall Forwarded = Call.Call_;
  Forwarded.Path_ = std::string(ForwardedPrefix) + Forwarded.Path_;
  Peers_.request(
      Leader, Forwarded, ForwardTimeout,
      [Done = std::move(Done)](Outcome<wire::OperatorAnswer> Answer) {
        Done(Answer ? Answer.value() : makeErrorAnswer(Answer.error()));
      });
}

void MemberRoutes::runAdd(std::shared_ptr<MembershipChange> Pending) {
  Pending->Group_->addLearner(Pending->Id_,
                              [this, Pending](Outcome<void> Result) {
                                finish(Pending, std::move(Result));
                              });
}

void MemberRoutes::runPromote(std::shared_ptr<MembershipChange> Pending) {
  Pending->Group_->promote(Pending->Id_, [this, Pending](Outcome<void> Result) {
    finish(Pending, std::move(Result));
  });
}

void MemberRoutes::runRemove(std::shared_ptr<MembershipChange> Pending) {
  Pending->Group_->remove(Pending->Id_, [this, Pending](Outcome<void> Result) {
    finish(Pending, std::move(Result));
  });
}

void MemberRoutes::runReplace(std::shared_ptr<MembershipChange> Pending) {
  if (Pending->Id_.Incarnation_ == 0)
    Pending->Id_.Incarnation_ =
        findWaitingIncarnation(*Pending->Group_, Pending->Id_.Name_);
  if (Pending->Id_.Incarnation_ != 0)
    return removeOtherIncarnations(std::move(Pending));
  const wire::OperatorCall Request{"GET", "/passed-on/members", "", ""};
  Peers_.request(
      Pending->Id_.Name_, Request, QueryTimeout,
      [this, Pending](Outcome<wire::OperatorAnswer> Answer) {
        if (!Answer)
          return finish(Pending, std::move(Answer).as_failure());
        Pending->Id_.Incarnation_ =
            parseIncarnation(Answer.value().Body_, Pending->GroupName_);
        if (Pending->Id_.Incarnation_ == 0)
          return finish(Pending,
                        fail(ErrorCode::Unavailable,
                             Pending->Id_.Name_ + " did not report its "
                                                  "incarnation; specify it"));
        Timers_.post([this, Pending] { removeOtherIncarnations(Pending); });
      });
}

// A replacement removes the old member first: that member is lost anyway, and
// without it the remaining voters need one vote less. The new member gets a
// vote only after it holds the log.
void MemberRoutes::removeOtherIncarnations(
    std::shared_ptr<MembershipChange> Pending) {
  const std::optional<MemberId> Other =
      findOtherIncarnation(*Pending->Group_, Pending->Id_);
  if (!Other)
    return addNewIncarnation(std::move(Pending));
  if (Other->Incarnation_ > Pending->Id_.Incarnation_)
    return finish(Pending,
                  fail(ErrorCode::Conflict,
                       "incarnation " + std::to_string(Other->Incarnation_) +
                           " is already a member; omit the "
                           "incarnation to use the newest one"));
  Pending->Group_->remove(*Other, [this, Pending](Outcome<void> Result) {
    if (Result || Result.error().Code_ == ErrorCode::NotFound)
      return Timers_.post(
          [this, Pending] { removeOtherIncarnations(Pending); });
    finish(Pending, std::move(Result));
  });
}

void MemberRoutes::addNewIncarnation(
    std::shared_ptr<MembershipChange> Pending) {
  if (isMember(*Pending->Group_, Pending->Id_))
    return promoteNewIncarnation(std::move(Pending));
  Pending->Group_->addLearner(Pending->Id_, [this,
                                             Pending](Outcome<void> Result) {
    if (Result || Result.error().Code_ == ErrorCode::AlreadyExists)
      return Timers_.post([this, Pending] { promoteNewIncarnation(Pending); });
    finish(Pending, std::move(Result));
  });
}

void MemberRoutes::promoteNewIncarnation(
    std::shared_ptr<MembershipChange> Pending) {
  Pending->Group_->promote(Pending->Id_, [this, Pending](Outcome<void> Result) {
    const bool Retry = !Result && isRetryable(Result.error()) &&
                       Time_.now() + RetryDelay < Pending->Deadline_;
    if (!Retry)
      return finish(Pending, std::move(Result));
    Timers_.postAfter(RetryDelay,
                      [this, Pending] { promoteNewIncarnation(Pending); });
  });
}

void MemberRoutes::finish(const std::shared_ptr<MembershipChange> &Pending,
                          Outcome<void> Result) {
  if (!Result && Result.error().Code_ != ErrorCode::AlreadyExists)
    return Pending->Done_(makeErrorAnswer(Result.error()));
  Json Members = Json::array();
  for (const Member &Existing : Pending->Group_->getStatus().Members_)
    Members.push_back(makeMemberJson(Existing));
  Pending->Done_({200, renderJson({{"members", std::move(Members)}})});
}
