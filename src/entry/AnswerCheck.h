//===- AnswerCheck.h - What the end of one try means -----------*- C++ -*-===//
//
// Decides from how far an exchange got, and from what came back, whether the
// request was answered, was certainly not run, or may have run.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_ENTRY_ANSWERCHECK_H
#define TULIPWEIR_SRC_ENTRY_ANSWERCHECK_H

#include "tulipweir/decide/ServerChooser.h"
#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/net/HttpClient.h"

#include <string_view>

namespace tulipweir::entry {

enum class TryEnd : std::uint8_t {
  Whole,     ///< A whole answer to this very request.
  NotRun,    ///< Certainly not run: nothing was sent, or it was refused busy.
  MayHaveRun ///< Anything else.
};

struct TryResult {
  TryEnd End_ = TryEnd::MayHaveRun;
  RequestReason Reason_ = RequestReason::AnswerLost;
  decide::RequestResult ServerResult_ = decide::RequestResult::Failed;
  bool WrongId_ = false; ///< The answer belongs to another request.
};

TryResult checkAnswer(const net::HttpResult &Result,
                      std::string_view RequestId);

} // namespace tulipweir::entry

#endif // TULIPWEIR_SRC_ENTRY_ANSWERCHECK_H
