/**
 * A stand-in for the users' table store: versioned rows, transactions, range reads and a
 * feed of changes.
 */
@NullMarked
package org.plantainspur.standins.tablestore;

import org.jspecify.annotations.NullMarked;
