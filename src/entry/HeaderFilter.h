//===- HeaderFilter.h - Which headers are passed on ------------*- C++ -*-===//
//
// Headers between two neighbours only, and our own, are not passed on in
// either direction.
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
