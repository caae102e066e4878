/**
 * Which host reaches which targets: the state of this host's own paths, what the other
 * hosts tell of theirs, and the path of an attempt that follows from both. Says nothing
 * of the health of targets.
 */
@NullMarked
package org.plantainspur.core.reach;

import org.jspecify.annotations.NullMarked;
