//===- DecisionJson.h - JSON form of decisions -----------------*- C++ -*-===//
//
// Renders a decision for the stream, the explanation of a task and the dump.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DECISIONJSON_H
#define TULIPWEIR_SRC_CONTROL_DECISIONJSON_H

#include "control/DecisionStream.h"
#include "control/JsonFields.h"

namespace tulipweir::control {

Json makeDecisionJson(const decide::Decision &Value);
Json makeStreamJson(const DecisionStream::Batch &Batch,
                    std::uint64_t LastSequence);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DECISIONJSON_H
