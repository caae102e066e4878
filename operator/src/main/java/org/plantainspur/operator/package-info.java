/**
 * The operators' command line: parses a command, writes its change to the change log and
 * reports which hosts have the change in force.
 */
@NullMarked
package org.plantainspur.operator;

import org.jspecify.annotations.NullMarked;
