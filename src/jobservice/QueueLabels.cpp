#include "jobservice/QueueLabels.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;

std::string QueueLabels::getName(const std::string &Queue) {
  const std::lock_guard Hold(Lock_);
  if (Known_.count(Queue) == 0 && Known_.size() >= MaxQueues)
    return Others;
  Known_.insert(Queue);
  return Queue;
}

std::string QueueLabels::getLabels(const std::string &Queue) {
  return makeLabels(getName(Queue));
}

std::string QueueLabels::makeLabels(const std::string &Name) {
  std::string Labels = "queue=\"";
  for (const char Each : Name) {
    if (Each == '\n') {
      Labels += "\\n";
      continue;
    }
    if (Each == '"' || Each == '\\')
      Labels += '\\';
    Labels += Each;
  }
  return Labels + '"';
}
