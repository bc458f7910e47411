#include "tulipweir/replication/Replica.h"

#include "replication/FolderStorage.h"
#include "replication/PosixFileSystem.h"
#include "replication/ReplicaDriver.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <random>

using namespace tulipweir;
using namespace tulipweir::replication;

constexpr int RandomBits = 20;

/// Returns a unique incarnation. Incarnations increase with the wall clock,
/// which only the bootstrap of a group relies on (see GroupBootstrap).
static std::uint64_t makeIncarnation(const Clock &Time) {
  std::random_device Random;
  std::uint64_t Low = Random() & ((1U << RandomBits) - 1);
  auto Millis = static_cast<std::uint64_t>(Time.wallNow().count());
  return Millis << RandomBits | Low;
}

static std::optional<Error> validateSettings(const ReplicaSettings &Settings) {
  if (Settings.Name_.empty() || Settings.Group_.empty())
    return Error::make(ErrorCode::InvalidArgument,
                       "a replica needs a name and a group");
  bool IsSlow = Settings.HeartbeatInterval_ * 2 > Settings.ElectionTimeout_ ||
                Settings.HeartbeatInterval_ <= Duration(0);
  if (IsSlow)
    return Error::make(ErrorCode::InvalidArgument,
                       "the heartbeat interval must be above zero and at most "
                       "half of the election timeout");
  return std::nullopt;
}

/// Opens the folder. A damaged folder is quarantined, and the member starts
/// empty with a new incarnation, as if its disk were lost.
static Outcome<void> openFolder(ReplicaStart &Start) {
  static PosixFileSystem Files;
  const std::string &Folder = Start.Settings_.Folder_;
  auto Opened = FolderStorage::open(Files, Folder, Start.Owner_);
  bool IsDamaged = !Opened && Opened.error().Code_ == ErrorCode::Corrupt;
  if (IsDamaged) {
    Start.LostDisk_ = Opened.error().Message_;
    std::string Tag = std::to_string(Start.Owner_.Self_.Incarnation_);
    BOOST_OUTCOME_TRYV(FolderStorage::quarantine(Files, Folder, Tag));
    Opened = FolderStorage::open(Files, Folder, Start.Owner_);
  }
  if (!Opened)
    return Opened.as_failure();
  Start.Owner_ = Opened.value().Owner_;
  Start.Stored_ = std::move(Opened.value().Stored_);
  Start.BootstrapState_ = std::move(Opened.value().BootstrapState_);
  Start.Storage_ = std::move(Opened.value().Storage_);
  return succeed();
}

/// Makes the member an initial voter if this is the first start of its group,
/// and remembers it: a restart before the group is bootstrapped must not change
/// it.
static Outcome<void> startMajorityBootstrap(ReplicaStart &Start) {
  const ReplicaSettings &Settings = Start.Settings_;
  const std::vector<std::string> &Voters = Settings.InitialVoters_;
  const Checkpoint &Stored = Start.Stored_;
  const bool IsEmpty = Stored.Entries_.empty() && !Stored.Snapshot_ &&
                       Stored.Hard_.Term_ == 0 && Start.LostDisk_.empty();
  const bool IsInitialVoter =
      Settings.MayBootstrap_ && Settings.BootstrapsByMajority_ && IsEmpty &&
      std::find(Voters.begin(), Voters.end(), Settings.Name_) != Voters.end();
  if (!IsInitialVoter || !Start.BootstrapState_.InitialVoters_.empty())
    return succeed();
  Start.BootstrapState_.InitialVoters_ = Voters;
  return Start.Storage_->saveBootstrap(Start.Owner_.Self_,
                                       Start.BootstrapState_);
}

Outcome<std::unique_ptr<Replica>> Replica::open(const ReplicaSettings &Settings,
                                                StateMachine &Machine,
                                                Transport &Out,
                                                const Clock &Time) {
  if (std::optional<Error> Why = validateSettings(Settings))
    return fail(Why->Code_, Why->Message_);
  ReplicaStart Start;
  Start.Settings_ = Settings;
  Start.Owner_.Group_ = Settings.Group_;
  Start.Owner_.Self_ = {Settings.Name_, makeIncarnation(Time)};
  const TimePoint Begin = Time.now();
  if (Settings.Folder_.empty()) {
    Start.Storage_ = std::make_unique<NoStorage>();
  } else {
    BOOST_OUTCOME_TRYV(openFolder(Start));
  }
  BOOST_OUTCOME_TRYV(startMajorityBootstrap(Start));
  if (Start.Stored_.Snapshot_) {
    BOOST_OUTCOME_TRYV(
        Machine.restoreSnapshot(Start.Stored_.Snapshot_->State_));
  }
  Start.RecoveryTime_ = Time.now() - Begin;
  return std::unique_ptr<Replica>(
      std::make_unique<ReplicaDriver>(std::move(Start), Machine, Out, Time));
}
