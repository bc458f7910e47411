#include "net/OptionSpec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <set>

using namespace tulipweir;
using namespace tulipweir::net;

std::string OptionSpec::getVariable() const {
  std::string Name = "TULIPWEIR_" + Flag_;
  std::replace(Name.begin(), Name.end(), '-', '_');
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return Name;
}

static bool readInteger(const std::string &Text, std::int64_t &Value) {
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  return Code == std::errc() && Last == End;
}

static std::int64_t toMilliseconds(Duration From) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(From).count();
}

OptionSpec net::makeTextSpec(std::string &Target) {
  OptionSpec Spec;
  Spec.Allowed_ = "any text but the empty one";
  Spec.Default_ = Target;
  Spec.Read_ = [&Target](const std::string &Text) {
    Target = Text;
    return !Text.empty();
  };
  return Spec;
}

OptionSpec net::makeSecretSpec(std::string &Target, std::size_t MinBytes) {
  OptionSpec Spec;
  Spec.Secret_ = true;
  Spec.Allowed_ = std::to_string(MinBytes) + " bytes or more";
  Spec.Read_ = [&Target, MinBytes](const std::string &Text) {
    Target = Text;
    return Text.size() >= MinBytes;
  };
  return Spec;
}

OptionSpec net::makeSecretFileSpec(std::string &Target, std::size_t MinBytes) {
  OptionSpec Spec;
  Spec.Allowed_ = "a readable file whose first line has " +
                  std::to_string(MinBytes) + " bytes or more";
  Spec.Read_ = [&Target, MinBytes](const std::string &Path) {
    std::ifstream File(Path);
    std::string Line;
    if (!std::getline(File, Line) || Line.size() < MinBytes)
      return false;
    Target = Line;
    return true;
  };
  return Spec;
}

OptionSpec net::makeIntegerSpec(std::int64_t &Target, std::int64_t Least,
                                std::int64_t Most) {
  OptionSpec Spec;
  Spec.Allowed_ = "a whole number from " + std::to_string(Least) + " to " +
                  std::to_string(Most);
  Spec.Default_ = std::to_string(Target);
  Spec.Read_ = [&Target, Least, Most](const std::string &Text) {
    std::int64_t Value = 0;
    if (!readInteger(Text, Value) || Value < Least || Value > Most)
      return false;
    Target = Value;
    return true;
  };
  return Spec;
}

OptionSpec net::makeDurationSpec(Duration &Target, Duration Least,
                                 Duration Most) {
  const std::int64_t LeastMs = toMilliseconds(Least);
  const std::int64_t MostMs = toMilliseconds(Most);
  OptionSpec Spec;
  Spec.Allowed_ = "milliseconds from " + std::to_string(LeastMs) + " to " +
                  std::to_string(MostMs);
  Spec.Default_ = std::to_string(toMilliseconds(Target));
  Spec.Read_ = [&Target, LeastMs, MostMs](const std::string &Text) {
    std::int64_t Value = 0;
    if (!readInteger(Text, Value) || Value < LeastMs || Value > MostMs)
      return false;
    Target = std::chrono::milliseconds(Value);
    return true;
  };
  return Spec;
}

OptionSpec net::makeChoiceSpec(std::string &Target,
                               const std::vector<std::string> &Allowed) {
  OptionSpec Spec;
  Spec.Allowed_ = "one of";
  for (const std::string &Each : Allowed)
    Spec.Allowed_ += " " + Each;
  Spec.Default_ = Target;
  Spec.Read_ = [&Target, Allowed](const std::string &Text) {
    if (std::find(Allowed.begin(), Allowed.end(), Text) == Allowed.end())
      return false;
    Target = Text;
    return true;
  };
  return Spec;
}

OptionSpec net::makeSwitchSpec(bool &Target) {
  OptionSpec Spec;
  Spec.Switch_ = true;
  Spec.Allowed_ = "true or false";
  Spec.Default_ = Target ? "true" : "false";
  Spec.Read_ = [&Target](const std::string &Text) {
    Target = Text == "true" || Text == "1";
    return Target || Text == "false" || Text == "0";
  };
  return Spec;
}

OptionSpec net::makeEndpointSpec(Endpoint &Target) {
  OptionSpec Spec;
  Spec.Allowed_ = "ip:port or [ipv6]:port";
  Spec.Default_ = Target.Address_.empty() ? "" : Target.toString();
  Spec.Read_ = [&Target](const std::string &Text) {
    const auto Parsed = Endpoint::parse(Text);
    if (Parsed)
      Target = Parsed.value();
    return Parsed.has_value();
  };
  return Spec;
}

static std::optional<NamedEndpoint> readPeer(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == 0 || Equals == std::string::npos)
    return std::nullopt;
  const auto Address = Endpoint::parse(Text.substr(Equals + 1));
  if (!Address)
    return std::nullopt;
  return NamedEndpoint{Text.substr(0, Equals), Address.value()};
}

static bool readPeers(const std::string &Text,
                      std::vector<NamedEndpoint> &Target) {
  std::vector<NamedEndpoint> Peers;
  std::set<std::string> Names;
  for (std::size_t From = 0; From <= Text.size();) {
    const std::size_t To = std::min(Text.find(',', From), Text.size());
    const auto Peer = readPeer(Text.substr(From, To - From));
    if (!Peer || !Names.insert(Peer->Name_).second)
      return false;
    Peers.push_back(*Peer);
    From = To + 1;
  }
  Target = std::move(Peers);
  return true;
}

OptionSpec net::makePeersSpec(std::vector<NamedEndpoint> &Target) {
  OptionSpec Spec;
  Spec.Allowed_ = "name=ip:port, separated by commas, each name once";
  for (const NamedEndpoint &Peer : Target)
    Spec.Default_ += (Spec.Default_.empty() ? "" : ",") + Peer.Name_ + "=" +
                     Peer.Endpoint_.toString();
  Spec.Read_ = [&Target](const std::string &Text) {
    return readPeers(Text, Target);
  };
  return Spec;
}
