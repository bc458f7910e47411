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

static constexpr std::string_view ForwardedPrefix = "/passed-on/";

/// Returns the code with that stable name; Internal for an unknown name.
static ErrorCode parseErrorCode(std::string_view Name) {
  constexpr int Last = static_cast<int>(ErrorCode::Internal);
  for (int Code = 0; Code <= Last; ++Code)
    if (getErrorName(static_cast<ErrorCode>(Code)) == Name)
      return static_cast<ErrorCode>(Code);
  return ErrorCode::Internal;
}

/// Encodes a reply or forwards its error.
template <class Message>
static void sendReply(const LinkReply &Reply, const Outcome<Message> &Result) {
  if (!Result)
    return Reply(Result.as_failure());
  Reply(wire::encode(Result.value()));
}

ControlHandlers::ControlHandlers(const HandlerParts &Parts) : Parts_(Parts) {}

LinkReply ControlHandlers::trackCall(LinkReply Reply) {
  ++*InProgress_;
  return [Count = InProgress_, &NotLeaderReplies = Parts_.NotLeaderReplies_,
          Reply = std::move(Reply)](Outcome<std::string> Answer) {
    if (!Answer && Answer.error().Code_ == ErrorCode::NotLeader)
      NotLeaderReplies.add();
    Reply(std::move(Answer));
    --*Count;
  };
}

void ControlHandlers::handle(MessageKind Kind, std::string Body,
                             LinkReply Reply) {
  if (Kind == MessageKind::Replication)
    return onReplication(Body, std::move(Reply));
  for (const Entry &Handler : Table)
    if (Handler.Kind_ == Kind)
      return (this->*Handler.Handle_)(Body, trackCall(std::move(Reply)));
  Parts_.Malformed_.add();
  Reply(fail(ErrorCode::VersionMismatch,
             "unknown message kind " +
                 std::to_string(static_cast<unsigned>(Kind))));
}

template <class Message>
std::optional<Message> ControlHandlers::decodeOrReply(const std::string &Body,
                                                      const LinkReply &Reply) {
  Outcome<Message> Decoded = wire::decode<Message>(Body);
  if (Decoded)
    return std::move(Decoded.value());
  Parts_.Malformed_.add();
  Reply(Decoded.as_failure());
  return std::nullopt;
}

void ControlHandlers::onReplication(const std::string &Body, LinkReply Reply) {
  std::optional<wire::ReplicationMessage> Message =
      decodeOrReply<wire::ReplicationMessage>(Body, Reply);
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
      decodeOrReply<wire::EntryReport>(Body, Reply);
  if (!Report)
    return;
  Parts_.DataCentreService_.onEntryReport(
      std::move(*Report), [Reply = std::move(Reply)](
                              const Outcome<wire::EntryReportReply> &Answer) {
        sendReply(Reply, Answer);
      });
}

void ControlHandlers::onAnnouncement(const std::string &Body, LinkReply Reply) {
  std::optional<wire::Announcement> Announced =
      decodeOrReply<wire::Announcement>(Body, Reply);
  if (!Announced)
    return;
  if (Outcome<void> Checked = checkAnnouncement(*Announced, Parts_.DataCentre_);
      !Checked)
    return Reply(Checked.as_failure());
  Parts_.DataCentreService_.onAnnouncement(
      std::move(*Announced),
      [Reply =
           std::move(Reply)](const Outcome<wire::AnnouncementReply> &Answer) {
        sendReply(Reply, Answer);
      });
}

void ControlHandlers::onAnnouncementBatch(const std::string &Body,
                                          LinkReply Reply) {
  std::optional<wire::AnnouncementBatch> Batch =
      decodeOrReply<wire::AnnouncementBatch>(Body, Reply);
  if (!Batch)
    return;
  Parts_.DataCentreService_.onAnnouncementBatch(
      std::move(*Batch),
      [Reply = std::move(Reply)](
          const Outcome<wire::AnnouncementBatchReply> &Answer) {
        sendReply(Reply, Answer);
      });
}

template <class MakeReply>
void ControlHandlers::commitRecord(const datacentre::Command &Cmd,
                                   LinkReply Reply, MakeReply Make) {
  Parts_.DataCentreGroup_.propose(
      datacentre::encodeCommand(Cmd),
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

static std::uint64_t getWallMs(const Clock &Time) {
  return static_cast<std::uint64_t>(Time.wallNow().count());
}

void ControlHandlers::onBegin(const std::string &Body, LinkReply Reply) {
  std::optional<wire::BeginRequest> Request =
      decodeOrReply<wire::BeginRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::BeginRecord{std::move(*Request), getWallMs(Parts_.Time_)},
      std::move(Reply), [](const CommandResult &Result, const LinkReply &To) {
        if (!Result.Error_.empty())
          return To(fail(parseErrorCode(Result.Error_), Result.Message_));
        To(wire::encode(Result.Begin_));
      });
}

/// A rejected record is a regular reply: another attempt or outcome was
/// recorded first.
static void sendRecordReply(const CommandResult &Result, const LinkReply &To) {
  To(wire::encode(wire::RecordReply{Result.Error_.empty()}));
}

void ControlHandlers::onFinish(const std::string &Body, LinkReply Reply) {
  std::optional<wire::FinishRequest> Request =
      decodeOrReply<wire::FinishRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::FinishRecord{std::move(*Request), getWallMs(Parts_.Time_)},
      std::move(Reply), &sendRecordReply);
}

void ControlHandlers::onAbandon(const std::string &Body, LinkReply Reply) {
  std::optional<wire::AbandonRequest> Request =
      decodeOrReply<wire::AbandonRequest>(Body, Reply);
  if (!Request)
    return;
  commitRecord(
      datacentre::AbandonRecord{std::move(*Request), getWallMs(Parts_.Time_)},
      std::move(Reply), &sendRecordReply);
}

void ControlHandlers::onOperatorCall(const std::string &Body, LinkReply Reply) {
  std::optional<wire::OperatorCall> Call =
      decodeOrReply<wire::OperatorCall>(Body, Reply);
  if (!Call)
    return;
  // While there is no leader, any control process answers with the state it
  // has.
  const std::string Leader = Parts_.DataCentreService_.findLeader();
  const bool Elsewhere =
      !Leader.empty() && !Parts_.DataCentreService_.isLeading();
  if (Elsewhere && !Call->Path_.starts_with(ForwardedPrefix))
    return Reply(fail(ErrorCode::NotLeader, Leader));
  Parts_.Operators_.handle(
      *Call, [Reply = std::move(Reply)](const wire::OperatorAnswer &Answer) {
        Reply(wire::encode(Answer));
      });
}

void ControlHandlers::onFleetCommand(const std::string &Body, LinkReply Reply) {
  std::optional<wire::FleetCommand> Command =
      decodeOrReply<wire::FleetCommand>(Body, Reply);
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
  Parts_.FleetService_.onReport(
      std::move(Report.value()),
      [Reply =
           std::move(Reply)](const Outcome<fleet::AssignmentReply> &Answer) {
        if (!Answer)
          return Reply(Answer.as_failure());
        Reply(fleet::encodeReply(Answer.value()));
      });
}
