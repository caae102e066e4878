/**
 * Decision lines and metrics.
 */
@NullMarked
package org.plantainspur.gateway.log;

import org.jspecify.annotations.NullMarked;
