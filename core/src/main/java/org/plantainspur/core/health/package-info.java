/**
 * Detection and ejection of unhealthy targets from the outcomes that all hosts report.
 */
@NullMarked
package org.plantainspur.core.health;

import org.jspecify.annotations.NullMarked;
