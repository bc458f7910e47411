#include "jobs/JobLeaderImpl.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobs;

void JobLeader::Impl::startWave(const WaveSpec &Spec, const Done<void> &Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  if (!Provider_.isAvailable())
    return Reply(fail(ErrorCode::Unavailable,
                      "the settings configure no provider of VMs"));
  proposeOrder(StartWave{Spec}, [this, Spec, Reply, Term = Term_](
                                    const Outcome<CommandResult> &Applied) {
    if (!Applied)
      return Reply(Applied.error());
    if (Term == Term_ && Applied.value().Status_ == CommandStatus::Done)
      Waves_.recordStart(Spec.Id_);
    logWave(Spec.Id_, "", "accepted",
            std::to_string(Spec.Vms_.size()) + " VMs, at most " +
                std::to_string(Spec.MaxConcurrent_) + " at once");
    Reply(succeed());
  });
}

void JobLeader::Impl::showWave(std::uint64_t Wave,
                               const Done<WaveRecord> &Reply) const {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  Reply(Machine_.read([&](const JobRegistry &Registry) -> Outcome<WaveRecord> {
    if (const WaveRecord *Record = Registry.waves().find(Wave))
      return *Record;
    return fail(ErrorCode::NotFound, "no such wave");
  }));
}

void JobLeader::Impl::logWave(std::uint64_t Wave, const std::string &Vm,
                              const std::string &Result,
                              const std::string &Reason) {
  Event Line;
  Line.Kind_ = EventKind::Maintenance;
  Line.Count_ = Wave;
  Line.Server_ = Vm;
  Line.Outcome_ = Result;
  Line.Reason_ = Reason;
  Line.Term_ = Term_;
  Log_.write(Line);
}

/// Advances the waves of maintenance. A new leader sends no orders until those
/// of the previous one have ended, as two leaders that order in turns would
/// break each other's limits.
void JobLeader::Impl::advanceWaves() {
  const TimePoint Now = Time_.now();
  if (!Provider_.isAvailable() || Now - LeadingSince_ < Settings_.HolderLease_)
    return;
  refreshVms();
  const std::optional<MaintenanceOrder> Order = Machine_.read(
      [&](const JobRegistry &Registry) { return Waves_.plan(Registry, Now); });
  for (const auto &[Id, Known] : LiveServers_.servers()) {
    LiveServer &Live = *LiveServers_.find(Id);
    Live.IsEmptying_ = Waves_.isDraining(Id);
    Live.WasEmptying_ = Live.WasEmptying_ || Live.IsEmptying_;
  }
  if (!Order || IsOrdering_)
    return;
  IsOrdering_ = true;
  Waves_.recordOrder(*Order, Now);
  Provider_.maintain(Order->Vm_, Order->Wave_, Term_,
                     [Weak = weak_from_this(), &Strand = Strand_, Term = Term_,
                      Order = *Order](const Outcome<MaintenanceReply> &Reply) {
                       Strand.post([Weak, Term, Order, Reply] {
                         const std::shared_ptr<Impl> Self = Weak.lock();
                         if (Self && Self->Term_ == Term)
                           Self->handleMaintenanceReply(Order, Reply);
                       });
                     });
}

/// Replaces the servers' ids by their registered incarnations.
VmList JobLeader::Impl::nameIncarnations(VmList Vms) const {
  Machine_.read([&Vms](const JobRegistry &Registry) {
    for (VmInfo &Vm : Vms.Vms_)
      if (const std::vector<std::string> Registered =
              Registry.listIncarnationsOf(Vm.Server_);
          !Registered.empty())
        Vm.Server_ = Registered.back();
    return 0;
  });
  return Vms;
}

void JobLeader::Impl::refreshVms() {
  const TimePoint Now = Time_.now();
  const bool IsDue = Machine_.read([&](const JobRegistry &Registry) {
    return Waves_.isVmListRefreshDue(Registry, Now);
  });
  if (!IsDue || IsListing_)
    return;
  IsListing_ = true;
  Provider_.listVms([Weak = weak_from_this(), &Strand = Strand_, Term = Term_,
                     Now](const Outcome<VmList> &Vms) {
    Strand.post([Weak, Term, Now, Vms] {
      const std::shared_ptr<Impl> Self = Weak.lock();
      if (!Self || Self->Term_ != Term)
        return;
      Self->IsListing_ = false;
      if (Vms)
        Self->Waves_.updateVms(Self->nameIncarnations(Vms.value()), Now);
    });
  });
}

void JobLeader::Impl::handleMaintenanceReply(
    const MaintenanceOrder &Order, const Outcome<MaintenanceReply> &Reply) {
  IsOrdering_ = false;
  const bool IsFinal = Waves_.handleReply(Order, Reply, Time_.now());
  static constexpr std::array<const char *, 5> Names = {
      "begun", "fenced", "busy", "not in the wave", "no such VM"};
  logWave(Order.Wave_, Order.Vm_,
          Reply ? Names.at(static_cast<std::size_t>(Reply.value()))
                : "not answered",
          Reply ? "" : Reply.error().Message_);
  if (!IsFinal)
    return;
  propose(RecordMaintenanceStart{Order.Wave_, Order.Vm_},
          [](const Outcome<CommandResult> &) {});
  const bool IsOver = Reply.value() == MaintenanceReply::Begun &&
                      Waves_.provesEnd(Order) &&
                      Machine_.read([&Order](const JobRegistry &Registry) {
                        return Registry.findServer(Order.Server_) != nullptr;
                      });
  // The incarnation has ended: it runs no tasks and sends no reports. Without
  // proof of that, its lease expires first, and it continues if it runs.
  if (IsOver)
    removeOnceFlushed(Order.Server_, Departure::Maintained,
                      [](const Outcome<CommandResult> &) {});
}
