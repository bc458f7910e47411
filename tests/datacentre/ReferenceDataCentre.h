//===- ReferenceDataCentre.h - Reference model of the state -----*- C++ -*-===//
//
// Keeps flat lists and scans all of them for every command. Implements the
// rules in the comments of Commands.h independently, for the differential
// test.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_DATACENTRE_REFERENCEDATACENTRE_H
#define TULIPWEIR_TESTS_DATACENTRE_REFERENCEDATACENTRE_H

#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/datacentre/DataCentreState.h"

namespace tulipweir::datacentre {

struct ReferenceTask {
  TaskId Id_;
  TaskRecord Record_;
};
struct ReferenceJob {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  bool Cancelling_ = false;
  bool Releasing_ = false;
  bool Dropped_ = false;
};
struct ReferenceServer {
  RegisterServer Info_;
};

class ReferenceDataCentre {
public:
  std::vector<ReferenceServer> Servers_;
  std::vector<ReferenceJob> Jobs_;
  std::vector<ReferenceTask> Tasks_;

  Resources sumOf(const BackendServerId &Server) const {
    Resources Sum;
    for (const ReferenceTask &T : Tasks_)
      if (T.Record_.State_ == TaskState::Placed && T.Record_.Server_ == Server)
        Sum = Sum + T.Record_.Reservation_;
    return Sum;
  }
  int countTasks(const JobId &Job, TaskState State) const {
    int Count = 0;
    for (const ReferenceTask &T : Tasks_)
      Count += T.Id_.Job_ == Job && T.Record_.State_ == State;
    return Count;
  }

  /// Returns whether the command took effect.
  bool apply(const RegisterServer &C, FencingToken) {
    ReferenceServer *S = find(C.Server_);
    if (!S) {
      Servers_.push_back({C});
      return true;
    }
    if (S->Info_.Boot_ != C.Boot_) {
      for (ReferenceTask &T : Tasks_)
        if (T.Record_.State_ == TaskState::Placed &&
            T.Record_.Server_ == C.Server_)
          end(T, {T.Id_, T.Record_.Attempt_, AttemptEnd::Lost, "",
                  "the backend server restarted"});
    }
    S->Info_ = C;
    return true;
  }
  bool apply(const ForgetServer &C, FencingToken) {
    if (!find(C.Server_))
      return false;
    for (const ReferenceTask &T : Tasks_)
      if (T.Record_.State_ == TaskState::Placed &&
          T.Record_.Server_ == C.Server_)
        return false;
    std::erase_if(Servers_, [&](const ReferenceServer &S) {
      return S.Info_.Server_ == C.Server_;
    });
    return true;
  }
  bool apply(const AdoptJob &C, FencingToken) {
    ReferenceJob *J = find(C.Spec_.Job_);
    if (C.Assignment_ == 0)
      return false;
    if (J && (C.Assignment_ <= J->Assignment_ ||
              countTasks(C.Spec_.Job_, TaskState::Placed) > 0))
      return false;
    std::erase_if(Jobs_, [&](const ReferenceJob &Other) {
      return Other.Spec_.Job_ == C.Spec_.Job_;
    });
    forgetTasks(C.Spec_.Job_);
    Jobs_.push_back({C.Spec_, C.Assignment_});
    const auto Progress = decodeProgress(C.Progress_, C.Spec_.Tasks_).value();
    for (std::uint32_t I = 0; I < C.Spec_.Tasks_; ++I) {
      ReferenceTask T{{C.Spec_.Job_, I}, {}};
      if (!Progress.empty()) {
        T.Record_.Attempt_ = Progress[I].Attempt_;
        T.Record_.Failures_ = Progress[I].Failures_;
        T.Record_.Checkpoint_ = Progress[I].Checkpoint_;
        T.Record_.State_ = Progress[I].Finished_ ? TaskState::Finished
                           : Progress[I].Failed_ ? TaskState::Failed
                                                 : TaskState::Waiting;
      }
      Tasks_.push_back(T);
    }
    return true;
  }
  bool apply(const PlaceTask &C, FencingToken Token) {
    ReferenceTask *T = find(C.Task_);
    const ReferenceServer *S = find(C.Server_);
    if (!T || !S || S->Info_.Boot_ != C.Boot_ || S->Info_.Draining_)
      return false;
    const ReferenceJob *J = find(C.Task_.Job_);
    if (J->Cancelling_ || J->Releasing_ ||
        T->Record_.State_ != TaskState::Waiting ||
        C.Attempt_.value() != T->Record_.Attempt_.value() + 1)
      return false;
    if (!C.Reservation_.isValid() ||
        !(sumOf(C.Server_) + C.Reservation_).fitsIn(S->Info_.Capacity_))
      return false;
    T->Record_.State_ = TaskState::Placed;
    T->Record_.Attempt_ = C.Attempt_;
    T->Record_.Token_ = Token;
    T->Record_.Server_ = C.Server_;
    T->Record_.Boot_ = C.Boot_;
    T->Record_.Reservation_ = C.Reservation_;
    return true;
  }
  bool apply(const ChangeReservation &C, FencingToken) {
    ReferenceTask *T = find(C.Task_);
    if (!isPlaced(T, C.Attempt_) || !C.Reservation_.isValid())
      return false;
    const Resources Before = sumOf(T->Record_.Server_);
    const Resources Old = T->Record_.Reservation_;
    T->Record_.Reservation_ = C.Reservation_;
    const Resources After = sumOf(T->Record_.Server_);
    const Resources Capacity = find(T->Record_.Server_)->Info_.Capacity_;
    const bool Overfull = (After.MilliCpus_ > Before.MilliCpus_ &&
                           After.MilliCpus_ > Capacity.MilliCpus_) ||
                          (After.MemoryMib_ > Before.MemoryMib_ &&
                           After.MemoryMib_ > Capacity.MemoryMib_) ||
                          (After.Accelerators_ > Before.Accelerators_ &&
                           After.Accelerators_ > Capacity.Accelerators_);
    if (Overfull)
      T->Record_.Reservation_ = Old;
    return !Overfull;
  }
  bool apply(const EndAttempt &C, FencingToken) {
    ReferenceTask *T = find(C.Task_);
    if (!isPlaced(T, C.Attempt_))
      return false;
    if (C.End_ == AttemptEnd::Cancelled && !find(C.Task_.Job_)->Cancelling_)
      return false;
    end(*T, C);
    return true;
  }
  bool apply(const CancelJob &C, FencingToken) {
    ReferenceJob *J = find(C.Job_);
    if (!J || J->Dropped_ || J->Cancelling_ || hasEnded(C.Job_))
      return false;
    J->Cancelling_ = true;
    for (ReferenceTask &T : Tasks_)
      if (T.Id_.Job_ == C.Job_ && T.Record_.State_ == TaskState::Waiting)
        T.Record_.State_ = TaskState::Cancelled;
    return true;
  }
  bool apply(const DropJob &C, FencingToken) {
    ReferenceJob *J = find(C.Job_);
    if (!J || J->Dropped_)
      return false;
    const bool Placed = countTasks(C.Job_, TaskState::Placed) > 0;
    if (!hasEnded(C.Job_) && (!J->Releasing_ || Placed))
      return false;
    J->Dropped_ = true;
    forgetTasks(C.Job_);
    return true;
  }
  bool apply(const ReleaseJob &C, FencingToken) {
    ReferenceJob *J = find(C.Job_);
    if (!J || J->Dropped_ || J->Releasing_ || J->Assignment_ != C.Assignment_)
      return false;
    J->Releasing_ = true;
    return true;
  }
  template <class T> bool apply(const T &, FencingToken) { return false; }

private:
  ReferenceServer *find(const BackendServerId &Id) {
    for (ReferenceServer &S : Servers_)
      if (S.Info_.Server_ == Id)
        return &S;
    return nullptr;
  }
  ReferenceJob *find(const JobId &Id) {
    for (ReferenceJob &J : Jobs_)
      if (J.Spec_.Job_ == Id)
        return &J;
    return nullptr;
  }
  ReferenceTask *find(const TaskId &Id) {
    for (ReferenceTask &T : Tasks_)
      if (T.Id_ == Id)
        return &T;
    return nullptr;
  }
  static bool isPlaced(const ReferenceTask *T, AttemptNumber Attempt) {
    return T && T->Record_.State_ == TaskState::Placed &&
           T->Record_.Attempt_ == Attempt;
  }
  bool hasEnded(const JobId &Job) const {
    return countTasks(Job, TaskState::Waiting) +
               countTasks(Job, TaskState::Placed) ==
           0;
  }
  void forgetTasks(const JobId &Job) {
    std::erase_if(Tasks_,
                  [&](const ReferenceTask &T) { return T.Id_.Job_ == Job; });
  }
  void end(ReferenceTask &T, const EndAttempt &C) {
    const ReferenceJob &J = *find(T.Id_.Job_);
    TaskRecord &R = T.Record_;
    R.Server_ = BackendServerId();
    R.Boot_ = BootId();
    R.Reservation_ = Resources{};
    R.Message_ = C.Message_;
    R.Checkpoint_ = C.Checkpoint_.empty() ? R.Checkpoint_ : C.Checkpoint_;
    R.Failures_ += C.End_ == AttemptEnd::Failed;
    R.Evictions_ += C.End_ == AttemptEnd::Evicted;
    R.Losses_ += C.End_ == AttemptEnd::Lost;
    if (C.End_ == AttemptEnd::Finished)
      R.State_ = TaskState::Finished;
    else if (J.Cancelling_)
      R.State_ = TaskState::Cancelled;
    else if (C.End_ == AttemptEnd::Failed &&
             R.Failures_ >= J.Spec_.MaxAttempts_)
      R.State_ = TaskState::Failed;
    else
      R.State_ = TaskState::Waiting;
  }
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_REFERENCEDATACENTRE_H
