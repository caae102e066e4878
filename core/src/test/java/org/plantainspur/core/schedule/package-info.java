/**
 * Simulates a small fleet in one thread with simulated time and runs it under random
 * schedules of faults, to find a host that serves with a configuration older than an
 * accepted change or a fleet that stops serving.
 */
@NullMarked
package org.plantainspur.core.schedule;

import org.jspecify.annotations.NullMarked;
