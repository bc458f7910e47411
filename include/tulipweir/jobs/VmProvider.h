//===- VmProvider.h - Who owns the VMs of backend servers ------*- C++ -*-===//
//
// Lists the VMs and puts one into maintenance. Orders carry the leader's
// fencing token, so that one of a leader that was replaced changes nothing.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_VMPROVIDER_H
#define TULIPWEIR_JOBS_VMPROVIDER_H

#include "tulipweir/core/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tulipweir::jobs {

enum class VmState : std::uint8_t {
  Up = 0,
  Moving = 1,      ///< To another service.
  Maintenance = 2, ///< It comes back by itself as a new backend server.
  Down = 3,
};

struct VmInfo {
  std::string Vm_;
  std::string Service_;
  VmState State_ = VmState::Down;
  std::string Server_; ///< The incarnation on it; may be empty.
  bool operator==(const VmInfo &) const = default;
};

struct VmList {
  std::vector<VmInfo> Vms_;
  /// False: there were rows that name no VM, so that one that is missing here
  /// may be there all the same.
  bool IsWhole_ = true;
  bool operator==(const VmList &) const = default;
};

enum class MaintenanceReply : std::uint8_t {
  Begun = 0,     ///< Now or before; nothing of its server runs any more.
  Fenced = 1,    ///< Another has ordered with a higher fencing token.
  Busy = 2,      ///< It is not up, or leaves.
  NotInWave = 3, ///< The wave does not name this VM.
  NoSuchVm = 4,
};

class VmProvider {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;

  virtual ~VmProvider() = default;
  /// False where the deployment has none.
  virtual bool isThere() const = 0;
  /// Both call Reply once, on any thread, within some seconds. Timeout: the
  /// order may have been carried out; Overfull: too many calls.
  virtual void listVms(Done<VmList> Reply) = 0;
  virtual void maintain(const std::string &Vm, std::uint64_t Wave,
                        std::uint64_t FencingToken,
                        Done<MaintenanceReply> Reply) = 0;
};

/// For deployments without one.
class NoVmProvider final : public VmProvider {
public:
  bool isThere() const override { return false; }
  void listVms(Done<VmList> Reply) override {
    Reply(fail(ErrorCode::Unavailable, "there is no provider of VMs"));
  }
  void maintain(const std::string &, std::uint64_t, std::uint64_t,
                Done<MaintenanceReply> Reply) override {
    Reply(fail(ErrorCode::Unavailable, "there is no provider of VMs"));
  }
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_VMPROVIDER_H
