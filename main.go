// Command dragonflyroute serves requests on reclaimable hosts, and is the operators' tool for it.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}
