/**
 * Measures the latency that an entry host adds to a request, end to end on one machine.
 */
@NullMarked
package org.plantainspur.benchmarks.latency;

import org.jspecify.annotations.NullMarked;
