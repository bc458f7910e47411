//===- VmProvider.h - Interface of the VM provider -------------*- C++ -*-===//
//
// The provider lists the VMs of the backend servers and puts single VMs into
// maintenance. Each order carries the leader's fencing token, so that an order
// of a replaced leader has no effect.
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
  Moving = 1,      ///< The VM is moving to another service.
  Maintenance = 2, ///< The VM comes back by itself, as a new backend server.
  Down = 3,
};

struct VmInfo {
  std::string Vm_;
  std::string Service_;
  VmState State_ = VmState::Down;
  /// The id of the backend server on the VM; may be empty.
  std::string Server_;
  bool operator==(const VmInfo &) const = default;
};

struct VmList {
  std::vector<VmInfo> Vms_;
  /// False if some rows of the list name no VM, so that a VM that is missing
  /// from the list may still exist.
  bool IsComplete_ = true;
  bool operator==(const VmList &) const = default;
};

enum class MaintenanceReply : std::uint8_t {
  /// Maintenance has begun, now or earlier; no task of its server runs any
  /// more.
  Begun = 0,
  /// Another leader has sent an order with a higher fencing token.
  Fenced = 1,
  Busy = 2,      ///< The VM is not up, or is leaving.
  NotInWave = 3, ///< The wave does not name this VM.
  NoSuchVm = 4,
};

class VmProvider {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;

  virtual ~VmProvider() = default;
  /// Returns false if the deployment has no provider.
  virtual bool isAvailable() const = 0;
  /// Both functions call Reply once, on any thread, within a few seconds. After
  /// Timeout the order may have been carried out; Overfull means that too many
  /// calls are pending.
  virtual void listVms(Done<VmList> Reply) = 0;
  virtual void maintain(const std::string &Vm, std::uint64_t Wave,
                        std::uint64_t FencingToken,
                        Done<MaintenanceReply> Reply) = 0;
};

/// Used by deployments without a VM provider.
class NullVmProvider final : public VmProvider {
public:
  bool isAvailable() const override { return false; }
  void listVms(Done<VmList> Reply) override {
    Reply(fail(ErrorCode::Unavailable, "this deployment has no VM provider"));
  }
  void maintain(const std::string &, std::uint64_t, std::uint64_t,
                Done<MaintenanceReply> Reply) override {
    Reply(fail(ErrorCode::Unavailable, "this deployment has no VM provider"));
  }
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_VMPROVIDER_H
