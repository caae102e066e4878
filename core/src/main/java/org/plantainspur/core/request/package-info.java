/**
 * The path of a request, from the caller's request to the answer or the refusal.
 */
@NullMarked
package org.plantainspur.core.request;

import org.jspecify.annotations.NullMarked;
