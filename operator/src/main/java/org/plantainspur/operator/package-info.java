/**
 * The operators' command line: parses a command, writes its change to the change log and
 * reports in which hosts the change is in force.
 */
@NullMarked
package org.plantainspur.operator;

import org.jspecify.annotations.NullMarked;
