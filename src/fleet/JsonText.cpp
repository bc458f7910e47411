//===- JsonText.cpp - Strict JSON parser with comments -------------------===//

#include "JsonText.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>

using namespace tulipweir;
using namespace tulipweir::fleet;
using nlohmann::json;

static constexpr std::size_t MaxNesting = 32;

namespace {

/// Follows the parser's events and reports duplicate keys of an object.
class DuplicateFinder {
public:
  explicit DuplicateFinder(std::vector<BundleProblem> &Problems)
      : Problems_(Problems) {}

  bool onEvent(json::parse_event_t Event, const json &Parsed);

private:
  struct Level {
    std::string Pointer_;
    std::string Key_;
    std::uint64_t Next_ = 0;
    bool IsArray_ = false;
    std::set<std::string> Keys_;
  };

  void pushLevel(bool IsArray);
  void recordKey(const std::string &Key);
  std::string advancePointer();

  std::vector<BundleProblem> &Problems_;
  std::vector<Level> Levels_;
};

} // namespace

std::string DuplicateFinder::advancePointer() {
  if (Levels_.empty())
    return "";
  Level &Top = Levels_.back();
  if (Top.IsArray_)
    return appendPointer(Top.Pointer_, std::to_string(Top.Next_++));
  return appendPointer(Top.Pointer_, Top.Key_);
}

void DuplicateFinder::pushLevel(bool IsArray) {
  Level Entered;
  Entered.Pointer_ = advancePointer();
  Entered.IsArray_ = IsArray;
  Levels_.push_back(std::move(Entered));
}

void DuplicateFinder::recordKey(const std::string &Key) {
  Level &Top = Levels_.back();
  Top.Key_ = Key;
  if (!Top.Keys_.insert(Key).second)
    Problems_.push_back({appendPointer(Top.Pointer_, Key),
                         "is duplicated; each field is allowed once"});
}

bool DuplicateFinder::onEvent(json::parse_event_t Event, const json &Parsed) {
  switch (Event) {
  case json::parse_event_t::object_start:
    pushLevel(false);
    break;
  case json::parse_event_t::array_start:
    pushLevel(true);
    break;
  case json::parse_event_t::object_end:
  case json::parse_event_t::array_end:
    Levels_.pop_back();
    break;
  case json::parse_event_t::key:
    recordKey(Parsed.get_ref<const std::string &>());
    break;
  case json::parse_event_t::value:
    advancePointer();
    break;
  }
  return true;
}

std::string fleet::appendPointer(const std::string &Pointer,
                                 std::string_view Token) {
  std::string Extended = Pointer + "/";
  for (const char Character : Token) {
    if (Character == '~')
      Extended += "~0";
    else if (Character == '/')
      Extended += "~1";
    else
      Extended += Character;
  }
  return Extended;
}

/// Converts the library's byte number, which counts from 1, to the line and
/// column that operators look for.
static std::string formatLineAndColumn(std::string_view Text,
                                       std::size_t Byte) {
  const auto Before = Text.substr(0, Byte == 0 ? 0 : Byte - 1);
  const auto Line = 1 + std::ranges::count(Before, '\n');
  const std::size_t LineStart = Before.rfind('\n');
  const std::size_t Column = LineStart == std::string_view::npos
                                 ? Before.size() + 1
                                 : Before.size() - LineStart;
  return std::to_string(Line) + ":" + std::to_string(Column);
}

/// Removes the library's own error number and position from its message.
static std::string shortenMessage(std::string Message) {
  const std::size_t Colon = Message.find(": ");
  return Colon == std::string::npos ? Message : Message.substr(Colon + 2);
}

static bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  for (const char Character : Text) {
    if (Character == '[' || Character == '{')
      ++Depth;
    if ((Character == ']' || Character == '}') && Depth > 0)
      --Depth;
    if (Depth > MaxNesting)
      return true;
  }
  return false;
}

std::optional<json> fleet::readJsonText(std::string_view Text,
                                        std::vector<BundleProblem> &Problems) {
  if (isTooDeep(Text)) {
    Problems.push_back({"1:1", "is nested deeper than " +
                                   std::to_string(MaxNesting) + " levels"});
    return std::nullopt;
  }
  DuplicateFinder Finder(Problems);
  const auto OnEvent = [&Finder](int, json::parse_event_t Event, json &Parsed) {
    return Finder.onEvent(Event, Parsed);
  };
  try {
    return json::parse(Text, OnEvent, true, true);
  } catch (const json::parse_error &Caught) {
    Problems.push_back({formatLineAndColumn(Text, Caught.byte),
                        "is not JSON: " + shortenMessage(Caught.what())});
  } catch (const json::exception &Caught) {
    Problems.push_back({"1:1", "is JSON that cannot be represented: " +
                                   shortenMessage(Caught.what())});
  }
  return std::nullopt;
}
