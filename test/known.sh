# Sets skip to the ginkgo arguments that skip the tests named in KNOWN-RED.txt, and prints that file.
#
# A line of KNOWN-RED.txt is: test text | command and seed | what was seen | issue.
skip=()
if [ -f KNOWN-RED.txt ]; then
  while IFS='|' read -r name _; do
    [ -n "$name" ] && skip+=(-ginkgo.skip="${name%% }")
  done < <(grep -v '^#' KNOWN-RED.txt)
  echo "skipped, listed in KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
