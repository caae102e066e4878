/**
 * Serves the requests of callers: access checks, idempotency records, admission, attempts
 * on targets, retries and refusals.
 */
@NullMarked
package org.plantainspur.core.request;

import org.jspecify.annotations.NullMarked;
