package org.plantainspur.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ByteProcessor;

/**
 * Finds the head of another response in what was framed as the body of one. A server in
 * trouble may break off a body and send the response once more, or send a second copy
 * behind a body that lasts until the end of the connection. The frame of the first
 * response then ends within or after the second one.
 */
final class EmbeddedHeadDetector {

	private static final byte[] STATUS_LINE_START = StrictResponseDecoder.STATUS_LINE_START
		.getBytes(StandardCharsets.US_ASCII);

	private static final String LINE_END = "\r\n";

	/** Longer lines are not parsed as a header; the decoder accepts no longer heads. */
	private static final int MAX_LINE_BYTES = 8_192;

	/**
	 * The least of a header's name that shows that a head has broken off within it. Less
	 * of it may be the beginning of a word.
	 */
	private static final int MIN_HEADER_START = 8;

	private final String requestIdHeader;

	EmbeddedHeadDetector(String requestIdHeader) {
		this.requestIdHeader = requestIdHeader;
	}

	/**
	 * Returns whether a head begins in the body: a status line and headers, one of which
	 * names a request of the connection, or which are headers of this target up to the
	 * end of the received bytes. Bodies may mention HTTP, but they have no reason to
	 * contain such a head.
	 * @param response the head of the response
	 * @param body the body as it was framed
	 * @param behind the bytes that have arrived behind it, in which the head may end
	 * @param requestIds the ids of all requests of the connection
	 * @return {@code true} if the body is not the one of the response
	 */
	boolean isIn(HttpResponse response, ByteBuf body, ByteBuf behind, Set<String> requestIds) {
		if (!body.isReadable()) {
			return false;
		}
		int bodyLength = body.readableBytes();
		ByteBuf bytes = Unpooled.wrappedBuffer(body.retainedSlice(), behind.retainedSlice());
		try {
			int statusLine = nextStatusLine(bytes);
			while (statusLine >= 0 && statusLine < bodyLength) {
				bytes.readerIndex(statusLine + STATUS_LINE_START.length);
				int next = nextStatusLine(bytes);
				// The last one in a line begins the head; text may stand before it.
				int lineFeed = bytes.indexOf(statusLine, (next >= 0) ? next : bytes.writerIndex(), (byte) '\n');
				if (lineFeed < 0) {
					statusLine = next;
					continue;
				}
				bytes.readerIndex(statusLine);
				String line = readLine(bytes);
				if (StrictResponseDecoder.STATUS_LINE.matcher(line).lookingAt() && line.endsWith(LINE_END)
						&& headersFollow(bytes, response, requestIds, isRestOfBody(behind))) {
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

	// Bytes behind a response are a copy of one, or the end of a body that was pushed
	// there.
	private static boolean isRestOfBody(ByteBuf behind) {
		int length = Math.min(behind.readableBytes(), STATUS_LINE_START.length);
		return length > 0 && !ByteBufUtil.equals(behind, behind.readerIndex(),
				Unpooled.wrappedBuffer(STATUS_LINE_START), 0, length);
	}

	private static int nextStatusLine(ByteBuf bytes) {
		int last = bytes.writerIndex() - STATUS_LINE_START.length;
		int index = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), STATUS_LINE_START[0]);
		while (index >= 0 && index <= last) {
			int matching = 1;
			while (matching < STATUS_LINE_START.length
					&& bytes.getByte(index + matching) == STATUS_LINE_START[matching]) {
				matching++;
			}
			if (matching == STATUS_LINE_START.length) {
				return index;
			}
			index = bytes.indexOf(index + 1, bytes.writerIndex(), STATUS_LINE_START[0]);
		}
		return -1;
	}

	// Reads headers until one names a request, and leaves the first line that is none, or
	// that contains a status line, unread. A head that is not complete yet needs no
	// id, if all its headers are those of the response. A head that has pushed a part of
	// the body behind its end may break off within a header's name, before more body.
	private boolean headersFollow(ByteBuf bytes, HttpResponse response, Set<String> requestIds, boolean overlong) {
		boolean headersOfResponse = bytes.isReadable();
		while (bytes.isReadable()) {
			int lineStart = bytes.readerIndex();
			String line = readLine(bytes);
			int colon = line.indexOf(':');
			String name = (colon >= 0) ? line.substring(0, colon) : line;
			if (line.contains(StrictResponseDecoder.STATUS_LINE_START)) {
				bytes.readerIndex(lineStart);
				return false;
			}
			boolean incomplete = !bytes.isReadable() && !line.endsWith(LINE_END);
			if (overlong && headersOfResponse && beginsLikeHeaderOf(response, line)) {
				return true;
			}
			headersOfResponse &= isHeaderOf(response, name, colon < 0);
			if (colon <= 0 || name.contains(" ")) {
				if (incomplete && headersOfResponse) {
					return true;
				}
				bytes.readerIndex(lineStart);
				return false;
			}
			if (name.equalsIgnoreCase(this.requestIdHeader) && requestIds.contains(line.substring(colon + 1).trim())) {
				return true;
			}
		}
		return headersOfResponse;
	}

	private static boolean beginsLikeHeaderOf(HttpResponse response, String line) {
		return response.headers()
			.names()
			.stream()
			.anyMatch(
					(own) -> own.length() >= MIN_HEADER_START && own.regionMatches(true, 0, line, 0, MIN_HEADER_START));
	}

	// The headers that frame the body may differ between a response and an earlier one.
	private static boolean isHeaderOf(HttpResponse response, String name, boolean mayBreakOff) {
		return Stream
			.concat(response.headers().names().stream(),
					Stream.of(HttpHeaderNames.CONTENT_LENGTH.toString(), HttpHeaderNames.TRANSFER_ENCODING.toString()))
			.anyMatch((own) -> own.equalsIgnoreCase(name)
					|| (mayBreakOff && !name.isBlank() && own.regionMatches(true, 0, name, 0, name.length())));
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
