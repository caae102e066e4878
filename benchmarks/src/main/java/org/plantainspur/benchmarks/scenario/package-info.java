/**
 * Scenarios as recorded traces, replayed through the decision code.
 */
@NullMarked
package org.plantainspur.benchmarks.scenario;

import org.jspecify.annotations.NullMarked;
