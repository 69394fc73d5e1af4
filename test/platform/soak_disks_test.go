package platform

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	// changeInterval is the time between two changes of the operator.
	changeInterval = 250 * time.Millisecond
	// fullDiskRecovery is how long after the last disk has room again changes may be unacknowledged.
	fullDiskRecovery = 4 * time.Second
	// fullDiskObservation is for how long all changes must be acknowledged after that.
	fullDiskObservation = 3 * time.Second
)

// diskOperator sends a new configuration every changeInterval to the control instances in turn.
type diskOperator struct {
	*fleet

	mu sync.Mutex
	// acknowledged is the highest version that was acknowledged, sent the highest that was sent.
	acknowledged, sent uint64
	// ackTimes are the times of the acknowledgments, unacknowledged those at which a change was
	// sent that no instance acknowledged.
	ackTimes, unacknowledged []time.Time
	lastRefusal              string
}

func (o *diskOperator) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(changeInterval):
		}
		o.sendChange(i)
	}
}

// sendChange sends a change to one control instance after the other until one acknowledges it.
func (o *diskOperator) sendChange(first int) {
	o.mu.Lock()
	o.sent++
	version := o.sent
	o.mu.Unlock()
	start, refusal := time.Now(), ""
	for i := range o.controls {
		control := o.controls[(first+i)%len(o.controls)]
		status, body := o.callControl(control, http.MethodPut, "/config", o.config(version, 1000))
		o.mu.Lock()
		if status == http.StatusOK {
			o.acknowledged = version
			o.ackTimes = append(o.ackTimes, time.Now())
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		refusal += fmt.Sprintf("%s: %d %s; ", control.settings.Instance, status, body)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unacknowledged, o.lastRefusal = append(o.unacknowledged, start), refusal
}

// TestSoakFullDisksInTurn guards against control instances that no longer acknowledge changes
// after their disks were full, one after the other.
func TestSoakFullDisksInTurn(t *testing.T) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runFullDisks(t, rand.New(rand.NewPCG(seed, 2))) })
	}
}

func runFullDisks(t *testing.T, rng *rand.Rand) {
	f := startFleet(t, 1)
	f.configure(f.config(1, 1000))
	f.client.Timeout = 3 * time.Second
	operator := &diskOperator{fleet: f, acknowledged: 1, sent: 1}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); operator.run(stop) }()
	time.Sleep(4 * changeInterval)
	for _, i := range rng.Perm(len(f.controls)) {
		f.fillDisk(f.controls[i], rng)
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	roomAt := time.Now()
	time.Sleep(fullDiskRecovery + fullDiskObservation)
	close(stop)
	<-done

	operator.mu.Lock()
	defer operator.mu.Unlock()
	f.Expect(operator.ackTimes).NotTo(BeEmpty())
	late, firstAfter, longest := 0, time.Time{}, time.Duration(0)
	for i, at := range operator.ackTimes[1:] {
		longest = max(longest, at.Sub(operator.ackTimes[i]))
	}
	t.Logf("%d changes sent, %d acknowledged, the longest time between two acknowledgments was %v", operator.sent-1, len(operator.ackTimes), longest)
	for _, at := range operator.unacknowledged {
		if at.Sub(roomAt) > fullDiskRecovery {
			late++
		}
	}
	f.Expect(late).To(BeZero(), "changes sent more than %v after the last disk had room that no instance acknowledged; the last: %s",
		fullDiskRecovery, operator.lastRefusal)
	for _, at := range operator.ackTimes {
		if firstAfter.IsZero() && at.After(roomAt) {
			firstAfter = at
		}
	}
	f.Expect(firstAfter.Sub(roomAt)).To(BeNumerically("<=", fullDiskRecovery), "the first acknowledgment")
	last := operator.ackTimes[len(operator.ackTimes)-1]
	f.Expect(last.Sub(roomAt)).To(BeNumerically(">", fullDiskRecovery), "the last acknowledgment")
	f.expectKeptByRestart(operator.acknowledged)
}

// fillDisk has the disk of a control instance full for some seconds. Half of the time nothing can
// be written, otherwise some more records, the last of them in part.
func (f *fleet) fillDisk(control *machine, rng *rand.Rand) {
	f.t.Helper()
	before, largest := f.dataSizes(control)
	limit := uint64(0)
	if rng.IntN(2) == 0 {
		limit = uint64(largest) + uint64(rng.IntN(2000))
	}
	duration := time.Duration(1500+rng.IntN(3000)) * time.Millisecond
	f.Expect(control.LimitFileSize(limit)).To(Succeed())
	time.Sleep(duration)
	after, _ := f.dataSizes(control)
	f.Expect(control.UnlimitFileSize()).To(Succeed())
	f.t.Logf("disk of %s full beyond %d bytes for %v; its data grew by %d bytes", control.settings.Instance, limit, duration, after-before)
}

// dataSizes returns the total size of the files of a control instance, and that of the largest.
func (f *fleet) dataSizes(control *machine) (total, largest int64) {
	f.t.Helper()
	f.Expect(filepath.WalkDir(control.settings.DataDir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			// The file was replaced meanwhile.
			return nil
		}
		if err == nil {
			total, largest = total+info.Size(), max(largest, info.Size())
		}
		return err
	})).To(Succeed())
	return total, largest
}

// expectKeptByRestart kills all control instances, starts them again and expects that the
// configuration in force is not older than a version.
func (f *fleet) expectKeptByRestart(version uint64) {
	f.t.Helper()
	for _, control := range f.controls {
		f.Expect(control.Kill()).To(Succeed())
	}
	for _, control := range f.controls {
		control.settings.Join.Bootstrap = false
		f.writeSettings(control)
		f.Expect(control.Start()).To(Succeed())
	}
	for _, control := range f.controls {
		f.Eventually(func() uint64 {
			status, body := f.callControl(control, http.MethodGet, "/config", "")
			if status != http.StatusOK {
				return 0
			}
			return versionOf(body)
		}, testcluster.WaitTimeout, 50*time.Millisecond).Should(BeNumerically(">=", version), control.settings.Instance)
	}
}
