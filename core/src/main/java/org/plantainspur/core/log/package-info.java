/**
 * The port to the log of decisions.
 */
@NullMarked
package org.plantainspur.core.log;

import org.jspecify.annotations.NullMarked;
