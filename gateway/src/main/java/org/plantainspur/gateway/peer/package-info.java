/**
 * Beats between hosts: MessagePack in UDP datagrams.
 */
@NullMarked
package org.plantainspur.gateway.peer;

import org.jspecify.annotations.NullMarked;
