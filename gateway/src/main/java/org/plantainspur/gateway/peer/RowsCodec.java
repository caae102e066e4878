package org.plantainspur.gateway.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;

/**
 * Encodes table rows that one host fetches from another, as MessagePack.
 */
public final class RowsCodec {

	/** The media type of encoded rows. */
	public static final String MEDIA_TYPE = "application/msgpack";

	/**
	 * Encodes rows.
	 * @param rows the rows and the store's version when they were read
	 * @return the body of an HTTP response
	 */
	public byte[] encode(StoreResult.Rows rows) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(rows.version().number()).packArrayHeader(rows.rows().size());
			for (StoredRow row : rows.rows()) {
				packer.packString(row.key()).packLong(row.version()).packBoolean(row.removed());
				packer.packBinaryHeader(row.value().length).writePayload(row.value());
			}
			packer.packLong(rows.version().era());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes rows.
	 * @param bytes the body of an HTTP response
	 * @return the rows, or {@link StoreResult.Unavailable} if the body is malformed
	 */
	public StoreResult decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			long versionNumber = unpacker.unpackLong();
			int size = unpacker.unpackArrayHeader();
			List<StoredRow> rows = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				String key = unpacker.unpackString();
				long rowVersion = unpacker.unpackLong();
				boolean removed = unpacker.unpackBoolean();
				int length = unpacker.unpackBinaryHeader();
				if (length > bytes.length - unpacker.getTotalReadBytes()) {
					// The buffer for the value is allocated before it is read.
					return new StoreResult.Unavailable("the rows sent by another host are malformed: a value of "
							+ length + " bytes is longer than the body");
				}
				byte[] value = unpacker.readPayload(length);
				rows.add(new StoredRow(key, value, rowVersion, removed));
			}
			// Missing in the rows of earlier builds.
			long era = unpacker.hasNext() ? unpacker.unpackLong() : 0;
			return new StoreResult.Rows(rows, new StoreVersion(era, versionNumber), false);
		}
		catch (IOException | MessagePackException ex) {
			return new StoreResult.Unavailable("the rows sent by another host are malformed: " + ex.getMessage());
		}
	}

}
