//===- FieldReader.cpp - Typed fields of one JSON object ------------------===//

#include "FieldReader.h"
#include "JsonText.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <sstream>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;
using nlohmann::json;

static constexpr std::size_t MaxNameBytes = 64;
static constexpr std::size_t MaxValueBytes = 40;

/// Returns the value as JSON, shortened so that a problem fits on one line.
static std::string formatValue(const json &Value) {
  std::string DisplayText =
      Value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (DisplayText.size() > MaxValueBytes)
    DisplayText = DisplayText.substr(0, MaxValueBytes) + "...";
  return DisplayText;
}

template <class Number> static std::string formatRange(Range<Number> Allowed) {
  std::ostringstream Out;
  Out << Allowed.Min_ << " to " << Allowed.Max_;
  return Out.str();
}

static bool isAlphanumeric(char Character) {
  const bool IsDigit = Character >= '0' && Character <= '9';
  const bool IsLower = Character >= 'a' && Character <= 'z';
  const bool IsUpper = Character >= 'A' && Character <= 'Z';
  return IsDigit || IsLower || IsUpper;
}

static bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes || !isAlphanumeric(Text[0]))
    return false;
  return std::ranges::all_of(Text, [](char Character) {
    return isAlphanumeric(Character) || Character == '.' || Character == '_' ||
           Character == '-';
  });
}

FieldReader::FieldReader(const json &Value, std::string Pointer,
                         std::vector<BundleProblem> &Problems)
    : Value_(Value), Pointer_(std::move(Pointer)), Problems_(Problems) {
  if (!Value_.is_object())
    Problems_.push_back(
        {Pointer_, "is " + formatValue(Value_) + "; an object is expected"});
}

std::string FieldReader::makePointer(const std::string &Name) const {
  return appendPointer(Pointer_, Name);
}

void FieldReader::addProblem(const std::string &Name, std::string Text) {
  Problems_.push_back({makePointer(Name), std::move(Text)});
}

const json *FieldReader::find(const std::string &Name, Presence Expected) {
  KnownNames_.insert(Name);
  if (!Value_.is_object())
    return nullptr;
  const auto It = Value_.find(Name);
  if (It != Value_.end())
    return &*It;
  if (Expected == Presence::Required)
    addProblem(Name, "is missing; it is required");
  return nullptr;
}

void FieldReader::readText(const std::string &Name, std::string &Target,
                           Presence Expected, std::size_t MaxBytes) {
  const json *Field = find(Name, Expected);
  if (!Field)
    return;
  const auto *Text = Field->get_ptr<const std::string *>();
  if (!Text || Text->size() > MaxBytes)
    return addProblem(Name,
                      "is " + formatValue(*Field) + "; a string of at most " +
                          std::to_string(MaxBytes) + " bytes is expected");
  Target = *Text;
}

bool FieldReader::readName(const std::string &Name, std::string &Target) {
  const json *Field = find(Name, Presence::Required);
  if (!Field)
    return false;
  const auto *Text = Field->get_ptr<const std::string *>();
  if (!Text || !isName(*Text)) {
    addProblem(Name, "is " + formatValue(*Field) +
                         "; a name of 1 to 64 letters, digits, '.', '_' or "
                         "'-' is expected, beginning with a letter or digit");
    return false;
  }
  Target = *Text;
  return true;
}

void FieldReader::readInt64(const std::string &Name, std::int64_t &Target,
                            Range<std::int64_t> Allowed, Presence Expected) {
  const json *Field = find(Name, Expected);
  if (!Field)
    return;
  const bool Fits = Field->is_number_integer() &&
                    (!Field->is_number_unsigned() ||
                     std::in_range<std::int64_t>(Field->get<std::uint64_t>()));
  const std::int64_t Number = Fits ? Field->get<std::int64_t>() : 0;
  if (!Fits || Number < Allowed.Min_ || Number > Allowed.Max_)
    return addProblem(Name, "is " + formatValue(*Field) + "; an integer from " +
                                formatRange(Allowed) + " is expected");
  Target = Number;
}

void FieldReader::readNumber(const std::string &Name, double &Target,
                             Range<double> Allowed, Presence Expected) {
  const json *Field = find(Name, Expected);
  if (!Field)
    return;
  const double Number = Field->is_number() ? Field->get<double>() : NAN;
  if (!(Number >= Allowed.Min_ && Number <= Allowed.Max_))
    return addProblem(Name, "is " + formatValue(*Field) + "; a number from " +
                                formatRange(Allowed) + " is expected");
  Target = Number;
}

void FieldReader::readMillis(const std::string &Name, Duration &Target,
                             Range<std::int64_t> Allowed) {
  using std::chrono::milliseconds;
  std::int64_t Millis =
      std::chrono::duration_cast<milliseconds>(Target).count();
  readInt64(Name, Millis, Allowed, Presence::Optional);
  Target = milliseconds(Millis);
}

void FieldReader::readBool(const std::string &Name, bool &Target) {
  const json *Field = find(Name, Presence::Optional);
  if (!Field)
    return;
  if (!Field->is_boolean())
    return addProblem(Name, "is " + formatValue(*Field) +
                                "; true or false is expected");
  Target = Field->get<bool>();
}

const json *FieldReader::findArray(const std::string &Name, Presence Expected,
                                   std::size_t MaxEntries) {
  const json *Field = find(Name, Expected);
  if (!Field)
    return nullptr;
  if (Field->is_array() && Field->size() <= MaxEntries)
    return Field;
  addProblem(Name, "is " + formatValue(*Field) + "; an array of at most " +
                       std::to_string(MaxEntries) + " entries is expected");
  return nullptr;
}

const json *FieldReader::findObject(const std::string &Name) {
  const json *Field = find(Name, Presence::Optional);
  if (!Field || Field->is_object())
    return Field;
  addProblem(Name, "is " + formatValue(*Field) + "; an object is expected");
  return nullptr;
}

void FieldReader::reportUnknownFields() {
  if (!Value_.is_object())
    return;
  for (const auto &Field : Value_.items()) {
    if (KnownNames_.contains(Field.key()))
      continue;
    std::string Allowed;
    for (const std::string &Name : KnownNames_)
      Allowed += (Allowed.empty() ? "" : ", ") + Name;
    addProblem(Field.key(), "is unknown; known fields are " + Allowed);
  }
}
