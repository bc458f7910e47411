#include "control/JsonFields.h"

using namespace tulipweir;
using namespace tulipweir::control;

/// Far above the capacity of any VM, for every kind of resource.
static constexpr std::int64_t MaxResourceAmount = 1'000'000'000;

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
    return fail(ErrorCode::Malformed, "the body is not valid JSON");
  if (!Object.is_object())
    return fail(ErrorCode::Malformed, "the body must be one JSON object");
  return JsonFields(std::move(Object));
}

std::string JsonFields::readString(const std::string &Name, bool Required,
                                   std::size_t MaxBytes) {
  const Json *Value = findField(Name);
  if (!Value) {
    if (Required)
      addProblem(Name, "is missing; a string is required");
    return "";
  }
  if (!Value->is_string()) {
    addProblem(Name, "must be a string");
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

std::int64_t JsonFields::readInteger(const std::string &Name,
                                     std::int64_t Default, std::int64_t Min,
                                     std::int64_t Max) {
  const Json *Value = findField(Name);
  if (!Value)
    return Default;
  const bool IsInteger =
      Value->is_number_integer() &&
      (!Value->is_number_unsigned() ||
       Value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  const std::int64_t Number = IsInteger ? Value->get<std::int64_t>() : 0;
  if (IsInteger && Number >= Min && Number <= Max)
    return Number;
  addProblem(Name, "must be an integer from " + std::to_string(Min) + " to " +
                       std::to_string(Max));
  return Default;
}

Resources JsonFields::readResources(const std::string &Name) {
  const Json *Value = findField(Name);
  if (!Value) {
    addProblem(Name, "is missing; milliCpus and memoryMib are required");
    return {};
  }
  if (!Value->is_object()) {
    addProblem(Name, "must be an object");
    return {};
  }
  JsonFields Inner(*Value);
  const Resources Amount = Resources::makeFor(
      Inner.readInteger("milliCpus", 0, 0, MaxResourceAmount),
      Inner.readInteger("memoryMib", 0, 0, MaxResourceAmount),
      Inner.readInteger("accelerators", 0, 0, MaxResourceAmount));
  if (const Outcome<void> Checked = Inner.finish(); !Checked)
    addProblem(Name, "is invalid: " + Checked.error().Message_);
  return Amount;
}

Outcome<void> JsonFields::finish() {
  for (const auto &[Name, Value] : Object_.items())
    if (!ReadFields_.contains(Name))
      addProblem(Name, "is not a known field");
  if (Problems_.empty())
    return succeed();
  return fail(ErrorCode::InvalidArgument, Problems_);
}

const Json *JsonFields::findField(const std::string &Name) {
  ReadFields_.insert(Name);
  const auto It = Object_.find(Name);
  return It == Object_.end() || It->is_null() ? nullptr : &*It;
}

void JsonFields::addProblem(const std::string &Name, const std::string &Text) {
  if (!Problems_.empty())
    Problems_ += "; ";
  Problems_ += "\"" + Name + "\" " + Text;
}
