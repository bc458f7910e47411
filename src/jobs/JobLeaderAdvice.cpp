#include "jobs/JobLeaderImpl.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The service answers one caller's questions in turn: a second one would only
/// wait behind the first. After an error it is left alone for so long.
static constexpr Duration ErrorPause = 250ms;
/// Beyond the time that an answer takes by the queue's own figures.
static constexpr Duration AnswerSlack = 1s;

void JobLeader::Impl::askAdvice() {
  const TimePoint Now = Time_.now();
  if (!Advisor_.isAvailable() || IsAsking_ || Now < NextQuestion_)
    return;
  const std::optional<AdviceRequest> Question =
      Machine_.read([&](const JobBook &Book) {
        const auto IsUsable = [&](const std::string &Id) {
          const ServerRecord *Server = Book.findServer(Id);
          return Server && Board_.takesStarts(Book, *Server) &&
                 Health_.getFitness(Id, Now) == Fitness::Sound;
        };
        Advice_.prune(Book);
        return Advice_.findNextRequest(Book, IsUsable, Now);
      });
  if (!Question)
    return;
  IsAsking_ = true;
  const Duration Limit =
      AnswerSlack + std::chrono::milliseconds(Question->Times_.DecideMs_ +
                                              Question->Times_.EachMs_ *
                                                  Question->Servers_.size());
  Advisor_.ask(Question->Step_, Question->Servers_, Limit,
               [Weak = weak_from_this(), &Strand = Strand_, Term = Term_,
                Question = *Question](const Outcome<Advice> &Answer) {
                 Strand.post([Weak, Term, Question, Answer] {
                   const std::shared_ptr<Impl> Self = Weak.lock();
                   if (Self && Self->Term_ == Term)
                     Self->noteAdvice(Question, Answer);
                 });
               });
}

void JobLeader::Impl::noteAdvice(const AdviceRequest &Question,
                                 const Outcome<Advice> &Answer) {
  IsAsking_ = false;
  Event Line;
  Line.Kind_ = EventKind::AdviceTaken;
  Line.Job_ = Question.Step_.Job_;
  Line.Task_ = std::to_string(Question.Step_.Occurrence_) + "." +
               std::to_string(Question.Step_.Step_);
  Line.Count_ = Question.Servers_.size();
  if (Answer) {
    Advice_.addAnswer(Question, Answer.value(), Time_.now());
    Line.Outcome_ =
        std::to_string(Answer.value().EligibleServers_.size()) + " may run it";
  } else {
    NextQuestion_ = Time_.now() + ErrorPause;
    Line.Outcome_ = "none";
    Line.Reason_ = Answer.error().Message_;
  }
  Log_.write(Line);
  // The next question at once: every step of such a queue waits for one.
  askAdvice();
}
