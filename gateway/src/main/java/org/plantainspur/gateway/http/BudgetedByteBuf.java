package org.plantainspur.gateway.http;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

import org.plantainspur.core.proxy.BufferBudget;

/**
 * A buffer on the heap whose memory is taken out of a {@link BufferBudget} until the
 * buffer is released, wherever it is passed on to. Writing to it fails with
 * {@link ExhaustedException} when the budget does not allow it to grow.
 */
final class BudgetedByteBuf extends UnpooledHeapByteBuf {

	private final BufferBudget budget;

	/**
	 * Creates an empty buffer, which takes nothing out of the budget until it is written.
	 * @param budget limits the memory
	 * @param maxBytes the maximum number of bytes
	 */
	BudgetedByteBuf(BufferBudget budget, int maxBytes) {
		super(UnpooledByteBufAllocator.DEFAULT, 0, maxBytes);
		this.budget = budget;
	}

	// The constructor of the superclass calls this for the initial array of no bytes.
	@Override
	protected byte[] allocateArray(int bytes) {
		if (bytes > 0 && !this.budget.tryTake(bytes, bytes)) {
			throw new ExhaustedException(bytes);
		}
		return super.allocateArray(bytes);
	}

	@Override
	protected void freeArray(byte[] array) {
		super.freeArray(array);
		if (array.length > 0) {
			this.budget.release(array.length);
		}
	}

	/**
	 * Thrown when the budget does not allow a buffer to grow.
	 */
	static final class ExhaustedException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		ExhaustedException(int bytes) {
			super("the memory for bodies does not allow one of " + bytes + " bytes");
		}

	}

}
