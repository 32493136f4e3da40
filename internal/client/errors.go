package client

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
)

// ErrUnanswered means that no controller gave a final answer in time; what was requested may have
// been done.
var ErrUnanswered = errors.New("no controller answered")

// Refusal is an answer that refuses.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Reason is the controller's message; "": it gave none.
	Reason string
}

// refusalTexts says what a status means, for users.
var refusalTexts = map[int]string{
	http.StatusBadRequest:          "malformed",
	http.StatusUnauthorized:        "no good credential",
	http.StatusForbidden:           "not allowed",
	http.StatusNotFound:            "not found",
	http.StatusConflict:            "conflict",
	http.StatusUnprocessableEntity: "can never be done",
}

func (r *Refusal) Error() string {
	text := refusalTexts[r.Status]
	if text == "" {
		text = "status " + strconv.Itoa(r.Status)
	}
	if r.Reason == "" || r.Reason == text {
		return text
	}
	return text + ": " + r.Reason
}

// isFinal says whether every controller would refuse the request with this status, at any time.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// withoutURL removes the address of the request, which may hold more than should be shown, from
// an error.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}
