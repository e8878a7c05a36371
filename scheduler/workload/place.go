package workload

import "strings"

// JobIDLength is the length of a job identifier in bytes.
const JobIDLength = 16

// Place identifies a queue for customers, whatever its name: they know a host and the prefix
// of paths.
type Place struct {
	// Host is in lower case.
	Host   string
	Prefix string
}

// Place returns the place of a queue.
func (q *Queue) Place() Place { return Place{Host: strings.ToLower(q.Host), Prefix: q.Prefix} }

// Place returns the place at which a job was accepted. An earlier version did not store it;
// such a job has a place of its own for each name of a queue.
func (j *Job) Place() Place {
	if j.hasNoPlace() {
		return Place{Prefix: j.QueueName}
	}
	return Place{Host: j.Host, Prefix: j.Prefix}
}

// hasNoPlace reports whether an earlier version accepted or stored the job. The path of a job
// is longer than its identifier, so that no prefix is empty.
func (j *Job) hasNoPlace() bool { return j.Prefix == "" }

// path is the path at which a job was accepted.
func (j *Job) path() string { return j.Prefix + j.ID }

// JobAt returns the job that was accepted at a host and a path, or nil.
func (s *State) JobAt(host, path string) *Job {
	if len(path) < JobIDLength {
		return nil
	}
	j := s.jobs[path[len(path)-JobIDLength:]]
	if j == nil || !s.isAt(j, host, path) {
		return nil
	}
	return j
}

func (s *State) isAt(j *Job, host, path string) bool {
	if j.hasNoPlace() {
		// Its identifier alone finds it once no queue has the name of its queue.
		queue := s.index.queues[j.QueueName]
		return queue == nil || queue == s.index.match(host, path)
	}
	return strings.ToLower(host) == j.Host && path == j.path()
}

// queueOf returns the queue of a job under the current configuration: the one at its place or,
// if there is none, the one that its path leads to now. It is nil if there is neither.
func (s *State) queueOf(j *Job) *Queue {
	if j.hasNoPlace() {
		return s.index.queues[j.QueueName]
	}
	if queue := s.index.places[j.Place()]; queue != nil {
		return queue
	}
	return s.index.match(j.Host, j.path())
}

// bind assigns a job to its queue, and to the service and the advice of that queue. Without a
// queue the job keeps the last ones. With one at another place it does, too, while that
// service is configured: no version has sent the queue of the job to the other one.
func (s *State) bind(j *Job) {
	j.queue = s.queueOf(j)
	if j.queue == nil {
		return
	}
	isMoved := !j.hasNoPlace() && j.queue.Place() != j.Place()
	if isMoved && s.index.services[j.Service] != nil {
		return
	}
	j.Service, j.Advice = j.queue.Service, j.queue.Advice
}

func (s *State) bindAll() {
	for _, j := range s.jobs {
		s.bind(j)
	}
}

// UsesService reports whether a service is configured, or bound to a job that has not ended.
func (s *State) UsesService(name string) bool {
	if s.index.services[name] != nil {
		return true
	}
	for _, j := range s.active {
		if j.Service == name {
			return true
		}
	}
	return false
}

// Pending returns the number of jobs of a queue that have not ended and of which no task has
// started.
func (s *State) Pending(queue *Queue) int {
	n := 0
	for _, j := range s.active {
		if j.queue == queue && !j.Started {
			n++
		}
	}
	return n
}
