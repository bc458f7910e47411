#include "control/CommandProposer.h"

#include "tulipweir/datacentre/DataCentreCodec.h"

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::CommandResult;

static Outcome<CommandResult> readResult(Outcome<replication::Applied> Result) {
  if (!Result)
    return std::move(Result).as_failure();
  return datacentre::decodeResult(Result.value().Result_);
}

CommandProposer::CommandProposer(replication::Replica &Group, Executor &Strand)
    : Group_(Group), Strand_(Strand) {}

bool CommandProposer::propose(const ProposalKey &Key,
                              const datacentre::Command &Cmd, Callback Done) {
  if (!Open_->insert(Key).second)
    return false;
  std::weak_ptr<std::set<ProposalKey>> Open = Open_;
  Group_.propose(
      datacentre::encodeCommand(Cmd),
      [&Strand = Strand_, Open, Key,
       Done = std::move(Done)](Outcome<replication::Applied> Result) {
        Strand.post([Open, Key, Done, Read = readResult(std::move(Result))] {
          const auto Alive = Open.lock();
          if (!Alive)
            return;
          Alive->erase(Key);
          Done(Read);
        });
      });
  return true;
}
