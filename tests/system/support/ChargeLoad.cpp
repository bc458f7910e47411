#include "system/support/ChargeLoad.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::system_test;

ChargeLoad::ChargeLoad(Cluster &Callee, const ChargeLoadShape &Shape)
    : Callee_(Callee), Shape_(Shape) {
  for (std::size_t Thread = 0; Thread < Shape_.Threads_; ++Thread)
    Threads_.emplace_back([this, Thread] { runCaller(Thread); });
}

void ChargeLoad::stop() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

void ChargeLoad::runCaller(std::size_t Thread) {
  std::size_t Turn = Thread;
  for (std::size_t Number = 0; !Stopping_; ++Number) {
    std::string Path =
        "charge-" + std::to_string(Thread) + "-" + std::to_string(Number);
    ChargeEnd End = chargeOnce(Path, Turn);
    std::lock_guard Guard(Lock_);
    Ends_.push_back(std::move(End));
  }
}

ChargeEnd ChargeLoad::chargeOnce(const std::string &Path, std::size_t &Turn) {
  auto NextPort = [&] { return Shape_.Ports_[Turn++ % Shape_.Ports_.size()]; };
  std::string Ticket;
  waitFor(LongEnough, [&] {
    Ticket = Callee_.takeTicket(NextPort());
    return !Ticket.empty();
  });
  ChargeEnd End{Path, "none", ""};
  for (std::size_t Send = 0; Send < Shape_.MaxSends_; ++Send) {
    HttpAnswer Answer = Callee_.charge(NextPort(), Path, Ticket,
                                       Shape_.Deadline_, Shape_.Query_);
    if (!Answer.outcome().empty())
      End = {Path, Answer.outcome(), Answer.Body_};
    if (End.Outcome_ == "served")
      break;
    std::this_thread::sleep_for(Shape_.Pause_ * 5);
  }
  std::this_thread::sleep_for(Shape_.Pause_);
  return End;
}

std::size_t ChargeLoad::countServed() const {
  std::lock_guard Guard(Lock_);
  return static_cast<std::size_t>(
      std::count_if(Ends_.begin(), Ends_.end(), [](const ChargeEnd &End) {
        return End.Outcome_ == "served";
      }));
}

bool ChargeLoad::waitForServed(std::size_t More) {
  std::size_t Wanted = countServed() + More;
  return waitFor(LongEnough, [&] { return countServed() >= Wanted; });
}

std::vector<std::string> ChargeLoad::listFaults(const Audit &Ran) const {
  std::vector<std::string> Faults;
  std::lock_guard Guard(Lock_);
  for (const ChargeEnd &End : Ends_) {
    std::size_t Runs = Ran.countRuns("/" + End.Path_);
    bool Right = End.Outcome_ == "served"    ? Runs == 1
                 : End.Outcome_ == "unknown" ? Runs <= 1
                                             : Runs == 0;
    bool Own =
        End.Outcome_ != "served" ||
        End.Body_.find("charge " + End.Path_ + "\"") != std::string::npos;
    if (!Right || !Own)
      Faults.push_back(End.Path_ + " ended " + End.Outcome_ + ", was run " +
                       std::to_string(Runs) + " times: " + End.Body_);
  }
  return Faults;
}
