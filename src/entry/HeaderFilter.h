//===- HeaderFilter.h - Filter for forwarded headers -----------*- C++ -*-===//
//
// Removes hop-by-hop headers and X-Tulipweir headers in both directions.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_ENTRY_HEADERFILTER_H
#define TULIPWEIR_SRC_ENTRY_HEADERFILTER_H

#include "tulipweir/net/Http.h"

#include <vector>

namespace tulipweir::entry {

bool isPassedOn(const net::HttpHeader &Header);
std::vector<net::HttpHeader>
filterHeaders(const std::vector<net::HttpHeader> &Headers);

} // namespace tulipweir::entry

#endif // TULIPWEIR_SRC_ENTRY_HEADERFILTER_H
