/**
 * Decisions on one request: whether it may run, where, and what follows each attempt.
 */
@NullMarked
package org.plantainspur.core.proxy;

import org.jspecify.annotations.NullMarked;
