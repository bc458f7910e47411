//===- Text.cpp - Formats figures for operators --------------------------===//

#include "decide/Text.h"

#include <array>
#include <cstdio>

using namespace tulipweir;
using namespace tulipweir::decide;

static std::string formatNumber(const char *Format, double Value) {
  std::array<char, 48> Buffer{};
  const int Length = std::snprintf(Buffer.data(), Buffer.size(), Format, Value);
  return {Buffer.data(), static_cast<std::size_t>(Length)};
}

std::string decide::describe(const Resources &Amount) {
  std::string Text =
      formatNumber("%g", static_cast<double>(Amount.MilliCpus_) / 1000) +
      " processors, " + std::to_string(Amount.MemoryMib_) + " MiB";
  if (Amount.Accelerators_ != 0)
    Text += ", " + std::to_string(Amount.Accelerators_) + " accelerators";
  return Text;
}

std::string decide::describe(Duration Time) {
  return formatNumber("%.1f s", std::chrono::duration<double>(Time).count());
}

std::string decide::describe(double Value) {
  return formatNumber("%.2f", Value);
}

std::string decide::describeMicros(double Micros) {
  return formatNumber("%.1f ms", Micros / 1000);
}

static void addShortage(std::string &Text, const char *Name,
                        std::int64_t Needed, std::int64_t Room) {
  if (Needed <= Room)
    return;
  Text += Text.empty() ? "" : ", ";
  Text += std::string(Name) + " (needs " + std::to_string(Needed) + ", free " +
          std::to_string(Room) + ")";
}

std::string decide::describeShortage(const Resources &Needed,
                                     const Resources &Room) {
  std::string Text;
  addShortage(Text, "thousandths of a processor", Needed.MilliCpus_,
              Room.MilliCpus_);
  addShortage(Text, "MiB of memory", Needed.MemoryMib_, Room.MemoryMib_);
  addShortage(Text, "accelerators", Needed.Accelerators_, Room.Accelerators_);
  return Text.empty() ? "no single server has all of it" : Text;
}
