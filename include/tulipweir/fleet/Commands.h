//===- Commands.h - Entries of the fleet log -------------------*- C++ -*-===//
//
// The commands that the fleet's replicas apply, and their results.
// encodeCommand and decodeCommand of FleetCodec.h define their encoding.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_COMMANDS_H
#define TULIPWEIR_FLEET_COMMANDS_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tulipweir::fleet {

/// One operator's signature over a bundle's digest.
struct SignOff {
  OperatorId Operator_;
  std::string Signature_; ///< Ed25519, in lower-case hexadecimal.
  auto operator<=>(const SignOff &) const = default;
};

/// Proposes a bundle. The text contains the version, the parent's version and
/// the parent's digest, and is checked as a whole before the proposal is
/// stored.
struct ProposeBundle {
  std::string Text_;
  SignOff SignOff_; ///< The proposer's.
  std::uint64_t WallMs_ = 0;
  bool operator==(const ProposeBundle &) const = default;
};

/// Adds a sign-off to a proposed bundle. The bundle is accepted with the k-th
/// sign-off by operators of the bundle in force, if its parent is still in
/// force.
struct SignBundle {
  Digest Digest_;
  SignOff SignOff_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const SignBundle &) const = default;
};

/// Submits a batch job; resubmitting the same job gives AlreadyExists. Spec_ is
/// opaque to the fleet (an encoded datacentre::JobSpec).
struct SubmitJob {
  JobId Job_;
  TeamId Team_;
  std::string Spec_;
  DataCentreId Preferred_; ///< Empty if the fleet may choose.
  std::uint64_t WallMs_ = 0;
  bool operator==(const SubmitJob &) const = default;
};

/// Assigns a job to a data centre. It is refused while the job has another
/// assignment.
struct AssignJob {
  JobId Job_;
  DataCentreId DataCentre_;
  bool operator==(const AssignJob &) const = default;
};

/// Releases a job with the progress from which its tasks resume: either its
/// data centre hands it back, or its lease has expired by the proposer's clock
/// (Expired_).
struct ReleaseJob {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  bool Expired_ = false;
  std::string Progress_; ///< Opaque; checkpoints of its tasks.
  bool operator==(const ReleaseJob &) const = default;
};

struct CancelJob {
  JobId Job_;
  bool operator==(const CancelJob &) const = default;
};

enum class JobEnd : std::uint8_t { Finished, Failed, Cancelled };

/// Ends a job; proposed by the data centre that holds it.
struct EndJob {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  JobEnd End_ = JobEnd::Finished;
  std::string Message_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const EndJob &) const = default;
};

using Command = std::variant<ProposeBundle, SignBundle, SubmitJob, AssignJob,
                             ReleaseJob, CancelJob, EndJob>;

/// Result of applying a command. The command took effect if Error_ is empty.
struct CommandResult {
  std::string Error_;     ///< Stable name of an ErrorCode, or empty.
  std::string Message_;   ///< For operators: present state and next step.
  BundleVersion Version_; ///< Bundles: the version in question.
  Digest Digest_;         ///< Bundles: the digest proposed or accepted.
  bool Accepted_ = false; ///< Bundles: now or previously accepted.
  std::uint64_t Assignment_ = 0; ///< Set by AssignJob.
  bool operator==(const CommandResult &) const = default;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_COMMANDS_H
