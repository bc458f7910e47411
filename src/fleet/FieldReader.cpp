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
static constexpr std::size_t MaxShownBytes = 40;

/// The value as found, shortened so that one problem stays one line.
static std::string showValue(const json &Value) {
  std::string Shown =
      Value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (Shown.size() > MaxShownBytes)
    Shown = Shown.substr(0, MaxShownBytes) + "...";
  return Shown;
}

template <class Number> static std::string showRange(Range<Number> Allowed) {
  std::ostringstream Out;
  Out << Allowed.Least_ << " to " << Allowed.Most_;
  return Out.str();
}

static bool isNameLetter(char Letter) {
  const bool IsDigit = Letter >= '0' && Letter <= '9';
  const bool IsSmall = Letter >= 'a' && Letter <= 'z';
  const bool IsLarge = Letter >= 'A' && Letter <= 'Z';
  return IsDigit || IsSmall || IsLarge;
}

static bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes || !isNameLetter(Text[0]))
    return false;
  return std::ranges::all_of(Text, [](char Letter) {
    return isNameLetter(Letter) || Letter == '.' || Letter == '_' ||
           Letter == '-';
  });
}

FieldReader::FieldReader(const json &Value, std::string Place,
                         std::vector<BundleProblem> &Problems)
    : Value_(Value), Place_(std::move(Place)), Problems_(Problems) {
  if (!Value_.is_object())
    Problems_.push_back(
        {Place_, "is " + showValue(Value_) + "; an object is allowed"});
}

std::string FieldReader::placeOf(const std::string &Name) const {
  return appendPointer(Place_, Name);
}

void FieldReader::addProblem(const std::string &Name, std::string Text) {
  Problems_.push_back({placeOf(Name), std::move(Text)});
}

const json *FieldReader::find(const std::string &Name, Need Needed) {
  Asked_.insert(Name);
  if (!Value_.is_object())
    return nullptr;
  const auto Found = Value_.find(Name);
  if (Found != Value_.end())
    return &*Found;
  if (Needed == Need::Required)
    addProblem(Name, "is missing; it is required");
  return nullptr;
}

void FieldReader::readText(const std::string &Name, std::string &Target,
                           Need Needed, std::size_t MaxBytes) {
  const json *Found = find(Name, Needed);
  if (!Found)
    return;
  const auto *Text = Found->get_ptr<const std::string *>();
  if (!Text || Text->size() > MaxBytes)
    return addProblem(Name, "is " + showValue(*Found) + "; a text of at most " +
                                std::to_string(MaxBytes) + " bytes is allowed");
  Target = *Text;
}

bool FieldReader::readName(const std::string &Name, std::string &Target) {
  const json *Found = find(Name, Need::Required);
  if (!Found)
    return false;
  const auto *Text = Found->get_ptr<const std::string *>();
  if (!Text || !isName(*Text)) {
    addProblem(Name, "is " + showValue(*Found) +
                         "; a name of 1 to 64 letters, digits, '.', '_' or "
                         "'-' is allowed, beginning with a letter or digit");
    return false;
  }
  Target = *Text;
  return true;
}

void FieldReader::readWide(const std::string &Name, std::int64_t &Target,
                           Range<std::int64_t> Allowed, Need Needed) {
  const json *Found = find(Name, Needed);
  if (!Found)
    return;
  const bool Fits = Found->is_number_integer() &&
                    (!Found->is_number_unsigned() ||
                     std::in_range<std::int64_t>(Found->get<std::uint64_t>()));
  const std::int64_t Number = Fits ? Found->get<std::int64_t>() : 0;
  if (!Fits || Number < Allowed.Least_ || Number > Allowed.Most_)
    return addProblem(Name, "is " + showValue(*Found) +
                                "; a whole number from " + showRange(Allowed) +
                                " is allowed");
  Target = Number;
}

void FieldReader::readNumber(const std::string &Name, double &Target,
                             Range<double> Allowed, Need Needed) {
  const json *Found = find(Name, Needed);
  if (!Found)
    return;
  const double Number = Found->is_number() ? Found->get<double>() : NAN;
  if (!(Number >= Allowed.Least_ && Number <= Allowed.Most_))
    return addProblem(Name, "is " + showValue(*Found) + "; a number from " +
                                showRange(Allowed) + " is allowed");
  Target = Number;
}

void FieldReader::readMillis(const std::string &Name, Duration &Target,
                             Range<std::int64_t> Allowed) {
  using std::chrono::milliseconds;
  std::int64_t Millis =
      std::chrono::duration_cast<milliseconds>(Target).count();
  readWide(Name, Millis, Allowed, Need::Optional);
  Target = milliseconds(Millis);
}

void FieldReader::readSwitch(const std::string &Name, bool &Target) {
  const json *Found = find(Name, Need::Optional);
  if (!Found)
    return;
  if (!Found->is_boolean())
    return addProblem(Name,
                      "is " + showValue(*Found) + "; true or false is allowed");
  Target = Found->get<bool>();
}

const json *FieldReader::findArray(const std::string &Name, Need Needed,
                                   std::size_t MaxEntries) {
  const json *Found = find(Name, Needed);
  if (!Found)
    return nullptr;
  if (Found->is_array() && Found->size() <= MaxEntries)
    return Found;
  addProblem(Name, "is " + showValue(*Found) + "; a list of at most " +
                       std::to_string(MaxEntries) + " entries is allowed");
  return nullptr;
}

const json *FieldReader::findObject(const std::string &Name) {
  const json *Found = find(Name, Need::Optional);
  if (!Found || Found->is_object())
    return Found;
  addProblem(Name, "is " + showValue(*Found) + "; an object is allowed");
  return nullptr;
}

void FieldReader::refuseUnknown() {
  if (!Value_.is_object())
    return;
  for (const auto &Field : Value_.items()) {
    if (Asked_.contains(Field.key()))
      continue;
    std::string Allowed;
    for (const std::string &Name : Asked_)
      Allowed += (Allowed.empty() ? "" : ", ") + Name;
    addProblem(Field.key(), "is unknown here; allowed are " + Allowed);
  }
}
