/**
 * Counters, histograms and their exposition for scraping.
 *
 * <p>{@link baobabcroft.metrics.RouterMetrics} is the one place where metric names are made.
 */
package baobabcroft.metrics;
