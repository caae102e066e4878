/**
 * Metrics for Prometheus.
 */
@NullMarked
package org.plantainspur.adapters.metrics;

import org.jspecify.annotations.NullMarked;
