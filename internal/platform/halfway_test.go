package platform_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"skylarklead/internal/platform"
	"skylarklead/internal/standin/halfway"
)

// Guards against an offset, a record or an instance that is taken from a part of an answer.
func TestPlatformAnswersThatStopHalfway(t *testing.T) {
	for _, c := range []struct {
		name, body, want string
		call             func(t *testing.T, base string) (string, error)
	}{
		{"append", `{"first":12,"last":13}` + "\n", "12", func(t *testing.T, base string) (string, error) {
			log := platform.NewLog(base)
			defer log.Close()
			first, err := log.Append(t.Context(), "s", [][]byte{{1}, {2}})
			if err != nil && !errors.Is(err, platform.ErrAppendUnknown) {
				t.Errorf("%v; the append may have taken effect", err)
			}
			return fmt.Sprint(first), err
		}},
		{"read", `{"records":[{"offset":5,"data":"YWJj"},{"offset":6,"data":""}],"oldest":1,"next":7}` + "\n", "1 7 5=abc 6=", func(t *testing.T, base string) (string, error) {
			log := platform.NewLog(base)
			defer log.Close()
			page, err := log.Read(t.Context(), "s", 5, 10, 0)
			text := fmt.Sprint(page.Oldest, page.Next)
			for _, r := range page.Records {
				text += fmt.Sprintf(" %d=%s", r.Offset, r.Data)
			}
			return text, err
		}},
		{"list", `{"instances":[{"id":"e1"},{"id":"e2"}]}` + "\n", "e1 e2", func(t *testing.T, base string) (string, error) {
			instances := platform.NewInstances(base)
			defer instances.Close()
			list, err := instances.List(t.Context())
			if len(list) != 2 {
				return fmt.Sprintf("%+v", list), err
			}
			return list[0].ID + " " + list[1].ID, err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := halfway.StartFor(t)
			for _, form := range halfway.Forms(http.StatusOK, "Content-Type: application/json\r\n", c.body) {
				for _, ending := range halfway.Endings {
					for n := range len(form.Bytes) + 1 {
						server.Send(form.Bytes[:n], ending)
						got, err := c.call(t, "http://"+server.Address)
						want, whole := form.WholeAt(n, ending)
						// Only the line feed at the end may be missing where the end of the connection ends the body.
						whole = whole && len(want) >= len(c.body)-1
						if err == nil && !(whole && got == c.want) || err != nil && whole && ending == halfway.Closed {
							t.Errorf("%s, %v after %d bytes, %q: got %s, %v", form.Name, ending, n, form.Bytes[:n], got, err)
						}
					}
				}
			}
		})
	}
}
