# Reads the output of one GoogleTest program and prints one line a test:
# "passed NAME" or "failed NAME". A test that began and never ended (the
# program crashed or ran out of time) and a skipped one count as failed.
function testName(Text) {
  sub(/^\[[^\]]*\] /, "", Text)
  sub(/[ ,].*$/, "", Text)
  return Text
}
/^\[ RUN      \] / { Running = testName($0) }
/^\[       OK \] / { print "passed", testName($0); Running = "" }
/^\[  FAILED  \] .*\([0-9]+ ms\)$/ {
  print "failed", testName($0)
  Running = ""
}
/^\[  SKIPPED \] .*\([0-9]+ ms\)$/ {
  print "failed", testName($0)
  Running = ""
}
END { if (Running != "") print "failed", Running }
