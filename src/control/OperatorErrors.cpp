#include "control/OperatorErrors.h"

#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::control;

namespace {
struct CodeStatus {
  ErrorCode Code_;
  std::uint32_t Status_;
};
} // namespace

static constexpr CodeStatus Statuses[] = {
    {ErrorCode::InvalidArgument, 400},  {ErrorCode::Malformed, 400},
    {ErrorCode::PermissionDenied, 403}, {ErrorCode::NotFound, 404},
    {ErrorCode::AlreadyExists, 409},    {ErrorCode::Conflict, 409},
    {ErrorCode::StaleToken, 409},       {ErrorCode::Overfull, 409},
    {ErrorCode::TooLarge, 413},         {ErrorCode::NotLeader, 503},
    {ErrorCode::Unavailable, 503},      {ErrorCode::Timeout, 503},
    {ErrorCode::StorageFailed, 503}};

std::uint32_t control::getErrorStatus(std::string_view ErrorName) {
  for (const CodeStatus &Entry : Statuses)
    if (getErrorName(Entry.Code_) == ErrorName)
      return Entry.Status_;
  return 500;
}

wire::OperatorAnswer control::makeErrorAnswer(std::string_view ErrorName,
                                              const std::string &Message) {
  const nlohmann::json Body = {{"error", ErrorName}, {"message", Message}};
  // External text may contain invalid UTF-8, which is replaced.
  return {getErrorStatus(ErrorName),
          Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

wire::OperatorAnswer control::makeErrorAnswer(const Error &Value) {
  return makeErrorAnswer(getErrorName(Value.Code_), Value.Message_);
}
