/**
 * Decisions on one request: its admission, its retries within the retry budget, and the
 * refusals that the host answers itself.
 */
@NullMarked
package org.plantainspur.core.proxy;

import org.jspecify.annotations.NullMarked;
