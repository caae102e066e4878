/**
 * Metrics of a host, published in the text format of Prometheus.
 */
@NullMarked
package org.plantainspur.adapters.metrics;

import org.jspecify.annotations.NullMarked;
