package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// recovery is RecoveryS.
const recovery = 12 * time.Second

// replicaStatus is a replica in the status of a core machine.
type replicaStatus struct {
	Instance string `json:"instance"`
	Learner  bool   `json:"learner"`
	Leader   bool   `json:"leader"`
}

// members returns the members of the control group, as a core machine states them.
func (f *fleet) members(m *machine) []replicaStatus {
	out := struct {
		Replicas []replicaStatus `json:"replicas"`
	}{}
	if status, body := f.call(m, http.MethodGet, "/apis/v1/status", ""); status != http.StatusOK || json.Unmarshal([]byte(body), &out) != nil {
		return nil
	}
	return out.Replicas
}

func countVoters(members []replicaStatus) (voters int) {
	for _, member := range members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// roles returns the machine of the leader and that of another voter.
func (f *fleet) roles() (leader, follower *machine) {
	members := f.members(f.coreList()[0])
	for _, m := range f.coreList() {
		for _, member := range members {
			switch {
			case member.Instance != f.rpcAddress(m) || member.Learner:
			case member.Leader:
				leader = m
			default:
				follower = m
			}
		}
	}
	return leader, follower
}

// awaitRoles waits until the group has three voters, and learners members besides.
func (f *fleet) awaitRoles(learners int) (leader, follower *machine) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		leader, follower = f.roles()
		if members := f.members(f.coreList()[0]); leader != nil && follower != nil && countVoters(members) == 3 && len(members) == 3+learners {
			return leader, follower
		}
		if time.Now().After(end) {
			cannotRun("the control group has not settled")
		}
	}
}

// playTwoVoters: a core machine is replaced as planned, the new one first. With trouble, another one
// loses its disk right after it has acknowledged a change, once the old machine has been removed.
func playTwoVoters(rec *record, trouble bool) bool {
	f := newFleet(rec, 1)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	f.awaitRoles(0)
	added := f.newMachine("core", 6)
	f.mu.Lock()
	added.seeds = f.seedsOf(f.cores)
	f.cores = append(f.cores, added)
	f.mu.Unlock()
	f.render(added)
	f.startMachine(added)
	rec.line("platform: %s is added with an empty disk", added.name)
	started := time.Now()
	leader, leaving := f.awaitRoles(1)
	time.Sleep(time.Until(started.Add(catchUp + contact)))
	f.mu.Lock()
	f.cores = slices.DeleteFunc(f.cores, func(m *machine) bool { return m == leaving })
	f.mu.Unlock()
	removed := time.Now()
	rec.line("platform: SIGTERM to %s, %.1f s after its successor has started; it is gone for good", leaving.name, removed.Sub(started).Seconds())
	leaving.signal(syscall.SIGTERM)
	for countVoters(f.members(leader)) != 2 {
		if time.Since(removed) > 8*time.Second {
			cannotRun("the group has not replaced the voter that is gone")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if status, _ := f.call(leader, http.MethodPut, "/config", newConfig(2).json()); status != http.StatusOK {
		cannotRun("configuration 2 got status %d", status)
	}
	rec.line("operator: configuration 2 is acknowledged by %s", leader.name)
	if trouble {
		leader.signal(syscall.SIGKILL)
		<-leader.exited
		rec.line("platform: %s loses power and its disk, %.3f s after the SIGTERM", leader.name, time.Since(removed).Seconds())
		_ = os.RemoveAll(filepath.Join(f.dir, leader.name))
		time.Sleep(time.Second)
		leader.bootstrap = false
		f.render(leader)
		f.startMachine(leader)
		rec.line("platform: %s is back with an empty disk", leader.name)
	}
	time.Sleep(recovery)
	rec.line("operator: reads the configuration and sends the next one for 20 s, from %v after all are back", recovery)
	read, acknowledged := 0, 0
	operator.Timeout = time.Second
	next := newConfig(3).json()
	for start := time.Now(); time.Since(start) < 20*time.Second && (read <= 3 || acknowledged == 0); time.Sleep(200 * time.Millisecond) {
		for _, core := range f.coreList() {
			if status, _ := f.call(core, http.MethodGet, "/config", ""); status == http.StatusOK {
				read++
			}
			if status, _ := f.call(core, http.MethodPut, "/config", next); status == http.StatusOK {
				acknowledged++
			}
		}
	}
	rec.line("check: a configuration was read back %d times; the next one was acknowledged %d times", read, acknowledged)
	f.restartFront(f.fronts[0])
	return read == 0
}

// restartFront kills a front machine's process and starts it again, and records whether it gets ready.
func (f *fleet) restartFront(m *machine) {
	m.signal(syscall.SIGKILL)
	<-m.exited
	f.startMachine(m)
	f.rec.line("platform: the process of %s is killed and back", m.name)
	status := 0
	for start := time.Now(); status != http.StatusOK && time.Since(start) < 6*time.Second; time.Sleep(100 * time.Millisecond) {
		if response, err := operator.Get(f.readyURL(m)); err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
	}
	f.rec.line("check: %s is ready within 6 s: %v", m.name, status == http.StatusOK)
}
