#include "kernel/metrics.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pistachiolatch {

struct metrics::impl {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& refusals = prometheus::BuildCounter().Name("pistachiolatch_refusals_total").Help("Requests refused, by reason.").Register(registry);
    prometheus::Family<prometheus::Counter>& retries = prometheus::BuildCounter().Name("pistachiolatch_retries_total").Help("Further attempts, by reason.").Register(registry);
    prometheus::Family<prometheus::Counter>& events = prometheus::BuildCounter().Name("pistachiolatch_events_total").Help("Events, by name.").Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge().Name("pistachiolatch_state").Help("Current values, by name.").Register(registry);
    prometheus::Family<prometheus::Histogram>& latencies = prometheus::BuildHistogram().Name("pistachiolatch_latency_seconds").Help("Latencies, by name.").Register(registry);
};

metrics::metrics()
    : m_impl(std::make_unique<impl>())
{
}

metrics::~metrics() = default;

void metrics::countRefusal(reason cause)
{
    m_impl->refusals.Add({ { "reason", std::string(reasonName(cause)) } }).Increment();
}

void metrics::countRetry(reason cause)
{
    m_impl->retries.Add({ { "reason", std::string(reasonName(cause)) } }).Increment();
}

void metrics::count(const std::string& event, double amount)
{
    m_impl->events.Add({ { "event", event } }).Increment(amount);
}

void metrics::gauge(const std::string& name, double value)
{
    m_impl->gauges.Add({ { "name", name } }).Set(value);
}

void metrics::observe(const std::string& name, std::chrono::nanoseconds value)
{
    static const prometheus::Histogram::BucketBoundaries bounds { 0.0001, 0.0005, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30 };
    m_impl->latencies.Add({ { "name", name } }, bounds).Observe(std::chrono::duration<double>(value).count());
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace pistachiolatch
