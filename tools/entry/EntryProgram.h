//===- EntryProgram.h - The process around an entry ------------*- C++ -*-===//
//
// Listens, connects to the control processes, and stops as planned.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_ENTRY_ENTRYPROGRAM_H
#define TULIPWEIR_TOOLS_ENTRY_ENTRYPROGRAM_H

#include "entry/EntrySettings.h"

namespace tulipweir::entry {

/// Runs until a planned stop has ended.
net::ExitCode runEntry(const EntrySettings &Settings);

} // namespace tulipweir::entry

#endif // TULIPWEIR_TOOLS_ENTRY_ENTRYPROGRAM_H
