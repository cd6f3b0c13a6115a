package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

type DeniedError struct {
	Status int
	Body   string
}

func (e *DeniedError) Error() (text string) { return fmt.Sprintf("%d: %s", e.Status, e.Body) }

var client = &http.Client{Timeout: 10 * time.Second}

func call(out io.Writer, method, at, path, change string, body []byte) (err error) {
	req, err := http.NewRequest(method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	if change == "" && method != http.MethodGet {
		change = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	req.Header.Set("X-Change-Id", change)
	resp, err := client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	raw = bytes.TrimSpace(raw)
	if resp.StatusCode != http.StatusOK {
		return trace.Wrap(&DeniedError{Status: resp.StatusCode, Body: string(raw)})
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, raw, "", "  ") == nil {
		raw = pretty.Bytes()
	}
	_, err = fmt.Fprintln(out, string(raw))
	return err
}

func operators(app *kingpin.Application, cmds map[string]command) {
	add := func(name, help string, more func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error) {
		c := app.Command(name, help)
		at := c.Flag("at", "HTTP IP:port of any node.").Default("127.0.0.1:8001").String()
		change := c.Flag("change", "Id of this change; the same id again does nothing twice.").String()
		do := more(c)
		cmds[name] = func(_ io.Reader, out io.Writer) error { return do(out, *at, *change) }
	}
	get := func(path string) func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error {
		return func(*kingpin.CmdClause) func(out io.Writer, at, change string) error {
			return func(out io.Writer, at, _ string) error { return call(out, http.MethodGet, at, path, "", nil) }
		}
	}
	add("get", "Read the configuration at a majority.", get("/v1/config"))
	add("status", "Show what a node knows: members, voters, claims, marks.", get("/v1/status"))
	add("counters", "Show a node's counters.", get("/v1/counters"))
	add("ready", "Ask whether a node lets requests in.", get("/readyz"))
	add("put", "Put a whole configuration over the mark it expects.", func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error {
		expect := c.Flag("expect", "Mark that the configuration has now.").Required().Uint64()
		file := c.Arg("file", "Configuration (JSON).").Required().ExistingFile()
		return func(out io.Writer, at, change string) error {
			raw, err := os.ReadFile(*file)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			return call(out, http.MethodPut, at, "/v1/config?expect="+strconv.FormatUint(*expect, 10), change, raw)
		}
	})
	for _, v := range [][2]string{{"empty", "Keep all work away from a domain's replicas."}, {"restore", "Give an emptied domain work again."}} {
		verb := v[0]
		add(verb, v[1], func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error {
			domain := c.Arg("domain", "Name of the domain.").Required().String()
			return func(out io.Writer, at, change string) error {
				return call(out, http.MethodPost, at, "/v1/domains/"+url.PathEscape(*domain)+"/"+verb, change, nil)
			}
		})
	}
	for _, v := range [][2]string{{"found", "Found the register, once, on these nodes' disks."}, {"voters", "Move the register to these nodes' disks."}} {
		verb := v[0]
		add(verb, v[1], func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error {
			names := c.Arg("node", "Names of nodes with a disk.").Required().Strings()
			return func(out io.Writer, at, change string) error {
				raw, err := json.Marshal(map[string][]string{"voters": *names})
				if err != nil {
					return trace.Wrap(err)
				}
				return call(out, http.MethodPost, at, "/v1/"+verb, change, raw)
			}
		})
	}
	add("list", "Tell what the platform says of replicas.", func(c *kingpin.CmdClause) func(out io.Writer, at, change string) error {
		state := c.Arg("state", "present, leaving or gone.").Required().Enum("present", "leaving", "gone")
		names := c.Arg("replica", "Names of replicas.").Required().Strings()
		return func(out io.Writer, at, change string) error {
			var rows []map[string]string
			for _, n := range *names {
				rows = append(rows, map[string]string{"replica": n, "state": *state})
			}
			raw, err := json.Marshal(map[string]any{"replicas": rows})
			if err != nil {
				return trace.Wrap(err)
			}
			return call(out, http.MethodPost, at, "/v1/replicas", change, raw)
		}
	})
}
