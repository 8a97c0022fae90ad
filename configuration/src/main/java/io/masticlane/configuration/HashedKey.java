package io.masticlane.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * A caller's key as stored in the configuration: a public identifier, a salt and a hash
 * of the secret. A caller presents the key as {@code identifier.secret}.
 *
 * @param identifier the public part of the key
 * @param salt the salt in hexadecimal digits
 * @param hash the SHA-256 hash of salt and secret in hexadecimal digits
 */
public record HashedKey(String identifier, String salt, String hash) {

	private static final int SALT_BYTES = 16;

	private static final int SECRET_BYTES = 24;

	/**
	 * Creates a new hashed key.
	 * @param identifier the public part of the key
	 * @param salt the salt in hexadecimal digits
	 * @param hash the SHA-256 hash of salt and secret in hexadecimal digits
	 */
	public HashedKey {
		Check.name("keys.identifier", identifier);
		if (salt == null || !salt.matches("[0-9a-f]{16,64}")) {
			throw new ConfigurationException("keys.salt", salt, "16 to 64 hexadecimal digits");
		}
		if (hash == null || !hash.matches("[0-9a-f]{64}")) {
			throw new ConfigurationException("keys.hash", hash, "64 hexadecimal digits");
		}
	}

	/**
	 * Creates a new hashed key with a random salt.
	 * @param identifier the public part of the key
	 * @param secret the secret part of the key
	 * @return the hashed key
	 */
	public static HashedKey of(String identifier, String secret) {
		byte[] salt = new byte[SALT_BYTES];
		new SecureRandom().nextBytes(salt);
		return of(identifier, secret, HexFormat.of().formatHex(salt));
	}

	/**
	 * Creates a new hashed key with a given salt, so that the printed document is
	 * reproducible.
	 * @param identifier the public part of the key
	 * @param secret the secret part of the key
	 * @param salt the salt in hexadecimal digits
	 * @return the hashed key
	 */
	public static HashedKey of(String identifier, String secret, String salt) {
		return new HashedKey(identifier, salt, hash(salt, secret));
	}

	/**
	 * Creates a new random secret.
	 * @return the secret part of a new key
	 */
	public static String randomSecret() {
		byte[] secret = new byte[SECRET_BYTES];
		new SecureRandom().nextBytes(secret);
		return Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
	}

	/**
	 * Returns whether a secret matches this key. The hashes are compared in constant
	 * time.
	 * @param secret the secret part of a presented key
	 * @return whether the secret matches
	 */
	public boolean accepts(String secret) {
		byte[] presented = hash(this.salt, secret).getBytes(StandardCharsets.US_ASCII);
		return MessageDigest.isEqual(presented, this.hash.getBytes(StandardCharsets.US_ASCII));
	}

	private static String hash(String salt, String secret) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update(HexFormat.of().parseHex(salt));
			return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
