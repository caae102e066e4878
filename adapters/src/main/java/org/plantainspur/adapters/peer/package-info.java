/**
 * Messages between member hosts over TCP, encoded as MessagePack.
 */
@NullMarked
package org.plantainspur.adapters.peer;

import org.jspecify.annotations.NullMarked;
