/**
 * The entry host daemon: wires the decisions of the core to the adapters, runs the
 * periodic tasks, answers operators and shuts down gracefully.
 */
@NullMarked
package org.plantainspur.host;

import org.jspecify.annotations.NullMarked;
