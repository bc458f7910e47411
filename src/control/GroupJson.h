//===- GroupJson.h - JSON form of replication groups -----------*- C++ -*-===//
//
// Renders the members and the state of a group.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_GROUPJSON_H
#define TULIPWEIR_SRC_CONTROL_GROUPJSON_H

#include "control/JsonFields.h"
#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::control {

Json makeMemberJson(const replication::Member &Value);
Json makeGroupJson(const std::string &Group,
                   const replication::ReplicaStatus &Status);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_GROUPJSON_H
