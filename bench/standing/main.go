// Command standing prints one line that compares the latest score of the standing test in the
// journal with the one before of the same kind. It exits with status 1 if a day of the latest is
// broken or there is no score, and with 2 if the journal can't be read.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// entry holds the fields of a journal entry that are compared.
type entry struct {
	ID      string   `json:"id"`
	Args    []string `json:"argv"`
	Cmd     string   `json:"cmd"`
	Figures struct {
		Score float64 `json:"real_score"`
	} `json:"figures"`
	Days []struct {
		Name  string  `json:"name"`
		Score float64 `json:"score"`
		Fault *string `json:"fault"`
		Sound bool    `json:"sound"`
	} `json:"days"`
}

// kind returns a key that is equal for scores that may be compared: those that are alike quick or
// full and have the same days. It is empty for entries that are no score.
func (e entry) kind() string {
	if e.Cmd != "real-score" {
		return ""
	}
	var days []string
	for _, d := range e.Days {
		days = append(days, d.Name)
	}
	slices.Sort(days)
	return fmt.Sprint(slices.Contains(e.Args, "--quick"), days)
}

// compare describes the change from the previous entry of the same kind to the latest one. It
// reports false if there is no score or a day of the latest is broken.
func compare(list []entry) (string, bool) {
	if len(list) == 0 || list[len(list)-1].kind() == "" {
		return "no score in the journal", false
	}
	last := list[len(list)-1]
	before := map[string]float64{}
	line := fmt.Sprintf("%s: %.3f", last.ID, last.Figures.Score)
	for i := len(list) - 2; i >= 0; i-- {
		if list[i].kind() == last.kind() {
			line += fmt.Sprintf(" (%s: %.3f)", list[i].ID, list[i].Figures.Score)
			for _, d := range list[i].Days {
				before[d.Name] = d.Score
			}
			break
		}
	}
	sound := true
	for _, d := range last.Days {
		line += fmt.Sprintf(", %s %.2f", d.Name, d.Score)
		if old, ok := before[d.Name]; ok {
			line += fmt.Sprintf(" (%+.2f)", d.Score-old)
		}
		if !d.Sound || d.Fault != nil {
			sound = false
			line += " BROKEN"
		}
	}
	return line, sound
}

func main() {
	files, err := filepath.Glob("journal/*.json")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standing:", err)
		os.Exit(2)
	}
	slices.Sort(files)
	var list []entry
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "standing:", err)
			os.Exit(2)
		}
		var e entry
		if jsoniter.Unmarshal(text, &e) == nil && e.kind() != "" && strings.Contains(fmt.Sprint(e.Days), "mass") {
			list = append(list, e)
		}
	}
	line, sound := compare(list)
	fmt.Println(line)
	if !sound {
		os.Exit(1)
	}
}
