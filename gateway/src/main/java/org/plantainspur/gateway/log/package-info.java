/**
 * The log of decisions as JSON lines, and metrics in the Prometheus text format.
 */
@NullMarked
package org.plantainspur.gateway.log;

import org.jspecify.annotations.NullMarked;
