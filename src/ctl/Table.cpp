//===- Table.cpp - Columns for people -------------------------------------===//

#include "tulipweir/ctl/Table.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

using namespace tulipweir;
using namespace tulipweir::ctl;

static constexpr std::size_t Gap = 2;

/// Columns of a UTF-8 text, one for each character.
static std::size_t countColumns(const std::string &Text) {
  static constexpr unsigned char ContinuationMask = 0xC0;
  static constexpr unsigned char Continuation = 0x80;
  return static_cast<std::size_t>(std::ranges::count_if(Text, [](char Byte) {
    return (static_cast<unsigned char>(Byte) & ContinuationMask) !=
           Continuation;
  }));
}

std::string ctl::makePrintable(std::string Text) {
  static constexpr unsigned char FirstPrintable = 0x20;
  static constexpr unsigned char Delete = 0x7F;
  for (char &Byte : Text) {
    const auto Value = static_cast<unsigned char>(Byte);
    if (Value < FirstPrintable || Value == Delete)
      Byte = '?';
  }
  return Text;
}

Table::Table(std::vector<std::string> Titles) : Titles_(std::move(Titles)) {}

void Table::addRow(std::vector<std::string> Cells) {
  assert(Cells.size() <= Titles_.size() && "a cell without a title");
  Cells.resize(Titles_.size());
  for (std::string &Cell : Cells)
    Cell = makePrintable(std::move(Cell));
  Rows_.push_back(std::move(Cells));
}

static std::string renderRow(const std::vector<std::string> &Cells,
                             const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I) {
    Line += Cells[I];
    Line.append(Widths[I] - countColumns(Cells[I]) + Gap, ' ');
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  return Line + "\n";
}

std::string Table::render() const {
  std::vector<std::size_t> Widths;
  for (std::size_t I = 0; I < Titles_.size(); ++I) {
    std::size_t Width = countColumns(Titles_[I]);
    for (const auto &Row : Rows_)
      Width = std::max(Width, countColumns(Row[I]));
    Widths.push_back(Width);
  }
  std::string Text = renderRow(Titles_, Widths);
  for (const auto &Row : Rows_)
    Text += renderRow(Row, Widths);
  return Text;
}
