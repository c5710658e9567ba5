/**
 * Counters, gauges and histograms, and their exposition for Prometheus.
 *
 * <p>{@link baobabcroft.metrics.RouterMetrics} is the single place through which metrics are registered.
 */
package baobabcroft.metrics;
