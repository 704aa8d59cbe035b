// Package rrstatus checks the status codes of HTTP answers. The standard library reads any
// three digits.
package rrstatus

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// The range of status codes that HTTP defines.
const (
	least    = 100
	greatest = 599
)

// Check returns an error if no answer to a request without an Upgrade field has the status,
// so that what was read is no answer.
func Check(status int) error {
	if status < least || status > greatest || status == http.StatusSwitchingProtocols {
		return eris.Errorf("no answer has the status %03d", status)
	}
	return nil
}
