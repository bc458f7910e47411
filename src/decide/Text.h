//===- Text.h - Formats figures for operators ------------------*- C++ -*-===//
//
// Formats amounts, times and ratios for the texts of decisions.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_TEXT_H
#define TULIPWEIR_SRC_DECIDE_TEXT_H

#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"

#include <string>

namespace tulipweir::decide {

/// Returns "2.5 processors, 1024 MiB", and the accelerators if there are any.
std::string describe(const Resources &Amount);
/// Returns "1.5 s".
std::string describe(Duration Time);
/// Returns the value with two decimal places.
std::string describe(double Value);
/// Returns "12.5 ms" for 12500 microseconds.
std::string describeMicros(double Micros);
/// Returns the dimensions of Needed that exceed Room: "MiB of memory (needs ..,
/// free ..)".
std::string describeShortage(const Resources &Needed, const Resources &Room);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TEXT_H
