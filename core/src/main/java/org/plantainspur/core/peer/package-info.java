/**
 * The messages between members, apart from their encoding and transport.
 */
@NullMarked
package org.plantainspur.core.peer;

import org.jspecify.annotations.NullMarked;
