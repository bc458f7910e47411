//===- tulipweirctl.cpp - The operators' command line ---------------------===//

#include "tulipweir/ctl/Program.h"

int main(int ArgC, char **ArgV) { return tulipweir::ctl::runCtl(ArgC, ArgV); }
