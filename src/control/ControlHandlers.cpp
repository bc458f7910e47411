#include "control/ControlHandlers.h"

#include "control/AnnouncementCheck.h"
#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/fleet/FleetCodec.h"

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::CommandResult;
using net::LinkReply;
using replication::Applied;
using wire::MessageKind;

const ControlHandlers::Entry ControlHandlers::Table[] = {
    {MessageKind::Replication, &ControlHandlers::onReplication},
    {MessageKind::EntryReport, &ControlHandlers::onEntryReport},
    {MessageKind::Announcement, &ControlHandlers::onAnnouncement},
    {MessageKind::AnnouncementBatch, &ControlHandlers::onAnnouncementBatch},
    {MessageKind::BeginRequest, &ControlHandlers::onBegin},
    {MessageKind::FinishRequest, &ControlHandlers::onFinish},
    {MessageKind::AbandonRequest, &ControlHandlers::onAbandon},
    {MessageKind::OperatorCall, &ControlHandlers::onOperatorCall},
    {MessageKind::FleetCommand, &ControlHandlers::onFleetCommand},
    {MessageKind::AssignmentReport, &ControlHandlers::onAssignmentReport}};

static constexpr std::string_view PassedOn = "/passed-on/";

/// The code with that stable name; Internal for an unknown one.
static ErrorCode findCode(std::string_view Name) {
  constexpr int Last = static_cast<int>(ErrorCode::Internal);
  for (int Code = 0; Code <= Last; ++Code)
    if (getErrorName(static_cast<ErrorCode>(Code)) == Name)
      return static_cast<ErrorCode>(Code);
  return ErrorCode::Internal;
}

/// Encodes a reply, or passes its error on.
template <class Message>
static void sendReply(const LinkReply &Reply, const Outcome<Message> &Value) {
  if (!Value)
    return Reply(Value.as_failure());
  Reply(wire::encode(Value.value()));
}

ControlHandlers::ControlHandlers(const HandlerParts &Parts) : Parts_(Parts) {}

LinkReply ControlHandlers::track(LinkReply Reply) {
  ++*InProgress_;
  return [Count = InProgress_, &TurnedAway = Parts_.TurnedAway_,
          Reply = std::move(Reply)](Outcome<std::string> Answer) {
    if (!Answer && Answer.error().Code_ == ErrorCode::NotLeader)
      TurnedAway.add();
    Reply(std::move(Answer));
    --*Count;
  };
}

void ControlHandlers::handle(MessageKind Kind, std::string Body,
                             LinkReply Reply) {
  if (Kind == MessageKind::Replication)
    return onReplication(Body, std::move(Reply));
  for (const Entry &Known : Table)
    if (Known.Kind_ == Kind)
      return (this->*Known.Handle_)(Body, track(std::move(Reply)));
  Parts_.Malformed_.add();
  Reply(fail(ErrorCode::VersionMismatch,
             "this control knows no message of kind " +
                 std::to_string(static_cast<unsigned>(Kind))));
}

template <class Message>
std::optional<Message> ControlHandlers::read(const std::string &Body,
                                             const LinkReply &Reply) {
  Outcome<Message> Value = wire::decode<Message>(Body);
  if (Value)
    return std::move(Value.value());
  Parts_.Malformed_.add();
  Reply(Value.as_failure());
  return std::nullopt;
}

void ControlHandlers::onReplication(const std::string &Body, LinkReply Reply) {
  std::optional<wire::ReplicationMessage> Message =
      read<wire::ReplicationMessage>(Body, Reply);
  if (!Message)
    return;
  if (Message->Group_ == Parts_.DataCentre_.value())
    Parts_.DataCentreGroup_.receive(std::move(Message->Payload_));
  else if (Message->Group_ == "fleet")
    Parts_.FleetGroup_.receive(std::move(Message->Payload_));
  else
    Parts_.Malformed_.add();
}

void ControlHandlers::onEntryReport(const std::string &Body, LinkReply Reply) {
  std::optional<wire::EntryReport> Report =
      read<wire::EntryReport>(Body, Reply);
  if (!Report)
    return;
  Parts_.Duties_.onEntryReport(
      std::move(*Report),
      [Reply = std::move(Reply)](const Outcome<wire::EntryReportReply> &Got) {
        sendReply(Reply, Got);
      });
}

void ControlHandlers::onAnnouncement(const std::string &Body, LinkReply Reply) {
  std::optional<wire::Announcement> Value =
      read<wire::Announcement>(Body, Reply);
  if (!Value)
    return;
  if (Outcome<void> Checked = checkAnnouncement(*Value, Parts_.DataCentre_);
      !Checked)
    return Reply(Checked.as_failure());
  Parts_.Duties_.onAnnouncement(
      std::move(*Value),
      [Reply = std::move(Reply)](const Outcome<wire::AnnouncementReply> &Got) {
        sendReply(Reply, Got);
      });
}

void ControlHandlers::onAnnouncementBatch(const std::string &Body,
                                          LinkReply Reply) {
  std::optional<wire::AnnouncementBatch> Batch =
      read<wire::AnnouncementBatch>(Body, Reply);
  if (!Batch)
    return;
  Parts_.Duties_.onAnnouncementBatch(
      std::move(*Batch), [Reply = std::move(Reply)](
                             const Outcome<wire::AnnouncementBatchReply> &Got) {
        sendReply(Reply, Got);
      });
}

template <class MakeReply>
void ControlHandlers::commitRecord(const datacentre::Command &Value,
                                   LinkReply Reply, MakeReply Make) {
  Parts_.DataCentreGroup_.propose(
      datacentre::encodeCommand(Value),
      [Reply = std::move(Reply), Make](Outcome<Applied> Done) {
        if (!Done)
          return Reply(std::move(Done).as_failure());
        const Outcome<CommandResult> Result =
            datacentre::decodeResult(Done.value().Result_);
        if (!Result)
          return Reply(Result.as_failure());
        Make(Result.value(), Reply);
      });
}

static std::uint64_t readWall(const Clock &Time) {
  return static_cast<std::uint64_t>(Time.wallNow().count());
}

void ControlHandlers::onBegin(const std::string &Body, LinkReply Reply) {
  std::optional<wire::BeginRequest> Request =
      read<wire::BeginRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::BeginRecord{std::move(*Request), readWall(Parts_.Time_)},
      std::move(Reply), [](const CommandResult &Result, const LinkReply &To) {
        if (!Result.Error_.empty())
          return To(fail(findCode(Result.Error_), Result.Message_));
        To(wire::encode(Result.Begin_));
      });
}

/// A refusal is an answer here: another attempt or outcome stands.
static void sendRecorded(const CommandResult &Result, const LinkReply &To) {
  To(wire::encode(wire::RecordReply{Result.Error_.empty()}));
}

void ControlHandlers::onFinish(const std::string &Body, LinkReply Reply) {
  std::optional<wire::FinishRequest> Request =
      read<wire::FinishRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::FinishRecord{std::move(*Request), readWall(Parts_.Time_)},
      std::move(Reply), &sendRecorded);
}

void ControlHandlers::onAbandon(const std::string &Body, LinkReply Reply) {
  std::optional<wire::AbandonRequest> Request =
      read<wire::AbandonRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::AbandonRecord{std::move(*Request), readWall(Parts_.Time_)},
      std::move(Reply), &sendRecorded);
}

void ControlHandlers::onOperatorCall(const std::string &Body, LinkReply Reply) {
  std::optional<wire::OperatorCall> Call =
      read<wire::OperatorCall>(Body, Reply);
  if (!Call)
    return;
  // While nobody leads, any control shows what it can.
  const std::string Leader = Parts_.Duties_.findLeader();
  const bool Elsewhere = !Leader.empty() && !Parts_.Duties_.isLeading();
  if (Elsewhere && !Call->Path_.starts_with(PassedOn))
    return Reply(fail(ErrorCode::NotLeader, Leader));
  Parts_.Operators_.handle(
      *Call, [Reply = std::move(Reply)](const wire::OperatorAnswer &Answer) {
        Reply(wire::encode(Answer));
      });
}

void ControlHandlers::onFleetCommand(const std::string &Body, LinkReply Reply) {
  std::optional<wire::FleetCommand> Command =
      read<wire::FleetCommand>(Body, Reply);
  if (!Command)
    return;
  Parts_.FleetGroup_.propose(std::move(Command->Command_),
                             [Reply = std::move(Reply)](Outcome<Applied> Done) {
                               if (!Done)
                                 return Reply(std::move(Done).as_failure());
                               Reply(wire::encode(wire::FleetCommandReply{
                                   std::move(Done.value().Result_)}));
                             });
}

void ControlHandlers::onAssignmentReport(const std::string &Body,
                                         LinkReply Reply) {
  Outcome<fleet::AssignmentReport> Report = fleet::decodeReport(Body);
  if (!Report) {
    Parts_.Malformed_.add();
    return Reply(Report.as_failure());
  }
  Parts_.Fleet_.onReport(
      std::move(Report.value()),
      [Reply = std::move(Reply)](const Outcome<fleet::AssignmentReply> &Got) {
        if (!Got)
          return Reply(Got.as_failure());
        Reply(fleet::encodeReply(Got.value()));
      });
}
