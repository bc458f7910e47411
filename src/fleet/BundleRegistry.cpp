//===- BundleRegistry.cpp - Bundle proposals and sign-offs ----------------===//

#include "tulipweir/fleet/BundleRegistry.h"
#include "Results.h"
#include "tulipweir/fleet/Signing.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::fleet;

static constexpr std::size_t MaxProblemsShown = 5;

static CommandResult withBundle(CommandResult Result, BundleVersion Version,
                                const Digest &BundleDigest) {
  Result.Version_ = Version;
  Result.Digest_ = BundleDigest;
  return Result;
}

static std::string formatVersion(BundleVersion Version) {
  return "version " + std::to_string(Version.value());
}

static CommandResult
refuseInvalidText(const std::vector<BundleProblem> &Problems) {
  std::string Message = "the bundle has " + std::to_string(Problems.size()) +
                        " problem(s); 'tulipweirctl bundle check' shows all:";
  for (std::size_t I = 0; I < Problems.size() && I < MaxProblemsShown; ++I)
    Message += "\n" + Problems[I].Location_ + " " + Problems[I].Text_;
  return refuse(ErrorCode::InvalidArgument, std::move(Message));
}

static CommandResult makeAlreadyAccepted(const AcceptedBundle &Accepted,
                                         BundleVersion InForce) {
  std::string Message = "already accepted";
  if (Accepted.Version_ < InForce)
    Message += "; " + formatVersion(InForce) + " is in force now";
  CommandResult Result = refuse(ErrorCode::AlreadyExists, std::move(Message));
  Result.Accepted_ = true;
  return withBundle(std::move(Result), Accepted.Version_, Accepted.Digest_);
}

static std::string formatSigners(const std::vector<OperatorId> &Signers) {
  std::string Text;
  for (const OperatorId &Signer : Signers)
    Text += (Text.empty() ? "" : ", ") + Signer.value();
  return Text;
}

static const OperatorKey *findKey(const Bundle &Signers,
                                  const OperatorId &Operator) {
  const auto It =
      std::ranges::find(Signers.Operators_, Operator, &OperatorKey::Operator_);
  return It == Signers.Operators_.end() ? nullptr : &*It;
}

/// Returns an empty message if the sign-off is valid.
static std::string findSignOffError(const Bundle &Signers,
                                    const Digest &BundleDigest,
                                    const SignOff &Added) {
  const OperatorKey *Key = findKey(Signers, Added.Operator_);
  if (!Key)
    return "'" + Added.Operator_.value() +
           "' is not an operator who may sign this bundle";
  if (!verifyDigest(BundleDigest, Key->PublicKey_, Added.Signature_))
    return "the signature does not match the key of '" +
           Added.Operator_.value() +
           "' and this digest; sign the file exactly as it is proposed, byte "
           "for byte";
  return "";
}

/// Returns whether the operator has signed the proposal. Every stored sign-off
/// counts, because a new list of operators supersedes all proposals.
static bool hasSigned(const ProposedBundle &Proposal,
                      const OperatorId &Operator) {
  return std::ranges::find(Proposal.SignOffs_, Operator, &SignOff::Operator_) !=
         Proposal.SignOffs_.end();
}

static Bundle parseStoredBundle(std::string_view Text) {
  BundleCheck Check = checkBundle(Text);
  assert(Check.Bundle_.size() == 1 && "stored texts have passed the check");
  return std::move(Check.Bundle_.front());
}

const Bundle &BundleRegistry::getDecidingBundle(const Bundle &Proposed) const {
  return History_.latest() ? InForce_ : Proposed;
}

CommandResult BundleRegistry::makeConflict(BundleVersion Version) const {
  const AcceptedBundle *Latest = History_.latest();
  if (!Latest)
    return refuse(ErrorCode::Conflict,
                  "no bundle is in force yet; the first bundle must have "
                  "parentVersion 0 and parentDigest \"\"");
  const auto SameVersion = History_.findVersion(Version);
  const AcceptedBundle &Accepted = SameVersion ? *SameVersion : *Latest;
  std::string Message = formatVersion(Accepted.Version_) +
                        " was accepted with " + "digest " +
                        Accepted.Digest_.value();
  if (!Accepted.SignedBy_.empty())
    Message += ", signed by " + formatSigners(Accepted.SignedBy_);
  Message += "; in force is " + formatVersion(Latest->Version_) + ", digest " +
             Latest->Digest_.value() +
             ": use it as the parent, increase the version and propose again";
  return withBundle(refuse(ErrorCode::Conflict, std::move(Message)),
                    Accepted.Version_, Accepted.Digest_);
}

CommandResult BundleRegistry::propose(const ProposeBundle &Request) {
  BundleCheck Check = checkBundle(Request.Text_);
  if (Check.Bundle_.empty())
    return refuseInvalidText(Check.Problems_);
  Bundle &Proposed = Check.Bundle_.front();
  const Digest ProposedDigest = computeDigest(Request.Text_);
  const auto SameVersion = History_.findVersion(Proposed.Version_);
  if (SameVersion && SameVersion->Digest_ == ProposedDigest)
    return makeAlreadyAccepted(*SameVersion, InForce_.Version_);
  const AcceptedBundle *Parent = History_.latest();
  const Digest InForceDigest = Parent ? Parent->Digest_ : Digest();
  if (Proposed.ParentVersion_ != InForce_.Version_ ||
      Proposed.ParentDigest_ != InForceDigest)
    return makeConflict(Proposed.Version_);

  const auto Reason = findSignOffError(getDecidingBundle(Proposed),
                                       ProposedDigest, Request.SignOff_);
  if (!Reason.empty())
    return withBundle(refuse(ErrorCode::PermissionDenied, Reason),
                      Proposed.Version_, ProposedDigest);
  if (!Proposals_.contains(ProposedDigest)) {
    evictOldestProposal(Request.SignOff_.Operator_);
    ProposedBundle Proposal;
    Proposal.Version_ = Proposed.Version_;
    Proposal.Text_ = Request.Text_;
    Proposal.Sequence_ = NextSequence_++;
    Proposals_.emplace(ProposedDigest, std::move(Proposal));
  }
  return addSignOff(ProposedDigest, std::move(Proposed), Request.SignOff_,
                    Request.WallMs_);
}

CommandResult BundleRegistry::sign(const SignBundle &Request) {
  if (const AcceptedBundle *Accepted = History_.findDigest(Request.Digest_))
    return makeAlreadyAccepted(*Accepted, InForce_.Version_);
  const auto Superseded = std::ranges::find(Superseded_, Request.Digest_,
                                            &SupersededBundle::Digest_);
  if (Superseded != Superseded_.end())
    return makeConflict(Superseded->Version_);
  const auto It = Proposals_.find(Request.Digest_);
  if (It == Proposals_.end())
    return refuse(ErrorCode::NotFound,
                  "no proposal has digest " + Request.Digest_.value() +
                      "; propose its file with 'tulipweirctl bundle propose'");
  const ProposedBundle &Proposal = It->second;
  Bundle Proposed = parseStoredBundle(Proposal.Text_);
  const auto Reason = findSignOffError(getDecidingBundle(Proposed),
                                       Request.Digest_, Request.SignOff_);
  if (!Reason.empty())
    return withBundle(refuse(ErrorCode::PermissionDenied, Reason),
                      Proposal.Version_, Request.Digest_);
  return addSignOff(Request.Digest_, std::move(Proposed), Request.SignOff_,
                    Request.WallMs_);
}

CommandResult BundleRegistry::addSignOff(const Digest &BundleDigest,
                                         Bundle Proposed, const SignOff &Added,
                                         std::uint64_t WallMs) {
  ProposedBundle &Proposal = Proposals_.at(BundleDigest);
  const BundleVersion Version = Proposal.Version_;
  const bool Repeated = hasSigned(Proposal, Added.Operator_);
  if (!Repeated)
    Proposal.SignOffs_.push_back(Added);
  const std::size_t Needed = getDecidingBundle(Proposed).SignOffsNeeded_;
  if (Proposal.SignOffs_.size() >= Needed)
    return accept(BundleDigest, std::move(Proposed), WallMs);
  const auto Count = std::to_string(Proposal.SignOffs_.size()) + " of " +
                     std::to_string(Needed) + " sign-offs";
  if (Repeated)
    return withBundle(refuse(ErrorCode::AlreadyExists,
                             "'" + Added.Operator_.value() +
                                 "' has already signed this bundle; it has " +
                                 Count),
                      Version, BundleDigest);
  return withBundle(
      confirm("stored with " + Count +
              "; other operators sign it with 'tulipweirctl bundle sign " +
              BundleDigest.value() + "'"),
      Version, BundleDigest);
}

CommandResult BundleRegistry::accept(const Digest &BundleDigest,
                                     Bundle Accepted, std::uint64_t WallMs) {
  auto Node = Proposals_.extract(BundleDigest);
  AcceptedBundle Record;
  Record.Version_ = Accepted.Version_;
  Record.Digest_ = BundleDigest;
  Record.ParentVersion_ = Accepted.ParentVersion_;
  Record.Note_ = Accepted.Note_;
  for (const SignOff &Signer : Node.mapped().SignOffs_)
    Record.SignedBy_.push_back(Signer.Operator_);
  Record.WallMs_ = WallMs;
  Record.Text_ = std::move(Node.mapped().Text_);
  History_.append(std::move(Record));
  InForce_ = std::move(Accepted);
  // Every other proposal has the previous bundle as its parent.
  while (!Proposals_.empty())
    supersede(Proposals_.begin()->first);
  CommandResult Result = confirm("accepted; rolling out to every process");
  Result.Accepted_ = true;
  return withBundle(std::move(Result), InForce_.Version_, BundleDigest);
}

void BundleRegistry::supersede(const Digest &BundleDigest) {
  auto Node = Proposals_.extract(BundleDigest);
  Superseded_.push_back({Node.key(), Node.mapped().Version_});
  if (Superseded_.size() > MaxSuperseded)
    Superseded_.pop_front();
}

void BundleRegistry::evictOldestProposal(const OperatorId &Proposer) {
  std::size_t Count = 0;
  auto Oldest = Proposals_.end();
  for (auto It = Proposals_.begin(); It != Proposals_.end(); ++It) {
    if (It->second.SignOffs_.front().Operator_ != Proposer)
      continue;
    ++Count;
    if (Oldest == Proposals_.end() ||
        It->second.Sequence_ < Oldest->second.Sequence_)
      Oldest = It;
  }
  if (Count >= MaxProposalsPerOperator)
    Proposals_.erase(Oldest);
}

static bool isDigest(const Digest &BundleDigest) {
  static constexpr std::size_t Letters = 64;
  const std::string &Text = BundleDigest.value();
  return Text.size() == Letters &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Returns whether versions increase from the archive on and digests are well
/// formed.
static bool isConsistent(const BundleHistory &History) {
  std::uint64_t Last = 0;
  for (const ArchivedBundle &Archived : History.archive()) {
    if (Archived.Version_ <= Last)
      return false;
    Last = Archived.Version_;
  }
  for (const AcceptedBundle &Accepted : History.recent()) {
    if (Accepted.Version_.value() <= Last || !isDigest(Accepted.Digest_))
      return false;
    Last = Accepted.Version_.value();
  }
  return History.latest() || History.archive().empty();
}

static bool isConsistent(const Digest &BundleDigest,
                         const ProposedBundle &Proposal) {
  if (Proposal.SignOffs_.empty() ||
      computeDigest(Proposal.Text_) != BundleDigest)
    return false;
  const BundleCheck Check = checkBundle(Proposal.Text_);
  return !Check.Bundle_.empty() &&
         Check.Bundle_.front().Version_ == Proposal.Version_;
}

Outcome<BundleRegistry> BundleRegistry::restore(
    BundleHistory History, std::map<Digest, ProposedBundle> Proposals,
    std::deque<SupersededBundle> Superseded, std::uint64_t NextSequence) {
  BundleRegistry Registry;
  Registry.History_ = std::move(History);
  Registry.Proposals_ = std::move(Proposals);
  Registry.Superseded_ = std::move(Superseded);
  Registry.NextSequence_ = NextSequence;
  if (!isConsistent(Registry.History_))
    return fail(ErrorCode::Malformed,
                "the snapshot's bundle history is inconsistent");
  if (const AcceptedBundle *Latest = Registry.History_.latest()) {
    BundleCheck Check = checkBundle(Latest->Text_);
    if (Check.Bundle_.empty() ||
        computeDigest(Latest->Text_) != Latest->Digest_ ||
        Check.Bundle_.front().Version_ != Latest->Version_)
      return fail(ErrorCode::Malformed,
                  "the snapshot's bundle in force is invalid");
    Registry.InForce_ = std::move(Check.Bundle_.front());
  }
  for (const auto &[Key, Proposal] : Registry.Proposals_)
    if (!isConsistent(Key, Proposal))
      return fail(ErrorCode::Malformed, "the snapshot's proposal " +
                                            Key.value() + " is inconsistent");
  return Registry;
}
