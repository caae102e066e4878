/**
 * The state that hosts exchange by heartbeats and digests, which hosts are alive and how
 * much of each account's limit is used, and the decisions based on it.
 */
@NullMarked
package org.plantainspur.core.fleet;

import org.jspecify.annotations.NullMarked;
