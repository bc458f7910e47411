//===- Commands.h - Entries of the fleet log -------------------*- C++ -*-===//
//
// The commands that the fleet's replicas apply, and their results. Encoded by
// encodeCommand/decodeCommand of FleetCodec.h.
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

/// Proposes a bundle. Its text names its version, its parent's version and its
/// parent's digest; it is checked as a whole before it is kept.
struct ProposeBundle {
  std::string Text_;
  SignOff SignOff_; ///< Of the proposer.
  std::uint64_t WallMs_ = 0;
  bool operator==(const ProposeBundle &) const = default;
};

/// Adds a sign-off to a proposed bundle. With the k-th one of the keys named
/// by the bundle in force it is accepted, if its parent is still in force.
struct SignBundle {
  Digest Digest_;
  SignOff SignOff_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const SignBundle &) const = default;
};

/// Submits a batch job; resubmitting the same one says AlreadyExists. Spec_ is
/// opaque here (datacentre::JobSpec, encoded).
struct SubmitJob {
  JobId Job_;
  TeamId Team_;
  std::string Spec_;
  DataCentreId Preferred_; ///< Empty: the fleet chooses.
  std::uint64_t WallMs_ = 0;
  bool operator==(const SubmitJob &) const = default;
};

/// Assigns a job to a data centre. Refused while another assignment stands.
struct AssignJob {
  JobId Job_;
  DataCentreId DataCentre_;
  bool operator==(const AssignJob &) const = default;
};

/// The data centre gives a job back, with where its tasks are to resume, or
/// its lease ran out by the proposer's clock (Expired_).
struct ReleaseJob {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  bool Expired_ = false;
  std::string Progress_; ///< Opaque: checkpoints of its tasks.
  bool operator==(const ReleaseJob &) const = default;
};

struct CancelJob {
  JobId Job_;
  bool operator==(const CancelJob &) const = default;
};

enum class JobEnd : std::uint8_t { Finished, Failed, Cancelled };

/// The data centre that holds the job reports its end.
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

/// What applying a command answered. Error_ empty: it took effect.
struct CommandResult {
  std::string Error_;     ///< Stable name of an ErrorCode, or empty.
  std::string Message_;   ///< For people: what stands instead, what to do next.
  BundleVersion Version_; ///< Bundles: the version concerned.
  Digest Digest_;         ///< Bundles: the digest concerned or winning.
  bool Accepted_ = false; ///< Bundles: it is in force now (or already was).
  std::uint64_t Assignment_ = 0; ///< AssignJob.
  bool operator==(const CommandResult &) const = default;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_COMMANDS_H
