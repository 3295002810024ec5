// Package roster holds one row of the platform's list of hosts.
package roster

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// The states of a listed host.
const (
	// Live accepts requests.
	Live = "live"
	// Leaving has received notice of its reclaim.
	Leaving = "leaving"
)

// Row is one server on the platform's list. The list is eventually consistent: it may miss recent changes.
type Row struct {
	// ID identifies the server.
	ID endpt.ID `json:"id"`
	// Address is the server's IP address and port.
	Address string `json:"address"`
	// Backend is the back end that the server belongs to.
	Backend label.Name `json:"backend"`
	// Version is the version that the server runs.
	Version label.Name `json:"version"`
	// DataCentre is the server's data centre.
	DataCentre centre.ID `json:"data-centre"`
	// State is live or leaving.
	State string `json:"state"`
	// Price is the price of the host in micro-euros per hour.
	Price int64 `json:"price-micros-per-hour"`
	// Reclaimable is set when the provider may reclaim the host on short notice.
	Reclaimable bool `json:"reclaimable"`
	// NoticeMillis is the time that a leaving host had left when the list was made, in milliseconds.
	NoticeMillis int64 `json:"notice-ms,omitempty"`
	// Loading is the version that an engine is loading to replace Version, empty for none.
	Loading label.Name `json:"loading,omitempty"`
	// Slots is the number of requests that the server can run concurrently, 0 when not reported.
	Slots int `json:"slots,omitempty"`
	// StartMillis is the start of the server in Unix milliseconds, 0 when not reported.
	StartMillis int64 `json:"born-ms,omitempty"`
	// ColdMillis is the time for which the server was still cold when it wrote the row, in milliseconds.
	ColdMillis int64 `json:"cold-ms,omitempty"`
	// PeerAddress is the address at which an entry host serves its peers, empty for endpoints.
	PeerAddress string `json:"peers,omitempty"`
	// Weight is an entry host's relative weight in address answers, at most 1; 0 when not reported.
	Weight float64 `json:"weight,omitempty"`
}

// Decode decodes the row that an entry host wrote under its id. A BadRequest error means that the row describes no usable
// host; it names the field, if there is one.
func Decode(id string, data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, fault.Wrap(kind.BadRequest, err, "row is not valid JSON")
	}
	switch {
	case id == "" || string(r.ID) != id:
		return Row{}, fault.New(kind.BadRequest, "id", "is %q in the row of %q", r.ID, id)
	case !isAddress(r.Address):
		return Row{}, fault.New(kind.BadRequest, "address", "is not a host with a port")
	case !isAddress(r.PeerAddress):
		return Row{}, fault.New(kind.BadRequest, "peers", "is not a host with a port")
	case r.State != Live && r.State != Leaving:
		return Row{}, fault.New(kind.BadRequest, "state", "is %q", r.State)
	case r.Weight < 0 || r.Weight > 1:
		return Row{}, fault.New(kind.BadRequest, "weight", "is not between 0 and 1")
	}
	return r, nil
}

// isAddress reports whether an address is a host with a port from 1 up.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
