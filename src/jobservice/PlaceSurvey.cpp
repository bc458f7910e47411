#include "jobservice/PlaceSurvey.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// The interval at which members without an answer are asked again.
static constexpr Duration PollInterval = std::chrono::seconds(1);

PlaceSurvey::PlaceSurvey(const std::string &Self, const std::string &DataCentre,
                         const Clock &Time, AskMember Ask)
    : Time_(Time), Ask_(std::move(Ask)) {
  recordPlace(Self, DataCentre);
}

void PlaceSurvey::poll(const replication::ReplicaStatus &Status,
                       replication::Replica &Group) {
  if (Time_.now() < NextPoll_)
    return;
  NextPoll_ = Time_.now() + PollInterval;
  Group.setPlaces(Places_);
  for (const std::string &Name : Status.Responsive_)
    if (Places_.count(Name) == 0)
      Ask_(Name);
}

void PlaceSurvey::recordPlace(const std::string &Member,
                              const std::string &DataCentre) {
  if (!DataCentre.empty())
    Places_[Member] = DataCentre;
}
