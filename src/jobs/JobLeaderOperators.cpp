// Operators' orders except waves of maintenance: the configuration, and
// evacuations of data centres.
#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

void JobLeader::Impl::putConfiguration(Configuration Value, Done<void> Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  const std::uint64_t Version = Value.Version_;
  proposeOrder(PutConfiguration{std::move(Value)},
               [this, Version, Reply](const Outcome<CommandResult> &Applied) {
                 if (!Applied)
                   return Reply(Applied.error());
                 Event Line;
                 Line.Kind_ = EventKind::ConfigurationAccepted;
                 Line.Version_ = Version;
                 Line.Outcome_ = Applied.value().Status_ == CommandStatus::Done
                                     ? "in force"
                                     : "not newer than the version in force";
                 Log_.write(Line);
                 Reply(succeed());
               });
}

void JobLeader::Impl::readConfiguration(const Done<Configuration> &Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  Reply(Machine_.read(
      [](const JobRegistry &Registry) { return Registry.configuration(); }));
}

bool JobLeader::Impl::isDataCentre(const std::string &Name) const {
  const std::vector<std::string> &Named = Settings_.DataCentres_;
  if (std::find(Named.begin(), Named.end(), Name) != Named.end())
    return true;
  return Machine_.read([&Name](const JobRegistry &Registry) {
    return std::any_of(Registry.servers().begin(), Registry.servers().end(),
                       [&Name](const auto &Entry) {
                         return Entry.second.Facts_.DataCentre_ == Name;
                       });
  });
}

void JobLeader::Impl::evacuate(const EvacuateDataCentre &Order,
                               const Done<void> &Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  const bool IsOpen = Machine_.read([&Order](const JobRegistry &Registry) {
    return Registry.evacuated().count(Order.DataCentre_) != 0;
  });
  // An evacuation can be ended even if the data centre is no longer known.
  if (!IsOpen && !isDataCentre(Order.DataCentre_))
    return Reply(
        fail(ErrorCode::NotFound, "no such data centre: " + Order.DataCentre_));
  proposeOrder(
      Order, [this, Order, Reply](const Outcome<CommandResult> &Applied) {
        if (!Applied)
          return Reply(Applied.error());
        logEvacuation(Order, Applied.value().Status_ == CommandStatus::Done);
        Reply(succeed());
      });
}

void JobLeader::Impl::logEvacuation(const EvacuateDataCentre &Order,
                                    bool HasChanged) {
  if (HasChanged)
    Meter_.add(Order.IsStart_ ? JobCounter::EvacuationsBegun
                              : JobCounter::EvacuationsEnded,
               1);
  Event Line;
  Line.Kind_ = EventKind::Evacuation;
  Line.Reason_ = Order.DataCentre_;
  Line.Outcome_ = !HasChanged ? "no change" : Order.IsStart_ ? "begun" : "over";
  Line.Count_ = Machine_.read([&Order](const JobRegistry &Registry) {
    std::uint64_t Running = 0;
    for (const auto &[Id, Server] : Registry.servers())
      if (Server.Facts_.DataCentre_ == Order.DataCentre_)
        Running += Server.Placed_.size();
    return Running;
  });
  Line.Term_ = Term_;
  Log_.write(Line);
}
