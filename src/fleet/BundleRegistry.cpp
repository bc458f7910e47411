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
                                const Digest &Value) {
  Result.Version_ = Version;
  Result.Digest_ = Value;
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
  const auto Found =
      std::ranges::find(Signers.Operators_, Operator, &OperatorKey::Operator_);
  return Found == Signers.Operators_.end() ? nullptr : &*Found;
}

/// Returns an empty message if the sign-off is valid.
static std::string findSignOffError(const Bundle &Signers, const Digest &Value,
                                    const SignOff &Added) {
  const OperatorKey *Key = findKey(Signers, Added.Operator_);
  if (!Key)
    return "'" + Added.Operator_.value() +
           "' is not an operator who may sign this bundle";
  if (!verifyDigest(Value, Key->PublicKey_, Added.Signature_))
    return "the signature does not match the key of '" +
           Added.Operator_.value() +
           "' and this digest; sign the file exactly as it is proposed, byte "
           "for byte";
  return "";
}

/// Every stored sign-off counts, because a new list of operators supersedes all
/// proposals.
static bool hasSigned(const ProposedBundle &Proposal,
                      const OperatorId &Operator) {
  return std::ranges::find(Proposal.SignOffs_, Operator, &SignOff::Operator_) !=
         Proposal.SignOffs_.end();
}

static Bundle parseAccepted(std::string_view Text) {
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
  const auto Same = History_.findVersion(Version);
  const AcceptedBundle &Winner = Same ? *Same : *Latest;
  std::string Message = formatVersion(Winner.Version_) + " was accepted with " +
                        "digest " + Winner.Digest_.value();
  if (!Winner.SignedBy_.empty())
    Message += ", signed by " + formatSigners(Winner.SignedBy_);
  Message += "; in force is " + formatVersion(Latest->Version_) + ", digest " +
             Latest->Digest_.value() +
             ": use it as the parent, increase the version and propose again";
  return withBundle(refuse(ErrorCode::Conflict, std::move(Message)),
                    Winner.Version_, Winner.Digest_);
}

CommandResult BundleRegistry::propose(const ProposeBundle &Value) {
  BundleCheck Check = checkBundle(Value.Text_);
  if (Check.Bundle_.empty())
    return refuseInvalidText(Check.Problems_);
  Bundle &Proposed = Check.Bundle_.front();
  const Digest Named = computeDigest(Value.Text_);
  const auto Same = History_.findVersion(Proposed.Version_);
  if (Same && Same->Digest_ == Named)
    return makeAlreadyAccepted(*Same, InForce_.Version_);
  const AcceptedBundle *Parent = History_.latest();
  const Digest InForceDigest = Parent ? Parent->Digest_ : Digest();
  if (Proposed.ParentVersion_ != InForce_.Version_ ||
      Proposed.ParentDigest_ != InForceDigest)
    return makeConflict(Proposed.Version_);

  const auto Fault =
      findSignOffError(getDecidingBundle(Proposed), Named, Value.SignOff_);
  if (!Fault.empty())
    return withBundle(refuse(ErrorCode::PermissionDenied, Fault),
                      Proposed.Version_, Named);
  if (!Proposals_.contains(Named)) {
    evictOldestProposal(Value.SignOff_.Operator_);
    ProposedBundle Proposal;
    Proposal.Version_ = Proposed.Version_;
    Proposal.Text_ = Value.Text_;
    Proposal.Sequence_ = NextSequence_++;
    Proposals_.emplace(Named, std::move(Proposal));
  }
  return addSignOff(Named, std::move(Proposed), Value.SignOff_, Value.WallMs_);
}

CommandResult BundleRegistry::sign(const SignBundle &Value) {
  if (const AcceptedBundle *Accepted = History_.findDigest(Value.Digest_))
    return makeAlreadyAccepted(*Accepted, InForce_.Version_);
  const auto Lost =
      std::ranges::find(Superseded_, Value.Digest_, &SupersededBundle::Digest_);
  if (Lost != Superseded_.end())
    return makeConflict(Lost->Version_);
  const auto Found = Proposals_.find(Value.Digest_);
  if (Found == Proposals_.end())
    return refuse(ErrorCode::NotFound,
                  "no proposal has digest " + Value.Digest_.value() +
                      "; propose its file with 'tulipweirctl bundle propose'");
  const ProposedBundle &Proposal = Found->second;
  Bundle Proposed = parseAccepted(Proposal.Text_);
  const auto Fault = findSignOffError(getDecidingBundle(Proposed),
                                      Value.Digest_, Value.SignOff_);
  if (!Fault.empty())
    return withBundle(refuse(ErrorCode::PermissionDenied, Fault),
                      Proposal.Version_, Value.Digest_);
  return addSignOff(Value.Digest_, std::move(Proposed), Value.SignOff_,
                    Value.WallMs_);
}

CommandResult BundleRegistry::addSignOff(const Digest &Value, Bundle Proposed,
                                         const SignOff &Added,
                                         std::uint64_t WallMs) {
  ProposedBundle &Proposal = Proposals_.at(Value);
  const BundleVersion Version = Proposal.Version_;
  const bool Repeated = hasSigned(Proposal, Added.Operator_);
  if (!Repeated)
    Proposal.SignOffs_.push_back(Added);
  const std::size_t Needed = getDecidingBundle(Proposed).SignOffsNeeded_;
  if (Proposal.SignOffs_.size() >= Needed)
    return accept(Value, std::move(Proposed), WallMs);
  const auto Count = std::to_string(Proposal.SignOffs_.size()) + " of " +
                     std::to_string(Needed) + " sign-offs";
  if (Repeated)
    return withBundle(refuse(ErrorCode::AlreadyExists,
                             "'" + Added.Operator_.value() +
                                 "' has already signed this bundle; it has " +
                                 Count),
                      Version, Value);
  return withBundle(
      confirm("stored with " + Count +
              "; other operators sign it with 'tulipweirctl bundle sign " +
              Value.value() + "'"),
      Version, Value);
}

CommandResult BundleRegistry::accept(const Digest &Value, Bundle Accepted,
                                     std::uint64_t WallMs) {
  auto Node = Proposals_.extract(Value);
  AcceptedBundle Record;
  Record.Version_ = Accepted.Version_;
  Record.Digest_ = Value;
  Record.ParentVersion_ = Accepted.ParentVersion_;
  Record.Note_ = Accepted.Note_;
  for (const SignOff &One : Node.mapped().SignOffs_)
    Record.SignedBy_.push_back(One.Operator_);
  Record.WallMs_ = WallMs;
  Record.Text_ = std::move(Node.mapped().Text_);
  History_.append(std::move(Record));
  InForce_ = std::move(Accepted);
  // Every other proposal has the previous bundle as its parent.
  while (!Proposals_.empty())
    supersede(Proposals_.begin()->first);
  CommandResult Result = confirm("accepted; rolling out to every process");
  Result.Accepted_ = true;
  return withBundle(std::move(Result), InForce_.Version_, Value);
}

void BundleRegistry::supersede(const Digest &Value) {
  auto Node = Proposals_.extract(Value);
  Superseded_.push_back({Node.key(), Node.mapped().Version_});
  if (Superseded_.size() > MaxSuperseded)
    Superseded_.pop_front();
}

void BundleRegistry::evictOldestProposal(const OperatorId &Proposer) {
  std::size_t Count = 0;
  auto Oldest = Proposals_.end();
  for (auto One = Proposals_.begin(); One != Proposals_.end(); ++One) {
    if (One->second.SignOffs_.front().Operator_ != Proposer)
      continue;
    ++Count;
    if (Oldest == Proposals_.end() ||
        One->second.Sequence_ < Oldest->second.Sequence_)
      Oldest = One;
  }
  if (Count >= MaxProposalsPerOperator)
    Proposals_.erase(Oldest);
}

static bool isDigest(const Digest &Value) {
  static constexpr std::size_t Letters = 64;
  const std::string &Text = Value.value();
  return Text.size() == Letters &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Returns whether versions increase from the archive on and digests are well
/// formed.
static bool isConsistent(const BundleHistory &History) {
  std::uint64_t Last = 0;
  for (const ArchivedBundle &One : History.archive()) {
    if (One.Version_ <= Last)
      return false;
    Last = One.Version_;
  }
  for (const AcceptedBundle &One : History.recent()) {
    if (One.Version_.value() <= Last || !isDigest(One.Digest_))
      return false;
    Last = One.Version_.value();
  }
  return History.latest() || History.archive().empty();
}

static bool isConsistent(const Digest &Value, const ProposedBundle &Proposal) {
  if (Proposal.SignOffs_.empty() || computeDigest(Proposal.Text_) != Value)
    return false;
  const BundleCheck Check = checkBundle(Proposal.Text_);
  return !Check.Bundle_.empty() &&
         Check.Bundle_.front().Version_ == Proposal.Version_;
}

Outcome<BundleRegistry> BundleRegistry::restore(
    BundleHistory History, std::map<Digest, ProposedBundle> Proposals,
    std::deque<SupersededBundle> Superseded, std::uint64_t NextSequence) {
  BundleRegistry Book;
  Book.History_ = std::move(History);
  Book.Proposals_ = std::move(Proposals);
  Book.Superseded_ = std::move(Superseded);
  Book.NextSequence_ = NextSequence;
  if (!isConsistent(Book.History_))
    return fail(ErrorCode::Malformed,
                "the snapshot's bundle history is inconsistent");
  if (const AcceptedBundle *Latest = Book.History_.latest()) {
    BundleCheck Check = checkBundle(Latest->Text_);
    if (Check.Bundle_.empty() ||
        computeDigest(Latest->Text_) != Latest->Digest_ ||
        Check.Bundle_.front().Version_ != Latest->Version_)
      return fail(ErrorCode::Malformed,
                  "the snapshot's bundle in force is invalid");
    Book.InForce_ = std::move(Check.Bundle_.front());
  }
  for (const auto &[Key, Proposal] : Book.Proposals_)
    if (!isConsistent(Key, Proposal))
      return fail(ErrorCode::Malformed, "the snapshot's proposal " +
                                            Key.value() + " is inconsistent");
  return Book;
}
