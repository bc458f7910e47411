#include "control/ControlReport.h"

using namespace tulipweir;
using namespace tulipweir::control;

static Json makeEntryJson(const EntryVersion &Value) {
  return {{"entry", Value.Entry_.value()},
          {"incarnation", Value.Incarnation_},
          {"version", Value.Held_.value()},
          {"ageMs", Value.AgeMs_}};
}

Json control::makeReportJson(const ControlReport &Value) {
  Json Entries = Json::array();
  for (const EntryVersion &Entry : Value.Entries_)
    Entries.push_back(makeEntryJson(Entry));
  return {{"control", Value.Name_},
          {"dataCentre", Value.DataCentre_.value()},
          {"region", Value.Region_},
          {"leader", Value.Leads_},
          {"version", Value.Held_.value()},
          {"digest", Value.Digest_.value()},
          {"entries", std::move(Entries)},
          {"rollOut",
           {{"version", Value.RollOut_.Version_.value()},
            {"tookMs", Value.RollOut_.TookMs_}}}};
}

static EntryVersion readEntry(const Json &From) {
  EntryVersion Value;
  Value.Entry_ = EntryId(From.at("entry").get<std::string>());
  Value.Incarnation_ = From.at("incarnation").get<std::uint64_t>();
  Value.Held_ = BundleVersion(From.at("version").get<std::uint64_t>());
  Value.AgeMs_ = From.at("ageMs").get<std::uint64_t>();
  return Value;
}

static ControlReport readReport(const Json &From) {
  ControlReport Value;
  Value.Name_ = From.at("control").get<std::string>();
  Value.DataCentre_ = DataCentreId(From.at("dataCentre").get<std::string>());
  Value.Region_ = From.at("region").get<std::string>();
  Value.Leads_ = From.at("leader").get<bool>();
  Value.Held_ = BundleVersion(From.at("version").get<std::uint64_t>());
  Value.Digest_ = Digest(From.at("digest").get<std::string>());
  for (const Json &Entry : From.at("entries"))
    Value.Entries_.push_back(readEntry(Entry));
  const Json &Last = From.at("rollOut");
  Value.RollOut_.Version_ =
      BundleVersion(Last.at("version").get<std::uint64_t>());
  Value.RollOut_.TookMs_ = Last.at("tookMs").get<std::uint64_t>();
  return Value;
}

std::optional<ControlReport> control::parseReport(const std::string &Text) {
  try {
    return readReport(Json::parse(Text));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}
