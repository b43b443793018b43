package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"mastusher/internal/tier/memorybudget"
)

// namespace begins the names of all metrics.
const namespace = "mastusher"

// fullName returns the full name of a metric.
func fullName(name string) string { return prometheus.BuildFQName(namespace, "", name) }

// Descriptions of the metrics of a memory budget.
var (
	memoryBudget   = prometheus.NewDesc(fullName("memory_budget_bytes"), "Memory that callers may make this process hold.", nil, nil)
	memoryReserved = prometheus.NewDesc(fullName("memory_reserved_bytes"), "Memory reserved for callers, by class.", []string{"class"}, nil)
	memoryWaits    = prometheus.NewDesc(fullName("memory_waits_total"), "Reservations of memory that had to wait, by class.", []string{"class"}, nil)
	memoryRefusals = prometheus.NewDesc(fullName("memory_refusals_total"), "Reservations of memory that were refused, by class.",
		[]string{"class"}, nil)
	memoryRevocations = prometheus.NewDesc(fullName("memory_revocations_total"),
		"Callers ended since they made too little progress while others waited for memory, by class of what was waited for.", []string{"class"}, nil)
)

// memoryCollector exports a memory budget. It implements prometheus.Collector.
type memoryCollector struct{ budget *memorybudget.Budget }

// Describe implements prometheus.Collector.
func (*memoryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{memoryBudget, memoryReserved, memoryWaits, memoryRefusals, memoryRevocations} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *memoryCollector) Collect(collected chan<- prometheus.Metric) {
	collected <- prometheus.MustNewConstMetric(memoryBudget, prometheus.GaugeValue, float64(c.budget.Limit()))
	for _, class := range memorybudget.Classes() {
		counts, label := c.budget.Counts(class), class.String()
		collected <- prometheus.MustNewConstMetric(memoryReserved, prometheus.GaugeValue, float64(counts.Used), label)
		collected <- prometheus.MustNewConstMetric(memoryWaits, prometheus.CounterValue, float64(counts.Waited), label)
		collected <- prometheus.MustNewConstMetric(memoryRefusals, prometheus.CounterValue, float64(counts.Refused), label)
		collected <- prometheus.MustNewConstMetric(memoryRevocations, prometheus.CounterValue, float64(counts.Revoked), label)
	}
}
