package io.masticlane.operation;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;

import io.masticlane.platform.Store;

/**
 * Claims each operation by creating a key in the platform's store.
 */
public final class StoreOperations implements Operations {

	private final Store store;

	private final String prefix;

	private final String incarnation;

	private final Executor decisions;

	/**
	 * Creates new operations.
	 * @param store the platform's store
	 * @param prefix the prefix of the operations' keys
	 * @param incarnation the identifier of this process
	 * @param decisions the executor on which verdicts are delivered
	 */
	public StoreOperations(Store store, String prefix, String incarnation, Executor decisions) {
		this.store = store;
		this.prefix = prefix;
		this.incarnation = incarnation;
		this.decisions = decisions;
	}

	@Override
	public void claim(String organisation, String operation, VerdictReceiver answer) {
		byte[] value = this.incarnation.getBytes(StandardCharsets.UTF_8);
		this.store.compareAndSet(key(organisation, operation), Store.ABSENT, value, Store.NO_LEASE)
			.handle((result, failure) -> (failure == null && result.succeeded()) ? Verdict.GRANTED : Verdict.UNKNOWN)
			.thenAcceptAsync((verdict) -> answer.receive(verdict, System.nanoTime()), this.decisions);
	}

	@Override
	public void release(String organisation, String operation) {
		String key = key(organisation, operation);
		this.store.read(key)
			.thenAccept((found) -> found.ifPresent((entry) -> this.store.compareAndDelete(key, entry.revision())));
	}

	private String key(String organisation, String operation) {
		return this.prefix + "operations/" + organisation + "/" + operation;
	}

}
