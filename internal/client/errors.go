package client

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
)

// ErrUnanswered means that no controller gave a final response in time. The request may have been
// executed.
var ErrUnanswered = errors.New("no controller answered")

// Refusal is the error for a response with a status other than 200 and 201.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Reason is the controller's error message; empty if there is none.
	Reason string
}

// refusalTexts describes status codes for users.
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

// isFinal reports whether a status makes retries useless, because all controllers would give the same
// response.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// withoutURL removes the URL of the request from an error, since it may contain data that must not be
// shown.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}
