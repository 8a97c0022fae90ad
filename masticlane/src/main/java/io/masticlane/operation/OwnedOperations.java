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
 * Claims operations at the process that owns them, which may be this one. Delegates
 * operations without an owner. Reads no clock; the callers pass the current time.
 */
public final class OwnedOperations implements Operations {

	private static final long EPOCH_DURATION_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The time for which a claim that timed out is kept, so that a grant that arrives
	 * after the timeout is released.
	 */
	private static final long ABANDONED_CLAIM_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

	private static final int MAXIMUM_PENDING_CLAIMS = 65_536;

	private final String incarnation;

	private final OperationLedger ledger;

	private final Owners owners;

	private final Operations unownedOperations;

	private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();

	private long lastClaim;

	private long nextEpochAt;

	/**
	 * Creates new operations.
	 * @param incarnation the identifier of this process
	 * @param ledger the operations that this process owns
	 * @param owners sends messages to the processes that own operations
	 * @param unownedOperations decides on operations without an owner
	 * @param now the current time in nanoseconds
	 */
	public OwnedOperations(String incarnation, OperationLedger ledger, Owners owners, Operations unownedOperations,
			long now) {
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.owners = owners;
		this.unownedOperations = unownedOperations;
		this.nextEpochAt = now + EPOCH_DURATION_NANOS;
	}

	@Override
	public void claim(Operation operation, long now, VerdictReceiver receiver) {
		if (!operation.hasOwner()) {
			this.unownedOperations.claim(operation, now, receiver);
		}
		else if (isOwnedLocally(operation)) {
			receiver.receive(claimLocally(operation), now);
		}
		else {
			claimAtOwner(operation, now, receiver);
		}
	}

	@Override
	public boolean isKnownNotRun(Operation operation) {
		return operation.hasOwner() ? isOwnedLocally(operation) && this.ledger.isKnownNotRun(operation)
				: this.unownedOperations.isKnownNotRun(operation);
	}

	/**
	 * Starts a new epoch when it is due, and delivers {@link Kind#UNKNOWN} for claims
	 * that timed out.
	 * @param now the current time in nanoseconds
	 */
	public void tick(long now) {
		if (now - this.nextEpochAt >= 0) {
			this.nextEpochAt = now + EPOCH_DURATION_NANOS;
			this.ledger.openEpoch();
		}
		this.pendingClaims.values()
			.removeIf((each) -> each.abandoned && now - each.claimedAt >= ABANDONED_CLAIM_RETENTION_NANOS);
		List<PendingClaim> timedOut = this.pendingClaims.values()
			.stream()
			.filter((each) -> !each.abandoned && now - each.claimedAt >= CLAIM_TIMEOUT_NANOS)
			.toList();
		timedOut.forEach((each) -> {
			each.abandoned = true;
			each.receiver.receive(Verdict.of(Kind.UNKNOWN), now);
		});
	}

	/**
	 * Decides on a claim of a peer and sends the verdict.
	 * @param peer the peer
	 * @param claim the claim
	 */
	public void claimReceived(Peer peer, Message.OperationClaim claim) {
		Operation operation = Operation.of(claim.organisation(), claim.operation(), claim.fingerprint());
		Claimant claimant = new Claimant(peer.incarnation(), claim.claim());
		Kind kind = isOwnedLocally(operation) ? this.ledger.claim(operation, claimant).kind() : Kind.UNKNOWN;
		this.owners.send(peer.host(), new Message.OperationVerdict(claim.claim(), kind.name(), peer.incarnation()));
	}

	/**
	 * Releases the grant that a peer holds.
	 * @param peer the peer
	 * @param release the release
	 */
	public void releaseReceived(Peer peer, Message.OperationRelease release) {
		Operation operation = Operation.of(release.organisation(), release.operation(), 0);
		if (isOwnedLocally(operation)) {
			this.ledger.release(operation, new Claimant(peer.incarnation(), release.claim()));
		}
	}

	/**
	 * Delivers the verdict of an owner to the attempt that waits for it. A grant that
	 * arrives after the claim timed out is released. A verdict for another incarnation on
	 * this host, or from a process that does not own the operation, is ignored.
	 * @param peer the owner
	 * @param verdict the verdict
	 * @param now the current time in nanoseconds
	 */
	public void verdictReceived(Peer peer, Message.OperationVerdict verdict, long now) {
		PendingClaim claim = this.pendingClaims.get(verdict.claim());
		if (claim == null || !verdict.incarnation().equals(this.incarnation)
				|| !claim.operation.owner().incarnation().equals(peer.incarnation())) {
			return;
		}
		this.pendingClaims.remove(verdict.claim());
		Kind kind = Arrays.stream(Kind.values())
			.filter((each) -> each.name().equals(verdict.verdict()))
			.findFirst()
			.orElse(Kind.UNKNOWN);
		Grant grant = (kind == Kind.GRANTED) ? new PeerGrant(verdict.claim(), claim.operation, peer.host())
				: Grant.NoOp.INSTANCE;
		if (claim.abandoned) {
			grant.release();
		}
		else {
			claim.receiver.receive(new Verdict(kind, grant, Optional.empty()), now);
		}
	}

	private boolean isOwnedLocally(Operation operation) {
		return operation.owner().incarnation().equals(this.incarnation);
	}

	private Verdict claimLocally(Operation operation) {
		Claimant claimant = new Claimant(this.incarnation, ++this.lastClaim);
		Decision decision = this.ledger.claim(operation, claimant);
		return (decision.kind() == Kind.GRANTED) ? Verdict.granted(new LocalGrant(operation, claimant))
				: new Verdict(decision.kind(), Grant.NoOp.INSTANCE, decision.response());
	}

	private void claimAtOwner(Operation operation, long now, VerdictReceiver receiver) {
		long claim = ++this.lastClaim;
		boolean sent = this.pendingClaims.size() < MAXIMUM_PENDING_CLAIMS
				&& this.owners.host(operation.owner().incarnation(), now)
					.map((host) -> this.owners.send(host,
							new Message.OperationClaim(claim, operation.organisation(), operation.key(),
									operation.fingerprint())))
					.orElse(false);
		if (sent) {
			this.pendingClaims.put(claim, new PendingClaim(operation, receiver, now));
		}
		else {
			receiver.receive(Verdict.of(Kind.UNKNOWN), now);
		}
	}

	/**
	 * Sends messages to the processes that own operations.
	 */
	public interface Owners {

		/**
		 * Finds the entry host of a process.
		 * @param incarnation the identifier of the process
		 * @param now the current time in nanoseconds
		 * @return the name of its entry host, or nothing if the process is not a known
		 * member
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

	private static final class PendingClaim {

		private final Operation operation;

		private final VerdictReceiver receiver;

		private final long claimedAt;

		private boolean abandoned;

		private PendingClaim(Operation operation, VerdictReceiver receiver, long claimedAt) {
			this.operation = operation;
			this.receiver = receiver;
			this.claimedAt = claimedAt;
		}

	}

	private final class LocalGrant implements Grant {

		private final Operation operation;

		private final Claimant claimant;

		private LocalGrant(Operation operation, Claimant claimant) {
			this.operation = operation;
			this.claimant = claimant;
		}

		@Override
		public void release() {
			OwnedOperations.this.ledger.release(this.operation, this.claimant);
		}

		@Override
		public void end(Optional<RecordedResponse> response) {
			OwnedOperations.this.ledger.end(this.operation, this.claimant, response);
		}

	}

	private final class PeerGrant implements Grant {

		private final long claim;

		private final Operation operation;

		private final String host;

		private PeerGrant(long claim, Operation operation, String host) {
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
		public void end(Optional<RecordedResponse> response) {
		}

	}

}
