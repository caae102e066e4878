/**
 * Generates traces of fault scenarios and replays them through the decision code.
 */
@NullMarked
package org.plantainspur.benchmarks.scenario;

import org.jspecify.annotations.NullMarked;
