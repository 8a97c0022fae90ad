package io.masticlane.operation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;
import io.masticlane.operation.OperationLedger.Claimant;
import io.masticlane.operation.OperationLedger.Decision;
import io.masticlane.operation.Operations.Verdict.Kind;
import io.masticlane.peer.Peer;

/**
 * Asks the process that owns an operation; operations without an owner are left to
 * others. Has no clock: time comes with each call.
 */
public final class OwnedOperations implements Operations {

	private static final long EPOCH_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final long CLAIM_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(1);

	private static final int MAXIMUM_PENDING = 65_536;

	private final String incarnation;

	private final OperationLedger ledger;

	private final Owners owners;

	private final Operations unowned;

	private final Map<Long, Pending> pending = new HashMap<>();

	private long claims;

	private long nextEpoch;

	/**
	 * Creates new operations.
	 * @param incarnation the identifier of this process
	 * @param ledger the operations that this process owns
	 * @param owners the way to the other processes
	 * @param unowned the operations without an owner
	 * @param now the present in nanoseconds
	 */
	public OwnedOperations(String incarnation, OperationLedger ledger, Owners owners, Operations unowned, long now) {
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.owners = owners;
		this.unowned = unowned;
		this.nextEpoch = now + EPOCH_NANOS;
	}

	@Override
	public void claim(Operation operation, long now, VerdictReceiver receiver) {
		if (!operation.owned()) {
			this.unowned.claim(operation, now, receiver);
		}
		else if (ownedHere(operation)) {
			receiver.receive(claimHere(operation), now);
		}
		else {
			ask(operation, now, receiver);
		}
	}

	@Override
	public boolean knownNotRun(Operation operation) {
		return operation.owned() ? ownedHere(operation) && this.ledger.knownNotRun(operation)
				: this.unowned.knownNotRun(operation);
	}

	/**
	 * Opens a new epoch when it is due, and gives up claims that were not answered.
	 * @param now the present in nanoseconds
	 */
	public void tick(long now) {
		if (now - this.nextEpoch >= 0) {
			this.nextEpoch = now + EPOCH_NANOS;
			this.ledger.openEpoch();
		}
		this.pending.values().removeIf((each) -> each.abandoned && now - each.since >= FORGET_NANOS);
		List<Pending> late = this.pending.values()
			.stream()
			.filter((each) -> !each.abandoned && now - each.since >= CLAIM_NANOS)
			.toList();
		late.forEach((each) -> {
			each.abandoned = true;
			each.receiver.receive(Verdict.of(Kind.UNKNOWN), now);
		});
	}

	/**
	 * Decides on a peer's claim.
	 * @param peer the peer
	 * @param claim the claim
	 */
	public void claimed(Peer peer, Message.OperationClaim claim) {
		Operation operation = Operation.of(claim.organisation(), claim.operation(), claim.fingerprint());
		Claimant claimant = new Claimant(peer.incarnation(), claim.claim());
		Kind kind = ownedHere(operation) ? this.ledger.claim(operation, claimant).kind() : Kind.UNKNOWN;
		this.owners.send(peer.host(), new Message.OperationVerdict(claim.claim(), kind.name(), peer.incarnation()));
	}

	/**
	 * Takes back a right that a peer returns.
	 * @param peer the peer
	 * @param release the release
	 */
	public void released(Peer peer, Message.OperationRelease release) {
		Operation operation = Operation.of(release.organisation(), release.operation(), 0);
		if (ownedHere(operation)) {
			this.ledger.release(operation, new Claimant(peer.incarnation(), release.claim()));
		}
	}

	/**
	 * Hands an owner's verdict to the attempt that waits for it; one that comes too late
	 * is released.
	 * @param peer the owner
	 * @param verdict the verdict
	 * @param now the present in nanoseconds
	 */
	public void decided(Peer peer, Message.OperationVerdict verdict, long now) {
		Pending waiting = this.pending.get(verdict.claim());
		if (waiting == null || !verdict.incarnation().equals(this.incarnation)
				|| !waiting.operation.owner().incarnation().equals(peer.incarnation())) {
			return;
		}
		this.pending.remove(verdict.claim());
		Kind kind = Arrays.stream(Kind.values())
			.filter((each) -> each.name().equals(verdict.verdict()))
			.findFirst()
			.orElse(Kind.UNKNOWN);
		Grant grant = (kind == Kind.GRANTED) ? new GrantByPeer(verdict.claim(), waiting.operation, peer.host())
				: Grant.NoOp.INSTANCE;
		if (waiting.abandoned) {
			grant.release();
		}
		else {
			waiting.receiver.receive(new Verdict(kind, grant, Optional.empty()), now);
		}
	}

	private boolean ownedHere(Operation operation) {
		return operation.owner().incarnation().equals(this.incarnation);
	}

	private Verdict claimHere(Operation operation) {
		Claimant claimant = new Claimant(this.incarnation, ++this.claims);
		Decision decision = this.ledger.claim(operation, claimant);
		return (decision.kind() == Kind.GRANTED) ? Verdict.granted(new GrantHere(operation, claimant))
				: new Verdict(decision.kind(), Grant.NoOp.INSTANCE, decision.answer());
	}

	private void ask(Operation operation, long now, VerdictReceiver receiver) {
		long claim = ++this.claims;
		boolean sent = this.pending.size() < MAXIMUM_PENDING && this.owners.host(operation.owner().incarnation(), now)
			.map((host) -> this.owners.send(host,
					new Message.OperationClaim(claim, operation.organisation(), operation.key(),
							operation.fingerprint())))
			.orElse(false);
		if (sent) {
			this.pending.put(claim, new Pending(operation, receiver, now));
		}
		else {
			receiver.receive(Verdict.of(Kind.UNKNOWN), now);
		}
	}

	/**
	 * The way to the processes that own operations.
	 */
	public interface Owners {

		/**
		 * Finds the entry host of a process.
		 * @param incarnation the identifier of the process
		 * @param now the present in nanoseconds
		 * @return the name of its entry host, or nothing if the process is not heard
		 */
		Optional<String> host(String incarnation, long now);

		/**
		 * Sends a message to an entry host.
		 * @param host the name of the entry host
		 * @param message the message
		 * @return whether the message was written to a connection
		 */
		boolean send(String host, Message message);

	}

	private static final class Pending {

		private final Operation operation;

		private final VerdictReceiver receiver;

		private final long since;

		private boolean abandoned;

		private Pending(Operation operation, VerdictReceiver receiver, long since) {
			this.operation = operation;
			this.receiver = receiver;
			this.since = since;
		}

	}

	private final class GrantHere implements Grant {

		private final Operation operation;

		private final Claimant claimant;

		private GrantHere(Operation operation, Claimant claimant) {
			this.operation = operation;
			this.claimant = claimant;
		}

		@Override
		public void release() {
			OwnedOperations.this.ledger.release(this.operation, this.claimant);
		}

		@Override
		public void end(Optional<RecordedAnswer> answer) {
			OwnedOperations.this.ledger.end(this.operation, this.claimant, answer);
		}

	}

	private final class GrantByPeer implements Grant {

		private final long claim;

		private final Operation operation;

		private final String host;

		private GrantByPeer(long claim, Operation operation, String host) {
			this.claim = claim;
			this.operation = operation;
			this.host = host;
		}

		@Override
		public void release() {
			OwnedOperations.this.owners.send(this.host,
					new Message.OperationRelease(this.claim, this.operation.organisation(), this.operation.key()));
		}

		@Override
		public void end(Optional<RecordedAnswer> answer) {
		}

	}

}
