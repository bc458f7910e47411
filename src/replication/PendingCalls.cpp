#include "replication/PendingCalls.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

static auto failWith(const Error &Why) {
  return boost::outcome_v2::failure(Why);
}

std::uint64_t PendingCalls::addProposal(AppliedCallback Done) {
  Proposals_[++LastId_] = std::move(Done);
  return LastId_;
}

std::uint64_t PendingCalls::addOther(DoneCallback Done) {
  Others_[++LastId_] = std::move(Done);
  return LastId_;
}

void PendingCalls::accept(const Accepted &Place) {
  auto Node = Proposals_.extract(Place.Id_);
  if (!Node.empty())
    Placed_[Place.Index_] = {Place.Term_, std::move(Node.mapped())};
}

void PendingCalls::finish(const Finished &End, std::uint64_t AppliedIndex) {
  if (auto Node = Proposals_.extract(End.Id_); !Node.empty()) {
    Node.mapped()(failWith(*End.Error_));
    return;
  }
  auto Node = Others_.extract(End.Id_);
  if (Node.empty())
    return;
  if (End.Error_)
    Node.mapped()(failWith(*End.Error_));
  else if (End.ReadIndex_ > AppliedIndex)
    Reads_.emplace(End.ReadIndex_, std::move(Node.mapped()));
  else
    Node.mapped()(succeed());
}

void PendingCalls::apply(const LogEntry &Entry, std::string Result) {
  auto Node = Placed_.extract(Entry.Index_);
  if (Node.empty())
    return;
  if (Node.mapped().Term_ == Entry.Term_)
    Node.mapped().Done_(Applied{Entry.Term_, Entry.Index_, std::move(Result)});
  else
    Node.mapped().Done_(fail(ErrorCode::NotLeader,
                             "another leader's entry replaced the proposal"));
}

void PendingCalls::completeReads(std::uint64_t Index) {
  while (!Reads_.empty() && Reads_.begin()->first <= Index) {
    auto Node = Reads_.extract(Reads_.begin());
    Node.mapped()(succeed());
  }
}

void PendingCalls::failAppended(const Error &Why) {
  for (auto &[Index, Call] : std::exchange(Placed_, {}))
    Call.Done_(failWith(Why));
}

void PendingCalls::failAll(const Error &Why) {
  failAppended(Why);
  for (auto &[Id, Done] : std::exchange(Proposals_, {}))
    Done(failWith(Why));
  for (auto &[Id, Done] : std::exchange(Others_, {}))
    Done(failWith(Why));
  for (auto &[Index, Done] : std::exchange(Reads_, {}))
    Done(failWith(Why));
}
