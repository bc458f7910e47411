#include "jobs/JobLeaderImpl.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The pause after an error of the advice service. The service answers one
/// caller's questions in turn, so only one question is open at a time.
static constexpr Duration ErrorPause = 250ms;
/// Slack that is added to the time that the queue's policy allows for an
/// answer.
static constexpr Duration AnswerSlack = 1s;

void JobLeader::Impl::requestAdvice() {
  const TimePoint Now = Time_.now();
  if (!Advisor_.isAvailable() || IsAdvicePending_ || Now < NextAdviceRequest_)
    return;
  const std::optional<AdviceRequest> Question =
      Machine_.read([&](const JobRegistry &Registry) {
        const auto IsUsable = [&](const std::string &Id) {
          const ServerRecord *Server = Registry.findServer(Id);
          return Server && LiveServers_.acceptsStarts(Registry, *Server) &&
                 Health_.getHealthState(Id, Now) == HealthState::Healthy;
        };
        Advice_.prune(Registry);
        return Advice_.findNextRequest(Registry, IsUsable, Now);
      });
  if (!Question)
    return;
  IsAdvicePending_ = true;
  const Duration Limit =
      AnswerSlack + std::chrono::milliseconds(Question->Times_.PerCallMs_ +
                                              Question->Times_.PerServerMs_ *
                                                  Question->Servers_.size());
  std::vector<std::string> ServerIds;
  for (const std::string &Id : Question->Servers_)
    ServerIds.push_back(IncarnationId::parse(Id).getServerId());
  Advisor_.ask(Question->Step_, ServerIds, Limit,
               [Weak = weak_from_this(), &Strand = Strand_, Term = Term_,
                Question = *Question](const Outcome<Advice> &Answer) {
                 Strand.post([Weak, Term, Question, Answer] {
                   const std::shared_ptr<Impl> Self = Weak.lock();
                   if (Self && Self->Term_ == Term)
                     Self->handleAdvice(Question, Answer);
                 });
               });
}

/// Replaces the servers' ids by the incarnations that the question was about. A
/// ticket is not valid for a later one.
static Advice nameEligible(const AdviceRequest &Question, Advice Answer) {
  std::map<std::string, std::string> Incarnations;
  for (const std::string &Id : Question.Servers_)
    Incarnations[IncarnationId::parse(Id).getServerId()] = Id;
  for (EligibleServer &Server : Answer.EligibleServers_)
    if (const auto It = Incarnations.find(Server.Server_);
        It != Incarnations.end())
      Server.Server_ = It->second;
  return Answer;
}

void JobLeader::Impl::handleAdvice(const AdviceRequest &Question,
                                   const Outcome<Advice> &Answer) {
  IsAdvicePending_ = false;
  Event Line;
  Line.Kind_ = EventKind::AdviceTaken;
  Line.Job_ = Question.Step_.Job_;
  Line.Task_ = std::to_string(Question.Step_.Occurrence_) + "." +
               std::to_string(Question.Step_.Step_);
  Line.Count_ = Question.Servers_.size();
  if (Answer) {
    Advice_.addAnswer(Question, nameEligible(Question, Answer.value()),
                      Time_.now());
    Line.Outcome_ = std::to_string(Answer.value().EligibleServers_.size()) +
                    " servers may run it";
  } else {
    NextAdviceRequest_ = Time_.now() + ErrorPause;
    Line.Outcome_ = "none";
    Line.Reason_ = Answer.error().Message_;
  }
  Log_.write(Line);
  // Every step of such a queue waits for advice, so the next question is sent
  // at once.
  requestAdvice();
}
