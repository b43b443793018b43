package simulation

import (
	"net/http"
)

// order sends an order for the next version, on the newest one that is known, and returns its status.
func (d *day) order(o *operator) int {
	base := d.knownVersion()
	number := base + 1 + uint64(d.intN(3))
	status := o.order(base, o.next(number))
	if status == statusOK {
		d.recordVersion(number)
	} else if read, ok := o.read(o.someController()); ok {
		d.recordVersion(read.Number)
	}
	return status
}

// raceOrders has two operators send orders on the same version at the same time; in half of the cases under the same number.
func (d *day) raceOrders(fault Fault) {
	base := d.knownVersion()
	for i, o := range []*operator{d.firstOperator, d.secondOperator} {
		d.traffic.Go(func() {
			number := base + 1 + uint64(i*(fault.Other%2))
			if o.order(base, o.next(number)) == statusOK {
				d.recordVersion(number)
			}
		})
	}
}

// sendInvalidOrders sends orders that must be rejected.
func (d *day) sendInvalidOrders() {
	d.traffic.Go(func() {
		for _, body := range []string{`{"number":`, `{"number":99999,"routes":[{"name":"r","host":"h","startsWith":"/x/","service":"none"}]}`} {
			status, _, _ := d.firstOperator.call(http.MethodPut, d.firstOperator.someController(), "/mastusher/settings", []byte(body), d.knownVersion())
			if status == statusOK {
				d.report("CONFIG", "an invalid order was acknowledged: %s", body)
			}
		}
	})
}

// resendEarlierOrder sends a duplicate of an earlier order.
func (d *day) resendEarlierOrder(fault Fault) {
	d.traffic.Go(func() {
		if orders := d.history.orders(); len(orders) > 0 {
			repeated := orders[fault.Other%len(orders)]
			d.secondOperator.put(d.secondOperator.someController(), repeated.Base, repeated.Content)
		}
	})
}

func (d *day) knownVersion() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.newestVersion
}

func (d *day) recordVersion(number uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.newestVersion = max(d.newestVersion, number)
}
