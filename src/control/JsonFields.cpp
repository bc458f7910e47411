#include "control/JsonFields.h"

using namespace tulipweir;
using namespace tulipweir::control;

/// Far more than any VM has, in every dimension.
static constexpr std::int64_t MostResources = 1'000'000'000;

std::string control::renderJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json control::makeResourcesJson(const Resources &Value) {
  return {{"milliCpus", Value.MilliCpus_},
          {"memoryMib", Value.MemoryMib_},
          {"accelerators", Value.Accelerators_}};
}

Outcome<JsonFields> JsonFields::parse(const std::string &Text) {
  Json Object = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Object.is_discarded())
    return fail(ErrorCode::Malformed, "the body is no JSON");
  if (!Object.is_object())
    return fail(ErrorCode::Malformed, "the body must be one JSON object");
  return JsonFields(std::move(Object));
}

std::string JsonFields::takeText(const std::string &Name, bool Required,
                                 std::size_t MaxBytes) {
  const Json *Value = take(Name);
  if (!Value) {
    if (Required)
      addProblem(Name, "is missing; a text is needed");
    return "";
  }
  if (!Value->is_string()) {
    addProblem(Name, "must be a text");
    return "";
  }
  std::string Text = Value->get<std::string>();
  if (Required && Text.empty())
    addProblem(Name, "must not be empty");
  if (Text.size() > MaxBytes)
    addProblem(Name, "has " + std::to_string(Text.size()) + " bytes; at most " +
                         std::to_string(MaxBytes) + " are allowed");
  return Text;
}

std::int64_t JsonFields::takeInteger(const std::string &Name,
                                     std::int64_t Default, std::int64_t Least,
                                     std::int64_t Most) {
  const Json *Value = take(Name);
  if (!Value)
    return Default;
  const bool Whole =
      Value->is_number_integer() &&
      (!Value->is_number_unsigned() ||
       Value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  const std::int64_t Number = Whole ? Value->get<std::int64_t>() : 0;
  if (Whole && Number >= Least && Number <= Most)
    return Number;
  addProblem(Name, "must be a whole number from " + std::to_string(Least) +
                       " to " + std::to_string(Most));
  return Default;
}

Resources JsonFields::takeResources(const std::string &Name) {
  const Json *Value = take(Name);
  if (!Value) {
    addProblem(Name, "is missing; milliCpus and memoryMib are needed");
    return {};
  }
  if (!Value->is_object()) {
    addProblem(Name, "must be an object");
    return {};
  }
  JsonFields Inner(*Value);
  const Resources Amount = Resources::makeFor(
      Inner.takeInteger("milliCpus", 0, 0, MostResources),
      Inner.takeInteger("memoryMib", 0, 0, MostResources),
      Inner.takeInteger("accelerators", 0, 0, MostResources));
  if (const Outcome<void> Checked = Inner.finish(); !Checked)
    addProblem(Name, "is wrong: " + Checked.error().Message_);
  return Amount;
}

Outcome<void> JsonFields::finish() {
  for (const auto &[Name, Value] : Object_.items())
    if (!Taken_.contains(Name))
      addProblem(Name, "is not known here");
  if (Problems_.empty())
    return succeed();
  return fail(ErrorCode::InvalidArgument, Problems_);
}

const Json *JsonFields::take(const std::string &Name) {
  Taken_.insert(Name);
  const auto Found = Object_.find(Name);
  return Found == Object_.end() || Found->is_null() ? nullptr : &*Found;
}

void JsonFields::addProblem(const std::string &Name, const std::string &Text) {
  if (!Problems_.empty())
    Problems_ += "; ";
  Problems_ += "\"" + Name + "\" " + Text;
}
