/**
 * The messages between members, independent of their encoding and transport.
 */
@NullMarked
package org.plantainspur.core.peer;

import org.jspecify.annotations.NullMarked;
