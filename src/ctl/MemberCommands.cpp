//===- MemberCommands.cpp - Members of the replication groups -------------===//

#include "Commands.h"
#include "tulipweir/ctl/Table.h"

#include <charconv>
#include <ostream>

using namespace tulipweir;
using namespace tulipweir::ctl;

/// A change waits until the new member has caught up.
static constexpr Duration ChangePatience = std::chrono::seconds(30);

static void addMemberRows(Table &Rows, const json &Group) {
  for (const json &Member : findList(Group, "members")) {
    const bool Leads = readText(Member, "name") == readText(Group, "leader");
    Rows.addRow({showField(Group, "/group"), showField(Member, "/name"),
                 showField(Member, "/incarnation"), showField(Member, "/role"),
                 Leads ? "leader" : "",
                 Leads ? showField(Group, "/term") : ""});
  }
}

static void printMembers(CtlContext &Context, const json &Document) {
  Table Rows({"GROUP", "MEMBER", "INCARNATION", "ROLE", "LEADS", "TERM"});
  for (const json &Group : findList(Document, "groups"))
    addMemberRows(Rows, Group);
  Context.Out_ << Rows.render();
  for (const json &Group : findList(Document, "groups"))
    if (const auto Failure = readText(Group, "failure"); !Failure.empty())
      Context.Out_ << "group " << showField(Group, "/group")
                   << " failed at the control that answered: "
                   << makePrintable(Failure) << "\n";
}

CtlExit ctl::listMembers(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/members", "", "", {}}, printMembers);
}

static void printChanged(CtlContext &Context, const json &Document) {
  printTable(
      Context, findList(Document, "members"),
      {{"MEMBER", "/name"}, {"INCARNATION", "/incarnation"}, {"ROLE", "/role"}},
      "done");
}

/// GROUP NAME [INCARNATION]
static CtlExit change(CtlContext &Context, const Arguments &Words,
                      const std::string &Action) {
  json Body = {{"name", Words[1]}};
  if (Words.size() > 2) {
    std::uint64_t Incarnation = 0;
    const char *End = Words[2].data() + Words[2].size();
    const auto Read = std::from_chars(Words[2].data(), End, Incarnation);
    if (Read.ec != std::errc() || Read.ptr != End) {
      Context.Err_ << "tulipweirctl: \"" << makePrintable(Words[2])
                   << "\" is no incarnation; 'members list' shows them\n";
      return CtlExit::BadUsage;
    }
    Body["incarnation"] = Incarnation;
  }
  ApiRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/members/" + escapeStep(Words[0]) + "/" + Action;
  Request.Body_ = renderJson(Body);
  Request.Patience_ = ChangePatience;
  return askAndShow(Context, Request, printChanged);
}

CtlExit ctl::addMember(CtlContext &Context, const Arguments &Words) {
  return change(Context, Words, "add");
}

CtlExit ctl::promoteMember(CtlContext &Context, const Arguments &Words) {
  return change(Context, Words, "promote");
}

CtlExit ctl::removeMember(CtlContext &Context, const Arguments &Words) {
  return change(Context, Words, "remove");
}

CtlExit ctl::replaceMember(CtlContext &Context, const Arguments &Words) {
  return change(Context, Words, "replace");
}
