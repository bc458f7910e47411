//===- CommandProposer.h - Proposals of one leadership ---------*- C++ -*-===//
//
// Proposes commands to the data centre's log, at most one at a time per
// subject, and posts the results to the leader's strand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_COMMANDPROPOSER_H
#define TULIPWEIR_SRC_CONTROL_COMMANDPROPOSER_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/datacentre/Commands.h"
#include "tulipweir/replication/Replica.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace tulipweir::control {

/// The subject of a proposal.
using ProposalKey = std::variant<TaskId, BackendServerId, JobId, EntryId>;

/// Lives on the leader's strand for the duration of one leadership.
class CommandProposer {
public:
  using Callback = std::function<void(Outcome<datacentre::CommandResult>)>;

  CommandProposer(replication::Replica &Group, Executor &Strand);

  /// Returns false and proposes nothing while another proposal for Key is open.
  /// Otherwise Done is called on the strand, unless this object was destroyed
  /// before because its leadership ended.
  bool propose(const ProposalKey &Key, const datacentre::Command &Cmd,
               Callback Done);

  bool isOpen(const ProposalKey &Key) const { return Open_->contains(Key); }
  std::size_t countOpen() const { return Open_->size(); }

private:
  replication::Replica &Group_;
  Executor &Strand_;
  std::shared_ptr<std::set<ProposalKey>> Open_ =
      std::make_shared<std::set<ProposalKey>>();
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_COMMANDPROPOSER_H
