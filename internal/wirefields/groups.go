package wirefields

import "strings"

const (
	// digitsOf16 and digitsOf32 are the codes of groups with 16 and 32 digits, which are usual lengths of ids.
	digitsOf16 = 15
	digitsOf32 = 0
	// noDigit marks bytes that are no lower-case hexadecimal digit.
	noDigit  = 0xff
	hexLower = "0123456789abcdef"
)

// digitOf returns the value of a lower-case hexadecimal digit.
var digitOf = func() (digits [256]byte) {
	for i := range digits {
		digits[i] = noDigit
	}
	for i := range len(hexLower) {
		digits[hexLower[i]] = byte(i)
	}
	return digits
}()

// groupCode returns the code of the number of digits in a group, and false if it has none.
func groupCode(digits int) (byte, bool) {
	switch {
	case digits == 16:
		return digitsOf16, true
	case digits == 32:
		return digitsOf32, true
	default:
		return byte(digits), digits > 0 && digits < digitsOf16
	}
}

// groupsSize returns the kind and the size of a text as groups of digits, and false if it does not consist of them.
func groupsSize(s string) (kind, size int, ok bool) {
	kind = kindDotted
	separator, halves, digits := byte(0), 0, 0
	for i := range len(s) {
		c := s[i]
		if digitOf[c] != noDigit {
			digits++
			continue
		}
		if _, ok := groupCode(digits); !ok || (c != '.' && c != '-') || (separator != 0 && c != separator) {
			return 0, 0, false
		}
		separator, halves, digits = c, halves+1+digits, 0
	}
	if _, ok := groupCode(digits); !ok {
		return 0, 0, false
	}
	if separator == '-' {
		kind = kindHyphenated
	}
	return kind, (halves + 1 + digits + 1) / 2, true
}

// groups adds the bytes of a text for which groupsSize has returned true.
func (w *Writer) groups(s string) {
	high, pending := byte(0), false
	put := func(half byte) {
		if pending {
			w.packed = append(w.packed, high<<4|half)
		}
		high, pending = half, !pending
	}
	for len(s) > 0 {
		digits := 0
		for digits < len(s) && digitOf[s[digits]] != noDigit {
			digits++
		}
		code, _ := groupCode(digits)
		put(code)
		for i := range digits {
			put(digitOf[s[i]])
		}
		s = s[min(digits+1, len(s)):]
	}
	if pending {
		put(0)
	}
}

// groups returns the text that packed groups of digits stand for.
func (r *Reader) groups(packed string, separator byte) string {
	half := func(i int) byte {
		if i%2 == 0 {
			return packed[i/2] >> 4
		}
		return packed[i/2] & 0xf
	}
	halves := 2 * len(packed)
	var text strings.Builder
	text.Grow(halves)
	for i := 0; i < halves; {
		code := half(i)
		i++
		if i == halves && i > 1 && code == 0 {
			break
		}
		digits := int(code)
		switch code {
		case digitsOf16:
			digits = 16
		case digitsOf32:
			digits = 32
		}
		if digits > halves-i {
			r.fail("a group of %d digits with %d left", digits, halves-i)
			return ""
		}
		if text.Len() > 0 {
			text.WriteByte(separator)
		}
		for range digits {
			text.WriteByte(hexLower[half(i)])
			i++
		}
	}
	return text.String()
}
