//===- CtlSettings.cpp - Settings of tulipweirctl -------------------------===//

#include "tulipweir/ctl/CtlSettings.h"
#include "tulipweir/net/Options.h"

#include <limits>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::ctl;

using std::chrono::hours;
using std::chrono::milliseconds;

/// Fills Entries_; returns the problem or an empty string.
static std::string readEntries(CtlSettings &Target) {
  std::istringstream List(Target.EntryList_);
  std::string Item;
  Target.Entries_.clear();
  while (std::getline(List, Item, ',')) {
    const auto Entry = net::Endpoint::parse(Item);
    if (!Entry || Entry.value().Port_ == 0)
      return "--entry: \"" + Item +
             "\" is not allowed; allowed: ip:port, several with commas";
    Target.Entries_.push_back(Entry.value());
  }
  if (Target.Entries_.empty())
    return "--entry: the value is missing; allowed: ip:port";
  return "";
}

void ctl::addCtlOptions(net::Options &To, CtlSettings &Target) {
  static constexpr std::int64_t MostListed = 1000;
  static constexpr auto Most = std::numeric_limits<std::int64_t>::max();
  To.addText("entry", Target.EntryList_,
             "Entries to ask, ip:port with commas between; the next one is "
             "tried when one gives no answer.");
  To.addText("operator", Target.Operator_,
             "Your name in the bundle's list of operators (propose, sign).");
  To.addText("key-file", Target.KeyFile_,
             "The file with your secret key, from keygen (propose, sign).");
  To.addSwitch("json", Target.Json_,
               "Prints JSON for scripts, one document or one a line (watch).");
  To.addSwitch("wait", Target.Wait_,
               "propose, sign: waits until the bundle is in force everywhere "
               "and says how long that took.");
  To.addSwitch("log", Target.FromLogs_,
               "explain: reads the files named, logs of any processes.");
  To.addDuration("timeout-ms", Target.Timeout_, milliseconds(100), hours(1),
                 "How long to go on trying, in milliseconds; with --wait also "
                 "how long to wait.");
  To.addInteger("limit", Target.Limit_, 1, MostListed,
                "The most lines of a list.");
  To.addInteger("after", Target.After_, 0, Most,
                "watch: begins after the decision with this number.");
  To.addInteger("count", Target.Count_, 0, Most,
                "watch: ends after so many decisions; 0: never.");
  To.addRule([&Target] { return readEntries(Target); });
}
