package io.masticlane.placement;

import java.nio.charset.StandardCharsets;

/**
 * Weighted rendezvous hashing, by which every gateway ranks the servers for an object
 * identically.
 */
public final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final int MANTISSA_SHIFT = 11;

	private static final double MANTISSA_UNIT = 0x1.0p-53;

	private Rendezvous() {
	}

	/**
	 * Hashes a text with FNV-1a and a final mixing step.
	 * @param text the text, hashed in UTF-8
	 * @return its hash
	 */
	public static long hash(String text) {
		long hash = FNV_OFFSET;
		for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (each & 0xff)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Returns the score of a node for an object; the node with the highest score ranks
	 * first.
	 * @param object the hash of the object
	 * @param node the hash of the node
	 * @param weight the weight of the node
	 * @return the score
	 */
	public static double score(long object, long node, double weight) {
		return -weight / Math.log(fraction(object ^ Long.rotateLeft(node, 17)));
	}

	/**
	 * Maps a hash to a number between zero and one.
	 * @param hash the hash
	 * @return the number, above zero and below one
	 */
	public static double fraction(long hash) {
		return ((mix(hash) >>> MANTISSA_SHIFT) + 0.5) * MANTISSA_UNIT;
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

}
