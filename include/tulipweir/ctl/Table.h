//===- Table.h - Columns for people ----------------------------*- C++ -*-===//
//
// Lays rows of text out in columns, as tulipweirctl prints them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CTL_TABLE_H
#define TULIPWEIR_CTL_TABLE_H

#include <string>
#include <vector>

namespace tulipweir::ctl {

/// Not thread-safe.
class Table {
public:
  explicit Table(std::vector<std::string> Titles);

  /// A short row is filled up with empty cells; there may be no more cells
  /// than titles.
  void addRow(std::vector<std::string> Cells);

  bool isEmpty() const { return Rows_.empty(); }
  /// The titles and the rows, each line ended, no spaces at the ends. Control
  /// characters in cells are shown as '?', so that nothing in an answer can
  /// steer the terminal.
  std::string render() const;

private:
  std::vector<std::string> Titles_;
  std::vector<std::vector<std::string>> Rows_;
};

/// The text with control characters replaced by '?'.
std::string makePrintable(std::string Text);

} // namespace tulipweir::ctl

#endif // TULIPWEIR_CTL_TABLE_H
