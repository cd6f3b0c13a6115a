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

// RejectedError is a node's answer to an operator's call that is no success: its HTTP status and body.
type RejectedError struct {
	Status int
	Body   string
}

func (e *RejectedError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Body) }

var client = &http.Client{Timeout: 10 * time.Second}

// An operatorRequest is one call of the operators' interface of the node at an address.
type operatorRequest struct {
	method, address, path string
	// change is the id under which the call may be repeated; one is drawn where it is empty and the call changes something.
	change string
	body   []byte
}

// send makes the call and prints the answer.
func (r operatorRequest) send(out io.Writer) error {
	req, err := http.NewRequest(r.method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return trace.Wrap(err)
	}
	if r.change == "" && r.method != http.MethodGet {
		r.change = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	req.Header.Set("X-Change-Id", r.change)
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
		return trace.Wrap(&RejectedError{Status: resp.StatusCode, Body: string(raw)})
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, raw, "", "  ") == nil {
		raw = pretty.Bytes()
	}
	_, err = fmt.Fprintln(out, string(raw))
	return err
}

// operatorCall sends an operator's call to a node, with the id of the change.
type operatorCall func(out io.Writer, at, change string) error

type operatorCommands struct {
	app  *kingpin.Application
	cmds map[string]command
}

// add gives a command the flags that all operators' commands have; the call is filled in by the caller.
func (o operatorCommands) add(name, help string, do operatorCall) *kingpin.CmdClause {
	c := o.app.Command(name, help)
	at := c.Flag("at", "HTTP IP:port of any node.").Default("127.0.0.1:8001").String()
	change := c.Flag("change", "Id of this change; the same id again does nothing twice.").String()
	o.cmds[name] = func(_ io.Reader, out io.Writer) error { return do(out, *at, *change) }
	return c
}

func operators(app *kingpin.Application, cmds map[string]command) {
	o := operatorCommands{app: app, cmds: cmds}
	o.add("get", "Read the configuration at a majority.", getPath("/v1/config"))
	o.add("status", "Show what a node knows: members, voters, leases, versions.", getPath("/v1/status"))
	o.add("counters", "Show a node's counters.", getPath("/v1/counters"))
	o.add("ready", "Ask whether a node admits requests.", getPath("/readyz"))
	o.put()
	o.evacuation("evacuate", "Keep all work away from a zone's replicas.", "empty").Alias("empty")
	o.evacuation("restore", "Give an evacuated zone work again.", "restore")
	o.voters("bootstrap", "Found the register, once, on these nodes' disks.", "found").Alias("found")
	o.voters("voters", "Move the register to these nodes' disks.", "voters")
	o.listings()
}

func getPath(path string) operatorCall {
	return func(out io.Writer, at, _ string) error {
		return operatorRequest{method: http.MethodGet, address: at, path: path}.send(out)
	}
}

func (o operatorCommands) put() {
	var expect uint64
	var file string
	c := o.add("put", "Put a whole configuration over the version it expects.", func(out io.Writer, at, change string) error {
		raw, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		return operatorRequest{method: http.MethodPut, address: at, path: "/v1/config?expect=" + strconv.FormatUint(expect, 10), change: change, body: raw}.send(out)
	})
	c.Flag("expect", "Version that the configuration has now.").Required().Uint64Var(&expect)
	c.Arg("file", "Configuration (JSON).").Required().ExistingFileVar(&file)
}

// evacuation adds a command on a zone; verb is the last part of the call's path.
func (o operatorCommands) evacuation(name, help, verb string) *kingpin.CmdClause {
	var zone string
	c := o.add(name, help, func(out io.Writer, at, change string) error {
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/domains/" + url.PathEscape(zone) + "/" + verb, change: change}.send(out)
	})
	c.Arg("domain", "Name of the zone.").Required().StringVar(&zone)
	return c
}

type votersBody struct {
	Voters []string `json:"voters"`
}

// voters adds a command on the set of voters; verb is the call's path.
func (o operatorCommands) voters(name, help, verb string) *kingpin.CmdClause {
	var names []string
	c := o.add(name, help, func(out io.Writer, at, change string) error {
		raw, err := json.Marshal(votersBody{Voters: names})
		if err != nil {
			return trace.Wrap(err)
		}
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/" + verb, change: change, body: raw}.send(out)
	})
	c.Arg("node", "Names of nodes with a disk.").Required().StringsVar(&names)
	return c
}

type listingsBody struct {
	Replicas []listingRow `json:"replicas"`
}

type listingRow struct {
	Replica string `json:"replica"`
	State   string `json:"state"`
}

func (o operatorCommands) listings() {
	var state string
	var names []string
	c := o.add("list", "Tell what the platform says of replicas.", func(out io.Writer, at, change string) error {
		body := listingsBody{}
		for _, name := range names {
			body.Replicas = append(body.Replicas, listingRow{Replica: name, State: state})
		}
		raw, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/replicas", change: change, body: raw}.send(out)
	})
	c.Arg("state", "present, leaving or gone.").Required().EnumVar(&state, "present", "leaving", "gone")
	c.Arg("replica", "Names of replicas.").Required().StringsVar(&names)
}
