//===- Answers.h - Reading and showing the API's answers -------*- C++ -*-===//
//
// Every command asks through here, so that errors look alike, say what to do
// next, and end with the documented exit code.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CTL_ANSWERS_H
#define TULIPWEIR_SRC_CTL_ANSWERS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/ctl/CtlSettings.h"
#include "tulipweir/ctl/OperatorApi.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tulipweir::ctl {

using nlohmann::json;

/// The words after the command's own.
using Arguments = std::vector<std::string>;

/// An answer that was read as JSON. The library's value moves without
/// throwing, which the linter does not see.
struct Answer { // NOLINT(bugprone-exception-escape)
  unsigned Status_ = 0;
  json Body_;

  bool isGood() const { return Status_ >= 200 && Status_ < 300; }
};

/// Sends the request and reads the answer, whatever its status. Fails when
/// there is none, or none in JSON.
Outcome<Answer> ask(CtlContext &Context, const ApiRequest &Request);

/// Prints the error of an answer, or that there was none, with what to do
/// next. Returns the exit code.
CtlExit reportError(CtlContext &Context, const Answer &Refused);
CtlExit reportError(CtlContext &Context, const Error &Problem);

/// The document on one line. Words of the command line may be no UTF-8; what
/// is none is replaced.
std::string renderJson(const json &Document);

/// Prints the document on one line.
void printJson(CtlContext &Context, const json &Document);

/// Asks by GET; prints the answer as JSON or by Show, or the error.
CtlExit askAndShow(CtlContext &Context, const ApiRequest &Request,
                   void (*Show)(CtlContext &, const json &));

/// The value as one cell: texts as they are, lists with commas.
std::string showValue(const json &Value);

/// The field as one cell; "-" if it is absent or empty.
std::string showField(const json &Object, const std::string &Pointer);

/// A field's number, or Otherwise.
std::uint64_t readNumber(const json &Object, const std::string &Name,
                         std::uint64_t Otherwise);
std::string readText(const json &Object, const std::string &Name);
/// False unless the field is true.
bool readFlag(const json &Object, const std::string &Name);

/// The list of that name in the document; an empty one if there is none.
const json &findList(const json &Document, const std::string &Name);

struct Column {
  const char *Title_;
  const char *Pointer_;
};

/// One row for each entry of the list; Empty is printed if there is none.
void printTable(CtlContext &Context, const json &List,
                const std::vector<Column> &Columns, const std::string &Empty);

/// "2026-12-02 14:30:05" in UTC.
std::string showWallTime(std::uint64_t WallMs);

/// Reads a whole file; "-" is the standard input.
Outcome<std::string> readFile(const std::string &Name);

} // namespace tulipweir::ctl

#endif // TULIPWEIR_SRC_CTL_ANSWERS_H
