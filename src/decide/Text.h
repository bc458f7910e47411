//===- Text.h - Figures in sentences for people ----------------*- C++ -*-===//
//
// How the decisions' texts write amounts, times and parts.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_TEXT_H
#define TULIPWEIR_SRC_DECIDE_TEXT_H

#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"

#include <string>

namespace tulipweir::decide {

/// "2.5 processors, 1024 MiB" and the accelerators if there are any.
std::string describe(const Resources &Amount);
/// "1.5 s".
std::string describe(Duration Time);
/// Two digits after the point.
std::string describe(double Value);
/// "12.5 ms" of microseconds.
std::string describeMicros(double Micros);
/// Which dimensions of Needed are not in Room: "memory (needs .., free ..)".
std::string describeShortage(const Resources &Needed, const Resources &Room);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TEXT_H
