/**
 * The log of decisions, as a port.
 */
@NullMarked
package org.plantainspur.core.log;

import org.jspecify.annotations.NullMarked;
