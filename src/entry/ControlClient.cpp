//===- ControlClient.cpp --------------------------------------------------===//

#include "tulipweir/entry/ControlClient.h"

using namespace tulipweir;
using namespace tulipweir::entry;

void ControlClient::announceBatch(
    const wire::AnnouncementBatch &, Duration,
    ControlCallback<wire::AnnouncementBatch> Done) {
  Done(fail(ErrorCode::VersionMismatch,
            "announcement batches are not supported"));
}
