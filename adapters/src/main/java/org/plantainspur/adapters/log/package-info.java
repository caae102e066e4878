/**
 * Structured log events.
 */
@NullMarked
package org.plantainspur.adapters.log;

import org.jspecify.annotations.NullMarked;
