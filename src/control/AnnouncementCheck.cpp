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
/// 1,000 CPUs, 64 TiB of memory and 1,000 accelerators.
static constexpr Resources MaxCapacity =
    Resources::makeFor(1'000'000, 64LL * 1024 * 1024, 1000);

static std::string checkName(const std::string &Name, const char *Field) {
  if (!Name.empty() && Name.size() <= MaxNameBytes)
    return "";
  return std::string(Field) + " must have 1 to " +
         std::to_string(MaxNameBytes) + " bytes";
}

static std::string checkNames(const wire::Announcement &Announced) {
  std::string Problem = checkName(Announced.Server_.value(), "server");
  if (Problem.empty())
    Problem = checkName(Announced.Boot_.value(), "boot");
  if (Problem.empty() && Announced.Rack_.value().size() > MaxNameBytes)
    Problem = "rack has more than " + std::to_string(MaxNameBytes) + " bytes";
  for (const ServiceId &Service : Announced.Services_)
    if (Problem.empty())
      Problem = checkName(Service.value(), "each of services");
  return Problem;
}

static std::string checkSizes(const wire::Announcement &Announced) {
  if (!Announced.Capacity_.isValid() ||
      !Announced.Capacity_.fitsIn(MaxCapacity))
    return "capacity must be from 0 to 1,000 processors, 64 TiB and 1,000 "
           "accelerators";
  if (Announced.Slots_ > MaxSlots)
    return "slots must be at most " + std::to_string(MaxSlots);
  if (Announced.Connections_ > MaxConnections)
    return "connections must be at most " + std::to_string(MaxConnections);
  if (Announced.Services_.size() > MaxServices ||
      Announced.ServiceReports_.size() > MaxServices)
    return "at most " + std::to_string(MaxServices) + " services are allowed";
  if (Announced.Attempts_.size() > MaxAttempts)
    return "at most " + std::to_string(MaxAttempts) + " attempts are allowed";
  return "";
}

static std::string checkAttempts(const wire::Announcement &Announced) {
  for (const wire::AttemptReport &Report : Announced.Attempts_) {
    if (Report.Checkpoint_.size() > MaxCheckpointBytes ||
        Report.Message_.size() > MaxCheckpointBytes)
      return "a checkpoint or message must have at most " +
             std::to_string(MaxCheckpointBytes) + " bytes";
    if (!Report.Usage_.isValid() || !Report.Usage_.fitsIn(MaxCapacity))
      return "the usage of " + Report.Task_.toString() + " is out of range";
  }
  return "";
}

static std::string checkAddress(const wire::Announcement &Announced) {
  if (net::Endpoint::parse(Announced.Address_))
    return "";
  return "address must be ip:port";
}

Outcome<void> control::checkAnnouncement(const wire::Announcement &Announced,
                                         const DataCentreId &DataCentre) {
  if (Announced.DataCentre_ != DataCentre)
    return fail(ErrorCode::InvalidArgument,
                "this is data centre " + DataCentre.value() + ", not " +
                    Announced.DataCentre_.value() +
                    "; announce to an entry of your own data centre");
  using Check = std::string (*)(const wire::Announcement &);
  for (const Check Rule : {checkNames, checkSizes, checkAttempts, checkAddress})
    if (std::string Problem = Rule(Announced); !Problem.empty())
      return fail(ErrorCode::InvalidArgument, std::move(Problem));
  return succeed();
}
