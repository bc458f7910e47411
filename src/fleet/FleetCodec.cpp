//===- FleetCodec.cpp - Binary encoding of the fleet's values ------------===//

#include "tulipweir/fleet/FleetCodec.h"
#include "Pack.h"

#include <cstddef>
#include <utility>
#include <variant>

using namespace tulipweir;
using namespace tulipweir::fleet;

static constexpr std::uint32_t SnapshotFormat = 1;

// Fields are listed in the order of their declaration, which is the encoding.

namespace tulipweir::fleet {

template <class F> static void forEachField(SignOff &V, F Use) {
  Use(V.Operator_, V.Signature_);
}
template <class F> static void forEachField(ProposeBundle &V, F Use) {
  Use(V.Text_, V.SignOff_, V.WallMs_);
}
template <class F> static void forEachField(SignBundle &V, F Use) {
  Use(V.Digest_, V.SignOff_, V.WallMs_);
}
template <class F> static void forEachField(SubmitJob &V, F Use) {
  Use(V.Job_, V.Team_, V.Spec_, V.Preferred_, V.WallMs_);
}
template <class F> static void forEachField(AssignJob &V, F Use) {
  Use(V.Job_, V.DataCentre_);
}
template <class F> static void forEachField(ReleaseJob &V, F Use) {
  Use(V.Job_, V.Assignment_, V.Expired_, V.Progress_);
}
template <class F> static void forEachField(CancelJob &V, F Use) {
  Use(V.Job_);
}
template <class F> static void forEachField(EndJob &V, F Use) {
  Use(V.Job_, V.Assignment_, V.End_, V.Message_, V.WallMs_);
}
template <class F> static void forEachField(CommandResult &V, F Use) {
  Use(V.Error_, V.Message_, V.Version_, V.Digest_, V.Accepted_, V.Assignment_);
}
template <class F> static void forEachField(AcceptedBundle &V, F Use) {
  Use(V.Version_, V.Digest_, V.ParentVersion_, V.Note_, V.SignedBy_, V.WallMs_,
      V.Text_);
}
template <class F> static void forEachField(ArchivedBundle &V, F Use) {
  Use(V.Version_, V.WallMs_, V.Digest_);
}
template <class F> static void forEachField(ProposedBundle &V, F Use) {
  Use(V.Version_, V.Text_, V.SignOffs_, V.Sequence_);
}
template <class F> static void forEachField(SupersededBundle &V, F Use) {
  Use(V.Digest_, V.Version_);
}
template <class F> static void forEachField(FleetJob &V, F Use) {
  Use(V.Team_, V.Spec_, V.SpecDigest_, V.Preferred_, V.SubmittedWallMs_,
      V.Assignment_, V.DataCentre_, V.Cancelling_, V.Progress_, V.End_,
      V.Message_, V.EndedWallMs_);
}

template <class F> static void forEachField(HeldAssignment &V, F Use) {
  Use(V.Job_, V.Assignment_);
}
template <class F> static void forEachField(DataCentreLoad &V, F Use) {
  Use(V.Reserved_, V.WaitingTasks_, V.Servers_);
}
template <class F> static void forEachField(AssignmentReport &V, F Use) {
  Use(V.DataCentre_, V.HasLoad_, V.Load_, V.Due_);
}
template <class F> static void forEachField(AssignmentReply &V, F Use) {
  Use(V.Renewed_);
}

namespace {

/// The parts of a FleetState in the order of a snapshot.
struct Snapshot {
  std::uint32_t Format_ = SnapshotFormat;
  std::vector<ArchivedBundle> Archive_;
  std::deque<AcceptedBundle> Recent_;
  std::map<Digest, ProposedBundle> Proposals_;
  std::deque<SupersededBundle> Superseded_;
  std::uint64_t NextSequence_ = 0;
  std::map<JobId, FleetJob> Jobs_;
  std::deque<JobId> Ended_;
};

template <class F> static void forEachField(Snapshot &V, F Use) {
  Use(V.Format_, V.Archive_, V.Recent_, V.Proposals_, V.Superseded_,
      V.NextSequence_, V.Jobs_, V.Ended_);
}

} // namespace

} // namespace tulipweir::fleet

template <> struct fleet::pack::Format<JobEnd> {
  static void write(Packer &Out, JobEnd Value) {
    Out.pack(static_cast<std::uint8_t>(Value));
  }
  static void read(const object &In, JobEnd &Value) {
    std::uint8_t Number = 0;
    Format<std::uint8_t>::read(In, Number);
    require(Number <= static_cast<std::uint8_t>(JobEnd::Cancelled));
    Value = static_cast<JobEnd>(Number);
  }
};

template <std::size_t Kind>
static void readAlternative(const msgpack::object &In, std::size_t Wanted,
                            Command &Value) {
  if (Kind == Wanted) {
    auto &Target = Value.emplace<Kind>();
    pack::Format<std::variant_alternative_t<Kind, Command>>::read(In, Target);
  }
}

/// A command is encoded as the number of its kind and its fields.
template <> struct fleet::pack::Format<Command> {
  static void write(Packer &Out, const Command &Value) {
    Out.pack_array(2);
    Out.pack(static_cast<std::uint32_t>(Value.index()));
    std::visit(
        [&Out](const auto &Inner) {
          Format<std::remove_cvref_t<decltype(Inner)>>::write(Out, Inner);
        },
        Value);
  }
  static void read(const object &In, Command &Value) {
    require(In.type == msgpack::type::ARRAY && In.via.array.size == 2);
    std::uint32_t Kind = 0;
    Format<std::uint32_t>::read(In.via.array.ptr[0], Kind);
    require(Kind < std::variant_size_v<Command>);
    const object &Inner = In.via.array.ptr[1];
    [&]<std::size_t... Kinds>(std::index_sequence<Kinds...>) {
      (readAlternative<Kinds>(Inner, Kind, Value), ...);
    }
    (std::make_index_sequence<std::variant_size_v<Command>>());
  }
};

template <class T> static Outcome<T> decodeAs(std::string_view Bytes) {
  T Value;
  const auto Parsed = pack::parse(Bytes, [&Value](const msgpack::object &In) {
    pack::Format<T>::read(In, Value);
  });
  if (!Parsed)
    return Parsed.as_failure();
  return Value;
}

std::string fleet::encodeCommand(const Command &Value) {
  return pack::encode(Value);
}

Outcome<Command> fleet::decodeCommand(std::string_view Bytes) {
  return decodeAs<Command>(Bytes);
}

std::string fleet::encodeResult(const CommandResult &Value) {
  return pack::encode(Value);
}

Outcome<CommandResult> fleet::decodeResult(std::string_view Bytes) {
  return decodeAs<CommandResult>(Bytes);
}

std::string fleet::encodeReport(const AssignmentReport &Value) {
  return pack::encode(Value);
}

Outcome<AssignmentReport> fleet::decodeReport(std::string_view Bytes) {
  return decodeAs<AssignmentReport>(Bytes);
}

std::string fleet::encodeReply(const AssignmentReply &Value) {
  return pack::encode(Value);
}

Outcome<AssignmentReply> fleet::decodeReply(std::string_view Bytes) {
  return decodeAs<AssignmentReply>(Bytes);
}

std::string fleet::encodeState(const FleetState &Value) {
  Snapshot Parts;
  const BundleRegistry &Bundles = Value.bundles();
  Parts.Archive_ = Bundles.history().archive();
  Parts.Recent_ = Bundles.history().recent();
  Parts.Proposals_ = Bundles.proposals();
  Parts.Superseded_ = Bundles.superseded();
  Parts.NextSequence_ = Bundles.nextSequence();
  Parts.Jobs_ = Value.jobs().jobs();
  Parts.Ended_ = Value.jobs().ended();
  return pack::encode(Parts);
}

static Outcome<void> checkFormat(std::string_view Bytes) {
  std::uint32_t Format = 0;
  auto Parsed = pack::parse(Bytes, [&Format](const msgpack::object &In) {
    pack::require(In.type == msgpack::type::ARRAY && In.via.array.size > 0);
    pack::Format<std::uint32_t>::read(In.via.array.ptr[0], Format);
  });
  if (!Parsed)
    return Parsed;
  if (Format != SnapshotFormat)
    return fail(ErrorCode::VersionMismatch, "the fleet's snapshot has format " +
                                                std::to_string(Format) +
                                                "; this program reads format " +
                                                std::to_string(SnapshotFormat));
  return succeed();
}

Outcome<FleetState> fleet::decodeState(std::string_view Bytes) {
  const auto Format = checkFormat(Bytes);
  if (!Format)
    return Format.as_failure();
  auto Decoded = decodeAs<Snapshot>(Bytes);
  if (!Decoded)
    return std::move(Decoded).as_failure();
  Snapshot &Parts = Decoded.value();
  auto Bundles = BundleRegistry::restore(
      BundleHistory(std::move(Parts.Archive_), std::move(Parts.Recent_)),
      std::move(Parts.Proposals_), std::move(Parts.Superseded_),
      Parts.NextSequence_);
  if (!Bundles)
    return std::move(Bundles).as_failure();
  auto Jobs =
      JobRegistry::restore(std::move(Parts.Jobs_), std::move(Parts.Ended_));
  if (!Jobs)
    return std::move(Jobs).as_failure();
  return FleetState(std::move(Bundles.value()), std::move(Jobs.value()));
}
