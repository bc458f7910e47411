//===- AnswerCheck.h - Classification of responses -------------*- C++ -*-===//
//
// Decides from the progress of an HTTP exchange and from its response whether
// the request was answered, certainly did not run, or may have run.
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
  Complete,  ///< A complete response to this request arrived.
  NotRun,    ///< Certainly not run: nothing was sent, or the server was busy.
  MayHaveRun ///< Any other end.
};

struct TryResult {
  TryEnd End_ = TryEnd::MayHaveRun;
  RequestReason Reason_ = RequestReason::AnswerLost;
  decide::RequestResult ServerResult_ = decide::RequestResult::Failed;
  bool WrongId_ = false; ///< The response has the id of another request.
};

TryResult checkAnswer(const net::HttpResult &Result,
                      std::string_view RequestId);

} // namespace tulipweir::entry

#endif // TULIPWEIR_SRC_ENTRY_ANSWERCHECK_H
