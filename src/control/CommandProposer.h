//===- CommandProposer.h - Proposals of one leadership ---------*- C++ -*-===//
//
// Proposes commands to the data centre's log, one at a time for each thing
// they are about, and brings the results back to the leader's strand.
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

/// What a proposal is about.
using ProposalKey = std::variant<TaskId, BackendServerId, JobId, EntryId>;

/// Lives on the leader's strand, as long as one leadership.
class CommandProposer {
public:
  using Callback = std::function<void(Outcome<datacentre::CommandResult>)>;

  CommandProposer(replication::Replica &Group, Executor &Strand);

  /// False, and nothing proposed, while another proposal for Key is open.
  /// Otherwise Done is called on the strand, unless this object is gone by
  /// then: the leadership it belonged to has ended.
  bool propose(const ProposalKey &Key, const datacentre::Command &Value,
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
