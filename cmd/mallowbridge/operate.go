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

// RejectedError is the error if a node responded to an operator's request with a status other than 200.
type RejectedError struct {
	Status int
	Body   string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("the node responded with status %d: %s", e.Status, e.Body)
}

var httpClient = &http.Client{Timeout: 10 * time.Second}

// operatorRequest is a request to the operators' interface of the node at an address (host:port).
type operatorRequest struct {
	method, address, path string
	// changeID identifies a change, so that a repeated request is recognized. If it is empty, send generates one for requests that change something.
	changeID string
	body     []byte
}

// send sends the request and prints the response.
func (r operatorRequest) send(out io.Writer) error {
	req, err := http.NewRequest(r.method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return trace.Wrap(err)
	}
	if r.changeID == "" && r.method != http.MethodGet {
		r.changeID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	req.Header.Set("X-Change-Id", r.changeID)
	resp, err := httpClient.Do(req)
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

// operatorCall sends an operator's request to the node at an address, with the id of the change, and prints the response.
type operatorCall func(out io.Writer, at, change string) error

// operatorCommands adds the commands that send operators' requests.
type operatorCommands struct {
	app  *kingpin.Application
	cmds map[string]command
}

// add adds a command with the flags that all operators' commands have; do sends its request.
func (o operatorCommands) add(name, help string, do operatorCall) *kingpin.CmdClause {
	c := o.app.Command(name, help)
	at := c.Flag("at", "HTTP IP:port of any node of the fleet.").Default("127.0.0.1:8001").String()
	change := c.Flag("change", "Id of the change; a change whose id was applied before has no further effect.").String()
	o.cmds[name] = func(_ io.Reader, out io.Writer) error { return do(out, *at, *change) }
	return c
}

// addOperatorCommands adds the operators' commands.
func addOperatorCommands(app *kingpin.Application, cmds map[string]command) {
	o := operatorCommands{app: app, cmds: cmds}
	o.add("get", "Read the configuration from a quorum of voters.", getCall("/v1/config"))
	o.add("status", "Show a node's view of members, voters, leases and versions.", getCall("/v1/status"))
	o.add("counters", "Show a node's counters.", getCall("/v1/counters"))
	o.add("ready", "Check whether a node admits requests.", getCall("/readyz"))
	o.addPut()
	o.addEvacuation("evacuate", "Evacuate a zone: send no requests to its replicas.", "empty").Alias("empty")
	o.addEvacuation("restore", "Restore an evacuated zone: send requests to its replicas again.", "restore")
	o.addVoters("bootstrap", "Bootstrap the register on these nodes' disks. This is done once.", "found").Alias("found")
	o.addVoters("voters", "Replace the voters: move the register to these nodes' disks.", "voters")
	o.addList()
}

// getCall returns a call that sends a GET request.
func getCall(path string) operatorCall {
	return func(out io.Writer, at, _ string) error {
		return operatorRequest{method: http.MethodGet, address: at, path: path}.send(out)
	}
}

// addPut adds the command that replaces the configuration.
func (o operatorCommands) addPut() {
	var expect uint64
	var file string
	c := o.add("put", "Replace the configuration if it has the expected version.", func(out io.Writer, at, change string) error {
		raw, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		return operatorRequest{method: http.MethodPut, address: at, path: "/v1/config?expect=" + strconv.FormatUint(expect, 10), changeID: change, body: raw}.send(out)
	})
	c.Flag("expect", "Current version of the configuration.").Required().Uint64Var(&expect)
	c.Arg("file", "Configuration document (JSON).").Required().ExistingFileVar(&file)
}

// addEvacuation adds a command that evacuates or restores a zone; verb is the last part of the request's path.
func (o operatorCommands) addEvacuation(name, help, verb string) *kingpin.CmdClause {
	var zone string
	c := o.add(name, help, func(out io.Writer, at, change string) error {
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/domains/" + url.PathEscape(zone) + "/" + verb, changeID: change}.send(out)
	})
	c.Arg("domain", "Name of the zone.").Required().StringVar(&zone)
	return c
}

type votersBody struct {
	Voters []string `json:"voters"`
}

// addVoters adds a command that sets the voters; verb is the last part of the request's path.
func (o operatorCommands) addVoters(name, help, verb string) *kingpin.CmdClause {
	var names []string
	c := o.add(name, help, func(out io.Writer, at, change string) error {
		raw, err := json.Marshal(votersBody{Voters: names})
		if err != nil {
			return trace.Wrap(err)
		}
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/" + verb, changeID: change, body: raw}.send(out)
	})
	c.Arg("node", "Names of the nodes, which must have a disk.").Required().StringsVar(&names)
	return c
}

type listingsBody struct {
	Replicas []listingRow `json:"replicas"`
}

type listingRow struct {
	Replica string `json:"replica"`
	State   string `json:"state"`
}

// addList adds the command that reports the platform's list of replicas to a node.
func (o operatorCommands) addList() {
	var state string
	var names []string
	c := o.add("list", "Report the state of replicas in the platform's list to the fleet.", func(out io.Writer, at, change string) error {
		body := listingsBody{}
		for _, name := range names {
			body.Replicas = append(body.Replicas, listingRow{Replica: name, State: state})
		}
		raw, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		return operatorRequest{method: http.MethodPost, address: at, path: "/v1/replicas", changeID: change, body: raw}.send(out)
	})
	c.Arg("state", "State of the replicas: present, leaving or gone.").Required().EnumVar(&state, "present", "leaving", "gone")
	c.Arg("replica", "Names of replicas.").Required().StringsVar(&names)
}
