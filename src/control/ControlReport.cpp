#include "control/ControlReport.h"

using namespace tulipweir;
using namespace tulipweir::control;

static Json makeEntryJson(const EntryVersion &Status) {
  return {{"entry", Status.Entry_.value()},
          {"incarnation", Status.Incarnation_},
          {"version", Status.Held_.value()},
          {"ageMs", Status.AgeMs_}};
}

Json control::makeReportJson(const ControlReport &Status) {
  Json Entries = Json::array();
  for (const EntryVersion &Entry : Status.Entries_)
    Entries.push_back(makeEntryJson(Entry));
  return {{"control", Status.Name_},
          {"dataCentre", Status.DataCentre_.value()},
          {"region", Status.Region_},
          {"leader", Status.Leads_},
          {"version", Status.Held_.value()},
          {"digest", Status.Digest_.value()},
          {"entries", std::move(Entries)},
          {"rollOut",
           {{"version", Status.RollOut_.Version_.value()},
            {"tookMs", Status.RollOut_.DurationMs_}}}};
}

static EntryVersion readEntry(const Json &Source) {
  EntryVersion Status;
  Status.Entry_ = EntryId(Source.at("entry").get<std::string>());
  Status.Incarnation_ = Source.at("incarnation").get<std::uint64_t>();
  Status.Held_ = BundleVersion(Source.at("version").get<std::uint64_t>());
  Status.AgeMs_ = Source.at("ageMs").get<std::uint64_t>();
  return Status;
}

static ControlReport readReport(const Json &Source) {
  ControlReport Status;
  Status.Name_ = Source.at("control").get<std::string>();
  Status.DataCentre_ = DataCentreId(Source.at("dataCentre").get<std::string>());
  Status.Region_ = Source.at("region").get<std::string>();
  Status.Leads_ = Source.at("leader").get<bool>();
  Status.Held_ = BundleVersion(Source.at("version").get<std::uint64_t>());
  Status.Digest_ = Digest(Source.at("digest").get<std::string>());
  for (const Json &Entry : Source.at("entries"))
    Status.Entries_.push_back(readEntry(Entry));
  const Json &Last = Source.at("rollOut");
  Status.RollOut_.Version_ =
      BundleVersion(Last.at("version").get<std::uint64_t>());
  Status.RollOut_.DurationMs_ = Last.at("tookMs").get<std::uint64_t>();
  return Status;
}

std::optional<ControlReport> control::parseReport(const std::string &Text) {
  try {
    return readReport(Json::parse(Text));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}
