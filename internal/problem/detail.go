package problem

import "errors"

// DetailOf returns the detail of err, or an empty string for a foreign error.
func DetailOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return ""
}
