#include "tulipweir/jobs/Configuration.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

const QueuePolicy *Configuration::findQueue(std::string_view Host,
                                            std::string_view Path) const {
  const QueuePolicy *Best = nullptr;
  for (const QueuePolicy &Queue : Queues_) {
    const bool Matches =
        Queue.Host_ == Host &&
        Path.substr(0, Queue.PathPrefix_.size()) == Queue.PathPrefix_;
    const bool IsLonger =
        !Best || Queue.PathPrefix_.size() > Best->PathPrefix_.size();
    if (Matches && IsLonger)
      Best = &Queue;
  }
  return Best;
}

const QueuePolicy *Configuration::findQueueByKey(std::string_view Key) const {
  for (const QueuePolicy &Queue : Queues_) {
    const bool Matches =
        Key.size() == Queue.Host_.size() + Queue.PathPrefix_.size() &&
        Key.starts_with(Queue.Host_) && Key.ends_with(Queue.PathPrefix_);
    if (Matches)
      return &Queue;
  }
  return nullptr;
}
