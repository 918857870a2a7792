package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServeFrames has the node listen for the platform's frames; it returns its address.
func (n *Node) ServeFrames() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	n.ServeFramesOn(ln)
	return ln.Addr().String(), nil
}

// ServeFramesOn does the same at a listener that is there.
func (n *Node) ServeFramesOn(ln net.Listener) {
	n.onClose(func() { _ = ln.Close() }) // a second close does no harm
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.onClose(func() { _ = c.Close() })
			n.mu.Lock()
			n.links = append(n.links, c)
			n.mu.Unlock()
			link := n.noted(&n.Came)
			go func() {
				n.serveFrames(c, link)
				n.noted(&n.Went)
			}()
		}
	}()
}

func (n *Node) serveFrames(c net.Conn, link int) {
	came, went := n.Connections()
	crowded := n.MostLinks > 0 && came-went > n.MostLinks
	var mu sync.Mutex
	send := func(letter byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		_, _ = c.Write(append(append(b, letter), rest...))
	}
	for r := bufio.NewReader(c); ; {
		var length [4]byte
		if _, err := io.ReadFull(r, length[:]); err != nil {
			return
		}
		f := make([]byte, binary.BigEndian.Uint32(length[:]))
		if _, err := io.ReadFull(r, f); err != nil {
			return
		}
		letter, rest := f[0], string(f[1:])
		switch {
		case letter == '2':
			n.gaveUp(rest)
		case letter == '3' && n.Probed != nil && n.Probed(link):
			send('3', "S")
		}
		for first := true; letter == '1' && rest != ""; first = false {
			var p Part
			p, rest = readPart(rest)
			p.Link, p.First = link, first
			do := Reply{End: 'B'}
			if !crowded {
				do = n.take(p)
			}
			answer := func(do Reply) {
				switch do.End {
				case 0:
				case 'r':
					mu.Lock()
					defer mu.Unlock()
					_, _ = io.WriteString(c, strings.ReplaceAll(do.Value, "ID", p.ID))
				case 'c': // half of an answer, then the end
					mu.Lock()
					defer mu.Unlock()
					_, _ = c.Write([]byte{0, 0, 0, 99, '5', 'q'})
					_ = c.Close()
				default:
					send('5', fmt.Sprintf("%s %c %d -\n%s", p.ID, do.End, do.Score, do.Value))
				}
			}
			if do.Later != nil {
				do.Later(answer)
				continue
			}
			time.AfterFunc(do.After, func() { answer(do) })
		}
	}
}

// readPart reads the first part of a call and returns the rest of it.
func readPart(s string) (Part, string) {
	line, more, _ := strings.Cut(s, "\n")
	w := strings.Split(line, " ")
	size, _ := strconv.Atoi(w[3])
	p := Part{ID: w[0], Text: more[:size], Second: strings.HasSuffix(w[0], ".phase2")}
	p.Shard, _ = strconv.Atoi(w[1])
	for item := range strings.SplitSeq(w[2], ",") {
		k, v, _ := strings.Cut(item, "=")
		switch k {
		case "d":
			ms, _ := strconv.Atoi(v)
			p.Wait = time.Duration(ms) * time.Millisecond
		case "k":
			p.Key = v
		case "from":
			p.From = v
		case "whole":
			p.Whole = v == "1"
		}
	}
	return p, more[size:]
}

// Ask asks a mixer over the platform's protocol. Its error is one of the client's
// own: no connection, or an answer that can't be read.
func Ask(client *http.Client, addr string, q Query) (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if q.Gone > 0 {
		time.AfterFunc(q.Gone, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/"+q.Class, strings.NewReader(q.Body()))
	if err != nil {
		return Result{}, err
	}
	id := q.ID
	if id == "" {
		id = fmt.Sprintf("%016x", rand.Uint64())
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	for key, value := range map[string]string{"Idempotency-Key": q.Key, "Traceparent": q.Parent, "Tracestate": q.State} {
		if value != "" {
			req.Header.Set(key, value)
		}
	}
	if q.Repeat {
		req.Header.Set("Req-Retry", "1")
	}
	begun := time.Now()
	resp, err := client.Do(req)
	if errors.Is(err, context.Canceled) {
		return Result{Kind: "cancelled"}, nil
	}
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }() // read whole
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{}, err
	}
	kinds := map[int]string{200: "served", 503: "refused", 500: "failed", 504: "expired", 400: "malformed"}
	out := Result{Kind: kinds[resp.StatusCode], Took: time.Since(begun)}
	if s := resp.Header.Get("Retry-After"); s != "" {
		after, _ := strconv.ParseFloat(s, 64)
		out.After = time.Duration(after * float64(time.Second))
	}
	if out.Kind != "served" {
		return out, nil
	}
	var body struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&body); err != nil {
		return out, fmt.Errorf("an answer that can't be read: %w", err)
	}
	out.Entire, out.Values = body.Entire, map[int]string{}
	for _, v := range body.Items {
		out.Values[v.Slice] = v.Body
	}
	return out, nil
}
