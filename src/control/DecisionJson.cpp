#include "control/DecisionJson.h"

using namespace tulipweir;
using namespace tulipweir::control;

static Json makeCandidateJson(const decide::Candidate &Value) {
  return {{"server", Value.Server_.value()},
          {"allowed", Value.Allowed_},
          {"score", Value.Score_},
          {"note", Value.Note_}};
}

Json control::makeDecisionJson(const decide::Decision &Value) {
  Json Result = {{"kind", decide::getKindName(Value.Kind_)},
                 {"reason", decide::getReasonName(Value.Reason_)},
                 {"text", Value.Text_}};
  if (Value.Task_) {
    Result["job"] = Value.Task_->Job_.value();
    Result["task"] = Value.Task_->Index_;
    Result["attempt"] = Value.Attempt_.value();
  }
  if (Value.Server_)
    Result["server"] = Value.Server_->value();
  if (Value.Kind_ == decide::DecisionKind::Place ||
      Value.Kind_ == decide::DecisionKind::Reserve)
    Result["reservation"] = makeResourcesJson(Value.Reservation_);
  if (Value.Kind_ == decide::DecisionKind::Throttle)
    Result["throttlePercent"] = Value.ThrottlePercent_;
  Json Candidates = Json::array();
  for (const decide::Candidate &Candidate : Value.Candidates_)
    Candidates.push_back(makeCandidateJson(Candidate));
  Result["candidates"] = std::move(Candidates);
  return Result;
}

Json control::makeStreamJson(const DecisionStream::Batch &Batch,
                             std::uint64_t LastSequence) {
  Json Decisions = Json::array();
  for (const StreamedDecision &Entry : Batch) {
    Json DecisionJson = makeDecisionJson(Entry.Decision_);
    DecisionJson["sequence"] = Entry.Sequence_;
    DecisionJson["wallMs"] = Entry.At_.count();
    Decisions.push_back(std::move(DecisionJson));
  }
  return {{"decisions", std::move(Decisions)}, {"lastSequence", LastSequence}};
}
