// Command standin-3 plays the cases of an independent review on the project's own programs. Clients, targets and the
// platform's store are stand-ins in this process.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	program := flag.String("program", "target/heatherreeld", "the node program")
	record := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	flag.Parse()
	cases := map[string]func(*fleet, bool) (bool, error){"again": playAgain, "held": playHeld, "ranges": playRanges}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	path, err := filepath.Abs(*program)
	dir, err2 := os.MkdirTemp("", "standin-3-")
	rec, err3 := newRecorder(*record)
	if err != nil || err2 != nil || err3 != nil {
		fmt.Println(err, err2, err3)
		os.Exit(2)
	}
	f, err := newFleet(dir, path, rec)
	broken := false
	if err == nil {
		broken, err = play(f, *trouble)
		f.close()
	}
	code := 0
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		code = 2
	case broken:
		code = 1
	}
	rec.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
