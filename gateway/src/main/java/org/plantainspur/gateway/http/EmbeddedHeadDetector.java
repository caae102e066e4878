package org.plantainspur.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;

/**
 * Finds the head of another response in what was framed as the body of one. A server in
 * trouble may break off a body and send the response once more, or send a second copy
 * behind a body that lasts until the end of the connection. The frame of the first
 * response then ends within or after the second one.
 */
final class EmbeddedHeadDetector {

	private static final ByteBuf STATUS_LINE_START = Unpooled
		.unreleasableBuffer(Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.US_ASCII).asReadOnly());

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	/** Longer lines are not parsed as a header; the decoder accepts no longer heads. */
	private static final int MAX_LINE_BYTES = 8_192;

	private final String requestIdHeader;

	EmbeddedHeadDetector(String requestIdHeader) {
		this.requestIdHeader = requestIdHeader;
	}

	/**
	 * Returns whether a head begins in the body: a status line and headers, one of which
	 * names a request of the connection. Bodies may mention HTTP, but they have no reason
	 * to contain such a head.
	 * @param body the body as it was framed
	 * @param behind the bytes that have arrived behind it, in which the head may end
	 * @param requestIds the ids of all requests of the connection
	 * @param endsWithConnection whether the body has no length and ended with its
	 * connection: then a head that lasts until the end was broken off, and needs no id
	 * @return {@code true} if the body is not the one of the response
	 */
	boolean isIn(ByteBuf body, ByteBuf behind, Set<String> requestIds, boolean endsWithConnection) {
		if (!body.isReadable()) {
			return false;
		}
		int bodyLength = body.readableBytes();
		ByteBuf bytes = Unpooled.wrappedBuffer(body.retainedSlice(), behind.retainedSlice());
		try {
			int statusLine = nextStatusLine(bytes);
			while (statusLine >= 0 && statusLine < bodyLength) {
				bytes.readerIndex(statusLine + STATUS_LINE_START.readableBytes());
				int next = nextStatusLine(bytes);
				// The last one in a line begins the head; text may stand before it.
				int lineFeed = bytes.indexOf(statusLine, (next >= 0) ? next : bytes.writerIndex(), (byte) '\n');
				if (lineFeed < 0) {
					if (next < 0 && endsWithConnection && startsWithStatusLine(bytes.readerIndex(statusLine))) {
						return true;
					}
					statusLine = next;
					continue;
				}
				bytes.readerIndex(statusLine);
				if (startsWithStatusLine(bytes) && headersFollow(bytes, requestIds, endsWithConnection)) {
					return true;
				}
				statusLine = nextStatusLine(bytes);
			}
			return false;
		}
		finally {
			bytes.release();
		}
	}

	private static int nextStatusLine(ByteBuf bytes) {
		return ByteBufUtil.indexOf(STATUS_LINE_START.duplicate(), bytes);
	}

	private static boolean startsWithStatusLine(ByteBuf bytes) {
		return STATUS_LINE.matcher(readLine(bytes)).lookingAt();
	}

	// Reads headers until one names a request, and leaves the first line that is none
	// unread, as it may contain a status line.
	private boolean headersFollow(ByteBuf bytes, Set<String> requestIds, boolean mayBreakOff) {
		while (bytes.isReadable()) {
			int lineStart = bytes.readerIndex();
			String line = readLine(bytes);
			int colon = line.indexOf(':');
			if (colon <= 0 || line.substring(0, colon).contains(" ")) {
				if (mayBreakOff && !bytes.isReadable() && !line.isBlank() && !line.contains(" ")
						&& !line.endsWith("\n")) {
					return true;
				}
				bytes.readerIndex(lineStart);
				return false;
			}
			if (line.substring(0, colon).equalsIgnoreCase(this.requestIdHeader)
					&& requestIds.contains(line.substring(colon + 1).trim())) {
				return true;
			}
		}
		return mayBreakOff;
	}

	// Returns only the start of a line that is too long to be part of a head.
	private static String readLine(ByteBuf bytes) {
		int lineFeed = bytes.forEachByte(ByteProcessor.FIND_LF);
		int end = (lineFeed >= 0) ? lineFeed + 1 : bytes.writerIndex();
		int length = end - bytes.readerIndex();
		String line = bytes.toString(bytes.readerIndex(), Math.min(length, MAX_LINE_BYTES),
				StandardCharsets.ISO_8859_1);
		bytes.readerIndex(end);
		return line;
	}

}
