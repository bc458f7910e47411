#include "tulipweir/net/Options.h"

#include "net/OptionSpec.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <list>
#include <map>
#include <set>

using namespace tulipweir;
using namespace tulipweir::net;

Environment net::getProcessEnvironment() {
  return [](const std::string &Name) -> std::optional<std::string> {
    // Read once at start, before there are other threads.
    const char *Value = std::getenv(Name.c_str()); // NOLINT(concurrency-*)
    if (!Value)
      return std::nullopt;
    return Value;
  };
}

namespace {

/// A value that was given, and where.
struct GivenValue {
  std::string Text_;
  std::string Source_; ///< The flag or the variable.
};

/// What the command line holds, before any value is checked.
struct CommandLine {
  std::map<std::string, std::string> Values_;
  std::vector<std::string> Words_;
  std::vector<std::string> Problems_;
  std::string Valueless_; ///< The flag that lacks its value, if one does.
  bool Help_ = false;
  bool Version_ = false;
  bool Check_ = false;
};

} // namespace

class Options::Impl {
public:
  Impl(std::string Program, std::string Summary)
      : Program_(std::move(Program)), Summary_(std::move(Summary)) {}

  void add(const std::string &Flag, const std::string &Help, bool Required,
           OptionSpec Spec);
  OptionsResult parse(int ArgC, const char *const *ArgV,
                      const Environment &Env);

  std::list<OptionSpec> Specs_;
  std::vector<std::function<std::string()>> Rules_;
  /// The flag that stands in for a required one: secret for secret-file.
  std::map<std::string, std::string> Alternatives_;
  std::vector<std::string> *Words_ = nullptr;
  std::string WordsHelp_;

private:
  cxxopts::Options makeParser() const;
  CommandLine readCommandLine(int ArgC, const char *const *ArgV) const;
  void checkWord(const std::string &Word, CommandLine &Line) const;
  std::optional<GivenValue> findValue(const OptionSpec &Spec,
                                      const CommandLine &Line,
                                      const Environment &Env) const;
  std::vector<std::string> readValues(const CommandLine &Line,
                                      const Environment &Env);
  std::string renderHelp() const;

  std::string Program_;
  std::string Summary_;
};

void Options::Impl::add(const std::string &Flag, const std::string &Help,
                        bool Required, OptionSpec Spec) {
  Spec.Flag_ = Flag;
  Spec.Help_ = Help;
  Spec.Required_ = Required;
  Specs_.push_back(std::move(Spec));
}

cxxopts::Options Options::Impl::makeParser() const {
  cxxopts::Options Parser(Program_);
  Parser.allow_unrecognised_options();
  auto Adder = Parser.add_options();
  for (const char *Switch : {"help", "version", "check-settings"})
    Adder(Switch, "", cxxopts::value<std::string>()->implicit_value("true"));
  for (const OptionSpec &Spec : Specs_) {
    auto Value = cxxopts::value<std::string>();
    Adder(Spec.Flag_, "", Spec.Switch_ ? Value->implicit_value("true") : Value);
  }
  return Parser;
}

void Options::Impl::checkWord(const std::string &Word,
                              CommandLine &Line) const {
  if (Word.starts_with("-"))
    Line.Problems_.push_back(Word + ": no such flag; see --help");
  else if (!Words_)
    Line.Problems_.push_back("\"" + Word +
                             "\": only flags are allowed; see --help");
  else
    Line.Words_.push_back(Word);
}

CommandLine Options::Impl::readCommandLine(int ArgC,
                                           const char *const *ArgV) const {
  CommandLine Line;
  // The parser stops at a flag that lacks its value. Only the last argument
  // can, so it is looked at here and the rest goes on.
  const std::string Last = ArgC > 1 ? ArgV[ArgC - 1] : "";
  for (const OptionSpec &Spec : Specs_)
    if (!Spec.Switch_ && Last == "--" + Spec.Flag_) {
      Line.Problems_.push_back(
          Last + ": the value is missing; allowed: " + Spec.Allowed_);
      Line.Valueless_ = Spec.Flag_;
      --ArgC;
    }
  try {
    const auto Parsed = makeParser().parse(ArgC, ArgV);
    for (const auto &Pair : Parsed.arguments())
      if (!Line.Values_.emplace(Pair.key(), Pair.value()).second)
        Line.Problems_.push_back("--" + Pair.key() +
                                 ": given twice; allowed: once");
    for (const std::string &Word : Parsed.unmatched())
      checkWord(Word, Line);
  } catch (const std::exception &Problem) {
    Line.Problems_.emplace_back(Problem.what());
  }
  Line.Help_ = Line.Values_.contains("help");
  Line.Version_ = Line.Values_.contains("version");
  Line.Check_ = Line.Values_.contains("check-settings");
  return Line;
}

std::optional<GivenValue>
Options::Impl::findValue(const OptionSpec &Spec, const CommandLine &Line,
                         const Environment &Env) const {
  const auto Found = Line.Values_.find(Spec.Flag_);
  if (Found != Line.Values_.end())
    return GivenValue{Found->second, "--" + Spec.Flag_};
  if (auto Value = Env(Spec.getVariable()))
    return GivenValue{*Value, Spec.getVariable()};
  return std::nullopt;
}

/// Writes all targets; returns all that is wrong.
std::vector<std::string> Options::Impl::readValues(const CommandLine &Line,
                                                   const Environment &Env) {
  std::vector<std::string> Problems;
  std::set<std::string> Given = {Line.Valueless_};
  for (const OptionSpec &Spec : Specs_) {
    const auto Value = findValue(Spec, Line, Env);
    if (!Value)
      continue;
    Given.insert(Spec.Flag_);
    const std::string Shown =
        Spec.Secret_ ? "the given secret" : "\"" + Value->Text_ + "\"";
    if (!Spec.Read_(Value->Text_))
      Problems.push_back(Value->Source_ + ": " + Shown +
                         " is not allowed; allowed: " + Spec.Allowed_);
  }
  for (const OptionSpec &Spec : Specs_) {
    const auto Alternative = Alternatives_.find(Spec.Flag_);
    const bool Replaced = Alternative != Alternatives_.end() &&
                          Given.contains(Alternative->second);
    if (Spec.Required_ && !Given.contains(Spec.Flag_) && !Replaced)
      Problems.push_back("--" + Spec.Flag_ + " (or " + Spec.getVariable() +
                         "): the value is missing; allowed: " + Spec.Allowed_);
  }
  return Problems;
}

std::string Options::Impl::renderHelp() const {
  std::string Text = Program_ + ": " + Summary_ + "\n\nUsage: " + Program_ +
                     " [flags]" + (Words_ ? " " + WordsHelp_ : "") + "\n\n";
  for (const OptionSpec &Spec : Specs_) {
    Text += "  --" + Spec.Flag_ + "\n      " + Spec.Help_ +
            "\n      Allowed: " + Spec.Allowed_ +
            ". Environment: " + Spec.getVariable() + ".";
    if (Spec.Required_)
      Text += " Required.";
    if (!Spec.Default_.empty())
      Text += " Default: " + Spec.Default_ + ".";
    Text += "\n";
  }
  return Text +
         "  --help\n      Shows this text.\n"
         "  --version\n      Shows the version.\n"
         "  --check-settings\n      Checks the settings and leaves.\n\n"
         "A flag goes before the environment, both before the default.\n"
         "Exit codes: 0 success, 1 failure, 2 bad settings, 3 cannot listen,\n"
         "4 storage failed, 5 a planned stop did not end in time.\n";
}

static std::string renderProblems(const std::string &Program,
                                  const std::vector<std::string> &Problems) {
  std::string Text = Program + ": the settings have " +
                     std::to_string(Problems.size()) + " problem(s):\n";
  for (const std::string &Problem : Problems)
    Text += "  " + Problem + "\n";
  return Text + "Nothing was started. --help shows all settings.\n";
}

OptionsResult Options::Impl::parse(int ArgC, const char *const *ArgV,
                                   const Environment &Env) {
  CommandLine Line = readCommandLine(ArgC, ArgV);
  if (Line.Help_)
    return {ExitCode::Success, renderHelp()};
  if (Line.Version_)
    return {ExitCode::Success, Program_ + " " + TULIPWEIR_VERSION + "\n"};
  std::vector<std::string> Problems = std::move(Line.Problems_);
  for (std::string &Problem : readValues(Line, Env))
    Problems.push_back(std::move(Problem));
  for (const auto &Rule : Rules_)
    if (std::string Problem = Rule(); !Problem.empty())
      Problems.push_back(std::move(Problem));
  if (!Problems.empty())
    return {ExitCode::BadSettings, renderProblems(Program_, Problems)};
  if (Words_)
    *Words_ = std::move(Line.Words_);
  if (Line.Check_)
    return {ExitCode::Success, Program_ + ": the settings are good\n"};
  return {};
}

Options::Options(std::string Program, std::string Summary)
    : Impl_(std::make_unique<Impl>(std::move(Program), std::move(Summary))) {}
Options::~Options() = default;

void Options::addText(const std::string &Flag, std::string &Target,
                      const std::string &Help, bool Required) {
  Impl_->add(Flag, Help, Required, makeTextSpec(Target));
}

void Options::addSecret(const std::string &Flag, std::string &Target,
                        const std::string &Help, std::size_t MinBytes) {
  const std::string FileFlag = Flag + "-file";
  Impl_->add(FileFlag, "Reads --" + Flag + " from a file's first line.", false,
             makeSecretFileSpec(Target, MinBytes));
  Impl_->add(Flag, Help, Target.empty() && MinBytes > 0,
             makeSecretSpec(Target, MinBytes));
  Impl_->Alternatives_[Flag] = FileFlag;
}

void Options::addInteger(const std::string &Flag, std::int64_t &Target,
                         std::int64_t Least, std::int64_t Most,
                         const std::string &Help) {
  Impl_->add(Flag, Help, false, makeIntegerSpec(Target, Least, Most));
}

void Options::addDuration(const std::string &Flag, Duration &Target,
                          Duration Least, Duration Most,
                          const std::string &Help) {
  Impl_->add(Flag, Help, false, makeDurationSpec(Target, Least, Most));
}

void Options::addChoice(const std::string &Flag, std::string &Target,
                        const std::vector<std::string> &Allowed,
                        const std::string &Help) {
  Impl_->add(Flag, Help, false, makeChoiceSpec(Target, Allowed));
}

void Options::addSwitch(const std::string &Flag, bool &Target,
                        const std::string &Help) {
  Impl_->add(Flag, Help, false, makeSwitchSpec(Target));
}

void Options::addEndpoint(const std::string &Flag, Endpoint &Target,
                          const std::string &Help, bool Required) {
  Impl_->add(Flag, Help, Required, makeEndpointSpec(Target));
}

void Options::addPeers(const std::string &Flag,
                       std::vector<NamedEndpoint> &Target,
                       const std::string &Help, bool Required) {
  Impl_->add(Flag, Help, Required, makePeersSpec(Target));
}

void Options::addRule(std::function<std::string()> Rule) {
  Impl_->Rules_.push_back(std::move(Rule));
}

void Options::allowWords(std::vector<std::string> &Target,
                         const std::string &Help) {
  Impl_->Words_ = &Target;
  Impl_->WordsHelp_ = Help;
}

OptionsResult Options::parse(int ArgC, const char *const *ArgV,
                             const Environment &Env) {
  return Impl_->parse(ArgC, ArgV, Env);
}
