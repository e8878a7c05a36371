package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerSize is below max_header_bytes of the configuration, 16,384.
	headerSize = 16_000
	// crowdPerFrontend is the number of connections to each frontend, which is less than a third
	// of its descriptors.
	crowdPerFrontend = 1200
	crowdTime        = 30 * time.Second
	probeInterval    = 500 * time.Millisecond
)

// shortFields opens connections to the frontends, each of which sends a header of legal size that
// consists of many short fields and then stops. Without trouble, the header has one long field.
func shortFields(r *record, binary string, trouble bool) ([]string, error) {
	d, _, _, err := setUp(r, binary, frontends, 4)
	if err != nil {
		return nil, err
	}
	defer d.close()
	defer d.peaks()
	var header bytes.Buffer
	fmt.Fprintf(&header, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n", prefix, jobID(0), clientHost, clientKey)
	if trouble {
		for header.Len() < headerSize {
			header.WriteString("a:\r\n")
		}
	} else {
		header.WriteString("a: ")
		for header.Len() < headerSize {
			header.WriteString("a")
		}
	}
	stop := time.Now().Add(crowdTime)
	var mu sync.Mutex
	opened, refused := 0, 0
	var wg sync.WaitGroup
	for n := range crowdPerFrontend * frontends {
		wg.Go(func() {
			for time.Now().Before(stop) {
				conn, err := net.DialTimeout("tcp", d.frontend(n%frontends), time.Second)
				mu.Lock()
				if err != nil {
					refused++
				} else {
					opened++
				}
				mu.Unlock()
				if err == nil {
					_ = conn.SetDeadline(stop)
					if _, err = conn.Write(header.Bytes()); err == nil {
						_, _ = conn.Read(make([]byte, 1))
					}
					_ = conn.Close()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		if n%100 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	jobs := &submitted{others: map[int]int{}}
	client := newClient(answerTime)
	for n := 0; time.Now().Before(stop); n++ {
		jobs.submit(r, client, d.frontend(n%frontends), jobID(n), smallJob())
		time.Sleep(probeInterval)
	}
	wg.Wait()
	r.add("crowd", "event", "end", "header_bytes", header.Len(), "opened", opened, "refused", refused)
	time.Sleep(2 * time.Second)
	status, _ := call(client, http.MethodPost, d.frontend(0), prefix+jobID(999_999), clientHost, clientKey, smallJob())
	r.add("client", "call", "POST", "job", jobID(999_999), "status", status, "when", "after the crowd")
	r.add("clients", "accepted", len(jobs.accepted), "others", jobs.others)
	return checkMemory(d, "entry", frontends), nil
}
