#include "jobservice/OperatorCalls.h"

#include "tulipweir/jobs/Commands.h"

#include <utility>
#include <variant>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// An operator calls another control after a second without an answer.
static constexpr Duration PassedOnTimeout = std::chrono::milliseconds(900);

template <class Value, class Function>
void OperatorCalls::runOnLeader(Done<Value> Reply, Function Work) {
  Run_([Reply = std::move(Reply),
        Work = std::move(Work)](jobs::JobLeader *Leader) {
    if (!Leader)
      return Reply(fail(ErrorCode::Unavailable,
                        "the replica is closed after a disk failure"));
    Work(*Leader, Reply);
  });
}

void OperatorCalls::orderHere(const jobs::Command &Order, Done<void> Reply) {
  runOnLeader<void>(std::move(Reply), [Order](jobs::JobLeader &Leader,
                                              const Done<void> &Callback) {
    if (const auto *Put = std::get_if<jobs::PutConfiguration>(&Order))
      return Leader.putConfiguration(Put->Configuration_, Callback);
    if (const auto *Wave = std::get_if<jobs::StartWave>(&Order))
      return Leader.startWave(Wave->Spec_, Callback);
    if (const auto *Change = std::get_if<jobs::EvacuateDataCentre>(&Order))
      return Leader.evacuate(*Change, Callback);
    Callback(fail(ErrorCode::InvalidArgument, "this is no order"));
  });
}

void OperatorCalls::readHere(Done<jobs::Configuration> Reply) {
  runOnLeader<jobs::Configuration>(
      std::move(Reply),
      [](jobs::JobLeader &Leader, const Done<jobs::Configuration> &Callback) {
        Leader.readConfiguration(Callback);
      });
}

void OperatorCalls::showWave(std::uint64_t Wave, Done<jobs::WaveRecord> Reply) {
  runOnLeader<jobs::WaveRecord>(
      std::move(Reply),
      [Wave](jobs::JobLeader &Leader, const Done<jobs::WaveRecord> &Callback) {
        Leader.showWave(Wave, Callback);
      });
}

void OperatorCalls::callLeader(const Error &Failure, wire::MessageKind Kind,
                               std::string Body, Done<std::string> Reply) {
  const bool IsNamed =
      Failure.Code_ == ErrorCode::NotLeader && !Failure.Message_.empty();
  if (!IsNamed)
    return Reply(Failure);
  Links_.call(
      Failure.Message_, Kind, std::move(Body), PassedOnTimeout,
      [Failure, Reply = std::move(Reply)](const Outcome<std::string> &Answer) {
        const bool IsUnsupported =
            !Answer && Answer.error().Code_ == ErrorCode::InvalidArgument;
        if (IsUnsupported)
          return Reply(Failure);
        Reply(Answer);
      });
}

void OperatorCalls::order(const jobs::Command &Order, Done<void> Reply) {
  orderHere(Order, [this, Hold = Owner_.lock(), Order,
                    Reply = std::move(Reply)](const Outcome<void> &Result) {
    if (Result || Result.error().Code_ != ErrorCode::NotLeader)
      return Reply(Result);
    callLeader(Result.error(), wire::MessageKind::ClusterOrder,
               jobs::encodeCommand(Order),
               [Reply](const Outcome<std::string> &Answer) {
                 if (!Answer)
                   return Reply(Answer.error());
                 Reply(succeed());
               });
  });
}

/// Returns the configuration in the leader's answer.
static Outcome<jobs::Configuration>
readAnswer(const Outcome<std::string> &Answer) {
  if (!Answer)
    return Answer.error();
  const Outcome<jobs::Command> Read = jobs::decodeCommand(Answer.value());
  const auto *Put =
      Read ? std::get_if<jobs::PutConfiguration>(&Read.value()) : nullptr;
  if (!Put)
    return fail(ErrorCode::Corrupt, "the leader's answer is no configuration");
  return Put->Configuration_;
}

void OperatorCalls::readConfiguration(Done<jobs::Configuration> Reply) {
  readHere([this, Hold = Owner_.lock(), Reply = std::move(Reply)](
               const Outcome<jobs::Configuration> &Current) {
    if (Current || Current.error().Code_ != ErrorCode::NotLeader)
      return Reply(Current);
    callLeader(Current.error(), wire::MessageKind::ConfigurationQuery, "",
               [Reply](const Outcome<std::string> &Answer) {
                 Reply(readAnswer(Answer));
               });
  });
}

void OperatorCalls::handleOrder(const std::string &Body,
                                const net::LinkReply &Reply) {
  Outcome<jobs::Command> Order = jobs::decodeCommand(Body);
  if (!Order)
    return Reply(std::move(Order).as_failure());
  orderHere(Order.value(), [Reply](const Outcome<void> &Result) {
    if (!Result)
      return Reply(Result.error());
    Reply(std::string());
  });
}

void OperatorCalls::handleConfigurationQuery(const net::LinkReply &Reply) {
  readHere([Reply](const Outcome<jobs::Configuration> &Current) {
    if (!Current)
      return Reply(Current.error());
    Reply(jobs::encodeCommand(jobs::PutConfiguration{Current.value()}));
  });
}
