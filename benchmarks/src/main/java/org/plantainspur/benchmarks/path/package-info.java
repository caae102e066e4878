/**
 * JMH benchmarks of the decisions on the path of a request.
 */
@NullMarked
package org.plantainspur.benchmarks.path;

import org.jspecify.annotations.NullMarked;
