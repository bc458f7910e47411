#include "control/AnnouncementCheck.h"

#include "tulipweir/net/Endpoint.h"

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::size_t MaxNameBytes = 128;
static constexpr std::size_t MaxServices = 256;
static constexpr std::size_t MaxAttempts = 4096;
static constexpr std::size_t MaxCheckpointBytes = 65'536;
static constexpr std::uint32_t MaxSlots = 65'536;
static constexpr std::uint32_t MaxConnections = 1'000'000;
/// A thousand processors, 64 TiB, a thousand accelerators.
static constexpr Resources MostCapacity =
    Resources::makeFor(1'000'000, 64LL * 1024 * 1024, 1000);

static std::string checkName(const std::string &Name, const char *Field) {
  if (!Name.empty() && Name.size() <= MaxNameBytes)
    return "";
  return std::string(Field) + " must have 1 to " +
         std::to_string(MaxNameBytes) + " bytes";
}

static std::string checkNames(const wire::Announcement &Value) {
  std::string Problem = checkName(Value.Server_.value(), "server");
  if (Problem.empty())
    Problem = checkName(Value.Boot_.value(), "boot");
  if (Problem.empty() && Value.Rack_.value().size() > MaxNameBytes)
    Problem = "rack has more than " + std::to_string(MaxNameBytes) + " bytes";
  for (const ServiceId &Service : Value.Services_)
    if (Problem.empty())
      Problem = checkName(Service.value(), "each of services");
  return Problem;
}

static std::string checkSizes(const wire::Announcement &Value) {
  if (!Value.Capacity_.isValid() || !Value.Capacity_.fitsIn(MostCapacity))
    return "capacity must be from 0 to 1,000 processors, 64 TiB and 1,000 "
           "accelerators";
  if (Value.Slots_ > MaxSlots)
    return "slots must be at most " + std::to_string(MaxSlots);
  if (Value.Connections_ > MaxConnections)
    return "connections must be at most " + std::to_string(MaxConnections);
  if (Value.Services_.size() > MaxServices ||
      Value.ServiceReports_.size() > MaxServices)
    return "at most " + std::to_string(MaxServices) + " services are allowed";
  if (Value.Attempts_.size() > MaxAttempts)
    return "at most " + std::to_string(MaxAttempts) + " attempts are allowed";
  return "";
}

static std::string checkAttempts(const wire::Announcement &Value) {
  for (const wire::AttemptReport &Report : Value.Attempts_) {
    if (Report.Checkpoint_.size() > MaxCheckpointBytes ||
        Report.Message_.size() > MaxCheckpointBytes)
      return "a checkpoint or message must have at most " +
             std::to_string(MaxCheckpointBytes) + " bytes";
    if (!Report.Usage_.isValid() || !Report.Usage_.fitsIn(MostCapacity))
      return "the usage of " + Report.Task_.toString() + " cannot be";
  }
  return "";
}

static std::string checkAddress(const wire::Announcement &Value) {
  if (net::Endpoint::parse(Value.Address_))
    return "";
  return "address must be ip:port";
}

Outcome<void> control::checkAnnouncement(const wire::Announcement &Value,
                                         const DataCentreId &DataCentre) {
  if (Value.DataCentre_ != DataCentre)
    return fail(ErrorCode::InvalidArgument,
                "this is data centre " + DataCentre.value() + ", not " +
                    Value.DataCentre_.value() +
                    "; announce to an entry of your own");
  using Check = std::string (*)(const wire::Announcement &);
  for (const Check Rule : {checkNames, checkSizes, checkAttempts, checkAddress})
    if (std::string Problem = Rule(Value); !Problem.empty())
      return fail(ErrorCode::InvalidArgument, std::move(Problem));
  return succeed();
}
